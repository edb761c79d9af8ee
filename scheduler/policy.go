// Package scheduler decides which task goes to which target and when. It does
// no I/O and reads no clock: the caller passes the time.
package scheduler

import (
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/model"
)

// TargetID names a target. It is the name in the inventory.
type TargetID string

// JobHandle names a job within one policy. The gateway chooses it and never
// uses a handle twice.
type JobHandle uint64

// TaskRef names a task of a job within one policy.
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
	// Connected is false while the link to the agent is down.
	Connected bool
	// Draining is true when the target takes no new work.
	Draining bool
}

// Task is what the policy knows of a task.
type Task struct {
	// Expected is the declared run time, or 0. It is often wrong.
	Expected time.Duration
}

// Job is a job that asks for admission.
type Job struct {
	Handle   JobHandle
	Client   string
	Service  string
	Deadline time.Time
	Tasks    []Task
	// Allowed limits the targets of the job by rule; nil allows each target
	// that offers the service.
	Allowed func(TargetID) bool
}

// ClientLimit is the share of a client.
type ClientLimit struct {
	Client string
	// Share weighs clients against each other under load.
	Share float64
	// MaxQueued bounds the tasks that wait, over all jobs of the client.
	MaxQueued int
	// MaxRunning bounds the tasks sent and not finished; 0 is no bound.
	MaxRunning int
}

// Admission is the decision about a job.
type Admission struct {
	Admitted bool
	// Reason and RetryAfter are set when the job is refused; nothing of it ran.
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

// OutcomeKind says how a task that was sent came back.
type OutcomeKind uint8

// The ways in which a task comes back from an agent.
const (
	// OutcomeSucceeded: the target answered.
	OutcomeSucceeded OutcomeKind = iota + 1
	// OutcomeFailed: the task was started and failed.
	OutcomeFailed
	// OutcomeNotStarted: the agent refused or revoked the task; the policy
	// puts it back into its queue and may place it again.
	OutcomeNotStarted
	// OutcomeLost: the task may have started and its outcome cannot be known.
	OutcomeLost
	// OutcomeStarted: a revoke came too late; the task runs and its end
	// follows as another outcome.
	OutcomeStarted
	// OutcomeAborted: the attempt was started and aborted since its job was
	// removed. It says nothing about the target.
	OutcomeAborted
)

// Outcome is the end of one attempt of a task.
type Outcome struct {
	Task   TaskRef
	Target TargetID
	Kind   OutcomeKind
	// Run is the time at the target, Queue the time in the agent's queue.
	Run, Queue time.Duration
	// TargetFull is true when the agent refused since its queue was full.
	TargetFull bool
}

// ReportMode says when the policy needs the outcome of a task.
type ReportMode uint8

// The report modes of an assignment, named as in the link protocol.
const (
	// ReportEach: one report as soon as the task ends.
	ReportEach ReportMode = iota + 1
	// ReportBatch: one report for the tasks that one Decide sends to the target,
	// or when the agent has free slots and no queued task of this gateway.
	ReportBatch
	// ReportLast: one report when all tasks that one Decide sends to the target
	// have ended or one has failed. A gateway whose protocol lacks it may use
	// ReportBatch.
	ReportLast
)

// Assignment sends one task to one target. All assignments of one Decide with
// the same target and report mode are adjacent, so that one message carries
// them.
type Assignment struct {
	Task   TaskRef
	Target TargetID
	Report ReportMode
	// Reason explains the choice for the operator, in a few words.
	Reason string
}

// Revocation asks the target's agent to give back a task that it has not
// started.
type Revocation struct {
	Task   TaskRef
	Target TargetID
}

// Drop names an admitted job that the policy gives up, and why.
type Drop struct {
	Job    JobHandle
	Reason model.Reason
}

// Decisions are the actions that the gateway has to carry out.
type Decisions struct {
	Assign []Assignment
	Revoke []Revocation
	// Dropped are jobs that can no longer be answered. The gateway fails them
	// and calls Remove for each.
	Dropped []Drop
	// Wake is the next time at which Decide should be called without an event,
	// or zero.
	Wake time.Time
}

// TargetStatus is a view of a target for operators.
type TargetStatus struct {
	ID          TargetID
	Slots       int
	Outstanding int
	// Speed is the learned speed relative to the mean of the targets.
	Speed float64
	// Ejected is true while the target is taken out; Why gives the cause.
	Ejected        bool
	EjectionReason string
}

// Policy keeps the queue of admitted tasks and decides where each goes. All
// methods are called from one goroutine.
type Policy interface {
	// SetTargets replaces the list of targets.
	SetTargets(now time.Time, targets []Target)
	// SetLimits replaces the limits of clients.
	SetLimits(now time.Time, limits []ClientLimit)
	// Admit decides about a job and queues its tasks when it is admitted.
	// Tasks in skip need no start (their outcome is known or pending elsewhere).
	Admit(now time.Time, job Job, skip func(index int) bool) Admission
	// Remove drops a job: its waiting tasks are forgotten, and the slots of
	// tasks that were sent stay counted until their outcome.
	Remove(now time.Time, job JobHandle)
	// Report records the load that an agent reported. Call it after Finish for
	// the outcomes of the same frame.
	Report(now time.Time, load Load)
	// Finish records the end of an attempt. Outcomes of removed jobs are
	// reported too, since they free the slot.
	Finish(now time.Time, outcome Outcome)
	// Decide returns what has to be done now.
	Decide(now time.Time) Decisions
	// Status returns a view of the targets.
	Status(now time.Time) []TargetStatus
	// Queued returns the number of tasks that wait.
	Queued() int
}
