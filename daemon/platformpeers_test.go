package daemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/rhubarbsail/rhubarbsail/common/boottime"
	"github.com/rhubarbsail/rhubarbsail/platform"
	"github.com/rhubarbsail/rhubarbsail/platform/standin"
	"github.com/rhubarbsail/rhubarbsail/restartable/link"
	"github.com/rhubarbsail/rhubarbsail/restartable/queues"
	"github.com/rhubarbsail/rhubarbsail/restartable/zones"
)

// Guards against a gateway that loses its peers without logging it, and against
// one that logs each failed call during an outage.
func TestPeerFailureAndRecoveryAreLoggedOnce(t *testing.T) {
	var log logBuffer
	var down atomic.Bool
	handler := link.NewServer(nil, &queues.CurrentConfig{}, &zones.Current{}, link.NewGateways(boottime.Now)).Handler()
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
		if answered, _ := p.introduceRound(t.Context()); answered != c.answered {
			t.Errorf("introduceRound returned answered %v with the peer down: %v", answered, c.down)
		}
		if l, r := log.count("gateway_lost"), log.count("gateway_regained"); l != c.lost || r != c.regained {
			t.Errorf("%d gateway_lost and %d gateway_regained events, want %d and %d", l, r, c.lost, c.regained)
		}
	}
}

// Guards against a newer configuration or newer drains that are lost because another
// gateway, asked at the same time, is ahead in the other one.
func TestNewestConfigurationAndDrainsOfSeveralPeers(t *testing.T) {
	known := link.NewGateways(boottime.Now, "g:1")
	for i := range configurationFanOut {
		config, drains := &queues.CurrentConfig{}, &zones.Current{}
		config.Install(queues.New(uint64(10+i), nil, queues.Limits{}, fmt.Append(nil, 10+i)))
		config.Confirm(boottime.Now() - time.Duration(configurationFanOut-i)*time.Minute)
		drains.Install(zones.New(uint64(20-i), fmt.Sprintf("zone-%d", i)))
		protocols := new(http.Protocols)
		protocols.SetUnencryptedHTTP2(true)
		server := httptest.NewUnstartedServer(link.NewServer(nil, config, drains, link.NewGateways(boottime.Now)).Handler())
		server.Config.Protocols = protocols
		server.Start()
		defer server.Close()
		known.Add(strings.TrimPrefix(server.URL, "http://"))
	}
	p := &gatewayPeers{name: "g", address: "g:1", log: zerolog.Nop(), client: link.NewHTTPClient(), known: known}
	newer := p.Newer(t.Context(), 9, 9)
	if want := fmt.Sprint(10 + configurationFanOut - 1); string(newer.Document) != want {
		t.Errorf("document %q, want %q", newer.Document, want)
	}
	if newer.Drains == nil || newer.Drains.Revision != 20 || !slices.Equal(newer.Drains.Zones(), []string{"zone-0"}) {
		t.Errorf("drains %+v, want those of revision 20", newer.Drains)
	}
	if age := boottime.Now() - newer.AsOf; age < time.Minute || age > 2*time.Minute {
		t.Errorf("confirmed %v ago, want the minute of the peer that heard of the store last", age)
	}
	if newer = p.Newer(t.Context(), 100, 100); newer.Document != nil || newer.Drains != nil {
		t.Errorf("%+v, want nothing that is newer", newer)
	}
}

// Guards against records of replaced gateways that accumulate in the store, so
// that a new gateway reads only those and finds no running gateway.
func TestRecordsOfReplacedGatewaysAreRemoved(t *testing.T) {
	store := standin.NewStore()
	server := httptest.NewServer(store.Handler())
	defer server.Close()
	registry := platform.NewGatewayRegistry(platform.NewStore(strings.TrimPrefix(server.URL, "http://"), zerolog.Nop()))
	peers := func(name string) *gatewayPeers {
		return &gatewayPeers{name: name, address: name + ":1", log: zerolog.Nop(), known: link.NewGateways(boottime.Now), registry: registry}
	}
	register := func(p *gatewayPeers) {
		t.Helper()
		if err := p.registerOnce(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	running := peers("running")
	for i := range 3 * maxGatewayRecords {
		register(peers(fmt.Sprintf("replaced-%d", i)))
		if i%maxGatewayRecords == 0 {
			register(running)
		}
	}
	added := peers("added")
	register(added)
	if !slices.Contains(added.known.All(), "running:1") {
		t.Error("a new gateway does not find the running gateway in the registry")
	}
	all, err := registry.List(t.Context())
	if err != nil || len(all) > maxGatewayRecords+1 {
		t.Fatalf("%d records are left, want at most %d (error %v)", len(all), maxGatewayRecords+1, err)
	}
}

// Guards against gateways that overload the store with removals after another writer
// has left many records, or with attempts to remove one that stays.
func TestRemovalsOfRecordsAreBounded(t *testing.T) {
	for _, fails := range []bool{false, true} {
		store := standin.NewStore()
		for i := range 1000 {
			store.Put("keyed.gateways", fmt.Sprintf("other-%d", i), []byte("10.0.0.1:1"))
		}
		handler, writes := store.Handler(), 0
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				writes++
				if fails && writes > 1 {
					w.WriteHeader(http.StatusServiceUnavailable)
					return
				}
			}
			handler.ServeHTTP(w, r)
		}))
		defer server.Close()
		registry := platform.NewGatewayRegistry(platform.NewStore(strings.TrimPrefix(server.URL, "http://"), zerolog.Nop()))
		p := &gatewayPeers{name: "g", address: "g:1", log: zerolog.Nop(), known: link.NewGateways(boottime.Now), registry: registry}
		if err := p.registerOnce(t.Context()); err != nil || writes > 1+maxRecordRemovals {
			t.Errorf("with failing removals %v: %d writes, %v", fails, writes, err)
		}
	}
}

// Guards against Introduce calls whose number grows with the square of the number
// of gateways, and against gateways that are never called.
func TestIntroduceRoundIsBoundedAndReachesEveryGateway(t *testing.T) {
	const gateways, maxCalls = 55, 6
	known := link.NewGateways(boottime.Now, "g0:1")
	p := &gatewayPeers{address: "g0:1", known: known}
	for i := 1; i < gateways; i++ {
		known.Add(fmt.Sprintf("g%d:1", i))
	}
	called := map[string]int{}
	for range introduceCycleRounds {
		addresses, _ := p.nextRound()
		if len(addresses) > maxCalls {
			t.Fatalf("%d calls in a round, want at most %d", len(addresses), maxCalls)
		}
		for _, a := range addresses {
			called[a]++
			p.recordResult(introduceResult{address: a, err: nil})
		}
	}
	if len(called) != gateways-1 || called["g0:1"] > 0 {
		t.Fatalf("%d of %d peers were called", len(called), gateways-1)
	}
	known.Add("new:1")
	if addresses, _ := p.nextRound(); !slices.Contains(addresses, "new:1") {
		t.Fatalf("the next round calls %v without the newly discovered gateway", addresses)
	}
}

// Guards against connections that stay open: a gateway that is suspended takes connections
// and answers nothing, and each call to it has its own.
func TestCallsOfCancellationsLeaveNoConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	accepted := make(chan net.Conn, 1)
	go func() {
		c, err := l.Accept()
		if err == nil {
			accepted <- c
		}
	}()
	p := &gatewayPeers{address: "g:1"}
	peer := p.dialForCancel(l.Addr().String())
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := peer.CancelJobs(ctx, []string{"j"}); err == nil {
		t.Error("a call without an answer succeeded")
	}
	peer.Close()
	c := <-accepted
	defer func() { _ = c.Close() }()
	if err := c.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, c); err != nil {
		t.Errorf("the connection is still open: %v", err)
	}
}
