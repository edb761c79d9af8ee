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

// An outage must keep the state, and changes made by others during a partial
// outage must arrive afterwards.
func TestOutageInTheMiddle(t *testing.T) {
	bubble(t, func(t *testing.T, store *logservicetest.Fake) {
		a, b := start(t, store, "g1", nil), start(t, store, "g2", nil)
		drain(t, a, "t1")
		synctest.Wait()
		changed, end := b.Subscribe()
		defer end()
		b.link.cut.Store(true)
		time.Sleep(30 * time.Second) // beyond the long poll in progress
		drain(t, a, "t2")
		drain(t, a, "t3")
		if s := b.Snapshot(); !s.Drained["t1"] || s.Drained["t2"] || b.Status().LogAvailable {
			t.Errorf("during the outage: drained %v, status %+v", s.Drained, b.Status())
		}
		b.link.cut.Store(false)
		<-changed
		synctest.Wait()
		if encoded(t, a) != encoded(t, b) {
			t.Error("states differ after the outage")
		}
		if st := b.Status(); !st.LogAvailable || st.Applied != 3 || b.saw(control.EventLogUnavailable) != 1 || b.saw(control.EventLogAvailable) != 1 {
			t.Errorf("status %+v, events %v", st, b.seen())
		}
	})
}

// A gateway whose position is beyond retention must reach the state of the
// others through a snapshot and never a state with missing records.
func TestRetentionPassed(t *testing.T) {
	for _, tc := range []struct {
		name string
		// keep is the number of the newest records that stay in the log; the
		// log has 10 records, a snapshot of the first ten and 5 more.
		keep    uint64
		hasPeer bool
		// again is true if a gateway goes on writing snapshots.
		again bool
		// from is the event that brings the state; empty for none.
		from  control.EventKind
		ready bool
	}{
		{"nothing trimmed", 16, false, false, "", true},
		{"snapshot kept", 6, false, false, control.EventLoadedSnapshot, true},
		{"snapshot trimmed", 5, false, false, "", false},
		{"snapshot trimmed and repeated", 5, false, true, control.EventLoadedSnapshot, true},
		{"snapshot trimmed, with a peer", 5, true, false, control.EventLoadedPeer, true},
		{"all trimmed, with a peer", 0, true, false, control.EventLoadedPeer, true},
		{"all trimmed", 0, false, false, "", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			bubble(t, func(t *testing.T, store *logservicetest.Fake) {
				var writes atomic.Bool
				writes.Store(true)
				a := start(t, store, "g1", func(o *control.Options) {
					o.SnapshotEvery = 10
					o.ShouldSnapshot = writes.Load
				})
				late := start(t, store, "g2", func(o *control.Options) {
					if tc.hasPeer {
						o.PeerState = peer(a)
					}
				})
				<-late.Ready()
				late.link.cut.Store(true)
				time.Sleep(30 * time.Second) // beyond the long poll in progress
				for i := range 10 {
					drain(t, a, fmt.Sprint("t", i))
				}
				synctest.Wait()
				writes.Store(tc.again)
				for i := range 5 {
					drain(t, a, fmt.Sprint("u", i))
				}
				store.Trim(stream, 17-tc.keep)
				fresh := start(t, store, "g3", func(o *control.Options) {
					if tc.hasPeer {
						o.PeerState = peer(a)
					}
				})
				late.link.cut.Store(false)
				time.Sleep(time.Minute)
				for name, g := range map[string]*gateway{"fresh": fresh, "late": late} {
					same := encoded(t, g) == encoded(t, a)
					if same != tc.ready || tc.from != "" && g.saw(tc.from) == 0 {
						t.Errorf("%s gateway: same state %v, events %v", name, same, g.seen())
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

// Guards against a gateway that has lost records to retention and asks its peers
// only once in a long poll: the peer that was ahead had just been replaced, and a
// configuration was not in force six seconds after its acceptance.
func TestPeersAreAskedAgainSoonAfterAGap(t *testing.T) {
	const inForceWithin = 6 * time.Second
	bubble(t, func(t *testing.T, store *logservicetest.Fake) {
		var helpful atomic.Bool
		a := start(t, store, "g1", nil)
		late := start(t, store, "g2", func(o *control.Options) {
			o.PeerState = func(ctx context.Context) (uint64, []byte, error) {
				if !helpful.Load() {
					return 0, nil, nil
				}
				return peer(a)(ctx)
			}
		})
		<-late.Ready()
		late.link.cut.Store(true)
		time.Sleep(30 * time.Second) // beyond the long poll in progress
		for i := range 5 {
			drain(t, a, fmt.Sprint("t", i))
		}
		store.Trim(stream, a.Status().Applied+1)
		late.link.cut.Store(false)
		for late.saw(control.EventGap) == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Second)
		helpful.Store(true)
		time.Sleep(inForceWithin)
		if encoded(t, late) != encoded(t, a) {
			t.Errorf("%v after a peer could help: events %v, status %+v", inForceWithin, late.seen(), late.Status())
		}
	})
}

// A process that starts during an outage must serve with the state of a peer,
// keep it if a peer offers an older one, and go on with the log.
func TestProcessReplacedDuringOutage(t *testing.T) {
	bubble(t, func(t *testing.T, store *logservicetest.Fake) {
		a, old := start(t, store, "g1", nil), start(t, store, "g2", nil)
		drain(t, a, "t1")
		synctest.Wait()
		old.link.cut.Store(true)
		time.Sleep(30 * time.Second)
		drain(t, a, "t2")
		store.SetFaults(logservicetest.Faults{Outage: true})
		var source atomic.Pointer[gateway]
		var calls atomic.Int32
		source.Store(a)
		replaced := start(t, store, "g1", func(o *control.Options) {
			o.PeerState = func(ctx context.Context) (uint64, []byte, error) {
				if calls.Add(1) == 1 {
					return 0, nil, context.DeadlineExceeded
				}
				return peer(source.Load())(ctx)
			}
		})
		<-replaced.Ready()
		if encoded(t, replaced) != encoded(t, a) || replaced.saw(control.EventPeerFailed) != 1 {
			t.Error("the state of the peer was not loaded")
		}
		source.Store(old)
		time.Sleep(time.Minute)
		if replaced.Snapshot().Applied != 2 || calls.Load() < 3 {
			t.Errorf("after an older peer: offset %d, %d calls", replaced.Snapshot().Applied, calls.Load())
		}
		store.SetFaults(logservicetest.Faults{})
		drain(t, replaced, "t3")
		time.Sleep(time.Minute) // beyond the pause of the other gateway
		if encoded(t, replaced) != encoded(t, a) {
			t.Error("states differ after the outage")
		}
	})
}

// A writer whose record is only in a loaded state must still get its result.
func TestResultFromLoadedState(t *testing.T) {
	bubble(t, func(t *testing.T, store *logservicetest.Fake) {
		a := start(t, store, "g1", nil)
		g := start(t, store, "g2", func(o *control.Options) { o.PeerState = peer(a) })
		<-g.Ready()
		// The append is on its way when the gateway loses the log.
		result := make(chan error, 1)
		store.SetFaults(logservicetest.Faults{HoldAppends: 1})
		go func() { result <- g.Drain(within(t, time.Hour), "t1", true) }()
		synctest.Wait()
		g.link.cut.Store(true)
		time.Sleep(30 * time.Second)
		store.Release()
		synctest.Wait()
		store.Trim(stream, 2)
		if err := <-result; err != nil || !g.Snapshot().Drained["t1"] || g.saw(control.EventLoadedPeer) == 0 {
			t.Errorf("error %v, events %v", err, g.seen())
		}
	})
}

// A log that lost its records must not be taken for the state.
func TestLogThatWasResetIsReported(t *testing.T) {
	bubble(t, func(t *testing.T, store *logservicetest.Fake) {
		a := start(t, store, "g1", nil)
		drain(t, a, "t1")
		a.link.cut.Store(true)
		time.Sleep(30 * time.Second)
		a.link.log.Store(logservicetest.NewFake())
		a.link.cut.Store(false)
		time.Sleep(time.Minute)
		if a.saw(control.EventLogBehind) != 1 || !a.Snapshot().Drained["t1"] {
			t.Errorf("events %v, drained %v", a.seen(), a.Snapshot().Drained)
		}
	})
}

// Without a snapshot in time retention drops the configuration; with snapshots
// from every gateway the log fills up.
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
			bubble(t, func(t *testing.T, store *logservicetest.Fake) {
				g := start(t, store, "g1", func(o *control.Options) {
					o.SnapshotEvery, o.LogRetention = 10, time.Hour
					o.ShouldSnapshot = func() bool { return tc.designated }
				})
				start(t, store, "g2", nil)
				for i := range tc.records {
					drain(t, g, fmt.Sprint(i))
					synctest.Wait()
				}
				time.Sleep(tc.quiet)
				synctest.Wait()
				if n := count(records(t, store), state.KindSnapshot); n != tc.want {
					t.Errorf("%d snapshots, want %d", n, tc.want)
				}
			})
		})
	}
}
