// Package state implements the replicated control state as a deterministic state
// machine. Every gateway applies the records of the control stream in the same
// order and reaches the same state. The package does no I/O.
package state

import (
	"encoding/json"
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/model"
)

// Kind is the type of a record.
type Kind string

// The kinds of records in the control stream.
const (
	KindConfigChange  Kind = "config_change"
	KindGatewayJoined Kind = "gateway_joined"
	KindGatewayLeft   Kind = "gateway_left"
	KindAgentJoined   Kind = "agent_joined"
	KindAgentLeft     Kind = "agent_left"
	KindTargetDrain   Kind = "target_drain"
	KindZoneDrain     Kind = "zone_drain"
	KindClaim         Kind = "claim"
	KindSnapshot      Kind = "snapshot"
)

// Record is one entry of the control stream.
type Record struct {
	// ID is unique for each record and stays the same when the writer retries
	// after a lost reply. A second record with the same ID has no effect.
	ID   string `json:"id"`
	Kind Kind   `json:"kind"`
	// Writer is the gateway that appended the record.
	Writer string          `json:"writer"`
	At     time.Time       `json:"at"`
	Body   json.RawMessage `json:"body"`
}

// ConfigChange replaces the configuration if Base is still the current version
// (optimistic concurrency control).
type ConfigChange struct {
	// Base is the version (a log offset) on which the change is based; 0 for the
	// first configuration.
	Base     uint64          `json:"base"`
	Operator string          `json:"operator"`
	Config   json.RawMessage `json:"config"`
}

// Gateway is a member that can own partitions.
type Gateway struct {
	ID          string            `json:"id"`
	Incarnation model.Incarnation `json:"incarnation"`
	// Address is the host:port on which it serves other gateways and agents.
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability_zone"`
	// Left is true after a gateway_left record, and LeftAt is the log time of
	// that record.
	Left   bool      `json:"left,omitempty"`
	LeftAt time.Time `json:"left_at,omitzero"`
}

// GatewayLeft is the body of gateway_left. It marks a gateway incarnation as
// left.
type GatewayLeft struct {
	ID          string            `json:"id"`
	Incarnation model.Incarnation `json:"incarnation"`
}

// Agent is the process that runs next to a target and starts its tasks.
type Agent struct {
	ID               string            `json:"id"`
	Incarnation      model.Incarnation `json:"incarnation"`
	Address          string            `json:"address"`
	Worker           string            `json:"worker"`
	Rack             string            `json:"rack"`
	AvailabilityZone string            `json:"availability_zone"`
	Target           string            `json:"target"`
	Service          string            `json:"service"`
	Slots            int               `json:"slots"`
	Connections      int               `json:"connections"`
	// Joined is the offset of the record that added this incarnation. The state
	// machine sets it; writers leave it 0.
	Joined uint64 `json:"joined,omitempty"`
}

// AgentsJoined is the body of agent_joined. It holds several agents so that the
// restart of a whole cell needs few appends.
type AgentsJoined struct {
	Agents []Agent `json:"agents"`
}

// AgentsLeft is the body of agent_left.
type AgentsLeft struct {
	Agents []AgentLeft `json:"agents"`
}

// AgentLeft removes an agent incarnation from the members.
type AgentLeft struct {
	ID          string            `json:"id"`
	Incarnation model.Incarnation `json:"incarnation"`
	// LeaseUntil is the end of the worker's lease that the writer acquired as
	// proof that the agent has stopped. A record appended after that time has no
	// effect, because the agent may hold the lease again. It is zero if the agent
	// itself announced that it was leaving.
	LeaseUntil time.Time `json:"lease_until,omitzero"`
}

// DepartedAgent is an agent incarnation that has left, so that its ledger may no
// longer be available. A takeover counts it towards the majorities of the list
// versions that contain it, and until the retention time has passed does not run
// tasks that it may have started (ownership.Takeover.CutOff).
type DepartedAgent struct {
	ID          string            `json:"id"`
	Incarnation model.Incarnation `json:"incarnation"`
	// Joined and Left are the offsets of the records that added and removed the
	// incarnation.
	Joined uint64 `json:"joined"`
	Left   uint64 `json:"left"`
	// LeftAt is the log time of the record that removed the incarnation.
	LeftAt time.Time `json:"left_at"`
}

// TargetDrain sets or clears an operator's drain of a target.
type TargetDrain struct {
	Target string `json:"target"`
	Drain  bool   `json:"drain"`
}

// ZoneDrain sets or clears an operator's drain of an availability zone.
type ZoneDrain struct {
	Zone  string `json:"zone"`
	Drain bool   `json:"drain"`
}

// Claim makes a gateway incarnation the owner of partitions. It takes effect for
// those partitions whose current epoch equals PartitionClaim.Replaces.
type Claim struct {
	Gateway     string            `json:"gateway"`
	Incarnation model.Incarnation `json:"incarnation"`
	Partitions  []PartitionClaim  `json:"partitions"`
	// Handover is true if the previous owner wrote the claim on behalf of the new
	// owner, after sending it the job table.
	Handover bool `json:"handover,omitempty"`
}

// PartitionClaim is a claimed partition and the epoch that the claim replaces.
type PartitionClaim struct {
	Partition model.Partition `json:"partition"`
	Replaces  model.Epoch     `json:"replaces"`
}

// Ownership is the current owner of a partition.
type Ownership struct {
	Gateway     string            `json:"gateway"`
	Incarnation model.Incarnation `json:"incarnation"`
	Epoch       model.Epoch       `json:"epoch"`
	// Replaces is the epoch before the claim; 0 for the first claim.
	Replaces model.Epoch `json:"replaces"`
	// Base is the offset up to which every owner that is not known to have
	// stopped has applied the log (see ownership.NextBase).
	Base uint64 `json:"base"`
	// ClaimedAt is the log time of the claim.
	ClaimedAt time.Time `json:"claimed_at"`
	Handover  bool      `json:"handover,omitempty"`
}
