package control_test

import (
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rhubarbsail/rhubarbsail/control"
	"github.com/rhubarbsail/rhubarbsail/logservice"
	"github.com/rhubarbsail/rhubarbsail/logservice/logservicetest"
	"github.com/rhubarbsail/rhubarbsail/state"
)

// Under faults of the log, Append must report the result that is in the log, the
// change must take effect only once, and the error must not be ErrUnavailable
// while the record may still be appended.
func TestAppendUnderFaults(t *testing.T) {
	const appendTimeout = 20 * time.Second
	for _, tc := range []struct {
		name   string
		faults logservicetest.Faults
		// changeFaults, if set, changes the faults while the append is retried.
		changeFaults func(*logservicetest.Fake)
		want         error
		records      int
	}{
		{"none", logservicetest.Faults{}, nil, nil, 1},
		// The record is read back before Append retries.
		{"lost reply", logservicetest.Faults{LoseReplies: 1}, nil, nil, 1},
		{"lost requests", logservicetest.Faults{LoseRequests: 3}, nil, nil, 1},
		{"lost request, then lost reply", logservicetest.Faults{LoseRequests: 1, LoseReplies: 1}, nil, nil, 1},
		// The first try times out before the record is read back. The retry appends
		// a second record, which has the same ID and no effect.
		{"slow beyond the attempt's timeout", logservicetest.Faults{Slow: 5 * time.Second}, nil, nil, 2},
		{
			"outage that ends", logservicetest.Faults{Outage: true},
			func(s *logservicetest.Fake) { s.SetFaults(logservicetest.Faults{}) }, nil, 1,
		},
		{"outage that stays", logservicetest.Faults{Outage: true}, nil, logservice.ErrUnavailable, 0},
		{
			"unknown, then outage", logservicetest.Faults{LoseRequests: 1000},
			func(s *logservicetest.Fake) { s.SetFaults(logservicetest.Faults{Outage: true}) }, logservice.ErrUnknownOutcome, 0,
		},
		// The record of the first try is appended after that of the retry.
		{"late duplicate", logservicetest.Faults{HoldAppends: 1}, func(s *logservicetest.Fake) { s.Release() }, nil, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T, store *logservicetest.Fake) {
				g := start(t, store, "g1", nil)
				<-g.Ready()
				store.SetFaults(tc.faults)
				result := make(chan error, 1)
				go func() { result <- g.Drain(within(t, appendTimeout), "t1", true) }()
				time.Sleep(appendTimeout / 2)
				if tc.changeFaults != nil {
					tc.changeFaults(store)
				}
				if err := <-result; !errors.Is(err, tc.want) {
					t.Errorf("got %v, want %v", err, tc.want)
				} else if tc.want == logservice.ErrUnavailable && errors.Is(err, logservice.ErrUnknownOutcome) {
					t.Errorf("a refusal is also of unknown outcome: %v", err)
				}
				if done := g.Snapshot().Drained["t1"]; done != (tc.want == nil) {
					t.Errorf("drained: %v", done)
				}
				store.SetFaults(logservicetest.Faults{})
				if n := len(recordKinds(t, store)); n != tc.records {
					t.Errorf("%d records, want %d", n, tc.records)
				}
			})
		})
	}
}

// Of two concurrent configuration changes based on the same version, exactly one
// must succeed, the same at every gateway. The other must fail with the version
// that is now current.
func TestConcurrentConfigChanges(t *testing.T) {
	runInBubble(t, func(t *testing.T, store *logservicetest.Fake) {
		gateways := []*gateway{start(t, store, "g1", nil), start(t, store, "g2", nil)}
		errs, versions := make([]error, 2), make([]uint64, 2)
		var wg sync.WaitGroup
		for i, g := range gateways {
			wg.Go(func() {
				<-g.Ready()
				versions[i], errs[i] = g.ChangeConfig(within(t, time.Minute), 0, g.operator(i), config(g.operator(i)))
			})
		}
		wg.Wait()
		winner := 0
		if errs[0] != nil {
			winner = 1
		}
		var conflict *control.VersionConflictError
		if errs[winner] != nil || !errors.As(errs[1-winner], &conflict) || conflict.Current != versions[winner] {
			t.Fatalf("errors %v, versions %v", errs, versions)
		}
		synctest.Wait()
		for i, g := range gateways {
			if _, ok := g.Snapshot().Config.Client(g.operator(winner)); !ok || g.Snapshot().ConfigVersion != versions[winner] {
				t.Errorf("gateway %d has version %d", i, g.Snapshot().ConfigVersion)
			}
		}
	})
}

func (g *gateway) operator(i int) string { return []string{"ann", "bob"}[i] }

// A restart of a whole cell must not exceed the append rate of the log, so
// concurrent announcements share records. Each agent must still get the result
// for its own incarnation.
func TestAgentAnnouncementsShareRecords(t *testing.T) {
	const agents = 400
	runInBubble(t, func(t *testing.T, store *logservicetest.Fake) {
		g := start(t, store, "g1", nil)
		announce := func(inc uint64) (errs [agents]error) {
			var wg sync.WaitGroup
			for i := range agents {
				wg.Go(func() { errs[i] = g.AgentJoined(within(t, time.Minute), agent(i, inc), false) })
			}
			wg.Wait()
			return errs
		}
		for _, inc := range []uint64{5, 6, 6} {
			for i, err := range announce(inc) {
				if err != nil {
					t.Fatalf("agent %d, incarnation %d: %v", i, inc, err)
				}
			}
		}
		var rejected *state.RejectedError
		if err := announce(4)[7]; !errors.As(err, &rejected) || rejected.Result.Reason != state.ReasonStaleIncarnation {
			t.Errorf("stale incarnation: %v", err)
		}
		if err := g.AgentLeft(within(t, time.Minute), state.AgentLeft{ID: agent(7, 6).ID, Incarnation: 6}); err != nil {
			t.Error(err)
		}
		if n := len(recordKinds(t, store)); n > 8 {
			t.Errorf("%d records for three restarts of %d agents", n, agents)
		}
		if s := g.Snapshot(); len(s.Agents) != agents-1 || len(s.Departed) != agents+1 {
			t.Errorf("%d agents, %d departed", len(s.Agents), len(s.Departed))
		}
	})
}

// Checks membership changes, that a claim reports which partitions it won, and
// that stopping the loop ends pending appends instead of blocking their writers.
func TestMembershipClaimsAndStopEndsPendingAppends(t *testing.T) {
	runInBubble(t, func(t *testing.T, store *logservicetest.Fake) {
		g := start(t, store, "g1", nil)
		ctx := within(t, time.Hour)
		if err := g.Join(ctx, state.Gateway{ID: "g1", Incarnation: 2, Address: "a:1"}); err != nil {
			t.Fatal(err)
		}
		var rejected *state.RejectedError
		if err := g.Join(ctx, state.Gateway{ID: "g1", Incarnation: 1, Address: "a:1"}); !errors.As(err, &rejected) {
			t.Errorf("older incarnation joined: %v", err)
		}
		claim := state.Claim{Gateway: "g1", Incarnation: 2, Partitions: []state.PartitionClaim{{Partition: 1}, {Partition: 2, Replaces: 7}}}
		if r, err := g.Claim(ctx, claim); err != nil || len(r.Won) != 1 || len(r.Lost) != 1 {
			t.Errorf("claim: %+v, %v", r, err)
		}
		for range 2 {
			if err := g.Leave(ctx, "g1", 2); err != nil {
				t.Errorf("leave: %v", err)
			}
		}
		store.SetFaults(logservicetest.Faults{LoseRequests: 1 << 20})
		result := make(chan error, 1)
		go func() { result <- g.Drain(ctx, "t", true) }()
		time.Sleep(time.Minute)
		g.stop()
		if err := <-result; !errors.Is(err, control.ErrStopped) || !errors.Is(err, logservice.ErrUnknownOutcome) {
			t.Errorf("pending append: %v", err)
		}
		if err := g.Drain(ctx, "t", true); !errors.Is(err, control.ErrStopped) || errors.Is(err, logservice.ErrUnknownOutcome) {
			t.Errorf("append after the stop: %v", err)
		}
	})
}

// A gateway that lags behind must not combine a change of the rules with the
// inventory of an older version: that would revert the newer inventory.
func TestConfigAtWaitsForTheVersion(t *testing.T) {
	runInBubble(t, func(t *testing.T, store *logservicetest.Fake) {
		a, late := start(t, store, "g1", nil), start(t, store, "g2", nil)
		late.conn.disconnected.Store(true)
		time.Sleep(30 * time.Second) // until the pending long poll has ended
		version, err := a.ChangeConfig(within(t, time.Minute), 0, "ann", config("c1"))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := late.ConfigAt(within(t, time.Second), version); !errors.Is(err, logservice.ErrUnavailable) {
			t.Errorf("version that is not known yet: %v", err)
		}
		late.conn.disconnected.Store(false)
		c, err := late.ConfigAt(within(t, time.Minute), version)
		if err != nil {
			t.Fatal(err)
		}
		if _, ok := c.Client("c1"); !ok {
			t.Error("not the configuration of the version")
		}
		var conflict *control.VersionConflictError
		if _, err := late.ConfigAt(within(t, time.Minute), 0); !errors.As(err, &conflict) || conflict.Current != version {
			t.Errorf("version that was replaced: %v", err)
		}
	})
}
