package ledger

import (
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/model"
)

// State is the state of a task in the ledger.
type State uint8

// States of a task. A Queued task becomes Running or NotStarted. A Running task
// becomes Succeeded or Failed, or NotStarted if it is certain that no byte of its
// request reached the target. Succeeded and Failed are final. The values equal
// those of TaskState in the wire protocol.
const (
	Queued State = iota + 1
	Running
	Succeeded
	Failed
	// NotStarted marks a tombstone, which causes the same attempt and all earlier
	// ones to be refused.
	NotStarted
)

// Started reports whether the task may have been sent to the target.
func (s State) Started() bool { return s == Running || s == Succeeded || s == Failed }

// String returns the name of the state for logs.
func (s State) String() string {
	switch s {
	case Queued:
		return "queued"
	case Running:
		return "running"
	case Succeeded:
		return "succeeded"
	case Failed:
		return "failed"
	case NotStarted:
		return "not_started"
	}
	return "unknown"
}

// Reason says why a task was not started.
type Reason uint8

// Reasons. The values equal those of RefusalReason in the wire protocol.
const (
	StaleEpoch Reason = iota + 1
	PermitExpired
	Duplicate
	Revoked
	Leaving
	LeaseLapsed
	QueueFull
	LedgerFull
	Deadline
	NoTarget
	Cancelled
)

var reasonNames = map[Reason]string{
	StaleEpoch: "stale_epoch", PermitExpired: "permit_expired", Duplicate: "duplicate", Revoked: "revoked",
	Leaving: "leaving", LeaseLapsed: "lease_lapsed", QueueFull: "queue_full", LedgerFull: "ledger_full",
	Deadline: "deadline", NoTarget: "no_target", Cancelled: "cancelled",
}

// String returns the name of the reason for logs and metrics.
func (r Reason) String() string {
	if n, ok := reasonNames[r]; ok {
		return n
	}
	return "unknown"
}

// Permit allows a gateway to start tasks for a limited time. The gateway sends it
// back unchanged with each start.
type Permit struct {
	Incarnation model.Incarnation
	// Issued is the agent's monotonic time at which the permit was issued.
	Issued time.Duration
}

// Attempt identifies one placement of a task. The attempts of a task are ordered
// by Epoch, then by Number, which the owner increments with each placement within
// its epoch.
type Attempt struct {
	Task      model.TaskID
	Partition model.Partition
	Epoch     model.Epoch
	Number    uint32
}

// After reports whether a was placed later than b. Both must be attempts of the
// same task.
func (a Attempt) After(b Attempt) bool {
	if a.Epoch != b.Epoch {
		return a.Epoch > b.Epoch
	}
	return a.Number > b.Number
}

// Start is a request to start an attempt.
type Start struct {
	Attempt
	// Digest is the digest of the whole job.
	Digest model.Digest
	Permit Permit
	// Deadline is the monotonic time from which the task must not begin; 0 means
	// no deadline.
	Deadline time.Duration
}

// Record is a copy of a ledger entry, or the refusal of a start. The caller
// must not change Result.
type Record struct {
	Attempt
	State State
	// Refusal is set if the record refuses a start or is a tombstone.
	Refusal Reason
	Digest  model.Digest
	Result  []byte
	Error   string
	// Wait is the time spent in the queue, Run the time spent at the target.
	Wait, Run time.Duration
}

// Outcome is the result of a running attempt.
type Outcome struct {
	// State is Succeeded, Failed or NotStarted. NotStarted is allowed only if no
	// byte of the request can have reached the target.
	State State
	// Reason is set if State is NotStarted.
	Reason Reason
	// Result is discarded, and the task counts as Failed, if it is larger than
	// Options.ResultLimit.
	Result []byte
	Error  string
}

// PartitionEpoch is a partition and an epoch of it.
type PartitionEpoch struct {
	Partition model.Partition
	Epoch     model.Epoch
}

// Cancellation cancels a job. It is ignored if its epoch is older than the
// newest known epoch of the partition. With Epoch 0 it is never ignored.
type Cancellation struct {
	Job       model.JobKey
	Partition model.Partition
	Epoch     model.Epoch
}

// Counts describes the size of the ledger.
type Counts struct {
	Queued, Running int
	// Entries is the number of tasks, tombstones and cancelled jobs.
	Entries int
	// Bytes is the estimated memory, including the space reserved for the results
	// of running tasks.
	Bytes int64
}
