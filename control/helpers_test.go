package control_test

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rhubarbsail/rhubarbsail/control"
	"github.com/rhubarbsail/rhubarbsail/inventory"
	"github.com/rhubarbsail/rhubarbsail/logservice"
	"github.com/rhubarbsail/rhubarbsail/logservice/logservicetest"
	"github.com/rhubarbsail/rhubarbsail/state"
)

const stream = "control"

// logConn is the connection of one gateway to the log. While disconnected is
// true, every operation fails.
type logConn struct {
	log          atomic.Pointer[logservicetest.Fake]
	disconnected atomic.Bool
}

func (l *logConn) Append(ctx context.Context, s string, data []byte) (uint64, error) {
	if l.disconnected.Load() {
		return 0, logservice.ErrUnavailable
	}
	return l.log.Load().Append(ctx, s, data)
}

func (l *logConn) Read(ctx context.Context, s string, from uint64, limit int, wait time.Duration) (logservice.Page, error) {
	if l.disconnected.Load() {
		return logservice.Page{}, logservice.ErrUnavailable
	}
	return l.log.Load().Read(ctx, s, from, limit, wait)
}

// gateway is a running Loop that records its events.
type gateway struct {
	*control.Loop
	conn *logConn
	stop func()

	mu     sync.Mutex
	events []control.EventKind
}

func (g *gateway) eventKinds() []control.EventKind {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.events)
}

func (g *gateway) eventCount(kind control.EventKind) int { return count(g.eventKinds(), kind) }

// start runs a gateway until stop is called or the test ends.
func start(t *testing.T, store *logservicetest.Fake, writer string, change func(*control.Options)) *gateway {
	t.Helper()
	g := &gateway{conn: &logConn{}}
	g.conn.log.Store(store)
	opts := control.Options{Log: g.conn, Stream: stream, Writer: writer, Report: func(e control.Event) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.events = append(g.events, e.Kind)
	}}
	if change != nil {
		change(&opts)
	}
	g.Loop = control.New(opts)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.Run(ctx)
	}()
	g.stop = func() {
		cancel()
		<-done
	}
	t.Cleanup(g.stop)
	return g
}

// runInBubble runs a test in a synctest bubble: time is virtual, so waits are free
// and results do not depend on the speed of the machine.
func runInBubble(t *testing.T, test func(t *testing.T, store *logservicetest.Fake)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { test(t, logservicetest.NewFake()) })
}

func within(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

func encoded(t *testing.T, g *gateway) string {
	t.Helper()
	data, err := g.Snapshot().Encode()
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// recordKinds returns the kinds of the records that are in the log.
func recordKinds(t *testing.T, store *logservicetest.Fake) []state.Kind {
	t.Helper()
	page, err := store.Read(t.Context(), stream, 1, 0, 0)
	if err != nil {
		page, err = store.Read(t.Context(), stream, page.First, 0, 0)
	}
	if err != nil {
		t.Fatal(err)
	}
	var kinds []state.Kind
	for _, e := range page.Entries {
		var r state.Record
		if err := json.Unmarshal(e.Data, &r); err != nil {
			t.Fatal(err)
		}
		kinds = append(kinds, r.Kind)
	}
	return kinds
}

func count[K comparable](kinds []K, kind K) int {
	n := 0
	for _, k := range kinds {
		if k == kind {
			n++
		}
	}
	return n
}

func mustDrain(t *testing.T, g *gateway, target string) {
	t.Helper()
	if err := g.Drain(within(t, time.Minute), target, true); err != nil {
		t.Fatal(err)
	}
}

func config(client string) *inventory.Config {
	return inventory.New(inventory.Inventory{}, inventory.Rules{Clients: []inventory.Client{{ID: client, Share: 1}}})
}

// peerState returns an Options.PeerState that serves the state of g.
func peerState(g *gateway) func(context.Context) (uint64, []byte, error) {
	return func(context.Context) (uint64, []byte, error) {
		s := g.Snapshot()
		data, err := s.Encode()
		return s.Applied, data, err
	}
}
