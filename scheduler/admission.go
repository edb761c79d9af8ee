package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/model"
)

// Admit implements Policy. It refuses a job that no target may run, that would
// exceed its client's limit on queued tasks, or that is not expected to finish
// before its deadline.
func (e *engine) Admit(at time.Time, in Job, skip func(index int) bool) Admission {
	now := e.seconds(at)
	svc := e.services[in.Service]
	if svc == nil || !svc.hasAllowedTarget(in.Allowed) {
		return Admission{Reason: model.ReasonNoSuitable}
	}
	svc.updateCapacity(now)
	c := e.client(in.Client)
	j := newJob(now, e.seconds(in.Deadline), in, svc, c, e.opts.BatchTasks, skip)
	if c.queued+len(j.queuedTasks) > c.maxQueued && c.queued > 0 || len(j.queuedTasks) > c.maxQueued {
		return Admission{Reason: model.ReasonQuota, RetryAfter: e.retryAfter(svc.expectedWait(j.flow))}
	}
	run := j.makespan(svc)
	j.rank = j.rankAt(now, run)
	left := j.deadline - now
	if left <= 0 {
		return Admission{Reason: model.ReasonDeadline}
	}
	wait := svc.expectedWait(j.flow)
	if wait*e.opts.WaitMargin+run*e.opts.RunMargin > left {
		wait = min(wait, svc.expectedWaitBefore(j.rank))
	}
	if need := wait*e.opts.WaitMargin + run*e.opts.RunMargin; svc.capacity > 0 && need > left && svc.overallWork.n > 0 {
		reason := model.ReasonOverload
		if run > left {
			reason = model.ReasonDeadline
		}
		return Admission{Reason: reason, RetryAfter: e.retryAfter(need - left)}
	}
	e.jobs[in.Handle] = j
	if len(j.queuedTasks) > 0 {
		svc.queue.add(j)
	}
	return Admission{Admitted: true}
}

func newJob(now, deadline float64, in Job, svc *service, c *client, batchTasks int, skip func(int) bool) *job {
	j := &job{
		handle: in.Handle, client: c, svc: svc,
		deadline: deadline, arrival: now, allowed: in.Allowed,
		tasks: make([]task, len(in.Tasks)), queuedTasks: make([]int32, 0, len(in.Tasks)),
	}
	j.flow = svc.queue.flowOf(c, len(in.Tasks) >= batchTasks)
	for i := range in.Tasks {
		j.tasks[i] = task{declaredRun: in.Tasks[i].Expected.Seconds()}
		j.predict(i)
		if skip == nil || !skip(i) {
			j.queuedTasks = append(j.queuedTasks, int32(i))
		}
	}
	// Longest processing time first: the job ends with its last task.
	slices.SortStableFunc(j.queuedTasks, func(a, b int32) int {
		return cmp.Compare(j.tasks[b].work, j.tasks[a].work)
	})
	return j
}

// largeJobDelayFactor is the number of its own makespans by which a job of many
// tasks ranks later, so that smaller jobs that arrive in that time are served
// before it.
const largeJobDelayFactor = 10

// rankAt returns the rank of a new job, the time in seconds by which fairQueue
// orders jobs: arrival plus makespan, plus up to largeJobDelayFactor makespans
// for a job of many tasks, which loses little when a small job overtakes it. The
// addition is cut so that the rank lies at least two makespans before the deadline.
func (j *job) rankAt(now, run float64) float64 {
	delayFactor := 1.0
	if len(j.queuedTasks) > 1 {
		// Scale with the part of the makespan that exceeds the longest task: 0 for
		// a job as long as one task, close to 1 for a job of many tasks.
		longest := j.svc.runRatio.mean * j.tasks[j.queuedTasks[0]].work * j.svc.minSlowness
		delayFactor += largeJobDelayFactor * math.Max(0, 1-longest/math.Max(run, longest))
	}
	return math.Max(now+run, math.Min(now+delayFactor*run, j.deadline-2*run))
}

// makespan returns the expected time in seconds that the job's queued tasks take
// when all targets of the service work on them.
func (j *job) makespan(svc *service) float64 {
	if len(j.queuedTasks) == 0 || svc.capacity == 0 {
		return 0
	}
	sum := 0.0
	for _, i := range j.queuedTasks {
		sum += j.tasks[i].work
	}
	longest := j.tasks[j.queuedTasks[0]].work
	return svc.runRatio.mean * math.Max(sum/svc.capacity, longest*svc.minSlowness)
}

// expectedWait returns the expected time in seconds until the current queue no
// longer delays a new job of the flow. With fair queueing that is the time to serve
// all queued work, or the time to serve the flow's own queued work at its share of
// the capacity, whichever is shorter.
func (s *service) expectedWait(own *flow) float64 {
	if s.capacity == 0 {
		return 0
	}
	shares := own.client.share
	for _, f := range s.queue.active {
		if f != own {
			shares += f.client.share
		}
	}
	return s.runRatio.mean * math.Min(s.queue.queuedWork, own.queuedWork*shares/own.client.share) / s.capacity
}

// expectedWaitBefore returns the expected time in seconds to serve the queued work
// of the jobs up to the given rank. It is shorter than expectedWait for a small
// job behind a large one that ranks later.
func (s *service) expectedWaitBefore(rank float64) float64 {
	if s.capacity == 0 {
		return 0
	}
	work := 0.0
	for _, f := range s.queue.active {
		for _, j := range f.jobs {
			if j.rank > rank {
				break
			}
			work += j.queuedWork
		}
	}
	return s.runRatio.mean * work / s.capacity
}

// retryAfter returns a retry delay of about the given number of seconds, with
// jitter so that refused callers do not retry all at the same time.
func (e *engine) retryAfter(seconds float64) time.Duration {
	d := time.Duration(seconds * (0.5 + e.rng.Float64()) * float64(time.Second))
	low := time.Duration(float64(e.opts.RetryMin) * (0.75 + 0.5*e.rng.Float64()))
	return min(max(d, low), e.opts.RetryMax)
}

// expire drops jobs that no target may run any more, and jobs whose next task
// could not finish before the deadline even on the fastest target.
func (e *engine) expire(now float64, svc *service, out *Decisions) {
	if now < svc.nextExpiry || svc.queue.queued == 0 {
		return
	}
	svc.nextExpiry = now + expiryInterval
	for _, f := range svc.queue.active {
		for _, j := range f.jobs {
			switch {
			case !svc.hasAllowedTarget(j.allowed):
				svc.drop(out, j, model.ReasonNoSuitable)
			case now+j.tasks[j.queuedTasks[0]].work*svc.minSlowness > j.deadline:
				svc.drop(out, j, model.ReasonDeadline)
			}
		}
	}
	for _, j := range svc.dropped {
		svc.queue.drop(j)
	}
	svc.dropped = svc.dropped[:0]
}

func (s *service) drop(out *Decisions, j *job, reason model.Reason) {
	s.dropped = append(s.dropped, j)
	out.Dropped = append(out.Dropped, Drop{j.handle, reason})
}

// hasAllowedTarget reports whether the service has a target that allowed accepts;
// nil accepts every target.
func (s *service) hasAllowedTarget(allowed func(TargetID) bool) bool {
	for _, t := range s.targets {
		if allowed == nil || allowed(t.ID) {
			return true
		}
	}
	return false
}
