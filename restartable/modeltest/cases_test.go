package modeltest

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/dispatch"
	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// scenario is a named sequence of faults.
type scenario struct {
	w *world
	t *testing.T
	// mutated is set if a protection is missing, so that a violation is expected.
	mutated bool
}

// newScenario returns a world of two gateways and the given number of agents in which
// nothing fails by itself.
func newScenario(t *testing.T, mut mutation, agents int) *scenario {
	w := newWorld(1, mut, 2, agents)
	w.calm = true
	if os.Getenv("MODEL_TRACE") != "" {
		w.trace = func(f string, args ...any) { t.Logf("%v: "+f, append([]any{w.Now}, args...)...) }
	}
	w.advance(s)
	return &scenario{w: w, t: t}
}

// submit sends a job of equal tasks that take half of a target and the given time.
func (sc *scenario) submit(g *gateway, tasks int, runTime time.Duration) *client {
	c := sc.newClient()
	c.addStep(tasks, 400*ms, runTime)
	c.submit(g, false)
	return c
}

// newClient returns a client whose job has no steps yet.
func (sc *scenario) newClient() *client {
	c := &client{w: sc.w, job: fmt.Sprintf("j%d", len(sc.w.clients))}
	sc.w.clients = append(sc.w.clients, c)
	return c
}

// addStep adds a step of tasks that take half of a target.
func (c *client) addStep(tasks int, estimate, runTime time.Duration, dependsOn ...int) {
	c.steps = append(c.steps, dispatch.Step{
		Tasks: tasks, Needs: task.Resources{CPUMillis: 2000, MemoryMB: 100}, Estimate: estimate, DependsOn: dependsOn,
	})
	c.runTime = append(c.runTime, runTime)
}

// runOf returns the agent with a run of the first task.
func (sc *scenario) runOf(c *client) *agent {
	id := task.ID{StepID: task.StepID{Job: c.job}}
	if len(sc.w.active[id]) == 0 {
		sc.t.Fatal("the task does not run")
	}
	return sc.w.active[id][0].target.agent
}

// crashBeforeAnswer submits a job whose first start is not answered: its target crashes,
// goes dark for a time and starts again under its ID, and then carries the start out.
func (sc *scenario) crashBeforeAnswer(downFor time.Duration) (*client, *agent) {
	var crashed *target
	for _, a := range sc.w.agents {
		a.target.lateBy = 10 * ms
		a.target.fate = func(call string) callFate {
			if strings.Contains(call, "start") && crashed == nil {
				crashed = a.target
				return lateCall
			}
			return delivered
		}
	}
	c := sc.submit(sc.w.gateways[0], 1, 4*s)
	sc.w.advance(8 * ms)
	if crashed == nil {
		sc.t.Fatal("no start was sent")
	}
	crashed.crash(downFor, crashed.id, true)
	c.next = sc.w.gateways[1]
	return c, crashed.agent
}

// firstStartIsLate makes the first start be carried out late, and gives later ones to the
// same target another fate. It returns the place of that target.
func (sc *scenario) firstStartIsLate(lateBy time.Duration, later callFate) **target {
	var first *target
	for _, a := range sc.w.agents {
		a.target.lateBy = lateBy
		a.target.fate = func(call string) callFate {
			switch {
			case !strings.Contains(call, "start"):
				return delivered
			case first == nil:
				first = a.target
				return lateCall
			case first == a.target:
				return later
			}
			return delivered
		}
	}
	return &first
}

// loseCalls loses all calls of one kind to a target.
func (tg *target) loseCalls(kind string) {
	tg.fate = func(call string) callFate {
		if strings.Contains(call, kind) {
			return lostCall
		}
		return delivered
	}
}

// cases are sequences that once led to a violation. without is a protection that each
// of them needs.
var cases = []struct {
	name    string
	without mutation
	play    func(sc *scenario)
}{
	// The caller of a suspended gateway sends its job again 1.3 s later. Up to the end of
	// the gateway's lease, 0.9 s, the agent renewed the target's lease by 0.9 s.
	{"agent dies at the end of a gateway's lease", unboundedLease, func(sc *scenario) {
		g := sc.w.gateways
		c := sc.submit(g[0], 1, 4*s)
		sc.w.advance(20 * ms)
		a := sc.runOf(c)
		c.next = g[1]
		g[0].pause(5 * s)
		c.current.leave(0, "the connection is broken")
		sc.w.advance(650 * ms)
		a.kill(5 * s)
		sc.w.advance(3 * s)
	}},
	// Frames of a gateway that had already lost power were delayed, so that the agent did
	// not yet miss any.
	{"frames of a dead gateway are delayed", noGatewayLease, func(sc *scenario) {
		g := sc.w.gateways
		c := sc.submit(g[0], 1, 4*s)
		sc.w.advance(20 * ms)
		a := sc.runOf(c)
		c.next = g[1]
		c.current.leave(0, "the connection is broken")
		g[0].kill(5*s, true)
		l := a.links[g[0]]
		for _, late := range []time.Duration{600 * ms, 1200 * ms} {
			stamp := l.stamp
			sc.w.After(late, func() { a.after(0, func() { l.receiveOrder(order{stamp: stamp}) }) })
		}
		sc.w.advance(3 * s)
	}},
	// The first frames of a link, with an order, were delayed. The agent took the gateway's
	// lease to begin with their arrival.
	{"first frames of a link are delayed", leaseFromAttach, func(sc *scenario) {
		g := sc.w.gateways
		for _, a := range sc.w.agents {
			old := a.links[g[0]]
			old.closeByAgent()
			a.dial(g[0])
			a.links[g[0]].toAgent.stalledUntil = sc.w.Now + 400*ms
		}
		sc.w.advance(10 * ms)
		c := sc.submit(g[0], 1, 4*s)
		sc.w.advance(5 * ms)
		c.next = g[1]
		c.current.leave(0, "the connection is broken")
		g[0].kill(5*s, true)
		sc.w.advance(800 * ms)
		for _, a := range sc.w.agents {
			if len(a.target.runs) > 0 {
				a.kill(5 * s)
			}
		}
		sc.w.advance(3 * s)
	}},
	// A queued task of a gateway that had lost power was started at the end of the
	// gateway's lease, under the lease that the target already had.
	{"queued task of a dead gateway", inheritLease, func(sc *scenario) {
		g, a := sc.w.gateways, sc.w.agents[0]
		sc.w.agents[1].links[g[0]].closeByAgent()
		sc.w.advance(10 * ms)
		blocker := sc.submit(g[1], 4, 4*s)
		sc.w.advance(50 * ms)
		blocker.ended = true
		c := sc.submit(g[0], 1, 4*s)
		sc.w.advance(20 * ms)
		if n := a.core.Load(sc.w.Now).Queued; n != 1 {
			sc.t.Fatalf("%d tasks are queued", n)
		}
		c.next = g[1]
		c.current.leave(0, "the connection is broken")
		g[0].kill(5*s, true)
		sc.w.advance(600 * ms)
		for _, a := range sc.w.agents {
			a.target.end(a.target.sortedRuns()[0], task.Done)
		}
		sc.w.advance(20 * ms)
		a.kill(5 * s)
		sc.w.advance(3 * s)
	}},
	// Stops got lost while polls renewed the lease of the run.
	{"stops are lost", unboundedLease, func(sc *scenario) {
		c := sc.submit(sc.w.gateways[0], 1, 4*s)
		sc.w.advance(20 * ms)
		a := sc.runOf(c)
		a.target.loseCalls("stop")
		c.next = sc.w.gateways[1]
		c.current.leave(0, "the connection is broken")
		sc.w.advance(3 * s)
	}},
	// The new process found a run of its predecessor and renewed its lease, while its
	// stops got lost.
	{"restarted agent cannot stop a run of its predecessor", renewForeignRuns, func(sc *scenario) {
		c := sc.submit(sc.w.gateways[0], 1, 4*s)
		sc.w.advance(200 * ms)
		a := sc.runOf(c)
		a.target.loseCalls("stop")
		c.next = sc.w.gateways[1]
		a.kill(20 * ms)
		sc.w.advance(3 * s)
	}},
	// A heartbeat of another writer made the agent report the runs of a living target
	// as lost.
	{"heartbeat of another writer", trustHeartbeats, func(sc *scenario) {
		c := sc.submit(sc.w.gateways[0], 1, 300*ms)
		sc.w.advance(20 * ms)
		a := sc.runOf(c)
		beat := a.target.heartbeat()
		beat.ID += "-other"
		beat.Incarnation += int64(time.Hour / ms)
		a.heartbeat(beat)
		sc.w.advance(s)
		if !sc.mutated && (!c.done || sc.w.stats["started"] != 1) {
			sc.t.Errorf("done: %v, %d starts", c.done, sc.w.stats["started"])
		}
	}},
	// The run was accepted by the new incarnation before its first heartbeat, which
	// then made the agent report it as lost.
	{"start before the heartbeat of a new incarnation", trustHeartbeats, func(sc *scenario) {
		for _, a := range sc.w.agents {
			a.target.heartbeatsLateUntil = sc.w.Now + 10*ms
			a.target.crash(ms/2, a.target.id, true)
		}
		c := sc.submit(sc.w.gateways[0], 1, 3*s)
		sc.w.advance(10 * ms)
		a := sc.runOf(c)
		a.heartbeat(a.target.heartbeat())
		sc.w.advance(s)
	}},
	// A start that was carried out late reached the next incarnation of the target,
	// after its task had been started elsewhere.
	{"late start reaches the next incarnation", keepToken, func(sc *scenario) {
		var late *target
		for _, a := range sc.w.agents {
			a.target.lateBy = 500 * ms
			a.target.fate = func(call string) callFate {
				if strings.Contains(call, "start") && late == nil {
					late = a.target
					return lateCall
				}
				return delivered
			}
		}
		sc.submit(sc.w.gateways[0], 1, 3*s)
		sc.w.advance(300 * ms)
		late.crash(20*ms, late.id, false)
		sc.w.advance(s)
	}},
	// The target was silent for longer than all leases and deadlines. The start was
	// reported as lost, its task was started elsewhere, and the next process of the target,
	// which had seen no fencing token, carried the start out (review/6).
	{"late start reaches the next process before its agent does", ignoreDoubts, func(sc *scenario) {
		sc.crashBeforeAnswer(3 * s)
		sc.w.advance(6 * s)
	}},
	// The caller lost its connection with the gateway, which told no other one of the start.
	{"gateway dies while a start is in doubt", ignoreDoubts, func(sc *scenario) {
		c, _ := sc.crashBeforeAnswer(2 * s)
		sc.w.advance(400 * ms)
		sc.w.gateways[0].kill(5*s, false)
		c.current.lose("the connection is broken")
		sc.w.advance(5 * s)
	}},
	// The agent's next process did not know of the start.
	{"agent dies while a start is in doubt", forgetLostAgents, func(sc *scenario) {
		_, a := sc.crashBeforeAnswer(2 * s)
		sc.w.advance(20 * ms)
		a.kill(200 * ms)
		sc.w.advance(6 * s)
	}},
	// The gateway of the resubmission had no link to the agent.
	{"start in doubt on an agent without a link", relayNothing, func(sc *scenario) {
		_, a := sc.crashBeforeAnswer(3 * s)
		g := sc.w.gateways[1]
		sc.w.cuts[cut{g.name, a.name}], sc.w.cuts[cut{a.name, g.name}] = sc.w.Now+10*s, sc.w.Now+10*s
		sc.w.advance(6 * s)
	}},
	// The clock was set back before the agent restarted, so that the start in doubt had a
	// higher token than the calls of the new process, and was carried out after these.
	{"agent restarts with a lower fencing token", noTokenFloor, func(sc *scenario) {
		_, a := sc.crashBeforeAnswer(500 * ms)
		a.clockBehind = 10 * s
		sc.w.advance(300 * ms)
		a.kill(400 * ms)
		a.target.postponeLateCalls = 2 * s
		sc.w.advance(6 * s)
	}},
	// The task was overdue before the target had answered the start. It was recalled and
	// started elsewhere, and the next process of the target carried the first start out while
	// the stops of the run elsewhere got lost.
	{"recalled start without an answer", moveRecalled, func(sc *scenario) {
		first := sc.firstStartIsLate(480*ms, lostCall)
		c := sc.newClient()
		c.addStep(1, 50*ms, 4*s)
		c.submit(sc.w.gateways[0], false)
		sc.w.advance(200 * ms)
		for _, a := range sc.w.agents {
			a.target.loseCalls("stop")
		}
		(*first).fate = nil
		sc.w.advance(270 * ms)
		(*first).crash(20*ms, (*first).id, false)
		sc.w.advance(300 * ms)
	}},
	// The gateway of the job died and the agent restarted, so that nobody remembered the
	// start when its target crashed.
	{"agent restarts after a start without an answer", forgetLateTasks, func(sc *scenario) {
		g := sc.w.gateways
		first := sc.firstStartIsLate(1500*ms, delivered)
		c := sc.submit(g[0], 1, 4*s)
		sc.w.advance(300 * ms)
		c.next = g[1]
		g[0].kill(5*s, false)
		sc.w.advance(200 * ms)
		(*first).agent.kill(100 * ms)
		sc.w.advance(500 * ms)
		(*first).crash(1300*ms, (*first).id, true)
		sc.w.advance(3 * s)
	}},
	// All gateways and the agent restarted, the agent with its clock set back, so that nobody
	// knew the token of the start, which the target's next process carried out beside a run.
	{"clock was set back and all gateways restarted", ignoreTargetStart, func(sc *scenario) {
		first := sc.firstStartIsLate(1500*ms, delivered)
		c := sc.submit(sc.w.gateways[0], 1, 50*ms)
		sc.w.advance(300 * ms)
		c.ended = true
		a := (*first).agent
		a.clockBehind = 10 * s
		a.kill(500 * ms)
		for _, g := range sc.w.gateways {
			g.kill(200*ms, false)
		}
		(*first).crash(100*ms, (*first).id, false)
		for _, other := range sc.w.agents {
			if other != a {
				other.kill(5 * s)
			}
		}
		sc.w.advance(1050 * ms)
		sc.submit(sc.w.gateways[0], 2, 4*s)
		sc.w.advance(s)
	}},
	// A task whose start was repeated was done, but its job was not completed in time. It ran
	// again for the resubmission, and the next process of the target carried the first start
	// out.
	{"task that is done of an unfinished job", forgetRepeated, func(sc *scenario) {
		first := sc.firstStartIsLate(2500*ms, delivered)
		c := sc.newClient()
		c.addStep(1, 300*ms, 300*ms)
		c.addStep(1, 400*ms, 4*s, 0)
		c.submit(sc.w.gateways[0], false)
		c.next = sc.w.gateways[1]
		sc.w.advance(2 * s)
		(*first).crash(s, (*first).id, true)
		sc.w.advance(3 * s)
	}},
	// The answer to the start was lost, and the ends of the incarnation that had run the
	// task were forgotten, so that the task was reported as not started.
	{"unanswered start and a new incarnation", noMutation, func(sc *scenario) {
		for _, a := range sc.w.agents {
			a.target.fate = func(call string) callFate {
				if strings.Contains(call, "start") {
					return lostAnswer
				}
				return delivered
			}
		}
		c := sc.submit(sc.w.gateways[0], 1, 4*s)
		sc.w.advance(20 * ms)
		a := sc.runOf(c)
		a.pause(100 * ms)
		a.target.crash(20*ms, a.target.id+"-next", false)
		sc.w.advance(s)
	}},
	// Of two steps that followed the same one, the first was ordered and the second, whose
	// estimate was too long, refused. The agents got the stop of the job before the orders.
	{"step is refused beside another one", noMutation, func(sc *scenario) {
		c := sc.newClient()
		c.addStep(1, 50*ms, 50*ms)
		c.addStep(1, 400*ms, 4*s, 0)
		c.addStep(1, 10*s, 10*s, 0)
		c.submit(sc.w.gateways[0], false)
		sc.w.advance(3 * s)
	}},
}

// Guards against the violations that the model has found.
func TestNamedCases(t *testing.T) {
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sc := newScenario(t, noMutation, 2)
			c.play(sc)
			if sc.w.violation != "" {
				t.Error(sc.w.violation)
			}
			if sc.w.stats["started"] == 0 {
				t.Error("no task has started")
			}
		})
	}
}

// Guards against named cases that no longer bring about what they are named after.
func TestNamedCasesNeedTheirProtections(t *testing.T) {
	for _, c := range cases {
		if c.without == noMutation {
			continue
		}
		t.Run(c.name, func(t *testing.T) {
			sc := newScenario(t, c.without, 2)
			sc.mutated = true
			c.play(sc)
			if sc.w.violation == "" {
				t.Errorf("no violation without: %s", c.without)
			}
			t.Log(sc.w.violation)
		})
	}
}
