package control_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/rhubarbsail/rhubarbsail/control"
	"github.com/rhubarbsail/rhubarbsail/logservice"
	"github.com/rhubarbsail/rhubarbsail/logservice/logservicetest"
	"github.com/rhubarbsail/rhubarbsail/standin/memlog"
)

// action is one step of a random run: a change made by a gateway, or a fault.
type action struct {
	Gateway int
	Kind    string
	Pause   time.Duration
}

// outcome is the result that a gateway reported for a change.
type outcome struct {
	target  string // for a drain
	version uint64 // for a configuration
	err     error
}

// faultRun is a random run with three gateways and a log that keeps few records.
type faultRun struct {
	t        *testing.T
	store    *logservicetest.Fake
	gateways [3]*gateway
	changes  sync.WaitGroup
	mu       sync.Mutex // guards outcomes
	outcomes []outcome
}

func (r *faultRun) start(i int) {
	r.gateways[i] = start(r.t, r.store, fmt.Sprint("g", i), func(o *control.Options) {
		o.SnapshotEvery = 5
		o.ShouldSnapshot = func() bool { return i == 0 }
		if next := r.gateways[(i+1)%3]; next != nil {
			o.PeerState = peerState(next)
		}
	})
}

func (r *faultRun) apply(n int, m action) {
	g := r.gateways[m.Gateway]
	switch m.Kind {
	case "drain", "config":
		r.changes.Go(func() { r.change(g, n, m.Kind) })
	case "cut":
		g.conn.disconnected.Store(true)
	case "join again":
		g.conn.disconnected.Store(false)
	case "restart":
		g.stop()
		r.start(m.Gateway)
	case "outage":
		r.store.SetFaults(logservicetest.Faults{Outage: true})
	case "lose replies":
		r.store.SetFaults(logservicetest.Faults{LoseReplies: 2})
	case "lose requests":
		r.store.SetFaults(logservicetest.Faults{LoseRequests: 2})
	case "hold":
		r.store.SetFaults(logservicetest.Faults{HoldAppends: 2})
	case "slow":
		r.store.SetFaults(logservicetest.Faults{Slow: 4 * time.Second})
	case "heal":
		r.store.SetFaults(logservicetest.Faults{})
	case "release":
		r.store.Release()
	}
	time.Sleep(m.Pause)
}

func (r *faultRun) change(g *gateway, n int, kind string) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	o := outcome{}
	if kind == "drain" {
		o.target = fmt.Sprint("t", n)
		o.err = g.Drain(ctx, o.target, true)
	} else {
		o.version, o.err = g.ChangeConfig(ctx, g.Snapshot().ConfigVersion, "operator", config(fmt.Sprint("c", n)))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, o)
}

// check verifies the states and outcomes after all faults have ended.
func (r *faultRun) check() error {
	want := encoded(r.t, r.gateways[0])
	for i, g := range r.gateways {
		if got := encoded(r.t, g); got != want || !g.Status().Ready {
			return fmt.Errorf("gateway %d differs, ready %v, events %v:\n%s\n%s", i, g.Status().Ready, g.eventKinds(), got, want)
		}
	}
	s := r.gateways[0].Snapshot()
	versions := map[uint64]bool{}
	for _, o := range r.outcomes {
		refused := errors.Is(o.err, logservice.ErrUnavailable) && !errors.Is(o.err, logservice.ErrUnknownOutcome)
		switch {
		case o.err == nil && o.target != "" && !s.Drained[o.target]:
			return fmt.Errorf("the drain of %s was accepted and is lost", o.target)
		case refused && s.Drained[o.target]:
			return fmt.Errorf("the drain of %s was refused and took effect: %w", o.target, o.err)
		case o.err == nil && o.target == "" && (versions[o.version] || o.version > s.ConfigVersion):
			return fmt.Errorf("version %d was accepted twice or is lost; version %d is in force", o.version, s.ConfigVersion)
		}
		versions[o.version] = versions[o.version] || o.err == nil && o.target == ""
	}
	return nil
}

// After any sequence of changes and faults, all gateways must reach the same
// state. It must contain every change that was reported as accepted and none that
// was reported as not made.
func TestGatewaysAgreeAfterRandomFaults(t *testing.T) {
	kinds := []string{
		"drain", "drain", "drain", "config", "config", "cut", "join again", "restart", "outage",
		"lose replies", "lose requests", "hold", "slow", "heal", "release",
	}
	actions := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) action {
		return action{
			Gateway: rapid.IntRange(0, 2).Draw(t, "gateway"),
			Kind:    rapid.SampledFrom(kinds).Draw(t, "kind"),
			Pause:   time.Duration(rapid.IntRange(0, 15).Draw(t, "pause")) * time.Second / 2,
		}
	}), 1, 40)
	rapid.Check(t, func(rt *rapid.T) {
		var err error
		list := actions.Draw(rt, "moves")
		synctest.Test(t, func(t *testing.T) {
			r := &faultRun{t: t, store: memlog.New(memlog.Options{RetainCount: 30})}
			for i := range r.gateways {
				r.start(i)
			}
			for n, m := range list {
				r.apply(n, m)
			}
			for _, g := range r.gateways {
				g.conn.disconnected.Store(false)
			}
			r.store.SetFaults(logservicetest.Faults{})
			r.store.Release()
			r.changes.Wait()
			time.Sleep(2 * time.Minute)
			err = r.check()
		})
		if err != nil {
			rt.Fatal(err)
		}
	})
}
