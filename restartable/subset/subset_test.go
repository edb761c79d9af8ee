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

// fleet runs agents against gateways that are up or down. A gateway that is up
// answers a dial within one step; a dial of one that is down fails after dialTime.
type fleet struct {
	now        time.Duration
	gateways   []string
	knownCount []int // by agent: the number of gateways that it has been told of
	down       map[string]bool
	sets       []*Set
	// open has the established links of each agent, dials the start times of its
	// unanswered dials.
	open  []map[string]bool
	dials []map[string]time.Duration
	// dialled and retired count the dials and the retired links of all agents.
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
		f.knownCount = append(f.knownCount, 0)
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
	if f.knownCount[i] != len(f.gateways) {
		f.knownCount[i] = len(f.gateways)
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

// linksPerGateway returns the number of established links of each gateway.
func (f *fleet) linksPerGateway() map[string]int {
	n := map[string]int{}
	for _, open := range f.open {
		for a := range open {
			n[a]++
		}
	}
	return n
}

// Guards against a number of links that grows with the fleet, and against
// gateways that get few agents or none.
func TestLinksAreBoundedAndBalanced(t *testing.T) {
	f := newFleet(agents, 55)
	f.run(2 * time.Second)
	for i, open := range f.open {
		if len(open) != links {
			t.Fatalf("agent %d has %d links", i, len(open))
		}
	}
	mean := float64(agents*links) / 55
	// Each agent picks its gateways by hash, so that a gateway's number of links is
	// about Poisson distributed. Five standard deviations are allowed.
	tolerance := 5 * math.Sqrt(mean)
	for _, g := range f.gateways {
		if n := float64(f.linksPerGateway()[g]); math.Abs(n-mean) > tolerance {
			t.Errorf("%s has %v links, the mean is %.1f", g, n, mean)
		}
	}
	if want := agents * links; f.dialled != want {
		t.Errorf("%d dials, want %d: one for each link", f.dialled, want)
	}
}

// Guards against a deployment with few gateways in which some gateway has no link
// to some agent and cannot use its target.
func TestAgentsLinkToAllGatewaysIfFew(t *testing.T) {
	f := newFleet(11, 4)
	f.run(time.Second)
	for _, g := range f.gateways {
		if n := f.linksPerGateway()[g]; n != 11 {
			t.Errorf("%s has %d links, want 11", g, n)
		}
	}
}

// Guards against agents that keep too few links after the loss of many gateways
// (first a zone, then all but three), and against gateways that get no links after
// they come back.
func TestLostGatewaysAreReplacedAndGetLinksAgain(t *testing.T) {
	f := newFleet(agents, 55)
	f.run(2 * time.Second)
	for _, left := range []int{46, 3} {
		for _, g := range f.gateways[left:] {
			f.down[g] = true
		}
		f.run(time.Second)
		for i, open := range f.open {
			if want := min(left, links); len(open) < want {
				t.Fatalf("with %d gateways left, agent %d has %d links after 1 s", left, i, len(open))
			}
		}
	}
	clear(f.down)
	f.run(3 * time.Second)
	for _, g := range f.gateways {
		if n := f.linksPerGateway()[g]; n < agents*links/55/2 {
			t.Errorf("%s has only %d links 3 s after it came back", g, n)
		}
	}
	for i, open := range f.open {
		if len(open) > links {
			t.Errorf("agent %d still has %d links 3 s after all gateways came back", i, len(open))
		}
	}
}

// Guards against a storm of dials while all gateways are down, as after a power
// loss: an agent must not dial more often than in a deployment with only as many
// gateways as it keeps links.
func TestDialRateIsBoundedWhileAllGatewaysAreDown(t *testing.T) {
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
			t.Errorf("agent %d has only %d links 2 s after all gateways came back", i, len(open))
		}
	}
}

// Guards against links that move although the set of gateways is unchanged, and
// against the move of other links than those to a gateway that is added.
func TestAddedGatewayMovesOnlyItsOwnLinks(t *testing.T) {
	f := newFleet(agents, 55)
	f.run(2 * time.Second)
	before := f.dialled
	f.run(5 * time.Second)
	if f.dialled != before || f.retired != 0 {
		t.Fatalf("%d dials and %d retired links although no gateway changed", f.dialled-before, f.retired)
	}
	f.gateways = append(f.gateways, "10.9.9.9:7000")
	f.run(time.Second)
	got := f.linksPerGateway()["10.9.9.9:7000"]
	if f.dialled-before != got || f.retired != got {
		t.Errorf("%d dials and %d retired links, want %d of each: the links to the new gateway", f.dialled-before, f.retired, got)
	}
	if got < agents*links/55/2 {
		t.Errorf("the new gateway has only %d links", got)
	}
}

// Guards against the removal of an unlisted gateway while its link is up: the end
// of the link would not be recorded, and the address would not be dialled when it
// is listed again.
func TestUnlistedGatewayIsKeptUntilItsLinkEnds(t *testing.T) {
	s := New("agent", options)
	s.UpdateGateways(0, []string{"a:1"})
	s.Plan(0)
	s.Connected(0, "a:1")
	s.UpdateGateways(ms, nil)
	s.Disconnected(2*ms, "a:1")
	s.UpdateGateways(3*ms, nil)
	if p := s.Plan(time.Minute); len(p.Dial) > 0 {
		t.Fatalf("dialled %v, a gateway that is no longer listed", p.Dial)
	}
	s.UpdateGateways(time.Minute, []string{"a:1"})
	if p := s.Plan(time.Minute); len(p.Dial) != 1 {
		t.Fatalf("dialled %v, want only the gateway that is listed again", p.Dial)
	}
}
