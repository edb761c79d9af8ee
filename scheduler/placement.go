package scheduler

import (
	"cmp"
	"math"
	"slices"
)

// ReasonProbe is the reason of an assignment to an ejected target.
const ReasonProbe = "probe of an ejected target"

// Reasons of an assignment, shown to operators.
const (
	reasonFreeSlot   = "fastest target with a free slot"
	reasonPrefetch   = "slot expected to be free within a round trip"
	reasonAgentQueue = "queue at the agent shorter than the wait here"
	reasonSendAhead  = "sent ahead in a batch of a large job"
)

// sendAheadShare is the share of a large job's remaining time whose tasks may be
// sent ahead. Sending half of the remainder each time makes the last batches
// small, so that errors of the estimates even out.
const sendAheadShare = 0.5

// runRiskWeight is the extra weight of the run time when targets are compared by
// expected finish, for the risk that a task runs longer than expected
// (docs/policy.md).
const runRiskWeight = 1

// maxTasksPerSlot is the maximum number of tasks per slot of a target that a large
// job sends at a time if that is more than BatchChunk. It is small because tasks
// of other jobs wait behind them.
const maxTasksPerSlot = 2

const (
	// maxCandidates is the maximum number of targets that are compared for a task,
	// out of those that can take one now, fastest first.
	maxCandidates = 48
	// minSpeedRatio is the minimum ratio of speeds for which a task may wait for a
	// faster target. Estimates of equal speeds differ by about 10%.
	minSpeedRatio = 1.2
	// collisionWeight multiplies the expected wait caused by tasks that other
	// gateways sent to the same slots (docs/policy.md).
	collisionWeight = 4
)

// place assigns queued tasks of a service in the order in which they would be
// served. A task goes to the fastest target with a free slot, unless it is
// expected to finish sooner by waiting for a faster one. Each task that waits
// lengthens the wait of those behind it, so that with a long queue slow targets
// are used too.
func (e *engine) place(now float64, svc *service, out *Decisions) {
	if svc.queue.queued == 0 {
		return
	}
	p := placer{e: e, svc: svc, now: now, out: out, meanWork: svc.meanWork()}
	first := len(out.Assign)
	svc.queue.capacity = svc.capacity / svc.runRatio.mean
	need := svc.queue.queued + maxCandidates
	if svc.queue.hasLargeJob(e) {
		need = math.MaxInt
	}
	svc.collectUsable(now, e.opts.Prefetch, need)
	svc.queue.walk(e.opts.Lookahead, p.visit)
	for i := range out.Assign[first:] {
		a := &out.Assign[first+i]
		if a.Report == ReportBatch && len(e.jobs[a.Task.Job].queuedTasks) == 0 {
			a.Report = ReportLast
		}
	}
}

// collectUsable lists the usable targets, fastest first, and sets their fields that
// are valid within one Decide: the number of tasks that each can take now and the
// completion rates from which shouldWait estimates a wait. It returns the number
// of tasks that all of them can take, and stops when that reaches need.
func (s *service) collectUsable(now float64, prefetch, need int) int {
	s.usable = s.usable[:0]
	available := 0
	completionRate, speedSum := 0.0, 0.0
	s.ownCompletionRate = 0
	mean := s.meanWork()
	for _, t := range s.ranked {
		if available >= need {
			break
		}
		if !t.usable(now) {
			continue
		}
		t.refresh(now)
		s.usable = append(s.usable, t)
		t.foreignExpected, t.foreignScale = t.foreignNow(now)
		t.cachedCollisionCost = -1
		t.hasIdleSlot = t.active < t.Slots
		t.fasterCompletionRate, t.fasterSpeedSum, t.sentInDecide = completionRate, speedSum, 0
		rate := float64(min(t.active, t.Slots)) / (mean * t.slowness)
		if float64(t.active)+t.foreignExpected > float64(t.Slots)+1 {
			// Tasks in the agent's queue take the slots that become free.
			rate = 0
		}
		completionRate += rate
		speedSum += rate / t.slowness
		if rate > 0 {
			s.ownCompletionRate += float64(min(len(t.outstanding)-t.outstandingLarge, t.Slots)) / (mean * t.slowness)
		}
		t.available = t.freeSlots(now)
		if t.available == 0 && len(t.outstanding) < t.limit(now) {
			// The report of a free slot and the next start take one network delay
			// each. A slot that becomes free in that time would stay idle, so tasks
			// are sent ahead for it.
			prefetched := min(prefetch, int(2*t.delay*rate+0.5))
			t.available = max(0, prefetched-max(0, t.active-t.Slots))
		}
		available += t.available
	}
	return available
}

// freeSlots returns the number of slots that are expected to be free.
func (t *target) freeSlots(now float64) int {
	free := int(float64(t.Slots-t.active) - t.foreignExpected + 0.5)
	return max(0, min(free, t.limit(now)-len(t.outstanding)))
}

// placer assigns the queued tasks of one service in one Decide.
type placer struct {
	e   *engine
	svc *service
	now float64
	out *Decisions
	// meanWork is the mean work of a task.
	meanWork float64
	// firstAvailable is the position of the first usable target that can take a
	// task. addedCompletionRate is the completion rate of the tasks that this
	// Decide has assigned to the targets before it, and addedSpeedSum the same rate
	// weighted by the speed of the targets.
	firstAvailable                     int
	addedCompletionRate, addedSpeedSum float64
	// deferred is the number of visited tasks that stay queued.
	deferred int
}

// visit decides about one queued task, see fairQueue.walk. It stops the walk when
// no target can take another task of a small job.
func (p *placer) visit(j *job, index int) (take, stop bool) {
	p.svc.refreshPrediction(j, index)
	work := j.tasks[index].work * p.svc.runRatio.mean
	if j.isLarge(p.e) {
		return p.visitLargeJob(j, index, work), false
	}
	t := p.bestAvailable(j, work)
	if t == nil {
		t = p.agentQueueTarget(j, work)
		if t != nil {
			p.assign(t, j, index, work, reasonAgentQueue)
			return true, false
		}
	}
	if t == nil || p.shouldWait(t, work) {
		p.deferred++
		return false, p.firstAvailable == len(p.svc.usable)
	}
	reason := reasonFreeSlot
	switch {
	case t.health.ejected:
		reason = ReasonProbe
	case t.active >= t.Slots:
		reason = reasonPrefetch
	}
	t.available--
	p.assign(t, j, index, work, reason)
	return true, false
}

// agentQueueTarget returns a target without a free slot in whose agent's queue the
// task would start sooner than in the queue of this gateway, or nil. Without it,
// the tasks of a gateway that has few tasks running could starve: it learns of few
// free slots, and other gateways keep the agents' queues filled.
func (p *placer) agentQueueTarget(j *job, work float64) *target {
	t, finish := p.earliestFinish(j, work)
	if t == nil || len(t.outstanding)-t.outstandingLarge >= t.Slots+p.e.opts.Prefetch {
		return nil
	}
	start := finish - t.delay - work*t.slowness - p.now
	if start*p.svc.ownCompletionRate >= float64(p.deferred+1) || p.now+start+work*t.slowness > j.deadline {
		return nil
	}
	return t
}

// visitLargeJob decides about a task of a large job and reports whether it is sent
// now. Each task is planned for the slot on which it finishes first, whether free
// now or later. Tasks are sent to a target in chunks: when the target has an idle
// slot, it gets BatchChunk tasks, or more if they start in the first half of the
// job's remaining time.
func (p *placer) visitLargeJob(j *job, index int, work float64) (take bool) {
	t, finish := p.earliestFinish(j, work)
	if t == nil {
		return false
	}
	start := finish - t.delay - work*t.slowness
	maxTasks := p.e.opts.BatchChunk
	if start-p.now < sendAheadShare*j.remainingTime(p.svc) {
		maxTasks = max(maxTasks, maxTasksPerSlot*t.Slots)
	}
	if !t.hasIdleSlot || t.sentInDecide >= maxTasks {
		// Reserve the slot in the simulation, so that the tasks behind plan around
		// it. The reservation is discarded at the next refresh.
		replaceMin(t.slotFreeAt, finish-t.delay)
		t.validUntil = 0
		return false
	}
	t.available = max(0, t.available-1)
	p.assign(t, j, index, work, reasonSendAhead)
	return true
}

// assign sends the task to t and occupies the slot of t that becomes free first.
func (p *placer) assign(t *target, j *job, index int, work float64, reason string) {
	start := math.Max(p.now+t.delay, t.slotFreeAt[0])
	p.e.send(p.now, t, j, index, reason, p.out).start = start
	t.sentInDecide++
	replaceMin(t.slotFreeAt, start+work*t.slowness)
}

// bestAvailable returns the target with the least expected time for the work,
// among those that can take a task now, may run j and are expected to finish
// before its deadline, or nil.
func (p *placer) bestAvailable(j *job, work float64) *target {
	list := p.svc.usable
	for p.firstAvailable < len(list) && list[p.firstAvailable].available == 0 {
		full := list[p.firstAvailable]
		rate := float64(full.sentInDecide) / (p.meanWork * full.slowness)
		p.addedCompletionRate += rate
		p.addedSpeedSum += rate / full.slowness
		p.firstAvailable++
	}
	var best *target
	cost := math.Inf(1)
	seen := 0
	for _, t := range list[p.firstAvailable:] {
		if t.available == 0 || (j.allowed != nil && !j.allowed(t.ID)) || p.now+2*t.delay+work*t.slowness > j.deadline {
			continue
		}
		if t.cachedCollisionCost < 0 {
			t.cachedCollisionCost = t.collisionCost(p.meanWork)
		}
		if c := work*t.slowness + 2*t.delay + t.cachedCollisionCost; c < cost {
			best, cost = t, c
		}
		if seen++; seen == maxCandidates {
			break
		}
	}
	return best
}

// collisionCost returns the expected time in seconds that one more task would wait
// at the agent because other gateways may have filled the slots since the last
// report, times collisionWeight. The weight makes gateways spread over targets of
// similar speed. mean is the mean work of a task.
func (t *target) collisionCost(mean float64) float64 {
	excess := float64(t.active+1-t.Slots) + t.foreignExpected
	// The mean of max(0, excess) for a logistic distribution of the tasks of other
	// gateways.
	if t.foreignScale > 0.01 {
		excess = t.foreignScale * math.Log1p(math.Exp(excess/t.foreignScale))
	}
	return collisionWeight * math.Max(0, excess) * mean * t.slowness / float64(t.Slots)
}

// shouldWait reports whether the task should wait for a target that is faster than
// t. This gateway's tasks on the faster targets end at fasterCompletionRate plus
// addedCompletionRate, and the deferred tasks are ahead of this one. The expected
// wait is multiplied by t.waitCost, since it also delays the tasks behind.
func (p *placer) shouldWait(t *target, work float64) bool {
	completionRate, speedSum := t.fasterCompletionRate+p.addedCompletionRate, t.fasterSpeedSum+p.addedSpeedSum
	if completionRate == 0 {
		return false
	}
	fasterSlowness := completionRate / speedSum
	if t.slowness < minSpeedRatio*fasterSlowness {
		return false
	}
	wait := float64(p.deferred+1) / completionRate
	return t.waitCost*wait+work*fasterSlowness < work*t.slowness
}

// earliestFinish returns the target on which the work finishes first, and the time
// at which the finish is expected there. For the comparison, the run time counts
// 1+runRiskWeight times: a task may run much longer than expected, and a slower
// target multiplies the excess.
func (p *placer) earliestFinish(j *job, work float64) (*target, float64) {
	var best *target
	least := math.Inf(1)
	for _, t := range p.svc.usable {
		f := math.Max(p.now+t.delay, t.slotFreeAt[0]) + (1+runRiskWeight)*work*t.slowness + t.delay
		if f < least && len(t.outstanding) < t.limit(p.now) && (j.allowed == nil || j.allowed(t.ID)) {
			best, least = t, f
		}
	}
	if best == nil {
		return nil, least
	}
	return best, least - runRiskWeight*work*best.slowness
}

// remainingTime returns the expected time in seconds that the whole service takes
// for the queued tasks of j's flow, or 0 when j has none.
func (j *job) remainingTime(svc *service) float64 {
	if len(j.queuedTasks) == 0 || svc.capacity == 0 {
		return 0
	}
	return j.flow.queuedWork * svc.runRatio.mean / svc.capacity
}

// send records an attempt of the task at t and adds the assignment to out.
func (e *engine) send(now float64, t *target, j *job, index int, reason string, out *Decisions) *attempt {
	a := &attempt{job: j, index: index, sent: now, batch: j.isLarge(e)}
	t.outstanding = append(t.outstanding, a)
	t.active++
	if a.batch {
		t.outstandingLarge++
	}
	j.tasks[index].target = t
	j.outstanding++
	j.client.running++
	mode := ReportEach
	if a.batch {
		mode = ReportBatch
	}
	out.Assign = append(out.Assign, Assignment{
		Task: TaskRef{j.handle, index}, Target: t.ID, Report: mode, Reason: reason,
	})
	return a
}

// groupAssignments sorts assignments so that those with the same target and
// report mode are adjacent.
func groupAssignments(list []Assignment) {
	if len(list) > 1 {
		slices.SortStableFunc(list, func(a, b Assignment) int {
			return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Report, b.Report))
		})
	}
}
