package gateway

import (
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/model"
	"github.com/rhubarbsail/rhubarbsail/gateway/wire"
	rhubarbsailv1 "github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/v1"
	"github.com/rhubarbsail/rhubarbsail/scheduler"
	"github.com/rhubarbsail/rhubarbsail/state"
)

// dispatch carries out the decisions of the policy. Nothing is started while no
// majority of agents confirms this gateway.
func (e *engine) dispatch(now time.Time) {
	if !e.validity.Reachable(e.mono(now)) {
		return
	}
	d := e.policy.Decide(now)
	for _, drop := range d.Dropped {
		if j := e.jobsByHandle[drop.Job]; j != nil {
			e.fail(j, now, drop.Reason, "the tasks still waiting can no longer be answered in time")
		}
	}
	e.sendStarts(now, d.Assign)
	e.sendRevokes(now, d.Revoke)
}

// maxFramePayloadBytes bounds the payloads in one frame. An agent closes the link
// when it receives a frame above 16 MiB, and the gateway would send the same frame
// again on the next link.
const maxFramePayloadBytes = 4 << 20

// batchKey identifies the starts that may share a frame.
type batchKey struct {
	agent *agentState
	mode  scheduler.ReportMode
}

// sendStarts sends the assigned tasks in batches. Assignments that can no longer be
// sent are returned to the policy as not started.
func (e *engine) sendStarts(now time.Time, assignments []scheduler.Assignment) {
	var current batchKey
	var starts []*rhubarbsailv1.Start
	bytes := 0
	for _, a := range assignments {
		j, ag := e.jobsByHandle[a.Task.Job], e.agentsByTarget[a.Target]
		if j == nil || ag == nil || !ag.acceptsStarts() || e.partitions[j.partition].handingOver {
			e.policy.Finish(now, scheduler.Outcome{Task: a.Task, Target: a.Target, Kind: scheduler.OutcomeNotStarted})
			continue
		}
		size := len(j.spec.Tasks[a.Task.Index].Payload)
		if k := (batchKey{ag, a.Report}); k != current || bytes+size > maxFramePayloadBytes {
			e.sendBatch(now, current, starts)
			current, starts, bytes = k, nil, 0
		}
		bytes += size
		starts = append(starts, e.prepareStart(now, j, a, ag))
	}
	e.sendBatch(now, current, starts)
}

// prepareStart marks the task as sent and returns its start message. The task is
// marked before the frame is queued, so that no failure in between leaves an
// untracked start.
func (e *engine) prepareStart(now time.Time, j *job, a scheduler.Assignment, ag *agentState) *rhubarbsailv1.Start {
	t := &j.tasks[a.Task.Index]
	t.phase = taskSent
	t.attempt++
	id := model.TaskID{Job: j.key, Index: a.Task.Index}
	epoch := e.partitions[j.partition].epoch
	ag.addPlacement(id, &placement{job: j, index: a.Task.Index, handle: a.Task.Job, epoch: epoch, attempt: t.attempt})
	j.trace.add(now, "send", a.Task.Index, string(a.Target), a.Reason)
	return &rhubarbsailv1.Start{
		Task:              wire.TaskIDToProto(id),
		Attempt:           t.attempt,
		Partition:         uint32(j.partition),
		Epoch:             uint64(epoch),
		JobDigest:         j.digest[:],
		Service:           j.spec.Service,
		Payload:           j.spec.Tasks[a.Task.Index].Payload,
		DeadlineUnixNanos: j.deadline.UnixNano(),
		Traceparent:       j.span.startPlacement(a),
	}
}

// reportModes maps report modes to their enum values in messages.
var reportModes = map[scheduler.ReportMode]rhubarbsailv1.ReportMode{
	scheduler.ReportEach:  rhubarbsailv1.ReportMode_REPORT_MODE_EACH,
	scheduler.ReportBatch: rhubarbsailv1.ReportMode_REPORT_MODE_BATCH,
	scheduler.ReportLast:  rhubarbsailv1.ReportMode_REPORT_MODE_LAST,
}

// sendBatch sends one frame of starts to an agent.
func (e *engine) sendBatch(now time.Time, k batchKey, starts []*rhubarbsailv1.Start) {
	if len(starts) == 0 {
		return
	}
	frame := &rhubarbsailv1.GatewayFrame{Frame: &rhubarbsailv1.GatewayFrame_Start{Start: &rhubarbsailv1.StartBatch{
		Permit: k.agent.permit, Starts: starts, Report: reportModes[k.mode],
	}}}
	if k.agent.send(frame) {
		e.metrics.countFrame("sent", "start")
		return
	}
	// The frame was not queued, so none of its starts can reach the agent.
	for _, s := range starts {
		id := wire.TaskIDFromProto(s.Task)
		e.endPlacement(now, k.agent, id, k.agent.placements[id], &rhubarbsailv1.TaskRecord{}, scheduler.OutcomeNotStarted)
	}
}

// sendRevokes sends the revocations in one frame per agent.
func (e *engine) sendRevokes(now time.Time, revocations []scheduler.Revocation) {
	byAgent := make(map[*agentState][]*rhubarbsailv1.TaskAttempt)
	for _, r := range revocations {
		j, ag := e.jobsByHandle[r.Task.Job], e.agentsByTarget[r.Target]
		if j == nil || ag == nil {
			continue
		}
		id := model.TaskID{Job: j.key, Index: r.Task.Index}
		if pl := ag.placements[id]; pl != nil {
			byAgent[ag] = append(byAgent[ag], taskAttemptProto(id, pl))
			j.trace.add(now, "revoke", r.Task.Index, string(r.Target), "another target is expected to finish sooner")
		}
	}
	for ag, attempts := range byAgent {
		e.sendRevoke(ag, attempts)
	}
}

func taskAttemptProto(id model.TaskID, pl *placement) *rhubarbsailv1.TaskAttempt {
	return &rhubarbsailv1.TaskAttempt{
		Task: wire.TaskIDToProto(id), Partition: uint32(pl.job.partition), Epoch: uint64(pl.epoch), Attempt: pl.attempt,
	}
}

func (e *engine) sendRevoke(ag *agentState, attempts []*rhubarbsailv1.TaskAttempt) {
	if len(attempts) == 0 {
		return
	}
	e.lastRequest++
	frame := &rhubarbsailv1.GatewayFrame{Frame: &rhubarbsailv1.GatewayFrame_Revoke{Revoke: &rhubarbsailv1.Revoke{
		Request: e.lastRequest, Attempts: attempts,
	}}}
	if ag.send(frame) {
		e.metrics.countFrame("sent", "revoke")
	}
}

// revokeAll asks the agent to give up all tasks that it has not started.
func (e *engine) revokeAll(ag *agentState) {
	attempts := make([]*rhubarbsailv1.TaskAttempt, 0, len(ag.placements))
	for id, pl := range ag.placements {
		attempts = append(attempts, taskAttemptProto(id, pl))
	}
	e.sendRevoke(ag, attempts)
}

// probeAgents sends a probe to each agent whose probe interval has passed.
func (e *engine) probeAgents(now time.Time) {
	for _, ag := range e.agents {
		if ag.linked() && now.Sub(ag.lastProbe) >= e.opts.ProbeInterval {
			e.probe(now, ag)
		}
	}
}

func (e *engine) probe(now time.Time, ag *agentState) {
	ag.lastProbe = now
	sequence := e.validity.Probe(e.mono(now), ag.ref())
	frame := &rhubarbsailv1.GatewayFrame{Frame: &rhubarbsailv1.GatewayFrame_Probe{Probe: &rhubarbsailv1.Probe{
		Sequence: sequence, AppliedOffset: e.snapshot.Applied,
	}}}
	if ag.send(frame) {
		e.metrics.countFrame("sent", "probe")
	}
}

// syncDrains informs agents of changes to the drain state of their targets and zones. While
// drained, an agent refuses starts from all gateways, and this gateway revokes the
// tasks that it has queued there.
func (e *engine) syncDrains(old *state.Snapshot) {
	for _, ag := range e.agents {
		if drain := e.snapshot.DrainedAgent(ag.listed.ID); drain != old.DrainedAgent(ag.listed.ID) {
			e.sendDrain(ag, drain)
			if drain {
				e.revokeAll(ag)
			}
		}
	}
}

func (e *engine) sendDrain(ag *agentState, drain bool) {
	frame := &rhubarbsailv1.GatewayFrame{Frame: &rhubarbsailv1.GatewayFrame_Drain{Drain: &rhubarbsailv1.Drain{
		Drain: drain, AppliedOffset: e.snapshot.Applied,
	}}}
	if ag.send(frame) {
		e.metrics.countFrame("sent", "drain")
	}
}
