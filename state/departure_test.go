package state_test

import (
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/state"
)

// A departure is proved by a lease that the writer holds in place of the agent.
// A record appended after that lease expired must be rejected: the agent may hold
// the lease again and start tasks.
func TestDepartureIsRejectedAfterLeaseExpiry(t *testing.T) {
	for _, c := range []struct {
		name  string
		until time.Time
		gone  bool
	}{
		{"announced by the agent", time.Time{}, true},
		{"lease lasts", epoch.Add(2 * time.Second), true},
		{"appended at its end", epoch.Add(time.Second), true},
		{"appended after its end", epoch.Add(time.Second - 1), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := state.NewMachine(state.Options{})
			m.Apply(1, epoch, record("join", state.KindAgentJoined, "g", agents(0, 1, 1)))
			left := state.AgentLeft{ID: "agent-00000", Incarnation: incarnation(1), LeaseUntil: c.until}
			r := m.Apply(2, epoch.Add(time.Second), record("left", state.KindAgentLeft, "g", state.AgentsLeft{Agents: []state.AgentLeft{left}}))
			if listed := m.Snapshot().Listed("agent-00000", incarnation(1)); listed == c.gone {
				t.Errorf("listed %t, result %+v", listed, r)
			}
			if !c.gone && r.Reason != state.ReasonLeaseExpired {
				t.Errorf("reason %q", r.Reason)
			}
		})
	}
}
