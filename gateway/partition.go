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

// adoptedHandle marks the flight of a task that an earlier owner sent. The
// policy does not know it.
const adoptedHandle scheduler.JobHandle = 0

// heldSubmission waits until a takeover is ready.
type heldSubmission struct {
	submission submission
	reply      chan<- reply
}

// partition is this gateway's view of one partition. The engine goroutine owns
// it.
type partition struct {
	id model.Partition
	// epoch is the epoch under which this gateway owns the partition, or 0.
	epoch model.Epoch
	// takeover is nil while the partition is not owned.
	takeover *ownership.Takeover
	// known holds what earlier owners did, until retention has passed.
	known      map[model.JobKey]*knownJob
	knownUntil time.Time
	// fenced lists the agents whose complete ledger arrived under this epoch.
	fenced map[ownership.AgentRef]bool
	held   []heldSubmission
	// claimed is the time of the takeover's start, state its last logged state.
	claimed time.Time
	state   ownership.TakeoverState
	// stopped is true while the partition is being handed over: nothing is
	// started and new submissions wait for the next owner.
	stopped bool
}

// setView applies a new control snapshot.
func (e *engine) setView(now time.Time, v *state.Snapshot) {
	old := e.view
	e.view = v
	e.syncAgents(now)
	e.syncLimits(now, old)
	e.syncOwnership(now)
	e.syncDrains(old)
	e.syncTargets(now)
}

func (e *engine) syncLimits(now time.Time, old *state.Snapshot) {
	if old != nil && old.ConfigVersion == e.view.ConfigVersion {
		return
	}
	clients := e.view.Config.Clients()
	limits := make([]scheduler.ClientLimit, len(clients))
	for i, c := range clients {
		limits[i] = scheduler.ClientLimit{Client: c.ID, Share: c.Share, MaxQueued: c.MaxQueued, MaxRunning: c.MaxRunning}
	}
	e.policy.SetLimits(now, limits)
}

// syncOwnership starts takeovers for partitions that the log now gives to this
// gateway and drops those that it gave to another.
func (e *engine) syncOwnership(now time.Time) {
	e.noteDepartures(now)
	var gained []*partition
	for _, p := range e.partitions {
		o, claimed := e.view.Owners[p.id]
		mine := claimed && o.Gateway == e.opts.ID && o.Incarnation == e.opts.Incarnation
		switch {
		case !mine:
			e.dropPartition(now, p)
		case p.epoch == o.Epoch:
		case p.epoch != 0 && o.Replaces == p.epoch:
			// A renewal keeps the takeover and the jobs.
			p.epoch = o.Epoch
			e.resume(now, p)
		default:
			e.dropPartition(now, p)
			e.gain(now, p, o)
			gained = append(gained, p)
		}
	}
	if len(gained) == 0 {
		return
	}
	for _, ag := range e.agents {
		if ag.usableForFence() {
			e.sendFences(ag)
		}
	}
}

// noteDepartures tells the takeovers in progress which agents left after their
// claim. Such an agent never replies, and without the note a takeover whose
// majority left would not end.
func (e *engine) noteDepartures(now time.Time) {
	var left []ownership.Member
	for _, m := range members(e.view) {
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

// gain starts the takeover of a partition.
func (e *engine) gain(now time.Time, p *partition, o state.Ownership) {
	p.epoch = o.Epoch
	p.known = make(map[model.JobKey]*knownJob)
	p.knownUntil = now.Add(e.opts.Ownership.Retention)
	p.fenced = make(map[ownership.AgentRef]bool)
	p.stopped = false
	p.claimed = now
	table := e.tables[p.id]
	delete(e.tables, p.id)
	switch {
	case o.Replaces == 0:
		p.takeover = ownership.NewFirstClaim(e.opts.Ownership)
	case o.Handover && table != nil && table.epoch == o.Replaces:
		p.takeover = ownership.NewHandover(e.opts.Ownership, table.cutOff)
		p.known = table.known
	default:
		p.takeover = ownership.NewTakeover(e.clock(now), e.opts.Ownership, o.Epoch, o.Base, members(e.view))
	}
	telemetry.Takeovers.Counter(e.metrics.scope, takeoverCause(o, table != nil)).Inc(1)
}

func takeoverCause(o state.Ownership, table bool) string {
	switch {
	case o.Replaces == 0:
		return "first"
	case o.Handover && table:
		return "handover"
	}
	return "crash"
}

// dropPartition gives up a partition that another gateway owns now. Waiting
// submissions are told to ask the new owner; the jobs are forgotten, since the
// new owner finds what ran in the ledgers.
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
	if !p.stopped {
		events.OwnershipLost.Log(e.log).Uint32("partition", uint32(p.id)).Uint64("epoch", uint64(p.epoch)).Send()
	}
	*p = partition{id: p.id}
}

// abandon removes a job without an answer.
func (e *engine) abandon(now time.Time, j *job) {
	j.gone = true
	e.withdraw(now, j)
	for ag := range j.sentTo {
		for id, f := range ag.flights {
			if f.job == j {
				ag.removeFlight(id, f)
				e.policy.Finish(now, scheduler.Outcome{
					Task: scheduler.TaskRef{Job: f.handle, Index: f.index}, Target: ag.target, Kind: scheduler.OutcomeNotStarted,
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

// withdraw takes the job's waiting tasks out of the policy.
func (e *engine) withdraw(now time.Time, j *job) {
	for _, h := range j.handles {
		e.policy.Remove(now, h)
		delete(e.byHandle, h)
	}
	j.handles = nil
}

// dropSuperseded gives up the partitions for which an agent knows a newer
// epoch: another claim took effect, even if this gateway cannot read the log.
func (e *engine) dropSuperseded(now time.Time) {
	for _, p := range e.partitions {
		if p.epoch != 0 && e.validity.Superseded(p.id, p.epoch) {
			e.dropPartition(now, p)
		}
	}
}

// noteStaleEpoch records that the agent refused a start under an old epoch.
func (e *engine) noteStaleEpoch(r *rhubarbsailv1.TaskRecord) {
	e.validity.Observe([]ownership.PartitionEpoch{{
		Partition: model.PartitionOf(wire.TaskIDFromProto(r.Task).Job, len(e.partitions)),
		Epoch:     model.Epoch(r.Epoch) + 1,
	}})
}

// advanceTakeovers releases the submissions that waited for a takeover.
func (e *engine) advanceTakeovers(now time.Time) {
	for _, p := range e.partitions {
		if p.epoch == 0 {
			continue
		}
		e.noteTakeover(now, p)
		if len(p.held) > 0 {
			e.releaseHeld(now, p)
		}
		if len(p.known) > 0 && now.After(p.knownUntil) {
			p.known = nil
		}
	}
}

// noteTakeover logs the progress of a takeover.
func (e *engine) noteTakeover(now time.Time, p *partition) {
	s := p.takeover.State(e.mono(now))
	if s == p.state {
		return
	}
	p.state = s
	switch s {
	case ownership.Waiting:
		missing := p.takeover.Missing()
		ids := make([]string, len(missing))
		for i, a := range missing {
			ids[i] = a.ID
		}
		events.TakeoverWaiting.Log(e.log).Uint32("partition", uint32(p.id)).Strs("missing", ids).Send()
	case ownership.Ready:
		took := now.Sub(p.claimed)
		telemetry.TakeoverDuration.Histogram(e.metrics.scope).RecordValue(took.Seconds())
		events.TakeoverFinished.Log(e.log).Uint32("partition", uint32(p.id)).Uint64("epoch", uint64(p.epoch)).Dur("took_ms", took).Send()
	}
}

// releaseHeld decides about the submissions that waited for a takeover. Those
// whose deadline has passed were answered by their handlers.
func (e *engine) releaseHeld(now time.Time, p *partition) {
	held := p.held
	p.held = nil
	ready := e.released(now, p)
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

// readyPartitions returns the owned partitions whose takeover is complete.
func (e *engine) readyPartitions(now time.Time) []state.PartitionClaim {
	var out []state.PartitionClaim
	for _, p := range e.partitions {
		if p.epoch != 0 && !p.stopped && p.takeover.State(e.mono(now)) == ownership.Ready {
			out = append(out, state.PartitionClaim{Partition: p.id, Replaces: p.epoch})
		}
	}
	return out
}
