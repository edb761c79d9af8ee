package state

import (
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/model"
	"github.com/rhubarbsail/rhubarbsail/inventory"
)

// Snapshot is the state after the record at offset Applied. It is immutable:
// its maps and slices are shared between snapshots and must not be changed.
type Snapshot struct {
	// Applied is the offset of the last applied record; 0 before the first.
	Applied uint64
	// LogTime is the latest append time of the applied records.
	LogTime time.Time
	// ConfigVersion is the offset of the record that set Config; 0 before the
	// first configuration.
	ConfigVersion uint64
	// ConfigOperator is the operator who published Config, and ConfigChangedAt
	// the log time of that change.
	ConfigOperator  string
	ConfigChangedAt time.Time
	// Config is the current configuration. It is never nil; it is empty before
	// the first configuration change.
	Config *inventory.Config
	// Gateways holds the newest incarnation of each gateway by ID, including
	// those that left within the retention time.
	Gateways map[string]Gateway
	// Agents holds the current incarnation of each agent by ID.
	Agents map[string]Agent
	// Departed lists the agent incarnations that left, oldest first. They are
	// kept for the retention time, and longer while a takeover may need them.
	Departed []DepartedAgent
	// Owners holds the owner of each partition that has ever been claimed.
	Owners map[model.Partition]Ownership
	// Drained holds the targets that an operator has drained.
	Drained map[string]bool
	// DrainedZones holds the availability zones that an operator has drained.
	DrainedZones map[string]bool

	// encodedConfig is the encoding of Config as stored in the log. It preserves keys
	// that this version does not know.
	encodedConfig []byte
	// recent holds the results of the last records, oldest first.
	recent []recentRecord
}

// Member returns the gateway and reports whether the given incarnation is a
// current member.
func (s *Snapshot) Member(id string, inc model.Incarnation) (Gateway, bool) {
	g, ok := s.Gateways[id]
	return g, ok && g.Incarnation == inc && !g.Left
}

// DrainedAgent reports whether an operator has drained the target of a listed agent,
// or the agent's availability zone.
func (s *Snapshot) DrainedAgent(id string) bool {
	a, listed := s.Agents[id]
	return listed && (s.Drained[a.Target] || s.DrainedZones[a.AvailabilityZone])
}

// Listed reports whether the given incarnation of the agent is a current member.
func (s *Snapshot) Listed(id string, inc model.Incarnation) bool {
	a, ok := s.Agents[id]
	return ok && a.Incarnation == inc
}
