package soak

import (
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
	configsMax = 8
)

// callFaults chooses which calls to a target fail.
type callFaults struct {
	// down is held while the target is down.
	down  sync.Mutex
	mu    sync.Mutex // owns share
	share float64
}

func (c *callFaults) set(share float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.share = share
}

func (c *callFaults) draw(string) standin.Fault {
	c.mu.Lock()
	defer c.mu.Unlock()
	if rand.Float64() >= c.share {
		return standin.FaultNone
	}
	return []standin.Fault{standin.FaultAnswerLost, standin.FaultLate, standin.FaultBusy}[rand.IntN(3)]
}

// play carries the steps out at their times and waits for the end of the last.
func (s *site) play(steps []step, load *callers) {
	began := time.Now()
	var wg sync.WaitGroup
	for _, st := range steps {
		time.Sleep(time.Until(began.Add(st.At)))
		wg.Go(func() { s.apply(st, load) })
	}
	wg.Wait()
}

// apply carries one step out and ends it.
func (s *site) apply(st step, load *callers) {
	g, a := s.gateways[st.Gateway], s.agents[st.Agent]
	other := s.gateways[(st.Gateway+1)%len(s.gateways)]
	switch st.Kind {
	case killGateway:
		s.kill(g, st.For)
	case killAgent:
		s.kill(a, st.For)
	case pauseGateway:
		pause(g, st.For)
	case pauseAgent:
		pause(a, st.For)
	case stopGateway:
		s.restart(g, st.For)
	case stopAgent:
		s.restart(a, st.For)
	case hangup:
		for _, n := range s.nodes() {
			n.Signal(syscall.SIGHUP)
		}
	case cutLink:
		s.cut(a.Name, g.Name, st.For, true, true)
	case cutToGateway:
		s.cut(a.Name, g.Name, st.For, true, false)
	case cutToAgent:
		s.cut(a.Name, g.Name, st.For, false, true)
	case cutGateways:
		s.cut(g.Name, other.Name, st.For, true, true)
	case cutGatewayStore:
		s.cut(g.Name, storeAs, st.For, true, true)
	case cutAgentStore:
		s.cut(a.Name, storeAs, st.For, true, true)
	case delayLink:
		s.net.Delay(a.Name, g.Name, time.Duration(st.X*float64(delayMax)))
		time.Sleep(st.For)
		s.net.Delay(a.Name, g.Name, 0)
	case resetLink:
		s.net.Reset(a.Name, g.Name)
	case silenceLink:
		s.net.Silence(a.Name, g.Name)
	case storeDown:
		s.store.SetDown(true)
		time.Sleep(st.For)
		s.store.SetDown(false)
	case storeLoses:
		s.store.LoseAnswers(true)
		time.Sleep(st.For)
		s.store.LoseAnswers(false)
	case storeForgets:
		s.store.Forget()
	case targetCrash:
		restartTarget(a, "", st.For)
	case targetReplaced:
		restartTarget(a, fmt.Sprintf("%s-%d", a.Name, st.At.Milliseconds()), st.For)
	case targetSlow:
		a.target.SetSlowness(1 + st.X*(slownessMax-1))
		time.Sleep(st.For)
		a.target.SetSlowness(1)
	case targetCalls:
		a.calls.set(st.X * failShareMax)
		time.Sleep(st.For)
		a.calls.set(0)
	case targetFence:
		a.target.RaiseFence(time.Now().Add(time.Duration(st.X * float64(fenceAhead))).UnixMilli())
	case configChange:
		for range 1 + int(st.X*configsMax) {
			s.newConfig(time.Duration(st.X*100) * time.Millisecond)
			time.Sleep(configStep)
		}
	case resetCallers:
		load.breakConnections(g, resetConnection)
	case silenceCallers:
		load.breakConnections(g, silenceConnection)
	case loseCallers:
		load.breakConnections(g, loseConnection)
	case burst:
		load.burst(burstJobs)
	}
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

// cut holds bytes between two processes for a while.
func (s *site) cut(a, b string, d time.Duration, there, back bool) {
	if there {
		s.net.CutOneWay(a, b)
	}
	if back {
		s.net.CutOneWay(b, a)
	}
	time.Sleep(d)
	s.net.Heal(a, b)
}

func restartTarget(a *node, id string, down time.Duration) {
	if !a.calls.down.TryLock() {
		return
	}
	defer a.calls.down.Unlock()
	a.target.Crash()
	time.Sleep(down)
	a.target.Restart(id)
}

// repair ends what may still be at work of the faults.
func (s *site) repair() {
	s.net.HealAll()
	s.store.SetDown(false)
	s.store.LoseAnswers(false)
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
