package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/model"
)

// Admit implements Policy. A job is refused when no target can run it, when
// its client has too many waiting tasks, or when its answer is not expected
// before its deadline.
func (e *engine) Admit(at time.Time, in Job, skip func(index int) bool) Admission {
	now := e.seconds(at)
	svc := e.services[in.Service]
	if svc == nil || !svc.suits(in.Allowed) {
		return Admission{Reason: model.ReasonNoSuitable}
	}
	svc.measure(now)
	c := e.client(in.Client)
	j := newJob(now, e.seconds(in.Deadline), in, svc, c, e.opts.BatchTasks, skip)
	if c.queued+len(j.wait) > c.maxQueued && c.queued > 0 || len(j.wait) > c.maxQueued {
		return Admission{Reason: model.ReasonQuota, RetryAfter: e.retryAfter(svc.wait(j.flow))}
	}
	run := j.makespan(svc)
	j.rank = j.rankAt(now, run)
	left := j.deadline - now
	if left <= 0 {
		return Admission{Reason: model.ReasonDeadline}
	}
	wait := svc.wait(j.flow)
	if wait*e.opts.WaitMargin+run*e.opts.RunMargin > left {
		wait = min(wait, svc.waitBefore(j.rank))
	}
	if need := wait*e.opts.WaitMargin + run*e.opts.RunMargin; svc.rate > 0 && need > left && svc.all.n > 0 {
		reason := model.ReasonOverload
		if run > left {
			reason = model.ReasonDeadline
		}
		return Admission{Reason: reason, RetryAfter: e.retryAfter(need - left)}
	}
	e.jobs[in.Handle] = j
	if len(j.wait) > 0 {
		svc.queue.add(j)
	}
	return Admission{Admitted: true}
}

func newJob(now, deadline float64, in Job, svc *service, c *client, batchTasks int, skip func(int) bool) *job {
	j := &job{
		handle: in.Handle, client: c, svc: svc,
		deadline: deadline, arrival: now, allowed: in.Allowed,
		tasks: make([]task, len(in.Tasks)), wait: make([]int32, 0, len(in.Tasks)),
	}
	j.flow = svc.queue.flowOf(c, len(in.Tasks) >= batchTasks)
	for i := range in.Tasks {
		j.tasks[i] = task{declared: in.Tasks[i].Expected.Seconds()}
		j.predict(i)
		if skip == nil || !skip(i) {
			j.wait = append(j.wait, int32(i))
		}
	}
	// The longest tasks go first, since the last one decides the answer.
	slices.SortStableFunc(j.wait, func(a, b int32) int {
		return cmp.Compare(j.tasks[b].work, j.tasks[a].work)
	})
	return j
}

// bulkPatience is the number of makespans by which a large job lets later,
// smaller ones go first.
const bulkPatience = 10

// rankAt returns the rank of a new job in seconds, see fairQueue. A large job
// loses little by each small one that goes first. Near its deadline it waits no
// longer.
func (j *job) rankAt(now, run float64) float64 {
	patience := 1.0
	if len(j.wait) > 1 {
		// The excess of the makespan over that of the longest task is bulk.
		longest := j.svc.ratio.mean * j.tasks[j.wait[0]].work * j.svc.fastest
		patience += bulkPatience * math.Max(0, 1-longest/math.Max(run, longest))
	}
	return math.Max(now+run, math.Min(now+patience*run, j.deadline-2*run))
}

// makespan returns the expected time in seconds that the waiting tasks take on
// the whole service.
func (j *job) makespan(svc *service) float64 {
	if len(j.wait) == 0 || svc.rate == 0 {
		return 0
	}
	sum := 0.0
	for _, i := range j.wait {
		sum += j.tasks[i].work
	}
	longest := j.tasks[j.wait[0]].work
	return svc.ratio.mean * math.Max(sum/svc.rate, longest*svc.fastest)
}

// wait returns the expected time in seconds until the present queue no longer
// delays a new job of the flow: with fair queueing, the time to serve all
// waiting work or the flow's own at its share, whichever is shorter.
func (s *service) wait(own *flow) float64 {
	if s.rate == 0 {
		return 0
	}
	shares := own.client.share
	for _, f := range s.queue.active {
		if f != own {
			shares += f.client.share
		}
	}
	return s.ratio.mean * math.Min(s.queue.work, own.work*shares/own.client.share) / s.rate
}

// waitBefore returns the expected time in seconds to serve the waiting jobs
// that rank before a new one. Large jobs rank behind small ones.
func (s *service) waitBefore(rank float64) float64 {
	if s.rate == 0 {
		return 0
	}
	work := 0.0
	for _, f := range s.queue.active {
		for _, j := range f.jobs {
			if j.rank > rank {
				break
			}
			work += j.waiting
		}
	}
	return s.ratio.mean * work / s.rate
}

// retryAfter returns a time around seconds, with jitter so that refused
// callers do not return at the same time.
func (e *engine) retryAfter(seconds float64) time.Duration {
	d := time.Duration(seconds * (0.5 + e.rng.Float64()) * float64(time.Second))
	low := time.Duration(float64(e.opts.RetryMin) * (0.75 + 0.5*e.rng.Float64()))
	return min(max(d, low), e.opts.RetryMax)
}

// expire drops jobs whose next task can no longer finish in time.
func (e *engine) expire(now float64, svc *service, out *Decisions) {
	if now < svc.nextExpiry || svc.queue.queued == 0 {
		return
	}
	svc.nextExpiry = now + expiryInterval
	for _, f := range svc.queue.active {
		for _, j := range f.jobs {
			switch {
			case !svc.suits(j.allowed):
				svc.drop(out, j, model.ReasonNoSuitable)
			case now+j.tasks[j.wait[0]].work*svc.fastest > j.deadline:
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

// suits reports whether any target in the list may run a job.
func (s *service) suits(allowed func(TargetID) bool) bool {
	for _, t := range s.targets {
		if allowed == nil || allowed(t.ID) {
			return true
		}
	}
	return false
}
