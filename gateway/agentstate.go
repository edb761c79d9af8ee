package gateway

import (
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/model"
	"github.com/rhubarbsail/rhubarbsail/gateway/agentlink"
	rhubarbsailv1 "github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/v1"
	"github.com/rhubarbsail/rhubarbsail/ownership"
	"github.com/rhubarbsail/rhubarbsail/scheduler"
)

// flight is one placement of a task at an agent without a final record. It
// outlives the job's answer, because the policy counts the slot until the agent
// reports the end.
type flight struct {
	job     *job
	index   int
	handle  scheduler.JobHandle
	epoch   model.Epoch
	attempt uint32
	// confirmed is set for an adopted flight once a ledger showed the task.
	confirmed bool
}

// agentState is the engine's view of one listed agent. The engine goroutine
// owns it.
type agentState struct {
	addr   agentlink.Agent
	target scheduler.TargetID
	// stop ends the link's goroutine.
	stop func()
	// session is nil while the link is down.
	session  *agentlink.Session
	welcomed model.Incarnation
	permit   *rhubarbsailv1.Permit
	load     scheduler.Load
	flights  map[model.TaskID]*flight
	// fences holds the partitions of each fence without a complete reply.
	fences    map[uint64][]ownership.PartitionEpoch
	lastProbe time.Time
	// linkLost is the time since which there is no session.
	linkLost time.Time
}

// usable reports whether the agent may receive starts: its link is up and the
// running incarnation is the one that the log lists.
func (a *agentState) usable() bool {
	return a.session != nil && a.welcomed == a.addr.Incarnation && a.permit != nil
}

func (a *agentState) ref() ownership.AgentRef {
	return ownership.AgentRef{ID: a.addr.ID, Incarnation: a.addr.Incarnation}
}

// send queues a frame; false means that it will certainly not be sent.
func (a *agentState) send(f *rhubarbsailv1.GatewayFrame) bool {
	return a.session != nil && a.session.Send(f)
}

func (a *agentState) addFlight(id model.TaskID, f *flight) {
	a.flights[id] = f
	if f.job.sentTo == nil {
		f.job.sentTo = make(map[*agentState]int)
	}
	f.job.sentTo[a]++
}

func (a *agentState) removeFlight(id model.TaskID, f *flight) {
	delete(a.flights, id)
	if f.job.sentTo[a]--; f.job.sentTo[a] <= 0 {
		delete(f.job.sentTo, a)
	}
}

// syncAgents brings the links in line with the agents that the log lists.
func (e *engine) syncAgents(now time.Time) {
	listed := make([]ownership.AgentRef, 0, len(e.view.Agents))
	for id, a := range e.view.Agents {
		listed = append(listed, ownership.AgentRef{ID: id, Incarnation: a.Incarnation})
		addr := agentlink.Agent{ID: id, Incarnation: a.Incarnation, Address: a.Address}
		if old := e.agents[id]; old != nil && old.addr != addr {
			e.dropAgent(now, old)
		}
		if e.agents[id] == nil {
			e.addAgent(now, addr, scheduler.TargetID(a.Target))
		}
	}
	for id, ag := range e.agents {
		// An agent that stopped as planned closes its link after its last report,
		// which the log may overtake.
		if !e.view.Listed(id, ag.addr.Incarnation) && (ag.session == nil || len(ag.flights) == 0) {
			e.dropAgent(now, ag)
		}
	}
	e.validity.SetListed(listed)
}

func (e *engine) addAgent(now time.Time, addr agentlink.Agent, target scheduler.TargetID) {
	ag := &agentState{
		addr:     addr,
		target:   target,
		linkLost: now,
		flights:  make(map[model.TaskID]*flight),
		fences:   make(map[uint64][]ownership.PartitionEpoch),
	}
	ag.stop = e.dial(addr)
	e.agents[addr.ID] = ag
	e.byTarget[target] = ag
}

// dropAgent forgets an incarnation that the log no longer lists. Its ledger is
// gone or will be, so the outcome of what was sent there cannot be known.
func (e *engine) dropAgent(now time.Time, ag *agentState) {
	ag.stop()
	e.loseFlights(now, ag, "the agent was replaced or removed")
	delete(e.agents, ag.addr.ID)
	if e.byTarget[ag.target] == ag {
		delete(e.byTarget, ag.target)
	}
}

// loseFlights fails the jobs of all tasks that were sent to the agent.
func (e *engine) loseFlights(now time.Time, ag *agentState, why string) {
	for id, f := range ag.flights {
		ag.removeFlight(id, f)
		e.policy.Finish(now, scheduler.Outcome{
			Task: scheduler.TaskRef{Job: f.handle, Index: f.index}, Target: ag.target, Kind: scheduler.OutcomeLost,
		})
		if !f.job.answered() {
			f.job.tasks[f.index].phase = taskEnded
			f.job.trace.add(now, "lost", f.index, string(ag.target), why)
			e.fail(f.job, now, model.ReasonOutcomeLost, "the outcome of a started task was lost: "+why)
		}
	}
}

// syncTargets passes the targets and their state to the policy.
func (e *engine) syncTargets(now time.Time) {
	targets := make([]scheduler.Target, 0, len(e.agents))
	for id, a := range e.view.Agents {
		ag := e.agents[id]
		t := scheduler.Target{
			ID:               ag.target,
			Service:          a.Service,
			Slots:            a.Slots,
			Connections:      a.Connections,
			AvailabilityZone: a.AvailabilityZone,
			Delay:            e.opts.delayTo(a.AvailabilityZone),
			Connected:        ag.usable(),
			Draining:         e.view.Drained[a.Target] || ag.load.Leaving || !ag.load.Accepting,
		}
		if cfg, ok := e.view.Config.Target(a.Target); ok {
			t.DeclaredSpeed = cfg.Speed
		}
		targets = append(targets, t)
	}
	e.policy.SetTargets(now, targets)
}
