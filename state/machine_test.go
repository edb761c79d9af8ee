package state_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/rhubarbsail/rhubarbsail/common/model"
	"github.com/rhubarbsail/rhubarbsail/state"
)

func incarnation(n uint64) model.Incarnation { return model.Incarnation(n) }

type step struct {
	id, kind, writer string
	body             any
	// after is the log time that passed since the previous record.
	after time.Duration
}

func newGateway(id string, inc uint64) state.Gateway {
	return state.Gateway{ID: id, Incarnation: incarnation(inc), Address: id + ":1", AvailabilityZone: "z"}
}

// claim returns a claim; pairs alternates partitions and the epochs to replace.
func claim(gw string, inc uint64, handover bool, pairs ...uint64) state.Claim {
	c := state.Claim{Gateway: gw, Incarnation: incarnation(inc), Handover: handover}
	for i := 0; i < len(pairs); i += 2 {
		c.Partitions = append(c.Partitions, state.PartitionClaim{Partition: model.Partition(pairs[i]), Replaces: model.Epoch(pairs[i+1])})
	}
	return c
}

func agentsLeft(inc uint64, ids ...string) state.AgentsLeft {
	var l state.AgentsLeft
	for _, id := range ids {
		l.Agents = append(l.Agents, state.AgentLeft{ID: id, Incarnation: incarnation(inc)})
	}
	return l
}

const config = `{"inventory":{"workers":[],"targets":[]},"rules":{"clients":[{"id":"bond","share":1}],"services":[]},"later_key":1}`

var scenarios = map[string][]step{
	// Two operators change the same version. The second change must be rejected
	// with the version that is in force.
	"config": {
		{"a", "config_change", "g1", `{"base":0,"operator":"ann","config":` + config + `}`, 0},
		{"b", "config_change", "g2", `{"base":0,"operator":"bob","config":` + config + `}`, 0},
		{"c", "config_change", "g2", `{"base":1,"operator":"bob","config":` + config + `}`, 0},
		{"d", "config_change", "g2", `{"base":3,"operator":"bob","config":null}`, 0},
		{"e", "config_change", "g2", `{"base":3,"operator":"bob","config":{"rules":5}}`, 0},
	},
	// A retried append must not take effect twice, nor take effect if the first
	// record was rejected.
	"duplicates": {
		{"a", "target_drain", "g1", state.TargetDrain{Target: "t1", Drain: true}, 0},
		{"b", "target_drain", "g1", state.TargetDrain{Target: "t1"}, 0},
		{"a", "target_drain", "g1", state.TargetDrain{Target: "t1", Drain: true}, 0},
		{"c", "gateway_left", "g1", state.GatewayLeft{ID: "g9", Incarnation: 1}, 0},
		{"c", "gateway_left", "g1", state.GatewayLeft{ID: "g9", Incarnation: 1}, 0},
	},
	// Records from a faulty or newer writer are skipped and must not stop the
	// gateways.
	"skipped": {
		{"a", "from_the_future", "g1", `{}`, 0},
		{"", "target_drain", "g1", state.TargetDrain{Target: "t1", Drain: true}, 0},
		{"b", "target_drain", "g1", `[]`, 0},
		{"c", "target_drain", "g1", `{}`, 0},
		{"d", "agent_joined", "g1", `{"agents":[]}`, 0},
		{"e", "claim", "g1", `{}`, 0},
		{"f", "gateway_joined", "g1", `{"id":"g1"}`, 0},
		{"g", "snapshot", "g1", `7`, 0},
	},
	// A delayed record must not restore an incarnation that was replaced or has
	// left. Departed agents stay in the state for the retention time.
	"members": {
		{"a", "gateway_joined", "g1", newGateway("g1", 5), 0},
		{"b", "gateway_joined", "g1", newGateway("g1", 4), 0},
		{"c", "gateway_joined", "g1", newGateway("g1", 6), 0},
		{"d", "gateway_left", "g2", state.GatewayLeft{ID: "g1", Incarnation: 5}, 0},
		{"e", "gateway_left", "g2", state.GatewayLeft{ID: "g1", Incarnation: 6}, 0},
		{"f", "gateway_joined", "g1", newGateway("g1", 6), 0},
		{"g", "agent_joined", "g2", agents(0, 3, 10), 0},
		{"h", "agent_joined", "g2", agents(1, 2, 11), time.Minute},
		{"i", "agent_joined", "g2", agents(0, 2, 10), 0},
		{"j", "agent_left", "g2", agentsLeft(10, "agent-00000", "agent-00001"), time.Minute},
		{"k", "agent_joined", "g2", agents(0, 1, 10), 0},
		{"l", "agent_left", "g2", agentsLeft(10, "agent-00000"), 0},
		{"m", "target_drain", "g2", state.TargetDrain{Target: "t1", Drain: true}, 9 * time.Minute},
		{"n", "target_drain", "g2", state.TargetDrain{Target: "t1"}, time.Minute},
	},
	// A zone that was drained twice is in use after one return, and records on zones and
	// on targets of the same name do not mix.
	"drains": {
		{"a", "zone_drain", "g1", state.ZoneDrain{Zone: "x", Drain: true}, 0},
		{"b", "zone_drain", "g1", state.ZoneDrain{Zone: "x", Drain: true}, 0},
		{"c", "target_drain", "g1", state.TargetDrain{Target: "x"}, 0},
		{"d", "zone_drain", "g1", state.ZoneDrain{Zone: "y", Drain: true}, 0},
		{"e", "zone_drain", "g1", state.ZoneDrain{Zone: "x"}, 0},
		{"f", "zone_drain", "g1", `{}`, 0},
		{"g", "zone_drain", "g1", `[]`, 0},
	},
	// Concurrent claims are decided by log order, separately for each partition,
	// and only the owner can hand over a partition.
	"claims": {
		{"a", "gateway_joined", "g1", newGateway("g1", 1), 0},
		{"b", "gateway_joined", "g2", newGateway("g2", 1), 0},
		{"c", "claim", "g1", claim("g1", 1, false, 0, 0, 1, 0), 0},
		{"d", "claim", "g2", claim("g2", 1, false, 1, 0, 2, 0), 0},
		{"e", "claim", "g1", claim("g1", 2, false, 3, 0), 0},
		{"f", "claim", "g2", claim("g2", 1, true, 0, 3), 0},
		{"g", "claim", "g1", claim("g2", 1, true, 0, 3), 0},
		{"h", "gateway_joined", "g1", newGateway("g1", 2), 0},
		{"i", "claim", "g1", claim("g1", 1, false, 2, 4), 0},
		{"j", "claim", "g1", claim("g1", 2, false, 1, 3), 0},
		{"k", "claim", "g1", claim("g1", 2, false, 70000, 0), 0},
	},
}

// Checks each scenario against a golden file with the results of its records and
// the final state. The comment of a scenario says which fault it guards against.
func TestRecordScenariosMatchGoldenFiles(t *testing.T) {
	for name, steps := range scenarios {
		t.Run(name, func(t *testing.T) {
			m := state.NewMachine(state.Options{})
			var out strings.Builder
			at := epoch
			for i, s := range steps {
				at = at.Add(s.after)
				r := m.Apply(uint64(i+1), at, record(s.id, state.Kind(s.kind), s.writer, s.body))
				fmt.Fprintf(&out, "%+v\n", r)
			}
			snapshot, err := m.Snapshot().Encode()
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(&out, "skipped %d\n%s\n", m.Skipped(), strings.ReplaceAll(string(snapshot), `,"`, ",\n\""))
			goldie.New(t).Assert(t, name, []byte(out.String()))
		})
	}
}

// A gateway whose next record was trimmed from the log may only load a newer
// snapshot. Applying any other record would leave gaps in its state.
func TestAfterGapOnlyNewerSnapshotHasEffect(t *testing.T) {
	full := state.NewMachine(state.Options{})
	for i := uint64(1); i <= 20; i++ {
		full.Apply(i, epoch, record(fmt.Sprint(i), state.KindTargetDrain, "g", state.TargetDrain{Target: fmt.Sprint(i), Drain: true}))
	}
	snapshot, err := full.Snapshot().Encode()
	if err != nil {
		t.Fatal(err)
	}
	body := string(snapshot)
	m := state.NewMachine(state.Options{})
	drain := record("x", state.KindTargetDrain, "g", state.TargetDrain{Target: "x", Drain: true})
	for _, tc := range []struct {
		name    string
		offset  uint64
		data    []byte
		want    state.Outcome
		applied uint64
	}{
		{"record after a gap", 21, drain, state.OutcomeGap, 0},
		{"snapshot not older than its record", 20, record("s", state.KindSnapshot, "g", body), state.OutcomeGap, 0},
		{"unknown format", 22, record("s", state.KindSnapshot, "g", `{"format":99,"applied":20}`), state.OutcomeGap, 0},
		{"usable snapshot", 25, record("s", state.KindSnapshot, "g", body), state.OutcomeLoaded, 20},
		{"same snapshot again", 26, record("s", state.KindSnapshot, "g", body), state.OutcomeGap, 20},
		{"next record", 21, drain, state.OutcomeApplied, 21},
		{"offset already applied", 20, drain, state.OutcomeAlreadyApplied, 21},
		{"id from the snapshot", 22, record("7", state.KindTargetDrain, "g", state.TargetDrain{Target: "y", Drain: true}), state.OutcomeDuplicate, 22},
	} {
		r := m.Apply(tc.offset, epoch, tc.data)
		if r.Outcome != tc.want || m.Applied() != tc.applied {
			t.Errorf("%s: got %+v, applied %d", tc.name, r, m.Applied())
		}
	}
	if s := m.Snapshot(); !s.Drained["x"] || s.Drained["y"] || !s.Drained["20"] {
		t.Errorf("drained: %v", s.Drained)
	}
}

// Guards against recent IDs that grow the state without limit, and against
// evicting the newest IDs instead of the oldest.
func TestRecentIDsAreBounded(t *testing.T) {
	m := state.NewMachine(state.Options{})
	for i := uint64(1); i <= state.MaxRecentRecords+1; i++ {
		m.Apply(i, epoch, record(fmt.Sprint(i), state.KindTargetDrain, "g", state.TargetDrain{Target: "t", Drain: true}))
	}
	for id, want := range map[string]bool{"1": false, "2": true, fmt.Sprint(state.MaxRecentRecords + 1): true} {
		if _, got := m.RecentResult(id); got != want {
			t.Errorf("id %s remembered: %v", id, got)
		}
	}
}
