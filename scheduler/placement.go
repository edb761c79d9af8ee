package scheduler

import (
	"cmp"
	"math"
	"slices"
)

// WhyProbe is the reason of an assignment to an ejected target.
const WhyProbe = "probe of an ejected target"

// Reasons for an assignment, for the operator.
const (
	whyEarliest = "earliest expected finish, slot free"
	whyPrefetch = "earliest expected finish, slot free within a round trip"
	whyAhead    = "sent ahead in a batch of a large job"
)

const (
	// prefetchTrips is the time ahead for which one task may wait at the agent,
	// in one-way delays: the report of a free slot and the next start take two.
	prefetchTrips = 2
	// aheadShare is the share of a large job's remaining time for which tasks
	// are sent ahead. Sending half of the rest each time keeps the last batches
	// small, so that errors of the estimates even out.
	aheadShare = 0.5
)

// place assigns waiting tasks of a service. It replays the queue in service
// order against the modelled slots: each task takes the slot with the earliest
// finish. A task whose slot is free now is sent; a task that does better to
// wait for a busy target keeps waiting and reserves that slot, so that later
// tasks see it taken and may be better off on a slow target.
func (e *engine) place(now float64, svc *service, out *Decisions) {
	if svc.queue.queued == 0 {
		return
	}
	p := placer{e: e, svc: svc, now: now, out: out}
	p.open = svc.collect(now)
	if p.open == 0 && !svc.queue.hasBatch(e) {
		return
	}
	svc.queue.walk(e.opts.Lookahead, p.visit)
	for _, t := range svc.usable {
		if t.touched {
			t.touched = false
			t.validUntil = 0
		}
	}
}

// collect refreshes the usable targets and returns the number that can take a
// task now.
func (s *service) collect(now float64) int {
	s.usable = s.usable[:0]
	open := 0
	for _, t := range s.targets {
		if !t.usable(now) {
			continue
		}
		t.refresh(now)
		s.usable = append(s.usable, t)
		if t.open(now) {
			open++
		}
	}
	return open
}

// horizon returns the latest time at which a slot may become free for a task
// that is sent now.
func (t *target) horizon(now float64) float64 { return now + prefetchTrips*t.delay }

func (t *target) open(now float64) bool {
	return t.slots[0] <= t.horizon(now) && len(t.out) < t.limit(now)
}

type placer struct {
	e    *engine
	svc  *service
	now  float64
	out  *Decisions
	open int
}

func (p *placer) visit(j *job, index int) (take, stop bool) {
	if p.open == 0 && !j.batch(p.e) {
		return false, true
	}
	p.svc.renew(j, index)
	work := j.tasks[index].work * p.svc.ratio.mean
	t, _ := p.best(j, work)
	if t == nil {
		return false, false
	}
	start := math.Max(p.now+t.delay, t.slots[0])
	wasOpen := t.open(p.now)
	why := p.allow(t, j, start)
	if why != "" {
		p.e.send(p.now, t, j, index, why, p.out).start = start
	} else {
		t.touched = true
	}
	replaceMin(t.slots, start+work*t.slow)
	if wasOpen && !t.open(p.now) {
		p.open--
	}
	return why != "", false
}

// best returns the target with the earliest expected finish of the work.
func (p *placer) best(j *job, work float64) (*target, float64) {
	var best *target
	finish := math.Inf(1)
	for _, t := range p.svc.usable {
		f := math.Max(p.now+t.delay, t.slots[0]) + work*t.slow + t.delay
		if f < finish && len(t.out) < t.limit(p.now) && (j.allowed == nil || j.allowed(t.ID)) {
			best, finish = t, f
		}
	}
	return best, finish
}

// allow returns why the task may be sent now, or "" when it has to wait.
func (p *placer) allow(t *target, j *job, start float64) string {
	ahead := len(t.out) - t.Slots
	switch {
	case t.health.ejected:
		return WhyProbe
	case t.slots[0] <= p.now+t.delay && ahead < 0:
		return whyEarliest
	case t.slots[0] <= t.horizon(p.now) && ahead < p.e.opts.Prefetch:
		return whyPrefetch
	case j.batch(p.e) && ahead < p.e.opts.BatchDepth*t.Slots && start-p.now < aheadShare*j.rest(p.svc):
		return whyAhead
	}
	return ""
}

// rest returns the expected time in seconds that the waiting tasks of j take
// at least.
func (j *job) rest(svc *service) float64 {
	if len(j.wait) == 0 || svc.rate == 0 {
		return 0
	}
	return j.flow.work * svc.ratio.mean / svc.rate
}

func (e *engine) send(now float64, t *target, j *job, index int, why string, out *Decisions) *attempt {
	a := &attempt{job: j, index: index, sent: now, batch: j.batch(e)}
	t.out = append(t.out, a)
	j.tasks[index].target = t
	j.sent++
	j.client.running++
	mode := ReportEach
	if a.batch {
		mode = ReportBatch
	}
	out.Assign = append(out.Assign, Assignment{
		Task: TaskRef{j.handle, index}, Target: t.ID, Report: mode, Why: why,
	})
	return a
}

// groupAssignments makes assignments of one target and report mode adjacent.
func groupAssignments(list []Assignment) {
	if len(list) > 1 {
		slices.SortStableFunc(list, func(a, b Assignment) int {
			return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Report, b.Report))
		})
	}
}

// revoke takes back tasks that wait at a target when another one would finish
// them clearly sooner. It acts only when nothing waits at the owner, since
// waiting work is cheaper to move.
func (e *engine) revoke(now float64, svc *service, out *Decisions) {
	if svc.queue.queued > 0 && svc.ejected == 0 {
		return
	}
	collected := false
	for _, t := range svc.targets {
		if len(t.out) <= 1 && !t.health.ejected {
			continue
		}
		t.refresh(now)
		for i := len(t.out) - 1; i >= 0; i-- {
			a := t.out[i]
			if a.revoking || a.job.removed || a.start <= now+t.delay {
				continue
			}
			if !collected {
				svc.collect(now)
				collected = true
			}
			if !e.worthRevoking(now, svc, t, a) {
				break
			}
			a.revoking = true
			out.Revoke = append(out.Revoke, Revocation{TaskRef{a.job.handle, a.index}, t.ID})
		}
	}
	for _, t := range svc.usable {
		if t.touched {
			t.touched = false
			t.validUntil = 0
		}
	}
}

func (e *engine) worthRevoking(now float64, svc *service, t *target, a *attempt) bool {
	if t.health.ejected {
		return true
	}
	work := a.job.tasks[a.index].work * svc.ratio.mean
	old := a.start + work*t.slow + t.delay - now
	p := placer{e: e, svc: svc, now: now + 2*t.delay}
	other, finish := p.best(a.job, work)
	if other == nil || other == t || !other.open(now) {
		return false
	}
	if d := finish - now; d*e.opts.RevokeGain > old || old-d < e.opts.RevokeMin.Seconds() {
		return false
	}
	replaceMin(other.slots, finish-other.delay)
	other.touched = true
	return true
}
