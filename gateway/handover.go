package gateway

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"github.com/rhubarbsail/rhubarbsail/common/model"
	"github.com/rhubarbsail/rhubarbsail/gateway/wire"
	rhubarbsailv1 "github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/v1"
	"github.com/rhubarbsail/rhubarbsail/ownership"
	"github.com/rhubarbsail/rhubarbsail/state"
)

// handoverTable is the job table that a previous owner sent, kept until the
// log shows the claim.
type handoverTable struct {
	epoch model.Epoch
	// sequence orders the tables that the owner of the epoch sent.
	sequence uint64
	cutOff   time.Time
	known    map[model.JobKey]*knownJob
}

// errSuccessorLeaving is no fault: the next plan names another successor.
var errSuccessorLeaving = errors.New("the successor is leaving or holds a newer table")

var errNotOwned = errors.New("partition is not owned, or its takeover is not ready")

// handOver moves one partition to another gateway. Until the claim is
// appended the partition can go on here; from then on only the log decides.
func (g *Gateway) handOver(ctx context.Context, h ownership.PlannedHandover) error {
	to, ok := g.control.Snapshot().Member(h.To.ID, h.To.Incarnation)
	if !ok {
		return errors.Errorf("gateway %s is not a member", h.To.ID)
	}
	table, err := call(ctx, g.engine, func(e *engine, now time.Time) *rhubarbsailv1.HandoverRequest {
		return e.stopPartition(now, h)
	})
	if err != nil {
		return err
	}
	if table == nil {
		return errNotOwned
	}
	sctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	resp, err := g.peers.Client(to.Address).Handover(sctx, connect.NewRequest(table))
	if err == nil && !resp.Msg.Accepted {
		err = errSuccessorLeaving
	}
	if err != nil {
		_, _ = call(ctx, g.engine, func(e *engine, now time.Time) bool {
			e.resumePartition(now, h)
			return true
		})
		return errors.Wrap(err, "send job table")
	}
	return g.claimFor(ctx, h)
}

// claimFor writes the claim of the successor. If its outcome stays unknown, the
// partition is claimed back: whichever claim the log takes first decides.
func (g *Gateway) claimFor(ctx context.Context, h ownership.PlannedHandover) error {
	parts := []state.PartitionClaim{{Partition: h.Partition, Replaces: h.Epoch}}
	cctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	_, err := g.control.Claim(cctx, state.Claim{
		Gateway: h.To.ID, Incarnation: h.To.Incarnation, Partitions: parts, Handover: true,
	})
	if err == nil && g.control.Snapshot().Owners[h.Partition].Epoch != h.Epoch {
		return nil
	}
	for ctx.Err() == nil && g.control.Snapshot().Owners[h.Partition].Epoch == h.Epoch {
		rctx, cancel := context.WithTimeout(ctx, claimTimeout)
		_, _ = g.control.Claim(rctx, state.Claim{Gateway: g.opts.ID, Incarnation: g.opts.Incarnation, Partitions: parts})
		cancel()
	}
	if err != nil {
		return errors.Wrap(err, "claim for the successor")
	}
	return ctx.Err()
}

// stopPartition ends work on a partition and returns its job table, or nil if
// the partition cannot be handed over now.
func (e *engine) stopPartition(now time.Time, h ownership.PlannedHandover) *rhubarbsailv1.HandoverRequest {
	p := e.partitions[h.Partition]
	if p.epoch != h.Epoch || p.stopped || p.takeover.State(e.mono(now)) != ownership.Ready ||
		!e.validity.Valid(e.mono(now), p.id, p.epoch) {
		return nil
	}
	p.stopped = true
	for _, held := range p.held {
		held.reply <- reply{moved: true}
	}
	p.held = nil
	e.nextRequest++
	out := &rhubarbsailv1.HandoverRequest{
		FromGateway: e.opts.ID, FromIncarnation: uint64(e.opts.Incarnation), Sequence: e.nextRequest,
		Partitions: []*rhubarbsailv1.PartitionEpoch{{Partition: uint32(p.id), Epoch: uint64(p.epoch)}},
	}
	if c := p.takeover.CutOff(e.clock(now)); !c.IsZero() {
		out.CutOffUnixNanos = c.UnixNano()
	}
	for _, j := range e.jobs {
		if j.partition == p.id && !j.mayRunAgain() {
			e.withdraw(now, j)
			out.Entries = append(out.Entries, e.tableEntry(j))
		}
	}
	for key, k := range p.known {
		out.Entries = append(out.Entries, knownEntry(key, k))
	}
	return out
}

// tableEntry describes a job for the next owner.
func (e *engine) tableEntry(j *job) *rhubarbsailv1.JobTableEntry {
	out := &rhubarbsailv1.JobTableEntry{Client: j.key.Client, Key: j.key.Key, Digest: j.digest[:]}
	if j.answered() {
		out.Answer = wire.AnswerToProto(*j.answer)
		return out
	}
	for i := range j.tasks {
		if t := &j.tasks[i]; t.phase == taskSucceeded {
			out.Tasks = append(out.Tasks, &rhubarbsailv1.HandoverTask{Record: &rhubarbsailv1.TaskRecord{
				Task:  wire.TaskIDToProto(model.TaskID{Job: j.key, Index: i}),
				State: rhubarbsailv1.TaskState_TASK_STATE_SUCCEEDED, Result: t.result,
			}})
		}
	}
	for ag := range j.sentTo {
		for id, f := range ag.flights {
			if f.job == j {
				out.Tasks = append(out.Tasks, &rhubarbsailv1.HandoverTask{
					Agent: ag.addr.ID, AgentIncarnation: uint64(ag.addr.Incarnation),
					Record: &rhubarbsailv1.TaskRecord{Task: wire.TaskIDToProto(id), Epoch: uint64(f.epoch), Attempt: f.attempt},
				})
			}
		}
	}
	return out
}

func knownEntry(key model.JobKey, k *knownJob) *rhubarbsailv1.JobTableEntry {
	out := &rhubarbsailv1.JobTableEntry{Client: key.Client, Key: key.Key, Digest: k.digest[:]}
	if k.answer != nil {
		out.Answer = wire.AnswerToProto(*k.answer)
	}
	for _, t := range k.tasks {
		out.Tasks = append(out.Tasks, &rhubarbsailv1.HandoverTask{
			Agent: t.agent.ID, AgentIncarnation: uint64(t.agent.Incarnation), Record: t.record,
		})
	}
	return out
}

// resumePartition goes on after a handover that did not reach the log.
func (e *engine) resumePartition(now time.Time, h ownership.PlannedHandover) {
	if p := e.partitions[h.Partition]; p.epoch == h.Epoch {
		e.resume(now, p)
	}
}

// resume starts work on a stopped partition again.
func (e *engine) resume(now time.Time, p *partition) {
	if !p.stopped {
		return
	}
	p.stopped = false
	for _, j := range e.jobs {
		if j.partition != p.id || j.answered() || !j.waitingTasks() {
			continue
		}
		if a := e.admit(now, j, nil); !a.Admitted {
			e.fail(j, now, a.Reason, "the rest of the job cannot be placed in time")
		}
	}
}

// storeTable keeps the job table of a partition that another gateway is about
// to hand over. It refuses a table that the owner sent before the one it holds.
func (e *engine) storeTable(r *rhubarbsailv1.HandoverRequest) bool {
	for _, pe := range r.Partitions {
		old := e.tables[model.Partition(pe.Partition)]
		if int(pe.Partition) >= len(e.partitions) ||
			old != nil && old.epoch == model.Epoch(pe.Epoch) && old.sequence >= r.Sequence {
			return false
		}
	}
	known := make(map[model.JobKey]*knownJob, len(r.Entries))
	for _, en := range r.Entries {
		k := &knownJob{tasks: make(map[int]knownTask, len(en.Tasks))}
		copy(k.digest[:], en.Digest)
		if en.Answer != nil {
			a := wire.AnswerFromProto(en.Answer)
			k.answer = &a
		}
		for _, t := range en.Tasks {
			k.tasks[int(t.Record.GetTask().GetIndex())] = knownTask{
				agent:  ownership.AgentRef{ID: t.Agent, Incarnation: model.Incarnation(t.AgentIncarnation)},
				record: t.Record,
			}
		}
		known[model.JobKey{Client: en.Client, Key: en.Key}] = k
	}
	table := &handoverTable{known: known, sequence: r.Sequence}
	if r.CutOffUnixNanos != 0 {
		table.cutOff = time.Unix(0, r.CutOffUnixNanos)
	}
	for _, pe := range r.Partitions {
		table.epoch = model.Epoch(pe.Epoch)
		e.tables[model.Partition(pe.Partition)] = table
	}
	return true
}
