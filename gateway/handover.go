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

// handoverTable is the job table of a partition that its owner is handing over. It is
// kept until the log shows this gateway's claim.
type handoverTable struct {
	epoch model.Epoch
	// sequence increases with each table that the owner of the epoch sends.
	sequence  uint64
	cutOff    time.Time
	inherited map[model.JobKey]*inheritedJob
}

// errSuccessorRefused means that the successor did not take the job table. It is not
// logged as a failure, because the next plan selects another successor.
var errSuccessorRefused = errors.New("the successor is leaving or has a newer job table")

// errNotOwned means that the partition cannot be handed over now. It is not logged as
// a failure.
var errNotOwned = errors.New("partition is not owned, or its takeover is not ready")

// handOver hands one partition over to another gateway: it stops work on it, sends the
// job table and then appends the claim for the successor. If a step before the claim
// fails, this gateway resumes the partition; from then on only the log decides which
// gateway owns it.
func (g *Gateway) handOver(ctx context.Context, h ownership.PlannedHandover) error {
	to, ok := g.control.Snapshot().Member(h.To.ID, h.To.Incarnation)
	if !ok {
		return errors.Errorf("gateway %s is not a member", h.To.ID)
	}
	table, err := callEngine(ctx, g.engine, func(e *engine, now time.Time) *rhubarbsailv1.HandoverRequest {
		return e.beginHandover(now, h)
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
		err = errSuccessorRefused
	}
	if err != nil {
		_, _ = callEngine(ctx, g.engine, func(e *engine, now time.Time) bool {
			e.abortHandover(now, h)
			return true
		})
		return errors.Wrap(err, "send job table")
	}
	return g.claimForSuccessor(ctx, h)
}

// claimForSuccessor appends the claim of the successor. If that has no effect or its
// outcome is unknown, it claims the partition back until the log shows a new owner:
// the claim that the log orders first takes effect.
func (g *Gateway) claimForSuccessor(ctx context.Context, h ownership.PlannedHandover) error {
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

// beginHandover stops work on a partition and returns its job table, or nil if the
// partition cannot be handed over now.
func (e *engine) beginHandover(now time.Time, h ownership.PlannedHandover) *rhubarbsailv1.HandoverRequest {
	p := e.partitions[h.Partition]
	if p.epoch != h.Epoch || p.handingOver || p.takeover.State(e.mono(now)) != ownership.Ready ||
		!e.validity.Valid(e.mono(now), p.id, p.epoch) {
		return nil
	}
	p.handingOver = true
	for _, held := range p.held {
		held.reply <- reply{moved: true}
	}
	p.held = nil
	e.lastRequest++
	out := &rhubarbsailv1.HandoverRequest{
		FromGateway: e.opts.ID, FromIncarnation: uint64(e.opts.Incarnation), Sequence: e.lastRequest,
		Partitions: []*rhubarbsailv1.PartitionEpoch{{Partition: uint32(p.id), Epoch: uint64(p.epoch)}},
	}
	if c := p.takeover.CutOff(e.clock(now)); !c.IsZero() {
		out.CutOffUnixNanos = c.UnixNano()
	}
	for _, j := range e.jobs {
		if j.partition == p.id && !j.mayRunAgain() {
			e.removeFromPolicy(now, j)
			out.Entries = append(out.Entries, e.tableEntry(j))
		}
	}
	for key, k := range p.inherited {
		out.Entries = append(out.Entries, inheritedEntry(key, k))
	}
	return out
}

// tableEntry returns the entry of a job in the table for the next owner.
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
	for ag := range j.placementsAt {
		for id, pl := range ag.placements {
			if pl.job == j {
				out.Tasks = append(out.Tasks, &rhubarbsailv1.HandoverTask{
					Agent: ag.listed.ID, AgentIncarnation: uint64(ag.listed.Incarnation),
					Record: &rhubarbsailv1.TaskRecord{Task: wire.TaskIDToProto(id), Epoch: uint64(pl.epoch), Attempt: pl.attempt},
				})
			}
		}
	}
	return out
}

// inheritedEntry returns the entry of an inherited job in the table for the next
// owner.
func inheritedEntry(key model.JobKey, k *inheritedJob) *rhubarbsailv1.JobTableEntry {
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

// abortHandover resumes a partition whose handover failed before the claim for the
// successor was appended.
func (e *engine) abortHandover(now time.Time, h ownership.PlannedHandover) {
	if p := e.partitions[h.Partition]; p.epoch == h.Epoch {
		e.resumePartition(now, p)
	}
}

// resumePartition resumes work on a partition that was being handed over.
func (e *engine) resumePartition(now time.Time, p *partition) {
	if !p.handingOver {
		return
	}
	p.handingOver = false
	for _, j := range e.jobs {
		if j.partition != p.id || j.answered() || !j.hasWaitingTasks() {
			continue
		}
		if a := e.admit(now, j, nil); !a.Admitted {
			e.fail(j, now, a.Reason, "the rest of the job cannot be placed in time")
		}
	}
}

// storeTable stores the job table of partitions that another gateway is handing over
// to this one. It returns false if it already has that table or a newer one of the
// same epoch, or if a partition does not exist.
func (e *engine) storeTable(r *rhubarbsailv1.HandoverRequest) bool {
	for _, pe := range r.Partitions {
		old := e.handoverTables[model.Partition(pe.Partition)]
		if int(pe.Partition) >= len(e.partitions) ||
			old != nil && old.epoch == model.Epoch(pe.Epoch) && old.sequence >= r.Sequence {
			return false
		}
	}
	inherited := make(map[model.JobKey]*inheritedJob, len(r.Entries))
	for _, en := range r.Entries {
		k := &inheritedJob{tasks: make(map[int]inheritedTask, len(en.Tasks))}
		copy(k.digest[:], en.Digest)
		if en.Answer != nil {
			a := wire.AnswerFromProto(en.Answer)
			k.answer = &a
		}
		for _, t := range en.Tasks {
			k.tasks[int(t.Record.GetTask().GetIndex())] = inheritedTask{
				agent:  ownership.AgentRef{ID: t.Agent, Incarnation: model.Incarnation(t.AgentIncarnation)},
				record: t.Record,
			}
		}
		inherited[model.JobKey{Client: en.Client, Key: en.Key}] = k
	}
	table := &handoverTable{inherited: inherited, sequence: r.Sequence}
	if r.CutOffUnixNanos != 0 {
		table.cutOff = time.Unix(0, r.CutOffUnixNanos)
	}
	for _, pe := range r.Partitions {
		table.epoch = model.Epoch(pe.Epoch)
		e.handoverTables[model.Partition(pe.Partition)] = table
	}
	return true
}
