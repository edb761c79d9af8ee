package state_test

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/rhubarbsail/rhubarbsail/state"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// record encodes a record. A body of type string is used as JSON text.
func record(id string, kind state.Kind, writer string, body any) []byte {
	raw, isText := body.(string)
	if !isText {
		b, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		raw = string(b)
	}
	data, err := json.Marshal(state.Record{ID: id, Kind: kind, Writer: writer, At: epoch, Body: json.RawMessage(raw)})
	if err != nil {
		panic(err)
	}
	return data
}

// agents returns a join record for the agents with numbers from to to-1.
func agents(from, to int, inc uint64) state.AgentsJoined {
	var l state.AgentsJoined
	for i := from; i < to; i++ {
		l.Agents = append(l.Agents, state.Agent{
			ID: fmt.Sprintf("agent-%05d", i), Incarnation: incarnation(inc), Address: fmt.Sprintf("10.1.%d.%d:7000", i/250, i%250),
			Worker: fmt.Sprintf("worker-%05d", i), Rack: fmt.Sprintf("rack-%04d", i/3), AvailabilityZone: "zone-1",
			Target: fmt.Sprintf("target-%05d", i), Service: "glue", Slots: 8, Connections: 64,
		})
	}
	return l
}
