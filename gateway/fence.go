package gateway

import (
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/model"
	"github.com/rhubarbsail/rhubarbsail/gateway/wire"
	rhubarbsailv1 "github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/v1"
	"github.com/rhubarbsail/rhubarbsail/ownership"
	"github.com/rhubarbsail/rhubarbsail/scheduler"
)

// knownTask is what a ledger or a job table says of a task.
type knownTask struct {
	agent  ownership.AgentRef
	record *rhubarbsailv1.TaskRecord
}

// knownJob is a job of an earlier owner that was not submitted here yet.
type knownJob struct {
	digest model.Digest
	answer *model.Answer
	tasks  map[int]knownTask
}

// usableForFence reports whether the listed incarnation answers on a link.
func (a *agentState) usableForFence() bool {
	return a.session != nil && a.welcomed == a.addr.Incarnation
}

// sendFences asks the agent for the ledgers of all partitions that this
// gateway took over and that the agent has not sent under the present epoch.
func (e *engine) sendFences(ag *agentState) {
	var wanted []ownership.PartitionEpoch
	for _, p := range e.partitions {
		if p.epoch != 0 && !p.fenced[ag.ref()] {
			wanted = append(wanted, ownership.PartitionEpoch{Partition: p.id, Epoch: p.epoch})
		}
	}
	if len(wanted) == 0 {
		return
	}
	e.nextRequest++
	ag.fences[e.nextRequest] = wanted
	f := &rhubarbsailv1.Fence{Request: e.nextRequest}
	for _, w := range wanted {
		f.Partitions = append(f.Partitions, &rhubarbsailv1.PartitionEpoch{Partition: uint32(w.Partition), Epoch: uint64(w.Epoch)})
	}
	if ag.send(&rhubarbsailv1.GatewayFrame{Frame: &rhubarbsailv1.GatewayFrame_Fence{Fence: f}}) {
		e.metrics.frame("sent", "fence")
	}
}

// applyFence takes over the ledger of an agent.
func (e *engine) applyFence(now time.Time, ag *agentState, r *rhubarbsailv1.FenceReply) {
	e.validity.Observe(wire.PartitionEpochsFromProto(r.Newer))
	e.dropSuperseded(now)
	for _, rec := range r.Records {
		e.learnRecord(now, ag, rec)
	}
	if !r.Last {
		return
	}
	for _, w := range ag.fences[r.Request] {
		p := e.partitions[w.Partition]
		if p.epoch != w.Epoch {
			continue
		}
		p.fenced[ag.ref()] = true
		p.takeover.Replied(e.clock(now), ag.ref())
		e.returnAbsent(now, ag, p)
	}
	delete(ag.fences, r.Request)
}

// learnRecord stores a ledger record of an earlier owner, or applies it to a
// job that was adopted already.
func (e *engine) learnRecord(now time.Time, ag *agentState, r *rhubarbsailv1.TaskRecord) {
	id := wire.TaskIDFromProto(r.Task)
	if f := ag.flights[id]; f != nil {
		// A tombstone of an earlier placement does not show that this one arrived.
		f.confirmed = r.State != rhubarbsailv1.TaskState_TASK_STATE_NOT_STARTED
		e.applyRecord(now, ag, r)
		return
	}
	p := e.partitions[model.PartitionOf(id.Job, len(e.partitions))]
	if p.epoch == 0 || p.known == nil || e.jobs[id.Job] != nil {
		return
	}
	k := p.known[id.Job]
	if k == nil {
		k = &knownJob{tasks: make(map[int]knownTask)}
		copy(k.digest[:], r.JobDigest)
		p.known[id.Job] = k
	}
	if k.answer == nil && k.stronger(id.Index, ag.ref(), r) {
		k.tasks[id.Index] = knownTask{agent: ag.ref(), record: r}
	}
}

// stronger reports whether a record of an agent says more about the task than
// what is known. A tombstone at one agent says nothing about a start at another,
// also if that start is known only from the previous owner's table.
func (k *knownJob) stronger(index int, agent ownership.AgentRef, r *rhubarbsailv1.TaskRecord) bool {
	old, ok := k.tasks[index]
	if !ok {
		return true
	}
	if old.agent == agent && rank(old.record.State) < finalRank {
		// Frames of one agent arrive in order: its newest record holds.
		return true
	}
	return rank(r.State) >= rank(old.record.State)
}

// finalRank is the rank of the states that never change.
const finalRank = 3

func rank(s rhubarbsailv1.TaskState) int {
	switch s {
	case rhubarbsailv1.TaskState_TASK_STATE_SUCCEEDED, rhubarbsailv1.TaskState_TASK_STATE_FAILED:
		return finalRank
	case rhubarbsailv1.TaskState_TASK_STATE_RUNNING, rhubarbsailv1.TaskState_TASK_STATE_UNSPECIFIED:
		// Sent by the previous owner: it may be running.
		return 2
	case rhubarbsailv1.TaskState_TASK_STATE_QUEUED:
		return 1
	}
	return 0
}

// updateKnown records the end of a task whose job was not submitted here yet.
func (e *engine) updateKnown(ag *agentState, r *rhubarbsailv1.TaskRecord) {
	id := wire.TaskIDFromProto(r.Task)
	p := e.partitions[model.PartitionOf(id.Job, len(e.partitions))]
	if k := p.known[id.Job]; k != nil && k.answer == nil && k.stronger(id.Index, ag.ref(), r) {
		k.tasks[id.Index] = knownTask{agent: ag.ref(), record: r}
	}
}

// returnAbsent handles tasks that the previous owner's table shows as sent to
// the agent and that the agent's complete ledger does not hold: they never
// arrived, and the fence now refuses them.
func (e *engine) returnAbsent(now time.Time, ag *agentState, p *partition) {
	for id, f := range ag.flights {
		if f.handle == adoptedHandle && f.job.partition == p.id && !f.confirmed {
			e.endFlight(now, ag, id, f, &rhubarbsailv1.TaskRecord{}, scheduler.OutcomeNotStarted)
		}
	}
	for _, k := range p.known {
		for i, t := range k.tasks {
			if t.agent == ag.ref() && t.record.State == rhubarbsailv1.TaskState_TASK_STATE_UNSPECIFIED {
				delete(k.tasks, i)
			}
		}
	}
}
