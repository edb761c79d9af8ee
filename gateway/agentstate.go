package gateway

import (
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/model"
	"github.com/rhubarbsail/rhubarbsail/gateway/agentlink"
	rhubarbsailv1 "github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/v1"
	"github.com/rhubarbsail/rhubarbsail/ownership"
	"github.com/rhubarbsail/rhubarbsail/scheduler"
)

// placement is a task that was sent to an agent and whose outcome the agent has not
// reported. It outlives the job's answer, because the policy counts the slot as used
// until the agent reports the outcome.
type placement struct {
	job     *job
	index   int
	handle  scheduler.JobHandle
	epoch   model.Epoch
	attempt uint32
	// confirmed is set for a placement of an earlier owner once the agent's ledger has
	// shown that the task arrived.
	confirmed bool
}

// agentState is the engine's state for one agent. Only the engine goroutine accesses
// it.
type agentState struct {
	// listed is the incarnation and address of the agent that the log lists.
	listed agentlink.Agent
	target scheduler.TargetID
	// stop ends the goroutine of the link.
	stop func()
	// session is nil while the link is down.
	session *agentlink.Session
	// runningIncarnation is the incarnation that the last Welcome frame stated. It can
	// differ from the listed one.
	runningIncarnation model.Incarnation
	// permit is the newest permit that the agent sent on this session, or nil.
	permit     *rhubarbsailv1.Permit
	load       scheduler.Load
	placements map[model.TaskID]*placement
	// pendingFences holds the partitions of each fence whose reply is incomplete, by
	// request id.
	pendingFences map[uint64][]ownership.PartitionEpoch
	lastProbe     time.Time
	// linkDownSince is the time at which the link went down or, before the first link,
	// at which the agent was added.
	linkDownSince time.Time
}

// acceptsStarts reports whether starts may be sent to the agent: it is linked and has
// sent a permit.
func (a *agentState) acceptsStarts() bool {
	return a.session != nil && a.runningIncarnation == a.listed.Incarnation && a.permit != nil
}

func (a *agentState) ref() ownership.AgentRef {
	return ownership.AgentRef{ID: a.listed.ID, Incarnation: a.listed.Incarnation}
}

// send queues a frame. If it returns false, the frame will not be sent.
func (a *agentState) send(f *rhubarbsailv1.GatewayFrame) bool {
	return a.session != nil && a.session.Send(f)
}

// addPlacement records a placement of a task at the agent.
func (a *agentState) addPlacement(id model.TaskID, pl *placement) {
	a.placements[id] = pl
	if pl.job.placementsAt == nil {
		pl.job.placementsAt = make(map[*agentState]int)
	}
	pl.job.placementsAt[a]++
}

// removePlacement removes a placement of a task at the agent.
func (a *agentState) removePlacement(id model.TaskID, pl *placement) {
	delete(a.placements, id)
	if pl.job.placementsAt[a]--; pl.job.placementsAt[a] <= 0 {
		delete(pl.job.placementsAt, a)
	}
}

// syncAgents adds and drops agents to match the agents that the log lists.
func (e *engine) syncAgents(now time.Time) {
	refs := make([]ownership.AgentRef, 0, len(e.snapshot.Agents))
	for id, a := range e.snapshot.Agents {
		refs = append(refs, ownership.AgentRef{ID: id, Incarnation: a.Incarnation})
		listed := agentlink.Agent{ID: id, Incarnation: a.Incarnation, Address: a.Address}
		if old := e.agents[id]; old != nil && old.listed != listed {
			e.dropAgent(now, old)
		}
		if e.agents[id] == nil {
			e.addAgent(now, listed, scheduler.TargetID(a.Target))
		}
	}
	for id, ag := range e.agents {
		// The log may show the departure of an agent before its last report has
		// arrived. The agent closes the link after that report, so it is kept until
		// then.
		if !e.snapshot.Listed(id, ag.listed.Incarnation) && (ag.session == nil || len(ag.placements) == 0) {
			e.dropAgent(now, ag)
		}
	}
	e.validity.SetListed(refs)
}

// addAgent adds an agent and starts its link.
func (e *engine) addAgent(now time.Time, listed agentlink.Agent, target scheduler.TargetID) {
	ag := &agentState{
		listed:        listed,
		target:        target,
		linkDownSince: now,
		placements:    make(map[model.TaskID]*placement),
		pendingFences: make(map[uint64][]ownership.PartitionEpoch),
	}
	ag.stop = e.dial(listed)
	e.agents[listed.ID] = ag
	e.agentsByTarget[target] = ag
}

// dropAgent removes an incarnation that the log no longer lists. Its ledger is lost
// or will be, so the outcomes of the tasks that were sent to it cannot be learned.
func (e *engine) dropAgent(now time.Time, ag *agentState) {
	ag.stop()
	e.losePlacements(now, ag, "the agent was replaced or removed")
	delete(e.agents, ag.listed.ID)
	if e.agentsByTarget[ag.target] == ag {
		delete(e.agentsByTarget, ag.target)
	}
}

// losePlacements ends all placements at the agent as lost and fails their jobs.
func (e *engine) losePlacements(now time.Time, ag *agentState, why string) {
	for id, pl := range ag.placements {
		ag.removePlacement(id, pl)
		e.policy.Finish(now, scheduler.Outcome{
			Task: scheduler.TaskRef{Job: pl.handle, Index: pl.index}, Target: ag.target, Kind: scheduler.OutcomeLost,
		})
		if !pl.job.answered() {
			pl.job.tasks[pl.index].phase = taskFailedOrLost
			pl.job.trace.add(now, "lost", pl.index, string(ag.target), why)
			e.fail(pl.job, now, model.ReasonOutcomeLost, "the outcome of a started task was lost: "+why)
		}
	}
}

// syncTargets passes the listed targets and their state to the policy.
func (e *engine) syncTargets(now time.Time) {
	targets := make([]scheduler.Target, 0, len(e.agents))
	for id, a := range e.snapshot.Agents {
		ag := e.agents[id]
		t := scheduler.Target{
			ID:               ag.target,
			Service:          a.Service,
			Slots:            a.Slots,
			Connections:      a.Connections,
			AvailabilityZone: a.AvailabilityZone,
			Delay:            e.opts.delayTo(a.AvailabilityZone),
			Connected:        ag.acceptsStarts(),
			Draining:         e.snapshot.DrainedAgent(id) || ag.load.Leaving || !ag.load.Accepting,
		}
		if cfg, ok := e.snapshot.Config.Target(a.Target); ok {
			t.DeclaredSpeed = cfg.Speed
		}
		targets = append(targets, t)
	}
	e.policy.SetTargets(now, targets)
}
