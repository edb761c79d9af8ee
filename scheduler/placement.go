package scheduler

import (
	"cmp"
	"math"
	"slices"
)

// ReasonProbe is the reason of an assignment to an ejected target.
const ReasonProbe = "probe of an ejected target"

// Reasons for an assignment, for the operator.
const (
	whyFree     = "fastest target with a free slot"
	whyPrefetch = "slot expected to be free within a round trip"
	whyQueue    = "queue at the agent shorter than the wait here"
	whyAhead    = "sent ahead in a batch of a large job"
)

// aheadShare is the share of a large job's remaining time for which tasks are
// sent ahead. Sending half of the rest each time keeps the last batches small,
// so that errors of the estimates even out.
const aheadShare = 0.5

// runCaution is the weight of the risk that a task of a large job runs longer
// than expected (docs/policy.md).
const runCaution = 1

// chunkSlots bounds the tasks sent at a time in multiples of the slots, since
// the tasks of other jobs wait behind them.
const chunkSlots = 2

const (
	// openChoices bounds the targets with room that are compared for a task, in
	// order of speed.
	openChoices = 48
	// noticeable is the least ratio of speeds for which waiting is considered;
	// estimates of equal speeds differ by about 10%.
	noticeable = 1.2
	// collisionWeight weighs the expected wait after a collision (docs/policy.md).
	collisionWeight = 4
)

// place assigns waiting tasks of a service in the order in which they would be
// served. A task goes to the fastest target with a free slot, unless it does
// better to wait for a faster one; each task that waits makes waiting longer
// for those behind it, so that a long queue makes slow targets worth using.
func (e *engine) place(now float64, svc *service, out *Decisions) {
	if svc.queue.queued == 0 {
		return
	}
	p := placer{e: e, svc: svc, now: now, out: out, mean: svc.meanWork()}
	first := len(out.Assign)
	svc.queue.rate = svc.rate / svc.ratio.mean
	need := svc.queue.queued + openChoices
	if svc.queue.hasBatch(e) {
		need = math.MaxInt
	}
	svc.collect(now, e.opts.Prefetch, need)
	svc.queue.walk(e.opts.Lookahead, p.visit)
	for i := range out.Assign[first:] {
		a := &out.Assign[first+i]
		if a.Report == ReportBatch && len(e.jobs[a.Task.Job].wait) == 0 {
			a.Report = ReportLast
		}
	}
}

// collect lists the usable targets, the fastest first, with what is needed to
// judge whether a task should wait, and returns the number of tasks that they
// can take now. It stops when that number reaches need.
func (s *service) collect(now float64, prefetch, need int) int {
	s.usable = s.usable[:0]
	open := 0
	ends, speed := 0.0, 0.0
	s.ownEnds = 0
	mean := s.meanWork()
	for _, t := range s.ranked {
		if open >= need {
			break
		}
		if !t.usable(now) {
			continue
		}
		t.refresh(now)
		s.usable = append(s.usable, t)
		t.foreignSeen, t.foreignWidth = t.foreignNow(now)
		t.collision = -1
		t.hungry = t.active < t.Slots
		t.fasterEnds, t.fasterSpeed, t.sent = ends, speed, 0
		rate := float64(min(t.active, t.Slots)) / (mean * t.slow)
		if float64(t.active)+t.foreignSeen > float64(t.Slots)+1 {
			// Tasks that wait at the agent take the slots that become free.
			rate = 0
		}
		ends += rate
		speed += rate / t.slow
		if rate > 0 {
			s.ownEnds += float64(min(len(t.out)-t.batchOut, t.Slots)) / (mean * t.slow)
		}
		t.room = t.freeSlots(now)
		if t.room == 0 && len(t.out) < t.limit(now) {
			// The report of a free slot and the next start take two delays; tasks
			// that are expected to end in that time leave slots idle.
			ahead := min(prefetch, int(2*t.delay*rate+0.5))
			t.room = max(0, ahead-max(0, t.active-t.Slots))
		}
		open += t.room
	}
	return open
}

// freeSlots returns the number of slots that are expected to be free.
func (t *target) freeSlots(now float64) int {
	free := int(float64(t.Slots-t.active) - t.foreignSeen + 0.5)
	return max(0, min(free, t.limit(now)-len(t.out)))
}

type placer struct {
	e   *engine
	svc *service
	now float64
	out *Decisions
	// mean is the mean work of a task.
	mean float64
	// first is the position of the first usable target with room; ends and speed
	// are the rates that this Decide has added on those before.
	first       int
	ends, speed float64
	// held is the number of tasks passed that wait.
	held int
}

func (p *placer) visit(j *job, index int) (take, stop bool) {
	p.svc.renew(j, index)
	work := j.tasks[index].work * p.svc.ratio.mean
	if j.batch(p.e) {
		return p.visitBatch(j, index, work), false
	}
	t := p.open(j, work)
	if t == nil {
		t = p.queueAt(j, work)
		if t != nil {
			p.assign(t, j, index, work, whyQueue)
			return true, false
		}
	}
	if t == nil || p.shouldWait(t, work) {
		p.held++
		return false, p.first == len(p.svc.usable)
	}
	why := whyFree
	switch {
	case t.health.ejected:
		why = ReasonProbe
	case t.active >= t.Slots:
		why = whyPrefetch
	}
	t.room--
	p.assign(t, j, index, work, why)
	return true, false
}

// queueAt returns a target without room at whose agent the task would start
// sooner than by waiting here, or nil. A gateway with few tasks of its own
// hears of few free slots; while other gateways keep the agents' queues filled,
// its tasks would wait here without end.
func (p *placer) queueAt(j *job, work float64) *target {
	t, finish := p.best(j, work)
	if t == nil || len(t.out)-t.batchOut >= t.Slots+p.e.opts.Prefetch {
		return nil
	}
	start := finish - t.delay - work*t.slow - p.now
	if start*p.svc.ownEnds >= float64(p.held+1) || p.now+start+work*t.slow > j.deadline {
		return nil
	}
	return t
}

// visitBatch decides about a task of a large job. Each task takes the slot on
// which it ends first, now or later. The tasks for a target are sent in chunks:
// when it has a free slot, it gets those that start in the first half of the
// job's remaining time, and not fewer than a chunk.
func (p *placer) visitBatch(j *job, index int, work float64) (take bool) {
	t, finish := p.best(j, work)
	if t == nil {
		return false
	}
	start := finish - t.delay - work*t.slow
	most := p.e.opts.BatchChunk
	if start-p.now < aheadShare*j.rest(p.svc) {
		most = max(most, chunkSlots*t.Slots)
	}
	if !t.hungry || t.sent >= most {
		// The slot is taken in the model only, for the tasks behind.
		replaceMin(t.slots, finish-t.delay)
		t.validUntil = 0
		return false
	}
	t.room = max(0, t.room-1)
	p.assign(t, j, index, work, whyAhead)
	return true
}

func (p *placer) assign(t *target, j *job, index int, work float64, why string) {
	start := math.Max(p.now+t.delay, t.slots[0])
	p.e.send(p.now, t, j, index, why, p.out).start = start
	t.sent++
	replaceMin(t.slots, start+work*t.slow)
}

// open returns the target with room that may run j, is expected to end the work
// before the deadline, and has the least expected time for it, or nil.
func (p *placer) open(j *job, work float64) *target {
	list := p.svc.usable
	for p.first < len(list) && list[p.first].room == 0 {
		full := list[p.first]
		rate := float64(full.sent) / (p.mean * full.slow)
		p.ends += rate
		p.speed += rate / full.slow
		p.first++
	}
	var best *target
	cost := math.Inf(1)
	seen := 0
	for _, t := range list[p.first:] {
		if t.room == 0 || (j.allowed != nil && !j.allowed(t.ID)) || p.now+2*t.delay+work*t.slow > j.deadline {
			continue
		}
		if t.collision < 0 {
			t.collision = t.collisionCost(p.mean)
		}
		if c := work*t.slow + 2*t.delay + t.collision; c < cost {
			best, cost = t, c
		}
		if seen++; seen == openChoices {
			break
		}
	}
	return best
}

// collisionCost returns the expected time in seconds that one more task waits
// at the agent, since other gateways may have filled the slots since the last
// report. It is weighted, so that gateways spread over targets of like speed.
func (t *target) collisionCost(mean float64) float64 {
	excess := float64(t.active+1-t.Slots) + t.foreignSeen
	if t.foreignWidth > 0.01 {
		excess = t.foreignWidth * math.Log1p(math.Exp(excess/t.foreignWidth))
	}
	return collisionWeight * math.Max(0, excess) * mean * t.slow / float64(t.Slots)
}

// shouldWait reports whether a task does better to wait for a target that is
// faster than t. The own tasks there end at the rate fasterEnds, and held tasks
// come before this one. The wait counts with a price, since it delays the tasks
// behind as well.
func (p *placer) shouldWait(t *target, work float64) bool {
	ends, speed := t.fasterEnds+p.ends, t.fasterSpeed+p.speed
	if ends == 0 {
		return false
	}
	faster := ends / speed
	if t.slow < noticeable*faster {
		return false
	}
	wait := float64(p.held+1) / ends
	return t.price*wait+work*faster < work*t.slow
}

// best returns the target with the earliest cautious finish of the work, and
// the expected finish there. A task may take much longer than expected, and the
// longer, the slower the target; so the run time counts 1 + runCaution times.
func (p *placer) best(j *job, work float64) (*target, float64) {
	var best *target
	least := math.Inf(1)
	for _, t := range p.svc.usable {
		f := math.Max(p.now+t.delay, t.slots[0]) + (1+runCaution)*work*t.slow + t.delay
		if f < least && len(t.out) < t.limit(p.now) && (j.allowed == nil || j.allowed(t.ID)) {
			best, least = t, f
		}
	}
	if best == nil {
		return nil, least
	}
	return best, least - runCaution*work*best.slow
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
	t.active++
	if a.batch {
		t.batchOut++
	}
	j.tasks[index].target = t
	j.sent++
	j.client.running++
	mode := ReportEach
	if a.batch {
		mode = ReportBatch
	}
	out.Assign = append(out.Assign, Assignment{
		Task: TaskRef{j.handle, index}, Target: t.ID, Report: mode, Reason: why,
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
