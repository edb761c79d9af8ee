package link_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/link"
)

// fakeClock is a clock that only the test moves.
type fakeClock struct{ now time.Duration }

func (c *fakeClock) Now() time.Duration { return c.now }

// Guards against a set that fills up with replaced gateways: a process that
// lives for days would not learn of new ones any more.
func TestReplacedGatewaysMakeRoomForNewOnes(t *testing.T) {
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
		t.Fatalf("%d gateways are known, most of which are gone", len(all))
	}
}

// Guards against gateways that are gone and that processes keep telling each
// other of, so that they are never forgotten.
func TestGoneGatewaysAreNotPassedOnForEver(t *testing.T) {
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

// Guards against a link in use whose gateway is forgotten, since it was reached
// for the last time when the link was set up.
func TestHeldGatewayIsNotForgotten(t *testing.T) {
	clock := &fakeClock{}
	g := link.NewGateways(clock.Now)
	release := g.Hold("up:1")
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

// Guards against lists of all gateways that go out with each one that becomes
// known: while a fleet starts that is the square of their number on each link.
func TestOnlyNewGatewaysAreListed(t *testing.T) {
	clock := &fakeClock{}
	g := link.NewGateways(clock.Now)
	var version uint64
	for i := range 50 {
		g.MarkReached(fmt.Sprintf("g%d:1", i))
		var listed []string
		if version, listed = g.Since(version); len(listed) != 1 {
			t.Fatalf("%d gateways are listed for one that is new", len(listed))
		}
	}
	if n := len(g.Reachable()); n != 50 {
		t.Fatalf("%d of 50 gateways are told to a new process", n)
	}
}

// Guards against a gateway that is forgotten by processes that have no contact
// of their own with it, while others reach it all the time.
func TestGatewayNamedByOthersIsNotForgotten(t *testing.T) {
	clock := &fakeClock{}
	a, b := link.NewGateways(clock.Now), link.NewGateways(clock.Now)
	a.Hold("up:1")
	var version uint64
	for range 3600 {
		clock.now += time.Second
		var listed []string
		version, listed = a.Since(version)
		for _, address := range listed {
			b.Add(address)
		}
	}
	if !slices.Contains(b.All(), "up:1") {
		t.Fatal("a living gateway was forgotten")
	}
}
