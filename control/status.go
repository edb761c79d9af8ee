package control

import (
	"fmt"
	"time"
)

// Status describes how far the gateway has read the control stream.
type Status struct {
	// Ready is true once the state is usable; see Loop.Ready.
	Ready bool
	// Applied is the offset of the last applied record. LogNext is the offset of
	// the next record to be appended to the log, as of the last successful read.
	Applied, LogNext uint64
	// LogAvailable is false if the last read failed.
	LogAvailable bool
	// LastRead is the time of the last successful read.
	LastRead time.Time
	// Skipped is the number of malformed records and records of unknown kinds.
	Skipped uint64
}

// EventKind is the type of an Event.
type EventKind string

// Kinds of events.
const (
	EventReady           EventKind = "ready"
	EventLogUnavailable  EventKind = "log_unavailable"
	EventLogAvailable    EventKind = "log_available"
	EventRetentionGap    EventKind = "retention_gap"
	EventSnapshotLoaded  EventKind = "snapshot_loaded"
	EventPeerStateLoaded EventKind = "peer_state_loaded"
	EventPeerStateFailed EventKind = "peer_state_failed"
	EventLogBehind       EventKind = "log_behind_state"
	EventRecordSkipped   EventKind = "record_skipped"
	EventSnapshotWritten EventKind = "snapshot_written"
	EventSnapshotFailed  EventKind = "snapshot_failed"
)

// Event is a change in the operation of a Loop, for logs and metrics.
type Event struct {
	Kind   EventKind
	Offset uint64
	Err    error
}

// VersionConflictError means that another configuration change came first.
type VersionConflictError struct {
	// Base is the version on which the change is based. Current is the current
	// version.
	Base, Current uint64
}

func (e *VersionConflictError) Error() string {
	return fmt.Sprintf("configuration changed: the change is based on version %d, version %d is in force", e.Base, e.Current)
}
