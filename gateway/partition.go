package gateway

import (
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/events"
	"github.com/rhubarbsail/rhubarbsail/common/model"
	"github.com/rhubarbsail/rhubarbsail/common/telemetry"
	"github.com/rhubarbsail/rhubarbsail/gateway/wire"
	rhubarbsailv1 "github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/v1"
	"github.com/rhubarbsail/rhubarbsail/ownership"
	"github.com/rhubarbsail/rhubarbsail/scheduler"
	"github.com/rhubarbsail/rhubarbsail/state"
)

// adoptedHandle is the handle of placements that an earlier owner made. The
// scheduling policy does not know them.
const adoptedHandle scheduler.JobHandle = 0

// heldSubmission is a submission that waits until the owner may decide about it
// (engine.mayDecide).
type heldSubmission struct {
	submission submission
	reply      chan<- reply
}

// partition is the state of one partition at this gateway. Only the engine
// goroutine accesses it.
type partition struct {
	id model.Partition
	// epoch is the epoch under which this gateway owns the partition, or 0.
	epoch model.Epoch
	// takeover is nil while the partition is not owned.
	takeover *ownership.Takeover
	// inherited holds the jobs of earlier owners that have not been resubmitted to
	// this gateway. It is dropped at inheritedUntil, when the retention has passed.
	inherited      map[model.JobKey]*inheritedJob
	inheritedUntil time.Time
	// fenced holds the agents whose complete ledger has arrived under this epoch.
	fenced map[ownership.AgentRef]bool
	held   []heldSubmission
	// claimedAt is the start time of the takeover, loggedState its state when it was
	// last logged.
	claimedAt   time.Time
	loggedState ownership.TakeoverState
	// handingOver is true while the partition is handed over to another gateway:
	// no tasks are started, and new submissions are referred to the next owner.
	handingOver bool
}

// applySnapshot applies a new snapshot of the control state.
func (e *engine) applySnapshot(now time.Time, v *state.Snapshot) {
	old := e.snapshot
	e.snapshot = v
	e.syncAgents(now)
	e.syncLimits(now, old)
	e.syncOwnership(now)
	e.syncDrains(old)
	e.syncTargets(now)
}

// syncLimits passes the limits of the clients to the policy if the configuration
// changed.
func (e *engine) syncLimits(now time.Time, old *state.Snapshot) {
	if old != nil && old.ConfigVersion == e.snapshot.ConfigVersion {
		return
	}
	clients := e.snapshot.Config.Clients()
	limits := make([]scheduler.ClientLimit, len(clients))
	for i, c := range clients {
		limits[i] = scheduler.ClientLimit{Client: c.ID, Share: c.Share, MaxQueued: c.MaxQueued, MaxRunning: c.MaxRunning}
	}
	e.policy.SetLimits(now, limits)
}

// syncOwnership starts the takeover of partitions that this gateway owns according
// to the new snapshot, and drops partitions that it no longer owns.
func (e *engine) syncOwnership(now time.Time) {
	e.reportDepartures(now)
	var gained []*partition
	for _, p := range e.partitions {
		o, claimed := e.snapshot.Owners[p.id]
		mine := claimed && o.Gateway == e.opts.ID && o.Incarnation == e.opts.Incarnation
		switch {
		case !mine:
			e.dropPartition(now, p)
		case p.epoch == o.Epoch:
		case p.epoch != 0 && o.Replaces == p.epoch:
			// A renewal by this gateway: it keeps the takeover and the jobs.
			p.epoch = o.Epoch
			e.resumePartition(now, p)
		default:
			e.dropPartition(now, p)
			e.startTakeover(now, p, o)
			gained = append(gained, p)
		}
	}
	if len(gained) == 0 {
		return
	}
	for _, ag := range e.agents {
		if ag.linked() {
			e.sendFences(ag)
		}
	}
}

// reportDepartures reports agents that left to the takeovers in progress. Such an
// agent never replies to the fence; without this report, a takeover would wait
// forever once a majority of its agents has left.
func (e *engine) reportDepartures(now time.Time) {
	var left []ownership.Member
	for _, m := range agentMembers(e.snapshot) {
		if m.Left != 0 {
			left = append(left, m)
		}
	}
	for _, p := range e.partitions {
		if p.epoch == 0 || p.takeover.State(e.mono(now)) == ownership.Ready {
			continue
		}
		for _, m := range left {
			p.takeover.Left(e.clock(now), m.Agent, m.Left, m.LeftAt)
		}
	}
}

// startTakeover initializes a partition that this gateway now owns and starts its
// takeover.
func (e *engine) startTakeover(now time.Time, p *partition, o state.Ownership) {
	p.epoch = o.Epoch
	p.inherited = make(map[model.JobKey]*inheritedJob)
	p.inheritedUntil = now.Add(e.opts.Ownership.Retention)
	p.fenced = make(map[ownership.AgentRef]bool)
	p.handingOver = false
	p.claimedAt = now
	table := e.handoverTables[p.id]
	delete(e.handoverTables, p.id)
	switch {
	case o.Replaces == 0:
		p.takeover = ownership.NewFirstClaim(e.opts.Ownership)
	case o.Handover && table != nil && table.epoch == o.Replaces:
		p.takeover = ownership.NewHandover(e.opts.Ownership, table.cutOff)
		p.inherited = table.inherited
	default:
		p.takeover = ownership.NewTakeover(e.clock(now), e.opts.Ownership, o.Epoch, o.Base, agentMembers(e.snapshot))
	}
	telemetry.Takeovers.Counter(e.metrics.scope, takeoverCause(o, table != nil)).Inc(1)
}

// takeoverCause returns the label of the takeover in the metrics. A handover whose
// job table is missing counts as a crash, because it is recovered like one.
func takeoverCause(o state.Ownership, table bool) string {
	switch {
	case o.Replaces == 0:
		return "first"
	case o.Handover && table:
		return "handover"
	}
	return "crash"
}

// dropPartition discards the state of a partition that another gateway now owns.
// Held submissions and those that wait for a job are referred to the new owner.
// The jobs can be discarded because the new owner learns from the ledgers what ran.
func (e *engine) dropPartition(now time.Time, p *partition) {
	if p.epoch == 0 {
		return
	}
	for key, j := range e.jobs {
		if j.partition == p.id {
			e.abandon(now, j)
			delete(e.jobs, key)
		}
	}
	for _, h := range p.held {
		h.reply <- reply{moved: true}
	}
	if !p.handingOver {
		events.OwnershipLost.Log(e.log).Uint32("partition", uint32(p.id)).Uint64("epoch", uint64(p.epoch)).Send()
	}
	*p = partition{id: p.id}
}

// abandon stops work on a job that another gateway now owns. Its waiters are
// referred to the new owner instead of getting an answer.
func (e *engine) abandon(now time.Time, j *job) {
	j.ownerChanged = true
	e.removeFromPolicy(now, j)
	for ag := range j.placementsAt {
		for id, pl := range ag.placements {
			if pl.job == j {
				ag.removePlacement(id, pl)
				e.policy.Finish(now, scheduler.Outcome{
					Task: scheduler.TaskRef{Job: pl.handle, Index: pl.index}, Target: ag.target, Kind: scheduler.OutcomeNotStarted,
				})
			}
		}
	}
	if j.answered() {
		e.retained.remove(j)
		return
	}
	e.inProgress--
	j.deliver(reply{moved: true})
	j.span.end(model.Failed(j.runState(), model.ReasonOwnerChanged, ""))
}

// removeFromPolicy removes the job's waiting tasks from the scheduling policy.
func (e *engine) removeFromPolicy(now time.Time, j *job) {
	for _, h := range j.handles {
		e.policy.Remove(now, h)
		delete(e.jobsByHandle, h)
	}
	j.handles = nil
}

// dropSuperseded drops the partitions for which an agent has reported a newer
// epoch: a newer claim took effect, even if this gateway cannot read it from the
// log.
func (e *engine) dropSuperseded(now time.Time) {
	for _, p := range e.partitions {
		if p.epoch != 0 && e.validity.Superseded(p.id, p.epoch) {
			e.dropPartition(now, p)
		}
	}
}

// recordStaleEpoch records that an agent refused a start because its epoch is
// stale. The agent knows a newer epoch, which is at least one higher.
func (e *engine) recordStaleEpoch(r *rhubarbsailv1.TaskRecord) {
	e.validity.Observe([]ownership.PartitionEpoch{{
		Partition: model.PartitionOf(wire.TaskIDFromProto(r.Task).Job, len(e.partitions)),
		Epoch:     model.Epoch(r.Epoch) + 1,
	}})
}

// advanceTakeovers logs the progress of takeovers, submits held submissions again
// once they can be decided, and drops inherited jobs whose retention has passed.
func (e *engine) advanceTakeovers(now time.Time) {
	for _, p := range e.partitions {
		if p.epoch == 0 {
			continue
		}
		e.logTakeover(now, p)
		if len(p.held) > 0 {
			e.releaseHeld(now, p)
		}
		if len(p.inherited) > 0 && now.After(p.inheritedUntil) {
			p.inherited = nil
		}
	}
}

// logTakeover logs a change of the takeover's state.
func (e *engine) logTakeover(now time.Time, p *partition) {
	s := p.takeover.State(e.mono(now))
	if s == p.loggedState {
		return
	}
	p.loggedState = s
	switch s {
	case ownership.Waiting:
		missing := p.takeover.Missing()
		ids := make([]string, len(missing))
		for i, a := range missing {
			ids[i] = a.ID
		}
		events.TakeoverWaiting.Log(e.log).Uint32("partition", uint32(p.id)).Strs("missing", ids).Send()
	case ownership.Ready:
		took := now.Sub(p.claimedAt)
		telemetry.TakeoverDuration.Histogram(e.metrics.scope).RecordValue(took.Seconds())
		events.TakeoverFinished.Log(e.log).Uint32("partition", uint32(p.id)).Uint64("epoch", uint64(p.epoch)).Dur("took_ms", took).Send()
	}
}

// releaseHeld submits the held submissions again if the partition may decide about
// them. Those whose deadline has passed are dropped; their request handlers have
// already answered them.
func (e *engine) releaseHeld(now time.Time, p *partition) {
	held := p.held
	p.held = nil
	ready := e.mayDecide(now, p)
	for _, h := range held {
		switch {
		case h.submission.job.Deadline.Before(now):
		case ready:
			e.submit(now, h.submission, h.reply)
		default:
			p.held = append(p.held, h)
		}
	}
}

// readyPartitions returns the owned partitions whose takeover is complete, as the
// claims that would renew them.
func (e *engine) readyPartitions(now time.Time) []state.PartitionClaim {
	var out []state.PartitionClaim
	for _, p := range e.partitions {
		if p.epoch != 0 && !p.handingOver && p.takeover.State(e.mono(now)) == ownership.Ready {
			out = append(out, state.PartitionClaim{Partition: p.id, Replaces: p.epoch})
		}
	}
	return out
}
