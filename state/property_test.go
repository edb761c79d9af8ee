package state_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rhubarbsail/rhubarbsail/common/model"
	"github.com/rhubarbsail/rhubarbsail/state"
)

type logEntry struct {
	at   time.Time
	data []byte
}

// drawLog generates a log with few distinct IDs, members and partitions, so that
// conflicts, duplicates and stale incarnations are frequent.
func drawLog(t *rapid.T) []logEntry {
	at := epoch
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) logEntry {
		small := func(name string, n int) int { return rapid.IntRange(0, n).Draw(t, name) }
		// The log's clock may go backwards.
		at = at.Add(time.Duration(rapid.IntRange(-60, 400).Draw(t, "step")) * time.Second)
		id := fmt.Sprint("r", small("id", 60))
		gw, inc := fmt.Sprint("g", small("gateway", 2)), uint64(small("incarnation", 3))
		replaces := model.Epoch(small("replaces", 40))
		body := []any{
			state.ConfigChange{Base: uint64(replaces), Config: []byte(config)},
			newGateway(gw, inc),
			state.GatewayLeft{ID: gw, Incarnation: incarnation(inc)},
			agents(small("first", 2), small("last", 5), inc),
			agentsLeft(inc, "agent-00000", "agent-00001"),
			state.TargetDrain{Target: gw, Drain: inc > 1},
			state.ZoneDrain{Zone: gw, Drain: inc > 1},
			claim(gw, inc, inc == 3, uint64(small("partition", 2)), uint64(replaces)),
			"{}", "7",
			// A snapshot record must have no effect if no record is missing.
			`{"format":1,"applied":9,"config_version":9,"drained":["g1"],"drained_zones":["g2"]}`,
		}
		kinds := []state.Kind{
			state.KindConfigChange, state.KindGatewayJoined, state.KindGatewayLeft, state.KindAgentJoined,
			state.KindAgentLeft, state.KindTargetDrain, state.KindZoneDrain, state.KindClaim, "unknown", state.KindClaim,
			state.KindSnapshot,
		}
		k := small("kind", len(kinds)-1)
		return logEntry{at, record(id, kinds[k], gw, body[k])}
	}), 1, 60).Draw(t, "log")
}

func apply(m *state.Machine, log []logEntry, from, to int) {
	for i := from; i < to; i++ {
		m.Apply(uint64(i+1), log[i].at, log[i].data)
	}
}

func encode(t *rapid.T, s *state.Snapshot) []byte {
	b, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// Replicas must reach the same state no matter when they take snapshots;
// otherwise two gateways could own the same partition. A snapshot must not change
// after it was published.
func TestReplicasAgreeAndSnapshotsAreImmutable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := drawLog(t)
		a, b := state.NewMachine(state.Options{}), state.NewMachine(state.Options{})
		apply(a, log, 0, len(log))
		var published []*state.Snapshot
		var encoded [][]byte
		for i := range log {
			apply(b, log, i, i+1)
			published = append(published, b.Snapshot())
			encoded = append(encoded, encode(t, b.Snapshot()))
		}
		if got, want := encode(t, b.Snapshot()), encode(t, a.Snapshot()); !bytes.Equal(got, want) {
			t.Fatalf("replicas differ:\n%s\n%s", got, want)
		}
		for i, s := range published {
			if !bytes.Equal(encode(t, s), encoded[i]) {
				t.Fatalf("the snapshot at offset %d changed after it was published", s.Applied)
			}
		}
	})
}

// A gateway that starts from a snapshot must reach the same state as one that
// read the whole log, even if it is given an older snapshot afterwards.
func TestReplayFromSnapshotEqualsReplayFromStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := drawLog(t)
		cut := rapid.IntRange(0, len(log)).Draw(t, "cut")
		a, b := state.NewMachine(state.Options{}), state.NewMachine(state.Options{})
		apply(a, log, 0, cut)
		s, err := state.DecodeSnapshot(encode(t, a.Snapshot()))
		if err != nil {
			t.Fatal(err)
		}
		if loaded := b.Load(s); loaded != (cut > 0) {
			t.Fatalf("snapshot at offset %d loaded: %v", cut, loaded)
		}
		apply(a, log, cut, len(log))
		apply(b, log, cut, len(log))
		b.Load(s)
		if got, want := encode(t, b.Snapshot()), encode(t, a.Snapshot()); !bytes.Equal(got, want) {
			t.Fatalf("states differ:\n%s\n%s", got, want)
		}
		// Applying records after the load must not modify s.
		if s.Applied != uint64(cut) {
			t.Fatal("the loaded snapshot changed")
		}
	})
}

// Guards against a version, epoch or incarnation that decreases, which would
// restore an old configuration or owner.
func TestVersionsNeverGoDown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := drawLog(t)
		m := state.NewMachine(state.Options{})
		before := m.Snapshot()
		for i := range log {
			r := m.Apply(uint64(i+1), log[i].at, log[i].data)
			now := m.Snapshot()
			if now.Applied != before.Applied+1 || now.ConfigVersion < before.ConfigVersion || now.LogTime.Before(before.LogTime) {
				t.Fatalf("went down at offset %d", now.Applied)
			}
			if now.ConfigVersion != before.ConfigVersion && (now.ConfigVersion != now.Applied || !r.Effective()) {
				t.Fatalf("version %d at offset %d with result %+v", now.ConfigVersion, now.Applied, r)
			}
			for p, o := range before.Owners {
				if now.Owners[p].Epoch < o.Epoch {
					t.Fatalf("epoch of partition %d went down", p)
				}
			}
			for id, old := range before.Agents {
				if a, ok := now.Agents[id]; ok && a.Incarnation < old.Incarnation {
					t.Fatalf("incarnation of %s went down", id)
				}
			}
			before = now
		}
	})
}
