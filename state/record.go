// Package state is the deterministic state machine over the records of the
// control stream. Every gateway applies the same records in the same order and
// gets the same state. It does no I/O.
package state

import (
	"encoding/json"
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/model"
)

// Kind names the type of a record.
type Kind string

// The kinds of records in the control stream.
const (
	KindConfigChange  Kind = "config_change"
	KindGatewayJoined Kind = "gateway_joined"
	KindGatewayLeft   Kind = "gateway_left"
	KindAgentJoined   Kind = "agent_joined"
	KindAgentLeft     Kind = "agent_left"
	KindTargetDrain   Kind = "target_drain"
	KindClaim         Kind = "claim"
	KindSnapshot      Kind = "snapshot"
)

// Record is one entry of the control stream.
type Record struct {
	// ID is unique for each record. It recognises a record whose append reply
	// was lost; a second record with the same id has no effect.
	ID   string `json:"id"`
	Kind Kind   `json:"kind"`
	// Writer is the gateway that appended the record.
	Writer string          `json:"writer"`
	At     time.Time       `json:"at"`
	Body   json.RawMessage `json:"body"`
}

// ConfigChange replaces the configuration if Base is the current version.
type ConfigChange struct {
	// Base is the version (log offset) that the operator started from; 0 for
	// the first configuration.
	Base     uint64          `json:"base"`
	Operator string          `json:"operator"`
	Config   json.RawMessage `json:"config"`
}

// Gateway is a member that can own partitions.
type Gateway struct {
	ID          string            `json:"id"`
	Incarnation model.Incarnation `json:"incarnation"`
	// Address is the host:port on which the gateway serves gateways and agents.
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability_zone"`
	// Left is set by a gateway_left record, LeftAt by its log time.
	Left   bool      `json:"left,omitempty"`
	LeftAt time.Time `json:"left_at,omitzero"`
}

// GatewayLeft marks an incarnation as gone.
type GatewayLeft struct {
	ID          string            `json:"id"`
	Incarnation model.Incarnation `json:"incarnation"`
}

// Agent is the process beside a target.
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
	// Joined is the offset of the record that listed the incarnation. The state
	// machine sets it; writers leave it 0.
	Joined uint64 `json:"joined,omitempty"`
}

// AgentsJoined is the body of agent_joined. It lists several agents so that a
// restart of a whole cell costs few appends.
type AgentsJoined struct {
	Agents []Agent `json:"agents"`
}

// AgentsLeft is the body of agent_left.
type AgentsLeft struct {
	Agents []AgentLeft `json:"agents"`
}

// AgentLeft removes an incarnation of an agent.
type AgentLeft struct {
	ID          string            `json:"id"`
	Incarnation model.Incarnation `json:"incarnation"`
	// LeaseUntil is the end of the worker's lease that the writer took as proof
	// that the agent has stopped. The record has no effect if the log appended it
	// later, since the agent may hold its lease again. It is zero when the agent
	// itself announced that it leaves.
	LeaseUntil time.Time `json:"lease_until,omitzero"`
}

// DepartedAgent is an incarnation whose ledger is gone. It counts as missing
// in takeovers until its retention has passed.
type DepartedAgent struct {
	ID          string            `json:"id"`
	Incarnation model.Incarnation `json:"incarnation"`
	// Joined and Left are the offsets of the records that listed and removed
	// the incarnation.
	Joined uint64 `json:"joined"`
	Left   uint64 `json:"left"`
	// LeftAt is the log's time of the record that removed the incarnation.
	LeftAt time.Time `json:"left_at"`
}

// TargetDrain sets or clears an operator's drain of a target.
type TargetDrain struct {
	Target string `json:"target"`
	Drain  bool   `json:"drain"`
}

// Claim makes a gateway incarnation the owner of partitions. It takes effect
// for each partition whose current epoch is the one named.
type Claim struct {
	Gateway     string            `json:"gateway"`
	Incarnation model.Incarnation `json:"incarnation"`
	Partitions  []PartitionClaim  `json:"partitions"`
	// Handover is true when the previous owner wrote the claim for its
	// successor after it had sent the job table.
	Handover bool `json:"handover,omitempty"`
}

// PartitionClaim names a partition and the epoch that the claim replaces.
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
	// Base is the offset that every owner whose end is not proved has applied
	// (ownership.NextBase).
	Base uint64 `json:"base"`
	// ClaimedAt is the log's time of the claim.
	ClaimedAt time.Time `json:"claimed_at"`
	Handover  bool      `json:"handover,omitempty"`
}
