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

// LinkUp implements agentlink.Handler.
func (e *engine) LinkUp(a agentlink.Agent, s *agentlink.Session, incarnation model.Incarnation) {
	e.postAlways(func(e *engine, now time.Time) {
		ag := e.agents[a.ID]
		if ag == nil || ag.listed != a {
			s.Close()
			return
		}
		ag.session = s
		ag.runningIncarnation = incarnation
		ag.permit = nil
		clear(ag.pendingFences)
		if incarnation > a.Incarnation {
			e.losePlacements(now, ag, "the agent restarted")
		}
		if incarnation == a.Incarnation {
			e.sendFences(ag)
			// The agent writes a tombstone for a task that never arrived over the
			// earlier link and reports it as not started, so that it can be placed
			// again.
			e.revokeAll(ag)
			e.sendDrain(ag, e.snapshot.DrainedAgent(a.ID))
			e.probe(now, ag)
		}
		events.LinkUp.Log(e.log).Str("agent", a.ID).Send()
		e.syncTargets(now)
	})
}

// LinkDown implements agentlink.Handler.
func (e *engine) LinkDown(a agentlink.Agent, s *agentlink.Session, cause error) {
	e.postAlways(func(e *engine, now time.Time) {
		ag := e.agents[a.ID]
		if ag == nil || ag.session != s {
			return
		}
		ag.session = nil
		ag.linkDownSince = now
		ag.permit = nil
		clear(ag.pendingFences)
		events.LinkDown.Log(e.log).Str("agent", a.ID).Err(cause).Send()
		if !e.snapshot.Listed(a.ID, ag.listed.Incarnation) {
			e.dropAgent(now, ag)
		}
		e.syncTargets(now)
	})
}

// LinkFrame implements agentlink.Handler.
func (e *engine) LinkFrame(a agentlink.Agent, s *agentlink.Session, f *rhubarbsailv1.AgentFrame) {
	e.postAlways(func(e *engine, now time.Time) {
		ag := e.agents[a.ID]
		if ag == nil || ag.session != s || ag.runningIncarnation != ag.listed.Incarnation {
			return
		}
		e.receive(now, ag, f)
	})
}

// receive applies a frame of the listed incarnation of an agent.
func (e *engine) receive(now time.Time, ag *agentState, f *rhubarbsailv1.AgentFrame) {
	if f.Permit != nil {
		ag.permit = f.Permit
	}
	switch m := f.Frame.(type) {
	case *rhubarbsailv1.AgentFrame_Report:
		e.metrics.countFrame("received", "report")
		e.applyRecords(now, ag, m.Report.Records)
	case *rhubarbsailv1.AgentFrame_Revoked:
		e.metrics.countFrame("received", "revoke_reply")
		e.applyRecords(now, ag, m.Revoked.Records)
	case *rhubarbsailv1.AgentFrame_Fenced:
		e.metrics.countFrame("received", "fence_reply")
		e.applyFence(now, ag, m.Fenced)
	case *rhubarbsailv1.AgentFrame_Probed:
		e.metrics.countFrame("received", "probe_reply")
		e.applyProbe(now, ag, m.Probed, f.Load)
	}
	e.applyLoad(now, ag, f.Load)
}

// applyLoad passes the load that an agent reported to the policy. It runs after the
// task records of the same frame were applied, as scheduler.Policy requires.
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

// applyProbe applies the reply to a probe.
func (e *engine) applyProbe(now time.Time, ag *agentState, r *rhubarbsailv1.ProbeReply, l *rhubarbsailv1.Load) {
	e.validity.Confirm(ownership.Confirmation{
		Agent: ag.ref(), Sequence: r.Sequence, Newer: wire.PartitionEpochsFromProto(r.Newer),
		Stopped: l.GetMayDepart(),
	})
	e.dropSuperseded(now)
}

// applyRecords applies the task records of a report or a revoke reply.
func (e *engine) applyRecords(now time.Time, ag *agentState, records []*rhubarbsailv1.TaskRecord) {
	for _, r := range records {
		if r.Refusal == rhubarbsailv1.RefusalReason_REFUSAL_REASON_STALE_EPOCH {
			e.recordStaleEpoch(r)
		}
		e.applyRecord(now, ag, r)
	}
	e.dropSuperseded(now)
}

// applyRecord applies a record to this gateway's open placement of the task at the
// agent, or to the inherited job if there is none. A record of an earlier placement
// is ignored unless it proves that the task started.
func (e *engine) applyRecord(now time.Time, ag *agentState, r *rhubarbsailv1.TaskRecord) {
	id := wire.TaskIDFromProto(r.Task)
	pl := ag.placements[id]
	if pl == nil {
		e.updateInherited(ag, r)
		return
	}
	switch r.State {
	case rhubarbsailv1.TaskState_TASK_STATE_RUNNING:
		e.policy.Finish(now, e.outcome(pl, ag, r, scheduler.OutcomeStarted))
	case rhubarbsailv1.TaskState_TASK_STATE_SUCCEEDED:
		e.endPlacement(now, ag, id, pl, r, scheduler.OutcomeSucceeded)
	case rhubarbsailv1.TaskState_TASK_STATE_FAILED:
		e.endPlacement(now, ag, id, pl, r, scheduler.OutcomeFailed)
	case rhubarbsailv1.TaskState_TASK_STATE_NOT_STARTED:
		if r.Epoch != 0 && (model.Epoch(r.Epoch) < pl.epoch || model.Epoch(r.Epoch) == pl.epoch && r.Attempt < pl.attempt) {
			return
		}
		e.endPlacement(now, ag, id, pl, r, scheduler.OutcomeNotStarted)
	}
}

// outcome returns the outcome of a placement for the policy.
func (e *engine) outcome(pl *placement, ag *agentState, r *rhubarbsailv1.TaskRecord, k scheduler.OutcomeKind) scheduler.Outcome {
	return scheduler.Outcome{
		Task:       scheduler.TaskRef{Job: pl.handle, Index: pl.index},
		Target:     ag.target,
		Kind:       k,
		Run:        time.Duration(r.RunNanos),
		Queue:      time.Duration(r.QueueNanos),
		TargetFull: r.Refusal == rhubarbsailv1.RefusalReason_REFUSAL_REASON_QUEUE_FULL,
	}
}

// endPlacement removes a placement and applies its outcome to the policy and the
// job.
func (e *engine) endPlacement(now time.Time, ag *agentState, id model.TaskID, pl *placement, r *rhubarbsailv1.TaskRecord, k scheduler.OutcomeKind) {
	ag.removePlacement(id, pl)
	e.policy.Finish(now, e.outcome(pl, ag, r, k))
	e.metrics.recordOutcome(k, r)
	j := pl.job
	if j.answered() {
		return
	}
	j.span.endPlacement(pl.index, r)
	switch k {
	case scheduler.OutcomeSucceeded:
		j.trace.add(now, "succeeded", pl.index, string(ag.target), time.Duration(r.RunNanos).String())
		e.collect(now, j, pl.index, r.Result)
	case scheduler.OutcomeFailed:
		j.tasks[pl.index].phase = taskFailedOrLost
		j.trace.add(now, "failed", pl.index, string(ag.target), r.Error)
		e.fail(j, now, model.ReasonTaskFailed, r.Error)
	case scheduler.OutcomeNotStarted:
		j.tasks[pl.index].phase = taskWaiting
		j.trace.add(now, "not_started", pl.index, string(ag.target), r.Refusal.String())
		if pl.handle == adoptedHandle && !e.partitions[j.partition].handingOver {
			e.requeue(now, j, pl.index)
		}
	}
}

// collect stores a result and answers the job once all results have arrived.
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

// fail fails a job and cancels its open placements. The answer is not_run only if no
// task can have started.
func (e *engine) fail(j *job, now time.Time, r model.Reason, msg string) {
	s := j.runState()
	p := e.partitions[j.partition]
	if p.handingOver || !e.validity.Valid(e.mono(now), p.id, p.epoch) {
		// Another owner may already have run the job.
		s = model.RunMayHaveRun
	}
	e.failWith(j, now, model.Failed(s, r, msg))
}

// failWith answers a job with a and cancels its open placements, unless it has been
// answered.
func (e *engine) failWith(j *job, now time.Time, a model.Answer) {
	if j.answered() {
		return
	}
	e.cancelPlacements(j)
	e.answer(j, now, a)
}

// answer gives a job its final answer and moves it to the retained jobs.
func (e *engine) answer(j *job, now time.Time, a model.Answer) {
	for _, h := range j.handles {
		e.policy.Remove(now, h)
		delete(e.jobsByHandle, h)
	}
	j.trace.add(now, "answered", wholeJob, "", a.State.String()+" "+string(a.Reason))
	e.metrics.recordAnswer(a, now.Sub(j.acceptedAt))
	j.finish(a, now)
	e.inProgress--
	e.retained.add(j)
}

// cancelPlacements queues the cancellation of the job at each agent that has tasks
// of it. flushCancels sends one frame per agent for all jobs.
func (e *engine) cancelPlacements(j *job) {
	for ag := range j.placementsAt {
		e.pendingCancels[ag] = append(e.pendingCancels[ag], &rhubarbsailv1.JobKey{
			Client: j.key.Client, Key: j.key.Key,
			Partition: uint32(j.partition), Epoch: uint64(e.partitions[j.partition].epoch),
		})
	}
}

// flushCancels sends each agent one frame with all jobs cancelled since the last
// call.
func (e *engine) flushCancels() {
	for ag, jobs := range e.pendingCancels {
		f := &rhubarbsailv1.GatewayFrame{Frame: &rhubarbsailv1.GatewayFrame_Cancel{Cancel: &rhubarbsailv1.CancelJobs{Jobs: jobs}}}
		if ag.send(f) {
			e.metrics.countFrame("sent", "cancel")
		}
		delete(e.pendingCancels, ag)
	}
}
