package gateway

import (
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/events"
	"github.com/rhubarbsail/rhubarbsail/common/model"
	"github.com/rhubarbsail/rhubarbsail/gateway/agentlink"
	"github.com/rhubarbsail/rhubarbsail/gateway/wire"
	rhubarbsailv1 "github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/v1"
	"github.com/rhubarbsail/rhubarbsail/ownership"
	"github.com/rhubarbsail/rhubarbsail/scheduler"
)

// LinkUp implements agentlink.Events.
func (e *engine) LinkUp(a agentlink.Agent, s *agentlink.Session, incarnation model.Incarnation) {
	e.postAlways(func(e *engine, now time.Time) {
		ag := e.agents[a.ID]
		if ag == nil || ag.addr != a {
			s.Close()
			return
		}
		ag.session = s
		ag.welcomed = incarnation
		ag.permit = nil
		clear(ag.fences)
		if incarnation > a.Incarnation {
			e.loseFlights(now, ag, "the agent restarted")
		}
		if incarnation == a.Incarnation {
			e.sendFences(ag)
			// A task that never arrived over the earlier link gets a tombstone and
			// can be placed again.
			e.revokeAll(ag)
			e.sendDrain(ag, e.view.Drained[string(ag.target)])
			e.probe(now, ag)
		}
		events.LinkUp.Log(e.log).Str("agent", a.ID).Send()
		e.syncTargets(now)
	})
}

// LinkDown implements agentlink.Events.
func (e *engine) LinkDown(a agentlink.Agent, s *agentlink.Session, cause error) {
	e.postAlways(func(e *engine, now time.Time) {
		ag := e.agents[a.ID]
		if ag == nil || ag.session != s {
			return
		}
		ag.session = nil
		ag.linkLost = now
		ag.permit = nil
		clear(ag.fences)
		events.LinkDown.Log(e.log).Str("agent", a.ID).Err(cause).Send()
		if !e.view.Listed(a.ID, ag.addr.Incarnation) {
			e.dropAgent(now, ag)
		}
		e.syncTargets(now)
	})
}

// LinkFrame implements agentlink.Events.
func (e *engine) LinkFrame(a agentlink.Agent, s *agentlink.Session, f *rhubarbsailv1.AgentFrame) {
	e.postAlways(func(e *engine, now time.Time) {
		ag := e.agents[a.ID]
		if ag == nil || ag.session != s || ag.welcomed != ag.addr.Incarnation {
			return
		}
		e.receive(now, ag, f)
	})
}

func (e *engine) receive(now time.Time, ag *agentState, f *rhubarbsailv1.AgentFrame) {
	if f.Permit != nil {
		ag.permit = f.Permit
	}
	switch m := f.Frame.(type) {
	case *rhubarbsailv1.AgentFrame_Report:
		e.metrics.frame("received", "report")
		e.applyRecords(now, ag, m.Report.Records)
	case *rhubarbsailv1.AgentFrame_Revoked:
		e.metrics.frame("received", "revoke_reply")
		e.applyRecords(now, ag, m.Revoked.Records)
	case *rhubarbsailv1.AgentFrame_Fenced:
		e.metrics.frame("received", "fence_reply")
		e.applyFence(now, ag, m.Fenced)
	case *rhubarbsailv1.AgentFrame_Probed:
		e.metrics.frame("received", "probe_reply")
		e.applyProbe(now, ag, m.Probed, f.Load)
	}
	e.applyLoad(now, ag, f.Load)
}

func (e *engine) applyLoad(now time.Time, ag *agentState, l *rhubarbsailv1.Load) {
	if l == nil {
		return
	}
	load := scheduler.Load{
		Target: ag.target, Slots: int(l.Slots), Running: int(l.Running), Queued: int(l.Queued),
		Leaving: l.Leaving, Accepting: l.Accepting,
	}
	changed := load.Leaving != ag.load.Leaving || load.Accepting != ag.load.Accepting
	ag.load = load
	if changed {
		e.syncTargets(now)
	}
	e.policy.Report(now, load)
}

func (e *engine) applyProbe(now time.Time, ag *agentState, r *rhubarbsailv1.ProbeReply, l *rhubarbsailv1.Load) {
	e.validity.Confirm(ownership.Confirmation{
		Agent: ag.ref(), Sequence: r.Sequence, Newer: wire.PartitionEpochsFromProto(r.Newer),
		Stopped: l.GetMayDepart(),
	})
	e.dropSuperseded(now)
}

// applyRecords takes over what the agent says of tasks.
func (e *engine) applyRecords(now time.Time, ag *agentState, records []*rhubarbsailv1.TaskRecord) {
	for _, r := range records {
		if r.Refusal == rhubarbsailv1.RefusalReason_REFUSAL_REASON_STALE_EPOCH {
			e.noteStaleEpoch(r)
		}
		e.applyRecord(now, ag, r)
	}
	e.dropSuperseded(now)
}

// applyRecord handles one record of a task that this gateway has in flight at
// the agent. A record of an earlier placement changes nothing unless it proves
// that the task ran.
func (e *engine) applyRecord(now time.Time, ag *agentState, r *rhubarbsailv1.TaskRecord) {
	id := wire.TaskIDFromProto(r.Task)
	f := ag.flights[id]
	if f == nil {
		e.updateKnown(ag, r)
		return
	}
	switch r.State {
	case rhubarbsailv1.TaskState_TASK_STATE_RUNNING:
		e.policy.Finish(now, e.outcome(f, ag, r, scheduler.OutcomeStarted))
	case rhubarbsailv1.TaskState_TASK_STATE_SUCCEEDED:
		e.endFlight(now, ag, id, f, r, scheduler.OutcomeSucceeded)
	case rhubarbsailv1.TaskState_TASK_STATE_FAILED:
		e.endFlight(now, ag, id, f, r, scheduler.OutcomeFailed)
	case rhubarbsailv1.TaskState_TASK_STATE_NOT_STARTED:
		if r.Epoch != 0 && (model.Epoch(r.Epoch) < f.epoch || model.Epoch(r.Epoch) == f.epoch && r.Attempt < f.attempt) {
			return
		}
		e.endFlight(now, ag, id, f, r, scheduler.OutcomeNotStarted)
	}
}

func (e *engine) outcome(f *flight, ag *agentState, r *rhubarbsailv1.TaskRecord, k scheduler.OutcomeKind) scheduler.Outcome {
	return scheduler.Outcome{
		Task:       scheduler.TaskRef{Job: f.handle, Index: f.index},
		Target:     ag.target,
		Kind:       k,
		Run:        time.Duration(r.RunNanos),
		Queue:      time.Duration(r.QueueNanos),
		TargetFull: r.Refusal == rhubarbsailv1.RefusalReason_REFUSAL_REASON_QUEUE_FULL,
	}
}

// endFlight removes the flight and applies its end to policy and job.
func (e *engine) endFlight(now time.Time, ag *agentState, id model.TaskID, f *flight, r *rhubarbsailv1.TaskRecord, k scheduler.OutcomeKind) {
	ag.removeFlight(id, f)
	e.policy.Finish(now, e.outcome(f, ag, r, k))
	e.metrics.taskEnded(k, r)
	j := f.job
	if j.answered() {
		return
	}
	j.span.taskEnded(f.index, r)
	switch k {
	case scheduler.OutcomeSucceeded:
		j.trace.add(now, "succeeded", f.index, string(ag.target), time.Duration(r.RunNanos).String())
		e.collect(now, j, f.index, r.Result)
	case scheduler.OutcomeFailed:
		j.tasks[f.index].phase = taskEnded
		j.trace.add(now, "failed", f.index, string(ag.target), r.Error)
		e.fail(j, now, model.ReasonTaskFailed, r.Error)
	case scheduler.OutcomeNotStarted:
		j.tasks[f.index].phase = taskWaiting
		j.trace.add(now, "not_started", f.index, string(ag.target), r.Refusal.String())
		if f.handle == adoptedHandle && !e.partitions[j.partition].stopped {
			e.requeue(now, j, f.index)
		}
	}
}

// collect stores a result and answers the job when all are present.
func (e *engine) collect(now time.Time, j *job, index int, result []byte) {
	if !j.succeed(index, result) {
		return
	}
	if j.resultBytes > e.opts.MaxAnswerBytes {
		e.fail(j, now, model.ReasonAnswerTooLarge, "the results together are larger than an answer may be")
		return
	}
	if j.remaining == 0 {
		e.answer(j, now, model.Answer{State: model.RunComplete, Results: j.results()})
	}
}

// fail gives a job its final failed answer and cancels what is still out.
func (e *engine) fail(j *job, now time.Time, r model.Reason, msg string) {
	s := j.runState()
	p := e.partitions[j.partition]
	if p.stopped || !e.validity.Valid(e.mono(now), p.id, p.epoch) {
		// Another owner may already have run the job.
		s = model.RunMayHaveRun
	}
	e.failWith(j, now, model.Failed(s, r, msg))
}

func (e *engine) failWith(j *job, now time.Time, a model.Answer) {
	if j.answered() {
		return
	}
	e.cancelFlights(j)
	e.answer(j, now, a)
}

func (e *engine) answer(j *job, now time.Time, a model.Answer) {
	for _, h := range j.handles {
		e.policy.Remove(now, h)
		delete(e.byHandle, h)
	}
	j.trace.add(now, "answered", wholeJob, "", a.State.String()+" "+string(a.Reason))
	e.metrics.jobAnswered(a, now.Sub(j.accepted))
	j.finish(a, now)
	e.inProgress--
	e.retained.add(j)
}

// cancelFlights marks the agents that hold tasks of the job; the frames are
// sent once per agent for all jobs of one round.
func (e *engine) cancelFlights(j *job) {
	for ag := range j.sentTo {
		e.cancels[ag] = append(e.cancels[ag], &rhubarbsailv1.JobKey{
			Client: j.key.Client, Key: j.key.Key,
			Partition: uint32(j.partition), Epoch: uint64(e.partitions[j.partition].epoch),
		})
	}
}

// flushCancels sends one frame per agent for all jobs cancelled in this round.
func (e *engine) flushCancels() {
	for ag, jobs := range e.cancels {
		f := &rhubarbsailv1.GatewayFrame{Frame: &rhubarbsailv1.GatewayFrame_Cancel{Cancel: &rhubarbsailv1.CancelJobs{Jobs: jobs}}}
		if ag.send(f) {
			e.metrics.frame("sent", "cancel")
		}
		delete(e.cancels, ag)
	}
}
