package link_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"

	pb "github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/restart/v1"
	"github.com/rhubarbsail/rhubarbsail/restartable/link"
	"github.com/rhubarbsail/rhubarbsail/restartable/queues"
	"github.com/rhubarbsail/rhubarbsail/restartable/zones"
)

// fakeClock is a clock that only the test moves.
type fakeClock struct{ now time.Duration }

func (c *fakeClock) Now() time.Duration { return c.now }

// Guards against a set that fills up with replaced gateways: a process that runs
// for days would not learn of new ones any more.
func TestReplacedGatewaysAreForgotten(t *testing.T) {
	clock := &fakeClock{}
	g := link.NewGateways(clock.Now, "seed:1")
	for i := range 5000 {
		address := fmt.Sprintf("replaced-%d:1", i)
		g.MarkReached(address)
		clock.now += 10 * time.Second
	}
	g.Add("new:1")
	all := g.All()
	if !slices.Contains(all, "new:1") || !slices.Contains(all, "seed:1") {
		t.Fatalf("the new gateway or the seed is missing among %d", len(all))
	}
	if len(all) > 100 {
		t.Fatalf("%d gateways are known, most of which no longer exist", len(all))
	}
}

// Guards against malformed addresses that are dialed, take the place of gateways or
// are advertised to other processes.
func TestMalformedAddressesAreNotKnown(t *testing.T) {
	g := link.NewGateways((&fakeClock{}).Now)
	s := link.NewServer(nil, &queues.CurrentConfig{}, &zones.Current{}, g)
	for _, a := range []string{"10.0.0.1:99999", "10.0.0.1:0", "10.0.0.1", "%zz:1", "\x00", "a/b:1", strings.Repeat("9", 3<<20) + ":1", ""} {
		g.Add(a)
		g.MarkReached(a)
		if _, err := s.Introduce(t.Context(), connect.NewRequest(&pb.IntroduceRequest{Gateway: a})); connect.CodeOf(err) != connect.CodeInvalidArgument {
			t.Errorf("introduction of %.40q: %v", a, err)
		}
	}
	if len(g.All())+len(g.Reachable()) > 0 {
		t.Errorf("%d addresses are known and %d advertised, want none", len(g.All()), len(g.Reachable()))
	}
	if _, err := s.Introduce(t.Context(), connect.NewRequest(&pb.IntroduceRequest{Gateway: "10.0.0.1:1"})); err != nil {
		t.Error(err)
	}
	if got := g.Reachable(); !slices.Equal(got, []string{"10.0.0.1:1"}) {
		t.Errorf("%v are advertised, want the introduced gateway", got)
	}
}

// Guards against processes that repeatedly advertise a gateway to each other
// although it no longer exists, so that it is never forgotten.
func TestUnreachableGatewaysAreNotAdvertisedForever(t *testing.T) {
	clock := &fakeClock{}
	a, b := link.NewGateways(clock.Now), link.NewGateways(clock.Now)
	a.MarkReached("gone:1")
	for range 3600 {
		clock.now += time.Second
		for _, address := range a.Reachable() {
			b.Add(address)
		}
		for _, address := range b.Reachable() {
			a.Add(address)
		}
	}
	if len(a.All())+len(b.All()) > 0 {
		t.Fatalf("after an hour %v and %v are known", a.All(), b.All())
	}
}

// Guards against forgetting the gateway of a link in use because its last
// recorded contact was when the link was established.
func TestLinkedGatewayIsNotForgotten(t *testing.T) {
	clock := &fakeClock{}
	g := link.NewGateways(clock.Now)
	release := g.MarkLinked("up:1")
	clock.now += 24 * time.Hour
	if !slices.Contains(g.All(), "up:1") || !slices.Contains(g.Reachable(), "up:1") {
		t.Fatal("a gateway with a link was forgotten")
	}
	release()
	clock.now += time.Hour
	if len(g.All()) > 0 {
		t.Fatal("a gateway is still known an hour after its link")
	}
}

// Guards against sending the list of all gateways whenever one is added: while a
// fleet starts, that would be on each link the square of their number.
func TestOnlyNewGatewaysAreListed(t *testing.T) {
	clock := &fakeClock{}
	g := link.NewGateways(clock.Now)
	var version uint64
	for i := range 50 {
		g.MarkReached(fmt.Sprintf("g%d:1", i))
		var listed []string
		if version, listed = g.ChangesSince(version); len(listed) != 1 {
			t.Fatalf("%d gateways are listed after one was added", len(listed))
		}
	}
	if n := len(g.Reachable()); n != 50 {
		t.Fatalf("a new process is told of %d of 50 gateways", n)
	}
}

// Guards against forgetting a gateway that this process has no contact with,
// while other processes reach it all the time.
func TestGatewayMentionedByOthersIsNotForgotten(t *testing.T) {
	clock := &fakeClock{}
	a, b := link.NewGateways(clock.Now), link.NewGateways(clock.Now)
	a.MarkLinked("up:1")
	var version uint64
	for range 3600 {
		clock.now += time.Second
		var listed []string
		version, listed = a.ChangesSince(version)
		for _, address := range listed {
			b.Add(address)
		}
	}
	if !slices.Contains(b.All(), "up:1") {
		t.Fatal("a reachable gateway was forgotten")
	}
}
