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
	// LogTime is the newest log time among the applied records.
	LogTime time.Time
	// ConfigVersion is the offset of the record that set Config; 0 before the
	// first configuration.
	ConfigVersion uint64
	// ConfigOperator published it at ConfigChangedAt, by log time.
	ConfigOperator  string
	ConfigChangedAt time.Time
	// Config is the configuration in force. It is never nil; before the first
	// configuration it is empty.
	Config *inventory.Config
	// Gateways holds the newest incarnation of each gateway by id, including
	// those marked Left whose retention has not passed.
	Gateways map[string]Gateway
	// Agents holds the current incarnation of each agent by id.
	Agents map[string]Agent
	// Departed lists the incarnations that left within the retention time, in
	// the order in which they left.
	Departed []DepartedAgent
	// Owners holds the owner of each partition that was ever claimed.
	Owners map[model.Partition]Ownership
	// Drained holds the targets that an operator drained.
	Drained map[string]bool

	// config is the encoding of Config as it stands in the log, with keys that
	// this version does not know.
	config []byte
	// recent lists the last records by id, oldest first.
	recent []recentRecord
}

// Member returns the gateway if this incarnation is a current member.
func (s *Snapshot) Member(id string, inc model.Incarnation) (Gateway, bool) {
	g, ok := s.Gateways[id]
	return g, ok && g.Incarnation == inc && !g.Left
}

// Listed reports whether this incarnation of the agent is a current member.
func (s *Snapshot) Listed(id string, inc model.Incarnation) bool {
	a, ok := s.Agents[id]
	return ok && a.Incarnation == inc
}
