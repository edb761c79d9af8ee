package daemon

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/rs/zerolog"

	"github.com/rhubarbsail/rhubarbsail/common/boottime"
	"github.com/rhubarbsail/rhubarbsail/platform"
	"github.com/rhubarbsail/rhubarbsail/platform/standin"
	"github.com/rhubarbsail/rhubarbsail/restartable/link"
	"github.com/rhubarbsail/rhubarbsail/restartable/queues"
)

// Guards against a gateway that is cut off from the others without a line in its
// log, and against a line for each attempt of an outage.
func TestLostAndRegainedPeersAreLogged(t *testing.T) {
	var log logBuffer
	var down atomic.Bool
	handler := link.NewServer(nil, &queues.CurrentConfig{}, link.NewGateways(boottime.Now)).Handler()
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if down.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		handler.ServeHTTP(w, r)
	}))
	server.Config.Protocols = protocols
	server.Start()
	defer server.Close()
	p := &gatewayPeers{
		name: "g", address: "g:1", log: zerolog.New(&log), client: link.NewHTTPClient(),
		known: link.NewGateways(boottime.Now, "g:1", strings.TrimPrefix(server.URL, "http://")),
	}
	for _, c := range []struct {
		down           bool
		lost, regained int
		answered       bool
	}{{false, 0, 0, true}, {true, 1, 0, false}, {true, 1, 0, false}, {false, 1, 1, true}, {false, 1, 1, true}} {
		down.Store(c.down)
		if answered, _ := p.introduceOnce(t.Context()); answered != c.answered {
			t.Errorf("answered %v with the other gateway down: %v", answered, c.down)
		}
		if l, r := log.count("gateway_lost"), log.count("gateway_regained"); l != c.lost || r != c.regained {
			t.Errorf("%d lines of a lost and %d of a regained gateway, want %d and %d", l, r, c.lost, c.regained)
		}
	}
}

// Guards against records of replaced gateways that pile up in the store and fill
// the set of a new process before it comes to those that live.
func TestRecordsOfReplacedGatewaysAreRemoved(t *testing.T) {
	store := standin.NewStore()
	server := httptest.NewServer(store.Handler())
	defer server.Close()
	directory := platform.NewGatewayRegistry(platform.NewStore(strings.TrimPrefix(server.URL, "http://")))
	peers := func(name string) *gatewayPeers {
		return &gatewayPeers{name: name, address: name + ":1", log: zerolog.Nop(), known: link.NewGateways(boottime.Now), directory: directory}
	}
	register := func(p *gatewayPeers) {
		t.Helper()
		if err := p.registerOnce(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	living := peers("living")
	for i := range 3 * recordsKept {
		register(peers(fmt.Sprintf("replaced-%d", i)))
		if i%recordsKept == 0 {
			register(living)
		}
	}
	fresh := peers("fresh")
	register(fresh)
	if !slices.Contains(fresh.known.All(), "living:1") {
		t.Error("a new gateway does not learn of one that lives")
	}
	all, err := directory.List(t.Context())
	if err != nil || len(all) > recordsKept+1 {
		t.Fatalf("%d records are left, %v", len(all), err)
	}
}

// Guards against calls between gateways that grow with the square of their
// number, and against gateways that are never called: 55 gateways.
func TestEachRoundCallsAFewGateways(t *testing.T) {
	const gateways, roundMax = 55, 6
	known := link.NewGateways(boottime.Now, "g0:1")
	p := &gatewayPeers{address: "g0:1", known: known}
	for i := 1; i < gateways; i++ {
		known.Add(fmt.Sprintf("g%d:1", i))
	}
	called := map[string]int{}
	for range introduceRounds {
		addresses, _ := p.nextRound()
		if len(addresses) > roundMax {
			t.Fatalf("%d calls in a round", len(addresses))
		}
		for _, a := range addresses {
			called[a]++
			p.note(introduction{to: a, err: nil})
		}
	}
	if len(called) != gateways-1 || called["g0:1"] > 0 {
		t.Fatalf("%d of %d others were called", len(called), gateways-1)
	}
	known.Add("new:1")
	if addresses, _ := p.nextRound(); !slices.Contains(addresses, "new:1") {
		t.Fatalf("the next round calls %v and not the gateway that has become known", addresses)
	}
}
