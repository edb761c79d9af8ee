package gateway

import (
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/model"
	"github.com/rhubarbsail/rhubarbsail/gateway/wire"
	rhubarbsailv1 "github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/v1"
	"github.com/rhubarbsail/rhubarbsail/scheduler"
	"github.com/rhubarbsail/rhubarbsail/state"
)

// dispatch asks the policy what to send and sends it. Nothing is started while
// the ownership is not confirmed.
func (e *engine) dispatch(now time.Time) {
	if !e.validity.Reachable(e.mono(now)) {
		return
	}
	d := e.policy.Decide(now)
	for _, drop := range d.Dropped {
		if j := e.byHandle[drop.Job]; j != nil {
			e.fail(j, now, drop.Reason, "the tasks still waiting can no longer be answered in time")
		}
	}
	e.sendStarts(now, d.Assign)
	e.sendRevokes(now, d.Revoke)
}

// maxFramePayload bounds the payloads of one frame in bytes. An agent closes the
// link on a frame above 16 MiB, and the same frame would follow on the next link.
const maxFramePayload = 4 << 20

// batchKey groups the starts that one frame carries.
type batchKey struct {
	agent *agentState
	mode  scheduler.ReportMode
}

func (e *engine) sendStarts(now time.Time, assignments []scheduler.Assignment) {
	var current batchKey
	var starts []*rhubarbsailv1.Start
	bytes := 0
	for _, a := range assignments {
		j, ag := e.byHandle[a.Task.Job], e.byTarget[a.Target]
		if j == nil || ag == nil || !ag.usable() || e.partitions[j.partition].stopped {
			e.policy.Finish(now, scheduler.Outcome{Task: a.Task, Target: a.Target, Kind: scheduler.OutcomeNotStarted})
			continue
		}
		size := len(j.spec.Tasks[a.Task.Index].Payload)
		if k := (batchKey{ag, a.Report}); k != current || bytes+size > maxFramePayload {
			e.sendBatch(now, current, starts)
			current, starts, bytes = k, nil, 0
		}
		bytes += size
		starts = append(starts, e.prepareStart(now, j, a, ag))
	}
	e.sendBatch(now, current, starts)
}

// prepareStart marks the task as sent. The mark comes before the frame is
// queued, so that no failure in between leaves a start that nobody knows of.
func (e *engine) prepareStart(now time.Time, j *job, a scheduler.Assignment, ag *agentState) *rhubarbsailv1.Start {
	t := &j.tasks[a.Task.Index]
	t.phase = taskSent
	t.attempt++
	id := model.TaskID{Job: j.key, Index: a.Task.Index}
	epoch := e.partitions[j.partition].epoch
	ag.addFlight(id, &flight{job: j, index: a.Task.Index, handle: a.Task.Job, epoch: epoch, attempt: t.attempt})
	j.trace.add(now, "send", a.Task.Index, string(a.Target), a.Why)
	return &rhubarbsailv1.Start{
		Task:              wire.TaskIDToProto(id),
		Attempt:           t.attempt,
		Partition:         uint32(j.partition),
		Epoch:             uint64(epoch),
		JobDigest:         j.digest[:],
		Service:           j.spec.Service,
		Payload:           j.spec.Tasks[a.Task.Index].Payload,
		DeadlineUnixNanos: j.deadline.UnixNano(),
		Traceparent:       j.span.dispatched(a),
	}
}

var reportModes = map[scheduler.ReportMode]rhubarbsailv1.ReportMode{
	scheduler.ReportEach:  rhubarbsailv1.ReportMode_REPORT_MODE_EACH,
	scheduler.ReportBatch: rhubarbsailv1.ReportMode_REPORT_MODE_BATCH,
	scheduler.ReportLast:  rhubarbsailv1.ReportMode_REPORT_MODE_LAST,
}

func (e *engine) sendBatch(now time.Time, k batchKey, starts []*rhubarbsailv1.Start) {
	if len(starts) == 0 {
		return
	}
	frame := &rhubarbsailv1.GatewayFrame{Frame: &rhubarbsailv1.GatewayFrame_Start{Start: &rhubarbsailv1.StartBatch{
		Permit: k.agent.permit, Starts: starts, Report: reportModes[k.mode],
	}}}
	if k.agent.send(frame) {
		e.metrics.frame("sent", "start")
		return
	}
	// The frame was not queued, so none of its starts can reach the agent.
	for _, s := range starts {
		id := wire.TaskIDFromProto(s.Task)
		e.endFlight(now, k.agent, id, k.agent.flights[id], &rhubarbsailv1.TaskRecord{}, scheduler.OutcomeNotStarted)
	}
}

func (e *engine) sendRevokes(now time.Time, revocations []scheduler.Revocation) {
	byAgent := make(map[*agentState][]*rhubarbsailv1.TaskAttempt)
	for _, r := range revocations {
		j, ag := e.byHandle[r.Task.Job], e.byTarget[r.Target]
		if j == nil || ag == nil {
			continue
		}
		id := model.TaskID{Job: j.key, Index: r.Task.Index}
		if f := ag.flights[id]; f != nil {
			byAgent[ag] = append(byAgent[ag], attemptProto(id, f))
			j.trace.add(now, "revoke", r.Task.Index, string(r.Target), "another target is expected to finish sooner")
		}
	}
	for ag, attempts := range byAgent {
		e.sendRevoke(ag, attempts)
	}
}

func attemptProto(id model.TaskID, f *flight) *rhubarbsailv1.TaskAttempt {
	return &rhubarbsailv1.TaskAttempt{
		Task: wire.TaskIDToProto(id), Partition: uint32(f.job.partition), Epoch: uint64(f.epoch), Attempt: f.attempt,
	}
}

func (e *engine) sendRevoke(ag *agentState, attempts []*rhubarbsailv1.TaskAttempt) {
	if len(attempts) == 0 {
		return
	}
	e.nextRequest++
	frame := &rhubarbsailv1.GatewayFrame{Frame: &rhubarbsailv1.GatewayFrame_Revoke{Revoke: &rhubarbsailv1.Revoke{
		Request: e.nextRequest, Attempts: attempts,
	}}}
	if ag.send(frame) {
		e.metrics.frame("sent", "revoke")
	}
}

// revokeAll asks for all tasks back that the agent has not started.
func (e *engine) revokeAll(ag *agentState) {
	attempts := make([]*rhubarbsailv1.TaskAttempt, 0, len(ag.flights))
	for id, f := range ag.flights {
		attempts = append(attempts, attemptProto(id, f))
	}
	e.sendRevoke(ag, attempts)
}

// probeAgents sends the probes that are due.
func (e *engine) probeAgents(now time.Time) {
	for _, ag := range e.agents {
		if ag.usableForFence() && now.Sub(ag.lastProbe) >= e.opts.ProbeInterval {
			e.probe(now, ag)
		}
	}
}

func (e *engine) probe(now time.Time, ag *agentState) {
	ag.lastProbe = now
	sequence := e.validity.Probe(e.mono(now), ag.ref())
	frame := &rhubarbsailv1.GatewayFrame{Frame: &rhubarbsailv1.GatewayFrame_Probe{Probe: &rhubarbsailv1.Probe{
		Sequence: sequence, AppliedOffset: e.view.Applied,
	}}}
	if ag.send(frame) {
		e.metrics.frame("sent", "probe")
	}
}

// syncDrains tells agents of drains that changed. An agent refuses starts from
// all gateways while drained, and its queue is asked back.
func (e *engine) syncDrains(old *state.Snapshot) {
	for _, ag := range e.agents {
		target := string(ag.target)
		if drain := e.view.Drained[target]; drain != old.Drained[target] {
			e.sendDrain(ag, drain)
			if drain {
				e.revokeAll(ag)
			}
		}
	}
}

func (e *engine) sendDrain(ag *agentState, drain bool) {
	frame := &rhubarbsailv1.GatewayFrame{Frame: &rhubarbsailv1.GatewayFrame_Drain{Drain: &rhubarbsailv1.Drain{
		Drain: drain, AppliedOffset: e.view.Applied,
	}}}
	if ag.send(frame) {
		e.metrics.frame("sent", "drain")
	}
}
