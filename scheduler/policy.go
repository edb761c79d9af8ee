// Package scheduler decides which task goes to which target and when. It does
// no I/O and reads no clock: the caller passes the time.
package scheduler

import (
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/model"
)

// TargetID names a target. It is the name in the inventory.
type TargetID string

// JobHandle identifies a job within one policy. The gateway chooses it and never
// reuses a handle.
type JobHandle uint64

// TaskRef identifies a task within one policy.
type TaskRef struct {
	Job   JobHandle
	Index int
}

// Target describes a target that may receive work.
type Target struct {
	ID               TargetID
	Service          string
	Slots            int
	Connections      int
	AvailabilityZone string
	// Delay is the one-way network delay from this gateway.
	Delay time.Duration
	// DeclaredSpeed is the speed from the inventory relative to 1, or 0 when
	// unknown.
	DeclaredSpeed float64
	// Connected is true while the link to the agent is up.
	Connected bool
	// Draining is true while the target takes no new tasks.
	Draining bool
}

// Task holds the properties of a task on which the policy decides.
type Task struct {
	// Expected is the run time declared by the client, or 0. It is often wrong.
	Expected time.Duration
}

// Job is a job submitted for admission.
type Job struct {
	Handle   JobHandle
	Client   string
	Service  string
	Deadline time.Time
	Tasks    []Task
	// Allowed reports whether a target may run the job's tasks. Nil allows every
	// target of the service.
	Allowed func(TargetID) bool
}

// ClientLimit holds the fair share and the limits of a client.
type ClientLimit struct {
	Client string
	// Share is the client's weight in fair queueing. Default 1.
	Share float64
	// MaxQueued is the maximum number of queued tasks over all jobs of the client.
	// 0 stands for Options.DefaultMaxQueued.
	MaxQueued int
	// MaxRunning is the maximum number of tasks sent and not ended; 0 is no limit.
	MaxRunning int
}

// Admission is the decision on a job.
type Admission struct {
	Admitted bool
	// Reason and RetryAfter are set if the job is refused, in which case none of
	// its tasks run.
	Reason     model.Reason
	RetryAfter time.Duration
}

// Load is a report of an agent about its target.
type Load struct {
	Target    TargetID
	Slots     int
	Running   int
	Queued    int
	Leaving   bool
	Accepting bool
}

// OutcomeKind is the kind of an Outcome.
type OutcomeKind uint8

// The kinds of outcomes.
const (
	// OutcomeSucceeded: the task ran and succeeded.
	OutcomeSucceeded OutcomeKind = iota + 1
	// OutcomeFailed: the task was started and failed.
	OutcomeFailed
	// OutcomeNotStarted: the agent refused or revoked the task. The policy queues
	// it again.
	OutcomeNotStarted
	// OutcomeLost: the task may have started and its outcome cannot be known.
	OutcomeLost
	// OutcomeStarted: a revoke came too late; the task runs and its end
	// follows as another outcome.
	OutcomeStarted
	// OutcomeAborted: the task was started and then aborted because its job was
	// removed. It does not count as a success or failure of the target.
	OutcomeAborted
)

// Outcome is the result of sending a task to a target once.
type Outcome struct {
	Task   TaskRef
	Target TargetID
	Kind   OutcomeKind
	// Run is the run time at the target, Queue the time in the agent's queue.
	Run, Queue time.Duration
	// TargetFull is true when the agent refused since its queue was full.
	TargetFull bool
}

// ReportMode tells an agent when to report the outcome of a task.
type ReportMode uint8

// The report modes of an assignment, named as in the link protocol.
const (
	// ReportEach: one report as soon as the task ends.
	ReportEach ReportMode = iota + 1
	// ReportBatch: one report when all tasks that one Decide sends to the target
	// have ended, and one before that when the agent first has free slots and no
	// queued task of this gateway.
	ReportBatch
	// ReportLast: one report when all tasks that one Decide sends to the target
	// have ended or one has failed. If the link protocol does not support this
	// mode, the gateway may use ReportBatch instead.
	ReportLast
)

// Assignment sends one task to one target. All assignments of one Decide with
// the same target and report mode are adjacent, so that one message carries
// them.
type Assignment struct {
	Task   TaskRef
	Target TargetID
	Report ReportMode
	// Reason is a short explanation of the choice, for operators.
	Reason string
}

// Revocation asks the target's agent to return a task that it has not started.
type Revocation struct {
	Task   TaskRef
	Target TargetID
}

// Drop is an admitted job that the policy gives up, with the reason.
type Drop struct {
	Job    JobHandle
	Reason model.Reason
}

// Decisions are the actions that the gateway has to carry out.
type Decisions struct {
	Assign []Assignment
	Revoke []Revocation
	// Dropped holds jobs that can no longer be completed in time or have no
	// allowed target left. The gateway fails them and calls Remove for each.
	Dropped []Drop
	// Wake is the time at which Decide should be called again if no event occurs
	// before, or zero.
	Wake time.Time
}

// TargetStatus is the status of a target, shown to operators.
type TargetStatus struct {
	ID          TargetID
	Slots       int
	Outstanding int
	// Speed is the learned speed relative to the mean of the service's targets.
	Speed float64
	// Ejected is true while the target is ejected for failures, except for probes.
	// EjectionReason is then the cause.
	Ejected        bool
	EjectionReason string
}

// Policy queues the tasks of admitted jobs and decides to which target each is
// sent. It is not safe for concurrent use.
type Policy interface {
	// SetTargets replaces the list of targets.
	SetTargets(now time.Time, targets []Target)
	// SetLimits replaces the limits of clients.
	SetLimits(now time.Time, limits []ClientLimit)
	// Admit decides on a job and queues its tasks if it is admitted. Tasks for
	// which skip returns true are not queued: their outcome is known, or they are
	// queued or running already. A nil skip queues all tasks.
	Admit(now time.Time, job Job, skip func(index int) bool) Admission
	// Remove drops the queued tasks of a job. Tasks that were already sent occupy
	// their slots until their outcome arrives.
	Remove(now time.Time, job JobHandle)
	// Report records a load report of an agent. If a frame also carries outcomes,
	// call Finish for these first.
	Report(now time.Time, load Load)
	// Finish records an outcome. Call it for tasks of removed jobs too, since the
	// outcome frees their slot.
	Finish(now time.Time, outcome Outcome)
	// Decide returns the actions to carry out now.
	Decide(now time.Time) Decisions
	// Status returns the status of all targets.
	Status(now time.Time) []TargetStatus
	// Queued returns the number of queued tasks.
	Queued() int
}
