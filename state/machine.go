package state

import "time"

// recentRecord remembers what became of a record.
type recentRecord struct {
	ID      string `json:"id"`
	Offset  uint64 `json:"offset"`
	Kind    Kind   `json:"kind"`
	Reason  Reason `json:"reason,omitempty"`
	Version uint64 `json:"version,omitempty"`
}

// Options configures a Machine. All gateways of a cell need the same options,
// or their states differ.
type Options struct {
	// Retention is the time for which departed agents and gateways that left
	// stay listed, by log time.
	Retention time.Duration
}

// Machine applies records. Its methods are called from one goroutine.
type Machine struct{ cur Snapshot }

// NewMachine returns a machine in the state before the first record.
func NewMachine(opts Options) *Machine { return &Machine{} }

// Apply applies the record at the offset.
func (m *Machine) Apply(offset uint64, logTime time.Time, data []byte) Result { return Result{} }

// Snapshot returns the present state.
func (m *Machine) Snapshot() *Snapshot { return &m.cur }
