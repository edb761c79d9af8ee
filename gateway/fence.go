package gateway

import (
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/model"
	"github.com/rhubarbsail/rhubarbsail/gateway/wire"
	rhubarbsailv1 "github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/v1"
	"github.com/rhubarbsail/rhubarbsail/ownership"
	"github.com/rhubarbsail/rhubarbsail/scheduler"
)

// inheritedTask is the record of a task in an agent's ledger or in the job table of
// the previous owner.
type inheritedTask struct {
	agent  ownership.AgentRef
	record *rhubarbsailv1.TaskRecord
}

// inheritedJob is a job of an earlier owner that has not been resubmitted to this
// gateway.
type inheritedJob struct {
	digest model.Digest
	answer *model.Answer
	tasks  map[int]inheritedTask
}

// linked reports whether there is a link and the running incarnation is the one that
// the log lists.
func (a *agentState) linked() bool {
	return a.session != nil && a.runningIncarnation == a.listed.Incarnation
}

// sendFences sends the agent a fence for all owned partitions for which it has not
// sent its complete ledger under the current epoch.
func (e *engine) sendFences(ag *agentState) {
	var unfenced []ownership.PartitionEpoch
	for _, p := range e.partitions {
		if p.epoch != 0 && !p.fenced[ag.ref()] {
			unfenced = append(unfenced, ownership.PartitionEpoch{Partition: p.id, Epoch: p.epoch})
		}
	}
	if len(unfenced) == 0 {
		return
	}
	e.lastRequest++
	ag.pendingFences[e.lastRequest] = unfenced
	f := &rhubarbsailv1.Fence{Request: e.lastRequest}
	for _, pe := range unfenced {
		f.Partitions = append(f.Partitions, &rhubarbsailv1.PartitionEpoch{Partition: uint32(pe.Partition), Epoch: uint64(pe.Epoch)})
	}
	if ag.send(&rhubarbsailv1.GatewayFrame{Frame: &rhubarbsailv1.GatewayFrame_Fence{Fence: f}}) {
		e.metrics.countFrame("sent", "fence")
	}
}

// applyFence applies a part of the agent's reply to a fence. The last part completes
// the ledger.
func (e *engine) applyFence(now time.Time, ag *agentState, r *rhubarbsailv1.FenceReply) {
	e.validity.Observe(wire.PartitionEpochsFromProto(r.Newer))
	e.dropSuperseded(now)
	for _, rec := range r.Records {
		e.applyLedgerRecord(now, ag, rec)
	}
	if !r.Last {
		return
	}
	for _, pe := range ag.pendingFences[r.Request] {
		p := e.partitions[pe.Partition]
		if p.epoch != pe.Epoch {
			continue
		}
		p.fenced[ag.ref()] = true
		p.takeover.Replied(e.clock(now), ag.ref())
		e.releaseAbsent(now, ag, p)
	}
	delete(ag.pendingFences, r.Request)
}

// applyLedgerRecord applies a ledger record to the open placement of an adopted job,
// or stores it with the inherited jobs.
func (e *engine) applyLedgerRecord(now time.Time, ag *agentState, r *rhubarbsailv1.TaskRecord) {
	id := wire.TaskIDFromProto(r.Task)
	if pl := ag.placements[id]; pl != nil {
		// A tombstone may be of an earlier placement and does not show that this one
		// arrived.
		pl.confirmed = r.State != rhubarbsailv1.TaskState_TASK_STATE_NOT_STARTED
		e.applyRecord(now, ag, r)
		return
	}
	p := e.partitions[model.PartitionOf(id.Job, len(e.partitions))]
	if p.epoch == 0 || p.inherited == nil || e.jobs[id.Job] != nil {
		return
	}
	k := p.inherited[id.Job]
	if k == nil {
		k = &inheritedJob{tasks: make(map[int]inheritedTask)}
		copy(k.digest[:], r.JobDigest)
		p.inherited[id.Job] = k
	}
	if k.answer == nil && k.shouldUpdate(id.Index, ag.ref(), r) {
		k.tasks[id.Index] = inheritedTask{agent: ag.ref(), record: r}
	}
}

// shouldUpdate reports whether a record of an agent replaces the stored record of the
// task. A tombstone of one agent says nothing about a start at another agent, even
// if that start is known only from the previous owner's job table.
func (k *inheritedJob) shouldUpdate(index int, agent ownership.AgentRef, r *rhubarbsailv1.TaskRecord) bool {
	old, ok := k.tasks[index]
	if !ok {
		return true
	}
	if old.agent == agent && stateRank(old.record.State) < finalStateRank {
		// Frames of one agent arrive in order, so its latest record is the current
		// one.
		return true
	}
	return stateRank(r.State) >= stateRank(old.record.State)
}

// finalStateRank is the rank of the states that never change.
const finalStateRank = 3

// stateRank orders task states by how certainly they show that the task started.
func stateRank(s rhubarbsailv1.TaskState) int {
	switch s {
	case rhubarbsailv1.TaskState_TASK_STATE_SUCCEEDED, rhubarbsailv1.TaskState_TASK_STATE_FAILED:
		return finalStateRank
	case rhubarbsailv1.TaskState_TASK_STATE_RUNNING, rhubarbsailv1.TaskState_TASK_STATE_UNSPECIFIED:
		// A task without a state was sent by the previous owner and may be running.
		return 2
	case rhubarbsailv1.TaskState_TASK_STATE_QUEUED:
		return 1
	}
	return 0
}

// updateInherited stores a task record of an inherited job.
func (e *engine) updateInherited(ag *agentState, r *rhubarbsailv1.TaskRecord) {
	id := wire.TaskIDFromProto(r.Task)
	p := e.partitions[model.PartitionOf(id.Job, len(e.partitions))]
	if k := p.inherited[id.Job]; k != nil && k.answer == nil && k.shouldUpdate(id.Index, ag.ref(), r) {
		k.tasks[id.Index] = inheritedTask{agent: ag.ref(), record: r}
	}
}

// releaseAbsent releases the tasks that the previous owner's job table shows as sent
// to the agent but that are missing in the agent's complete ledger. They never
// arrived, and the agent now refuses them because of the fence.
func (e *engine) releaseAbsent(now time.Time, ag *agentState, p *partition) {
	for id, pl := range ag.placements {
		if pl.handle == adoptedHandle && pl.job.partition == p.id && !pl.confirmed {
			e.endPlacement(now, ag, id, pl, &rhubarbsailv1.TaskRecord{}, scheduler.OutcomeNotStarted)
		}
	}
	for _, k := range p.inherited {
		for i, t := range k.tasks {
			if t.agent == ag.ref() && t.record.State == rhubarbsailv1.TaskState_TASK_STATE_UNSPECIFIED {
				delete(k.tasks, i)
			}
		}
	}
}
