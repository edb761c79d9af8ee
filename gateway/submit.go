package gateway

import (
	"context"
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/model"
	rhubarbsailv1 "github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/v1"
	"github.com/rhubarbsail/rhubarbsail/ownership"
	"github.com/rhubarbsail/rhubarbsail/scheduler"
)

// submission is a request to the owner of a job's partition to run the job.
type submission struct {
	job    *model.Job
	digest model.Digest
	// ctx carries the trace span of the caller.
	ctx context.Context
}

// submit decides about a submission: it attaches it to the running job of the same
// key, answers or refuses it, holds it back, or accepts a new job. The channel to
// must have a buffer for one reply.
func (e *engine) submit(now time.Time, s submission, to chan<- reply) {
	key := s.job.Key
	p := e.partitions[model.PartitionOf(key, len(e.partitions))]
	if p.epoch == 0 || p.handingOver {
		to <- reply{moved: true}
		return
	}
	if j := e.jobs[key]; j != nil && !j.mayRunAgain() {
		e.joinJob(now, j, s, to)
		return
	}
	if !e.mayDecide(now, p) {
		p.held = append(p.held, heldSubmission{submission: s, reply: to})
		return
	}
	if !e.validity.Valid(e.mono(now), p.id, p.epoch) {
		to <- reply{answer: ownershipUnconfirmed(e.opts.Ownership.Validity)}
		return
	}
	if e.opts.Ownership.TooOld(now, s.job.SubmittedAt) {
		to <- reply{answer: model.Failed(model.RunMayHaveRun, model.ReasonTooOld,
			"submitted_at is older than the time for which starts are remembered")}
		return
	}
	if k := p.inherited[key]; k != nil {
		delete(p.inherited, key)
		e.adopt(now, p, k, s, to)
		return
	}
	if p.takeover.Decide(e.clock(now), s.job.SubmittedAt) == ownership.MayHaveRun {
		to <- reply{answer: model.Failed(model.RunMayHaveRun, model.ReasonOwnerChanged,
			"the previous owner may have started this job on an agent whose records are missing")}
		return
	}
	e.accept(now, p, s, to)
}

// mayDecide reports whether the owner may decide about submissions: the takeover
// must be ready and the ownership confirmed by agents. If no confirmation arrives
// within the validity time after the claim, submissions are no longer held back,
// and submit refuses them.
func (e *engine) mayDecide(now time.Time, p *partition) bool {
	if p.takeover.State(e.mono(now)) != ownership.Ready {
		return false
	}
	return e.validity.Valid(e.mono(now), p.id, p.epoch) || now.Sub(p.claimedAt) >= e.opts.Ownership.Validity
}

// ownershipUnconfirmed returns the answer of an owner whose ownership no majority
// of agents confirms. Another owner may have run the job, so the state cannot be
// not_run.
func ownershipUnconfirmed(retry time.Duration) model.Answer {
	a := model.Failed(model.RunMayHaveRun, model.ReasonNoOwner,
		"the gateway cannot confirm its ownership of the key; submit the same key again")
	a.RetryAfter = retry
	return a
}

// joinJob answers a submission whose job is in the table, or adds it to the waiters
// of that job.
func (e *engine) joinJob(now time.Time, j *job, s submission, to chan<- reply) {
	switch {
	case j.digest != s.digest:
		to <- reply{answer: model.Failed(model.RunNotRun, model.ReasonConflict,
			"another job was submitted under this key; this one was not run")}
	case j.answered():
		to <- reply{answer: *j.answer}
	default:
		j.trace.add(now, "joined", wholeJob, "", "a resubmission waits for the same answer")
		j.waiters = append(j.waiters, to)
		if s.job.Deadline.After(j.deadline) {
			j.deadline = s.job.Deadline
			e.deadlines.push(j)
		}
	}
}

// accept adds a new job to the table if limits, rules and the policy admit it.
func (e *engine) accept(now time.Time, p *partition, s submission, to chan<- reply) {
	if e.finishingLocally {
		a := model.Failed(model.RunNotRun, model.ReasonShuttingDown, "the gateway is shutting down and no other gateway is known")
		a.RetryAfter = tableFullRetry
		to <- reply{answer: a}
		return
	}
	if len(e.jobs) >= e.opts.MaxJobs {
		a := model.Failed(model.RunNotRun, model.ReasonTableFull, "the gateway holds as many jobs as it may")
		a.RetryAfter = tableFullRetry
		to <- reply{answer: a}
		return
	}
	if a, refused := e.checkRules(now, s.job); refused {
		to <- reply{answer: a}
		return
	}
	j := newJob(s.job, s.digest, p.id, now)
	a := e.admit(now, j, nil)
	if !a.Admitted {
		to <- reply{answer: refusal(a)}
		return
	}
	j.trace.add(now, "accepted", wholeJob, "", "")
	e.addJob(j, s, to)
}

// refusal returns the answer for a job that the policy did not admit.
func refusal(a scheduler.Admission) model.Answer {
	out := model.Failed(model.RunNotRun, a.Reason, "the job was refused before any task started")
	out.RetryAfter = a.RetryAfter
	return out
}

// addJob adds a job to the table and starts its trace span.
func (e *engine) addJob(j *job, s submission, to chan<- reply) {
	j.waiters = append(j.waiters, to)
	j.span = startJobSpan(s.ctx, e.tracer, j)
	j.traceID = j.span.traceID()
	e.jobs[j.key] = j
	e.inProgress++
	e.deadlines.push(j)
}

// admit offers the job's waiting tasks to the policy under a new handle. If only is
// not nil, it offers only the task with that index.
func (e *engine) admit(now time.Time, j *job, only *int) scheduler.Admission {
	e.lastHandle++
	h := e.lastHandle
	cfg := e.snapshot.Config
	tasks := make([]scheduler.Task, len(j.spec.Tasks))
	for i := range tasks {
		tasks[i].Expected = j.spec.Tasks[i].Expected
	}
	service, client := j.spec.Service, j.key.Client
	a := e.policy.Admit(now, scheduler.Job{
		Handle: h, Client: client, Service: service, Deadline: j.deadline, Tasks: tasks,
		Allowed: func(t scheduler.TargetID) bool { return cfg.Allowed(service, client, string(t)) },
	}, func(i int) bool {
		return j.tasks[i].phase != taskWaiting || only != nil && *only != i
	})
	if a.Admitted {
		j.handles = append(j.handles, h)
		e.jobsByHandle[h] = j
	}
	return a
}

// requeue offers a task to the policy that an earlier owner had sent and that its
// agent did not start.
func (e *engine) requeue(now time.Time, j *job, index int) {
	if a := e.admit(now, j, &index); !a.Admitted {
		e.fail(j, now, a.Reason, "a task that was given back cannot be placed again in time")
	}
}

// adopt continues an inherited job after its resubmission.
func (e *engine) adopt(now time.Time, p *partition, k *inheritedJob, s submission, to chan<- reply) {
	if k.digest != s.digest {
		p.inherited[s.job.Key] = k
		to <- reply{answer: model.Failed(model.RunNotRun, model.ReasonConflict,
			"another job was submitted under this key; this one was not run")}
		return
	}
	j := newJob(s.job, s.digest, p.id, now)
	e.addJob(j, s, to)
	if k.answer != nil {
		e.answer(j, now, *k.answer)
		return
	}
	j.trace.add(now, "adopted", wholeJob, "", "continued from the previous owner")
	unstarted := e.applyInherited(now, p, k, j)
	if j.answered() {
		return
	}
	if unstarted && p.takeover.Decide(e.clock(now), j.submittedAt) == ownership.MayHaveRun {
		e.failWith(j, now, model.Failed(model.RunMayHaveRun, model.ReasonOwnerChanged,
			"tasks may have started on an agent whose records are missing"))
		return
	}
	if unstarted {
		if a := e.admit(now, j, nil); !a.Admitted {
			e.fail(j, now, a.Reason, "the rest of the job cannot be placed in time")
		}
	}
}

// applyInherited applies the inherited task records to the job. It reports whether
// the job has tasks that no record shows as started.
func (e *engine) applyInherited(now time.Time, p *partition, k *inheritedJob, j *job) (unstarted bool) {
	for i := range j.tasks {
		t, ok := k.tasks[i]
		if !ok || t.record.State == rhubarbsailv1.TaskState_TASK_STATE_NOT_STARTED {
			unstarted = true
			continue
		}
		switch t.record.State {
		case rhubarbsailv1.TaskState_TASK_STATE_SUCCEEDED:
			e.collect(now, j, i, t.record.Result)
		case rhubarbsailv1.TaskState_TASK_STATE_FAILED:
			j.tasks[i].phase = taskFailedOrLost
			e.fail(j, now, model.ReasonTaskFailed, t.record.Error)
		default:
			e.adoptPlacement(now, p, j, i, t)
		}
		if j.answered() {
			return false
		}
	}
	return unstarted
}

// adoptPlacement tracks a task that an earlier owner sent and whose outcome is
// outstanding.
func (e *engine) adoptPlacement(now time.Time, p *partition, j *job, index int, t inheritedTask) {
	j.tasks[index].phase = taskSent
	ag := e.agents[t.agent.ID]
	if ag == nil || ag.ref() != t.agent || ag.runningIncarnation > t.agent.Incarnation {
		j.tasks[index].phase = taskFailedOrLost
		e.fail(j, now, model.ReasonOutcomeLost, "the agent that ran a task is gone")
		return
	}
	id := model.TaskID{Job: j.key, Index: index}
	ag.addPlacement(id, &placement{
		job: j, index: index, handle: adoptedHandle,
		epoch: model.Epoch(t.record.Epoch), attempt: t.record.Attempt,
		confirmed: p.fenced[ag.ref()],
	})
}

// cancelJob fails a job as cancelled unless it has been answered. It reports
// whether the key is in the job table.
func (e *engine) cancelJob(now time.Time, key model.JobKey) bool {
	j := e.jobs[key]
	if j == nil {
		return false
	}
	e.fail(j, now, model.ReasonCancelled, "the client cancelled the job")
	return true
}

// expireDeadlines fails the jobs whose deadline has passed.
func (e *engine) expireDeadlines(now time.Time) {
	for {
		j := e.deadlines.pop(now)
		if j == nil {
			return
		}
		e.fail(j, now, model.ReasonDeadline, "the deadline passed before all tasks had an outcome")
	}
}

// forget removes an answered job from the table, unless the key has a newer job.
func (e *engine) forget(j *job) {
	if e.jobs[j.key] == j {
		delete(e.jobs, j.key)
	}
}
