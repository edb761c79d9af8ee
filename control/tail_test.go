package control_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/model"
	"github.com/rhubarbsail/rhubarbsail/control"
	"github.com/rhubarbsail/rhubarbsail/logservice/logservicetest"
	"github.com/rhubarbsail/rhubarbsail/state"
)

func agent(i int, inc uint64) state.Agent {
	return state.Agent{ID: fmt.Sprint("a", i), Incarnation: model.Incarnation(inc), Target: fmt.Sprint("t", i)}
}

// A gateway that loses the log must keep its state, and must receive the changes
// made by others once it reaches the log again.
func TestGatewayCatchesUpAfterOutage(t *testing.T) {
	runInBubble(t, func(t *testing.T, store *logservicetest.Fake) {
		a, b := start(t, store, "g1", nil), start(t, store, "g2", nil)
		mustDrain(t, a, "t1")
		synctest.Wait()
		changed, end := b.Subscribe()
		defer end()
		b.conn.disconnected.Store(true)
		time.Sleep(30 * time.Second) // until the pending long poll has ended
		mustDrain(t, a, "t2")
		mustDrain(t, a, "t3")
		if s := b.Snapshot(); !s.Drained["t1"] || s.Drained["t2"] || b.Status().LogAvailable {
			t.Errorf("during the outage: drained %v, status %+v", s.Drained, b.Status())
		}
		b.conn.disconnected.Store(false)
		<-changed
		synctest.Wait()
		if encoded(t, a) != encoded(t, b) {
			t.Error("states differ after the outage")
		}
		if st := b.Status(); !st.LogAvailable || st.Applied != 3 || b.eventCount(control.EventLogUnavailable) != 1 || b.eventCount(control.EventLogAvailable) != 1 {
			t.Errorf("status %+v, events %v", st, b.eventKinds())
		}
	})
}

// A gateway whose next record was trimmed from the log must reach the state of
// the others through a snapshot, and must never have a state that lacks records.
func TestGatewayBehindLogRetention(t *testing.T) {
	for _, tc := range []struct {
		name string
		// keep is the number of newest records that are not trimmed. The log has
		// 10 records, a snapshot of these, and 5 more records.
		keep    uint64
		hasPeer bool
		// continueSnapshots is true if a gateway continues to write snapshots.
		continueSnapshots bool
		// loadEvent is the event that reports the loaded state; empty for none.
		loadEvent control.EventKind
		ready     bool
	}{
		{"nothing trimmed", 16, false, false, "", true},
		{"snapshot kept", 6, false, false, control.EventSnapshotLoaded, true},
		{"snapshot trimmed", 5, false, false, "", false},
		{"snapshot trimmed and repeated", 5, false, true, control.EventSnapshotLoaded, true},
		{"snapshot trimmed, with a peer", 5, true, false, control.EventPeerStateLoaded, true},
		{"all trimmed, with a peer", 0, true, false, control.EventPeerStateLoaded, true},
		{"all trimmed", 0, false, false, "", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T, store *logservicetest.Fake) {
				var writes atomic.Bool
				writes.Store(true)
				a := start(t, store, "g1", func(o *control.Options) {
					o.SnapshotEvery = 10
					o.ShouldSnapshot = writes.Load
				})
				late := start(t, store, "g2", func(o *control.Options) {
					if tc.hasPeer {
						o.PeerState = peerState(a)
					}
				})
				<-late.Ready()
				late.conn.disconnected.Store(true)
				time.Sleep(30 * time.Second) // until the pending long poll has ended
				for i := range 10 {
					mustDrain(t, a, fmt.Sprint("t", i))
				}
				synctest.Wait()
				writes.Store(tc.continueSnapshots)
				for i := range 5 {
					mustDrain(t, a, fmt.Sprint("u", i))
				}
				store.Trim(stream, 17-tc.keep)
				fresh := start(t, store, "g3", func(o *control.Options) {
					if tc.hasPeer {
						o.PeerState = peerState(a)
					}
				})
				late.conn.disconnected.Store(false)
				time.Sleep(time.Minute)
				for name, g := range map[string]*gateway{"fresh": fresh, "late": late} {
					same := encoded(t, g) == encoded(t, a)
					if same != tc.ready || tc.loadEvent != "" && g.eventCount(tc.loadEvent) == 0 {
						t.Errorf("%s gateway: same state %v, events %v", name, same, g.eventKinds())
					}
					if !tc.ready && len(g.Snapshot().Drained) > 0 {
						t.Errorf("%s gateway has a state with missing records: %v", name, g.Snapshot().Drained)
					}
				}
				if fresh.Status().Ready != tc.ready {
					t.Errorf("fresh gateway ready: %v", fresh.Status().Ready)
				}
			})
		})
	}
}

// Guards against a gateway that lost records to retention and requests the state
// of a peer only once per long poll. If the only peer that was ahead has just been
// replaced, the next request came too late: a configuration was not in effect six
// seconds after it was accepted.
func TestPeerRequestIsRetriedSoonAfterGap(t *testing.T) {
	const inForceWithin = 6 * time.Second
	runInBubble(t, func(t *testing.T, store *logservicetest.Fake) {
		var peerAhead atomic.Bool
		a := start(t, store, "g1", nil)
		late := start(t, store, "g2", func(o *control.Options) {
			o.PeerState = func(ctx context.Context) (uint64, []byte, error) {
				if !peerAhead.Load() {
					return 0, nil, nil
				}
				return peerState(a)(ctx)
			}
		})
		<-late.Ready()
		late.conn.disconnected.Store(true)
		time.Sleep(30 * time.Second) // until the pending long poll has ended
		for i := range 5 {
			mustDrain(t, a, fmt.Sprint("t", i))
		}
		store.Trim(stream, a.Status().Applied+1)
		late.conn.disconnected.Store(false)
		for late.eventCount(control.EventRetentionGap) == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Second)
		peerAhead.Store(true)
		time.Sleep(inForceWithin)
		if encoded(t, late) != encoded(t, a) {
			t.Errorf("%v after a peer could help: events %v, status %+v", inForceWithin, late.eventKinds(), late.Status())
		}
	})
}

// A process that starts during an outage of the log must become ready with the
// state of a peer, must not replace that with an older state, and must continue
// from the log after the outage.
func TestStartDuringOutageUsesPeerState(t *testing.T) {
	runInBubble(t, func(t *testing.T, store *logservicetest.Fake) {
		a, old := start(t, store, "g1", nil), start(t, store, "g2", nil)
		mustDrain(t, a, "t1")
		synctest.Wait()
		old.conn.disconnected.Store(true)
		time.Sleep(30 * time.Second)
		mustDrain(t, a, "t2")
		store.SetFaults(logservicetest.Faults{Outage: true})
		var source atomic.Pointer[gateway]
		var calls atomic.Int32
		source.Store(a)
		replaced := start(t, store, "g1", func(o *control.Options) {
			o.PeerState = func(ctx context.Context) (uint64, []byte, error) {
				if calls.Add(1) == 1 {
					return 0, nil, context.DeadlineExceeded
				}
				return peerState(source.Load())(ctx)
			}
		})
		<-replaced.Ready()
		if encoded(t, replaced) != encoded(t, a) || replaced.eventCount(control.EventPeerStateFailed) != 1 {
			t.Error("the state of the peer was not loaded")
		}
		source.Store(old)
		time.Sleep(time.Minute)
		if replaced.Snapshot().Applied != 2 || calls.Load() < 3 {
			t.Errorf("after an older peer: offset %d, %d calls", replaced.Snapshot().Applied, calls.Load())
		}
		store.SetFaults(logservicetest.Faults{})
		mustDrain(t, replaced, "t3")
		time.Sleep(time.Minute) // longer than the backoff of the other gateway
		if encoded(t, replaced) != encoded(t, a) {
			t.Error("states differ after the outage")
		}
	})
}

// A writer must get its result even if its record was trimmed before it could be
// read back, and only a loaded state contains it.
func TestResultFromLoadedState(t *testing.T) {
	runInBubble(t, func(t *testing.T, store *logservicetest.Fake) {
		a := start(t, store, "g1", nil)
		g := start(t, store, "g2", func(o *control.Options) { o.PeerState = peerState(a) })
		<-g.Ready()
		// The append is in flight when the gateway loses the log.
		result := make(chan error, 1)
		store.SetFaults(logservicetest.Faults{HoldAppends: 1})
		go func() { result <- g.Drain(within(t, time.Hour), "t1", true) }()
		synctest.Wait()
		g.conn.disconnected.Store(true)
		time.Sleep(30 * time.Second)
		store.Release()
		synctest.Wait()
		store.Trim(stream, 2)
		if err := <-result; err != nil || !g.Snapshot().Drained["t1"] || g.eventCount(control.EventPeerStateLoaded) == 0 {
			t.Errorf("error %v, events %v", err, g.eventKinds())
		}
	})
}

// A gateway must not discard its state if the log was reset and ends before that
// state; it must report the condition.
func TestResetLogIsReported(t *testing.T) {
	runInBubble(t, func(t *testing.T, store *logservicetest.Fake) {
		a := start(t, store, "g1", nil)
		mustDrain(t, a, "t1")
		a.conn.disconnected.Store(true)
		time.Sleep(30 * time.Second)
		a.conn.log.Store(logservicetest.NewFake())
		a.conn.disconnected.Store(false)
		time.Sleep(time.Minute)
		if a.eventCount(control.EventLogBehind) != 1 || !a.Snapshot().Drained["t1"] {
			t.Errorf("events %v, drained %v", a.eventKinds(), a.Snapshot().Drained)
		}
	})
}

// Without regular snapshots, the log's retention would remove the configuration;
// if every gateway wrote snapshots, the log would fill up.
func TestSnapshotsAreWrittenByTheDesignatedGateway(t *testing.T) {
	for _, tc := range []struct {
		name       string
		designated bool
		records    int
		quiet      time.Duration
		want       int
	}{
		{"few records", true, 5, time.Minute, 0},
		{"many records", true, 25, 0, 2},
		{"quiet stream", true, 5, 16 * time.Minute, 1},
		{"long quiet stream", true, 5, 46 * time.Minute, 3},
		{"empty stream", true, 0, 2 * time.Hour, 0},
		{"not designated", false, 25, 2 * time.Hour, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T, store *logservicetest.Fake) {
				g := start(t, store, "g1", func(o *control.Options) {
					o.SnapshotEvery, o.LogRetention = 10, time.Hour
					o.ShouldSnapshot = func() bool { return tc.designated }
				})
				start(t, store, "g2", nil)
				for i := range tc.records {
					mustDrain(t, g, fmt.Sprint(i))
					synctest.Wait()
				}
				time.Sleep(tc.quiet)
				synctest.Wait()
				if n := count(recordKinds(t, store), state.KindSnapshot); n != tc.want {
					t.Errorf("%d snapshots, want %d", n, tc.want)
				}
			})
		})
	}
}
