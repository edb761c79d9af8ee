package subset

import (
	"fmt"
	"math"
	"testing"
	"time"
)

const (
	ms     = time.Millisecond
	agents = 240
)

var (
	options = DefaultOptions()
	links   = options.Links
)

// fleet plays agents against gateways that answer or do not. An answer takes
// one step, a dial without one as long as dialTime.
type fleet struct {
	now      time.Duration
	gateways []string
	known    []int // the number of gateways that an agent has been told of
	down     map[string]bool
	sets     []*Set
	// open has the links of each agent, dials those without an answer yet.
	open  []map[string]bool
	dials []map[string]time.Duration
	// dialled counts the dials of all agents, retired the links that were ended.
	dialled, retired int
}

const (
	step     = 10 * ms
	dialTime = 150 * ms
)

func newFleet(agents, gateways int) *fleet {
	f := &fleet{down: map[string]bool{}}
	for i := range gateways {
		f.gateways = append(f.gateways, fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250))
	}
	for i := range agents {
		f.sets = append(f.sets, New(fmt.Sprintf("agent-%d", i), options))
		f.known = append(f.known, 0)
		f.open = append(f.open, map[string]bool{})
		f.dials = append(f.dials, map[string]time.Duration{})
	}
	return f
}

func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += step {
		for i := range f.sets {
			f.runAgent(i)
		}
	}
}

func (f *fleet) runAgent(i int) {
	s, open, dials := f.sets[i], f.open[i], f.dials[i]
	if f.known[i] != len(f.gateways) {
		f.known[i] = len(f.gateways)
		s.UpdateGateways(f.now, f.gateways)
	}
	for a := range open {
		if f.down[a] {
			delete(open, a)
			s.Disconnected(f.now, a)
		}
	}
	for a, at := range dials {
		switch {
		case !f.down[a]:
			open[a] = true
			s.Connected(f.now, a)
			delete(dials, a)
		case f.now-at >= dialTime:
			s.Disconnected(f.now, a)
			delete(dials, a)
		}
	}
	p := s.Plan(f.now)
	for _, a := range p.Dial {
		f.dialled++
		dials[a] = f.now
	}
	for _, a := range p.Retire {
		f.retired++
		delete(open, a)
		s.Disconnected(f.now, a)
	}
}

// degrees returns the number of links of each gateway.
func (f *fleet) degrees() map[string]int {
	n := map[string]int{}
	for _, open := range f.open {
		for a := range open {
			n[a]++
		}
	}
	return n
}

// Guards against links that grow with the fleet, and against gateways with few
// agents or none: 55 gateways and 240 agents.
func TestLinksAreBoundedAndEven(t *testing.T) {
	f := newFleet(agents, 55)
	f.run(2 * time.Second)
	for i, open := range f.open {
		if len(open) != links {
			t.Fatalf("agent %d has %d links", i, len(open))
		}
	}
	mean := float64(agents*links) / 55
	// The links of a gateway are a draw of each agent's; five standard deviations.
	spread := 5 * math.Sqrt(mean)
	for _, g := range f.gateways {
		if n := float64(f.degrees()[g]); math.Abs(n-mean) > spread {
			t.Errorf("%s has %v links, the mean is %.1f", g, n, mean)
		}
	}
	if want := agents * links; f.dialled != want {
		t.Errorf("%d dials for %d links", f.dialled, want)
	}
}

// Guards against a small deployment in which a gateway does not see all targets.
func TestFewGatewaysAreAllLinked(t *testing.T) {
	f := newFleet(11, 4)
	f.run(time.Second)
	for _, g := range f.gateways {
		if n := f.degrees()[g]; n != 11 {
			t.Errorf("%s has %d links of 11", g, n)
		}
	}
}

// Guards against agents that stay with a few links after the loss of many
// gateways (a zone, then all but three), and against gateways that return and
// get no agents.
func TestLostGatewaysAreReplacedAndReturn(t *testing.T) {
	f := newFleet(agents, 55)
	f.run(2 * time.Second)
	for _, left := range []int{46, 3} {
		for _, g := range f.gateways[left:] {
			f.down[g] = true
		}
		f.run(time.Second)
		for i, open := range f.open {
			if want := min(left, links); len(open) < want {
				t.Fatalf("with %d gateways left agent %d has %d links after 1 s", left, i, len(open))
			}
		}
	}
	clear(f.down)
	f.run(3 * time.Second)
	for _, g := range f.gateways {
		if n := f.degrees()[g]; n < agents*links/55/2 {
			t.Errorf("%s has %d links 3 s after its return", g, n)
		}
	}
	for i, open := range f.open {
		if len(open) > links {
			t.Errorf("agent %d keeps %d links", i, len(open))
		}
	}
}

// Guards against a storm of dials while all gateways have lost power: the rate
// of an agent stays that of a deployment with as many gateways as it keeps links.
func TestDialsAreBoundedWhileNothingAnswers(t *testing.T) {
	f := newFleet(agents, 55)
	f.run(2 * time.Second)
	for _, g := range f.gateways {
		f.down[g] = true
	}
	f.run(5 * time.Second)
	before := f.dialled
	f.run(10 * time.Second)
	perAgent := float64(f.dialled-before) / agents / 10
	if most := float64(links) / (options.RetryMax.Seconds()); perAgent > most {
		t.Errorf("an agent dials %.1f times a second, want at most %.1f", perAgent, most)
	}
	clear(f.down)
	f.run(2 * time.Second)
	for i, open := range f.open {
		if len(open) < links/2 {
			t.Errorf("agent %d has %d links 2 s after the return", i, len(open))
		}
	}
}

// Guards against links that move while nothing has changed, or to all gateways
// when one is added.
func TestLinksStayWhenAGatewayIsAdded(t *testing.T) {
	f := newFleet(agents, 55)
	f.run(2 * time.Second)
	before := f.dialled
	f.run(5 * time.Second)
	if f.dialled != before || f.retired != 0 {
		t.Fatalf("%d dials and %d retired links without a change", f.dialled-before, f.retired)
	}
	f.gateways = append(f.gateways, "10.9.9.9:7000")
	f.run(time.Second)
	got := f.degrees()["10.9.9.9:7000"]
	if f.dialled-before != got || f.retired != got {
		t.Errorf("%d dials and %d retired links for the %d of the new gateway", f.dialled-before, f.retired, got)
	}
	if got < agents*links/55/2 {
		t.Errorf("the new gateway has %d links", got)
	}
}

// Guards against a gateway that is forgotten while its link is up: its end would
// not be noted, nor the address dialled when it is named again.
func TestForgottenGatewayEndsWithItsLink(t *testing.T) {
	s := New("agent", options)
	s.UpdateGateways(0, []string{"a:1"})
	s.Plan(0)
	s.Connected(0, "a:1")
	s.UpdateGateways(ms, nil)
	s.Disconnected(2*ms, "a:1")
	s.UpdateGateways(3*ms, nil)
	if p := s.Plan(time.Minute); len(p.Dial) > 0 {
		t.Fatalf("a forgotten gateway is dialled: %v", p.Dial)
	}
	s.UpdateGateways(time.Minute, []string{"a:1"})
	if p := s.Plan(time.Minute); len(p.Dial) != 1 {
		t.Fatalf("dialled %v", p.Dial)
	}
}
