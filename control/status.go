package control

import (
	"fmt"
	"time"
)

// Status describes the tail of the control stream.
type Status struct {
	// Ready is true once the state can be used.
	Ready bool
	// Applied is the offset of the last applied record, LogNext the offset
	// that the log's next record gets, as of the last successful read.
	Applied, LogNext uint64
	// LogAvailable is false while the last read failed.
	LogAvailable bool
	// LastRead is the time of the last successful read.
	LastRead time.Time
	// Skipped counts malformed records and records of unknown kinds.
	Skipped uint64
}

// EventKind names an event of the loop.
type EventKind string

// The events of the loop.
const (
	EventReady           EventKind = "ready"
	EventLogUnavailable  EventKind = "log_unavailable"
	EventLogAvailable    EventKind = "log_available"
	EventGap             EventKind = "retention_gap"
	EventLoadedSnapshot  EventKind = "snapshot_loaded"
	EventLoadedPeer      EventKind = "peer_state_loaded"
	EventPeerFailed      EventKind = "peer_state_failed"
	EventLogBehind       EventKind = "log_behind_state"
	EventSkipped         EventKind = "record_skipped"
	EventSnapshotWritten EventKind = "snapshot_written"
	EventSnapshotFailed  EventKind = "snapshot_failed"
)

// Event is a notable change of the loop, for logs and metrics.
type Event struct {
	Kind   EventKind
	Offset uint64
	Err    error
}

// VersionConflictError means that another configuration change won.
type VersionConflictError struct {
	// Base is the version that the change started from, Current the version
	// in force.
	Base, Current uint64
}

func (e *VersionConflictError) Error() string {
	return fmt.Sprintf("configuration changed: the change is based on version %d, version %d is in force", e.Base, e.Current)
}
