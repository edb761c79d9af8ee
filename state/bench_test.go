package state_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/model"
	"github.com/rhubarbsail/rhubarbsail/inventory"
	"github.com/rhubarbsail/rhubarbsail/state"
)

// sizes are the numbers of agents in one cell and in all cells together
// (docs/design.md, sections 1.6 and 9).
var sizes = []int{400, 19_000}

// filledMachine returns a machine that holds n agents, a configuration with their
// targets, claimed partitions and the maximum number of recent records. It also
// returns the last applied offset.
func filledMachine(b *testing.B, n int) (*state.Machine, uint64) {
	b.Helper()
	m := state.NewMachine(state.Options{})
	offset := uint64(0)
	apply := func(id string, kind state.Kind, body any) {
		offset++
		if r := m.Apply(offset, epoch, record(id, kind, "g1", body)); !r.Effective() {
			b.Fatalf("%+v", r)
		}
	}
	apply("config", state.KindConfigChange, state.ConfigChange{Config: configOf(b, n)})
	apply("join", state.KindGatewayJoined, newGateway("g1", 1))
	apply("agents", state.KindAgentJoined, agents(0, n, 1_790_000_000_000_000_000))
	c := state.Claim{Gateway: "g1", Incarnation: 1}
	for p := range 64 {
		c.Partitions = append(c.Partitions, state.PartitionClaim{Partition: model.Partition(p)})
	}
	apply("claim", state.KindClaim, c)
	for i := range state.MaxRecentRecords {
		apply(fmt.Sprintf("recent-id-%06d", i), state.KindTargetDrain, state.TargetDrain{Target: "target-00001", Drain: true})
	}
	return m, offset
}

func configOf(b *testing.B, n int) []byte {
	b.Helper()
	var inv inventory.Inventory
	for _, a := range agents(0, n, 1).Agents {
		inv.Workers = append(inv.Workers, inventory.Worker{
			ID: a.Worker, Rack: a.Rack, AvailabilityZone: a.AvailabilityZone, Processors: 32, MemoryMB: 65536,
		})
		inv.Targets = append(inv.Targets, inventory.Target{
			ID: a.Target, Worker: a.Worker, Rack: a.Rack, AvailabilityZone: a.AvailabilityZone,
			Service: a.Service, Slots: a.Slots, Connections: a.Connections,
		})
	}
	data, err := inventory.New(inv, inventory.Rules{Services: []inventory.Service{{ID: "glue"}}}).JSON()
	if err != nil {
		b.Fatal(err)
	}
	return data
}

// BenchmarkApply measures applying one record and taking a snapshot after it.
func BenchmarkApply(b *testing.B) {
	for _, n := range sizes {
		for name, body := range map[string]func(i int) (state.Kind, any){
			"drain": func(i int) (state.Kind, any) {
				return state.KindTargetDrain, state.TargetDrain{Target: "target-00001", Drain: i%2 == 0}
			},
			"agent": func(i int) (state.Kind, any) {
				return state.KindAgentJoined, agents(i%n, i%n+1, 1_800_000_000_000_000_000+uint64(i))
			},
			"claim": func(i int) (state.Kind, any) {
				return state.KindClaim, claim("g1", 1, false, 5, 4)
			},
			"restart of all agents": func(i int) (state.Kind, any) {
				return state.KindAgentJoined, agents(0, n, 1_800_000_000_000_000_000+uint64(i))
			},
			"config": func(i int) (state.Kind, any) { return state.KindConfigChange, nil },
		} {
			b.Run(fmt.Sprintf("%s/agents=%d", name, n), func(b *testing.B) {
				m, offset := filledMachine(b, n)
				cfg := configOf(b, n)
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					b.StopTimer()
					kind, v := body(i)
					if kind == state.KindConfigChange {
						v = state.ConfigChange{Base: m.Snapshot().ConfigVersion, Config: cfg}
					}
					data := record(fmt.Sprintf("benchmark-%06d", i), kind, "g1", v)
					offset++
					b.StartTimer()
					m.Apply(offset, epoch.Add(time.Duration(i)*time.Second), data)
					m.Snapshot()
				}
			})
		}
	}
}

// BenchmarkSnapshot measures the encoding and decoding of a snapshot, and its
// size.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range sizes {
		m, _ := filledMachine(b, n)
		s := m.Snapshot()
		data, err := s.Encode()
		if err != nil {
			b.Fatal(err)
		}
		var parts map[string]json.RawMessage
		if err := json.Unmarshal(data, &parts); err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("encode/agents=%d", n), func(b *testing.B) {
			for b.Loop() {
				if _, err := s.Encode(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "bytes")
			for _, part := range []string{"config", "agents", "recent"} {
				b.ReportMetric(float64(len(parts[part])), part+"-bytes")
			}
		})
		b.Run(fmt.Sprintf("decode/agents=%d", n), func(b *testing.B) {
			for b.Loop() {
				if _, err := state.DecodeSnapshot(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
