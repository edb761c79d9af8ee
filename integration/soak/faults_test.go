package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/rhubarbsail/rhubarbsail/platform/standin"
)

const (
	// lateAfter is the delay of calls to a target that are carried out late.
	lateAfter = 300 * time.Millisecond
	// delayMax bounds the delay of a link, slownessMax the factor of run times.
	delayMax    = 600 * time.Millisecond
	slownessMax = 5
	// failShareMax is the largest share of failing calls to a target.
	failShareMax = 0.4
	// fenceAhead is how far a target's token may be ahead of the clock.
	fenceAhead = 20 * time.Second
	burstJobs  = 60
	configStep = 200 * time.Millisecond
	// timeoutChangeMax is how far a changed configuration moves a queue's timeout.
	timeoutChangeMax = 100 * time.Millisecond
	configsMax       = 8
)

// callFaults chooses which calls to a target fail.
type callFaults struct {
	// down is held while the target is down.
	down sync.Mutex

	mu     sync.Mutex // owns the fields below
	share  float64
	random *rand.Rand
}

func (c *callFaults) set(share float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.share = share
}

func (c *callFaults) draw(string) standin.Fault {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.random.Float64() >= c.share {
		return standin.FaultNone
	}
	return []standin.Fault{standin.FaultReplyLost, standin.FaultDelayed, standin.FaultUnavailable}[c.random.IntN(3)]
}

// scene is a step with what it touches.
type scene struct {
	step
	site           *site
	load           *callers
	gateway, other *node
	agent          *node
}

// fault is a kind of steps. Its weight is how often it is drawn.
type fault struct {
	name   string
	weight int
	play   func(sc scene)
}

// faults are all kinds. A play returns when its fault has ended.
var faults = []fault{
	{"kill gateway", 2, func(sc scene) { sc.site.kill(sc.gateway, sc.For) }},
	{"kill agent", 2, func(sc scene) { sc.site.kill(sc.agent, sc.For) }},
	{"pause gateway", 2, func(sc scene) { pause(sc.gateway, sc.For) }},
	{"pause agent", 2, func(sc scene) { pause(sc.agent, sc.For) }},
	{"planned stop of gateway", 2, func(sc scene) { sc.site.restart(sc.gateway, sc.For) }},
	{"planned stop of agent", 2, func(sc scene) { sc.site.restart(sc.agent, sc.For) }},
	{"SIGHUP to all", 1, func(sc scene) {
		for _, n := range sc.site.nodes() {
			n.Signal(syscall.SIGHUP)
		}
	}},
	{"cut agent from gateway", 2, func(sc scene) { sc.cut(sc.agent.Name, sc.gateway.Name, true, true) }},
	{"cut agent to gateway one way", 1, func(sc scene) { sc.cut(sc.agent.Name, sc.gateway.Name, true, false) }},
	{"cut gateway to agent one way", 1, func(sc scene) { sc.cut(sc.agent.Name, sc.gateway.Name, false, true) }},
	{"cut gateway from gateway", 1, func(sc scene) { sc.cut(sc.gateway.Name, sc.other.Name, true, true) }},
	{"cut gateway from store", 1, func(sc scene) { sc.cut(sc.gateway.Name, storeAs, true, true) }},
	{"cut agent from store", 1, func(sc scene) { sc.cut(sc.agent.Name, storeAs, true, true) }},
	{"delay agent to gateway", 1, func(sc scene) {
		delay := func(d time.Duration) { sc.site.net.Delay(sc.agent.Name, sc.gateway.Name, d) }
		delay(time.Duration(sc.X * float64(delayMax)))
		time.Sleep(sc.For)
		delay(0)
	}},
	{"reset links", 1, func(sc scene) { sc.site.net.Reset(sc.agent.Name, sc.gateway.Name) }},
	{"silence links", 1, func(sc scene) { sc.site.net.Silence(sc.agent.Name, sc.gateway.Name) }},
	{"store down", 1, func(sc scene) { sc.during(sc.site.store.SetDown) }},
	{"store loses answers", 1, func(sc scene) { sc.during(sc.site.store.SetLoseReplies) }},
	{"store drops history", 1, func(sc scene) { sc.site.store.TrimHistory() }},
	{"target starts again under its id", 2, func(sc scene) { restartTarget(sc.agent, "", sc.For) }},
	{"target replaced", 1, func(sc scene) {
		restartTarget(sc.agent, sc.name("i"), sc.For)
	}},
	{"target leaves", 2, func(sc scene) { sc.site.leave(sc.agent, sc.name("i"), sc.For) }},
	{"target slow", 1, func(sc scene) {
		sc.agent.target.SetSlowness(1 + sc.X*(slownessMax-1))
		time.Sleep(sc.For)
		sc.agent.target.SetSlowness(1)
	}},
	{"calls to target fail", 2, func(sc scene) {
		sc.agent.calls.set(sc.X * failShareMax)
		time.Sleep(sc.For)
		sc.agent.calls.set(0)
	}},
	{"target has seen a later token", 1, func(sc scene) {
		ahead := time.Duration(sc.X * float64(fenceAhead))
		sc.agent.target.RaiseFencingToken(time.Now().Add(ahead).UnixMilli())
	}},
	{"configuration changes", 2, func(sc scene) {
		for range 1 + int(sc.X*configsMax) {
			sc.site.newConfig(time.Duration(sc.X * float64(timeoutChangeMax)))
			time.Sleep(configStep)
		}
	}},
	{"reset callers", 1, func(sc scene) { sc.load.breakConnections(sc.gateway, resetConnection) }},
	{"silence callers", 1, func(sc scene) { sc.load.breakConnections(sc.gateway, silenceConnection) }},
	{"callers end without notice", 1, func(sc scene) { sc.load.breakConnections(sc.gateway, loseConnection) }},
	{"burst of jobs", 1, func(sc scene) { sc.load.burst(burstJobs) }},
}

// name returns an id that no other step uses.
func (sc scene) name(prefix string) string {
	return fmt.Sprintf("%s-%s-%d", prefix, sc.agent.Name, sc.At.Milliseconds())
}

// during sets a fault for the length of the step.
func (sc scene) during(set func(bool)) {
	set(true)
	time.Sleep(sc.For)
	set(false)
}

// cut holds bytes between two processes for the length of the step.
func (sc scene) cut(a, b string, there, back bool) {
	if there {
		sc.site.net.CutOneWay(a, b)
	}
	if back {
		sc.site.net.CutOneWay(b, a)
	}
	time.Sleep(sc.For)
	sc.site.net.Heal(a, b)
}

// play carries the steps out at their times and waits for the end of the last.
func (s *site) play(steps []step, load *callers) {
	began := time.Now()
	var wg sync.WaitGroup
	for _, st := range steps {
		sc := scene{
			step: st, site: s, load: load, agent: s.agents[st.Agent],
			gateway: s.gateways[st.Gateway], other: s.gateways[(st.Gateway+1)%len(s.gateways)],
		}
		time.Sleep(time.Until(began.Add(st.At)))
		wg.Go(func() { st.Fault.play(sc) })
	}
	wg.Wait()
}

// kill ends a process, and starts it again after a while.
func (s *site) kill(n *node, down time.Duration) {
	if !n.lifecycle.TryLock() {
		return
	}
	defer n.lifecycle.Unlock()
	defer n.disturb()()
	n.Kill()
	time.Sleep(down)
	s.start(n)
}

func (s *site) start(n *node) {
	if err := n.Start(); err != nil {
		s.t.Errorf("%s: %v", n.Name, err)
	}
}

func pause(n *node, d time.Duration) {
	defer n.disturb()()
	n.Pause()
	time.Sleep(d)
	n.Resume()
}

// restart stops a process as planned, and starts it again after a while.
func (s *site) restart(n *node, down time.Duration) {
	if !n.lifecycle.TryLock() {
		return
	}
	defer n.lifecycle.Unlock()
	s.terminate(n)
	// The process is gone until it has started.
	defer n.disturb()()
	time.Sleep(down)
	s.start(n)
}

// terminate requires an orderly end within the grace.
func (s *site) terminate(n *node) {
	began := time.Now()
	n.Signal(syscall.SIGTERM)
	select {
	case <-n.Ended():
		if err := n.Err(); err != nil {
			s.t.Errorf("%s ended after SIGTERM with %v", n.Name, err)
		}
	case <-time.After(grace + faultMax + slack):
		s.t.Errorf("%s runs %v after SIGTERM", n.Name, time.Since(began))
		n.Kill()
		return
	}
	if took := time.Since(began); took > grace+slack && !n.wasDisturbed(began, time.Now()) {
		s.t.Errorf("%s took %v to stop", n.Name, took)
	}
}

// restartTarget ends the target's life and begins another one after a while.
func restartTarget(a *node, id string, down time.Duration) {
	if !a.calls.down.TryLock() {
		return
	}
	defer a.calls.down.Unlock()
	a.target.Crash()
	time.Sleep(down)
	a.target.Restart(id)
}

// leave lets a target announce that it leaves, say goodbye after a while, and
// be replaced.
func (s *site) leave(a *node, next string, d time.Duration) {
	if !a.calls.down.TryLock() {
		return
	}
	defer a.calls.down.Unlock()
	a.target.Drain()
	time.Sleep(d)
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	a.target.Deregister(ctx, a.internal)
	a.target.Crash()
	a.target.Restart(next)
}

// repair ends what may still be at work of the faults.
func (s *site) repair() {
	s.net.HealAll()
	s.store.SetDown(false)
	s.store.SetLoseReplies(false)
	for _, n := range s.nodes() {
		n.Resume()
	}
}

// terminateAll stops all processes as planned.
func (s *site) terminateAll(j *judge) {
	var wg sync.WaitGroup
	for _, n := range s.nodes() {
		wg.Go(func() {
			n.lifecycle.Lock()
			defer n.lifecycle.Unlock()
			if n.PID() == 0 {
				j.report("%s is not running", n.Name)
				return
			}
			s.terminate(n)
		})
	}
	wg.Wait()
}
