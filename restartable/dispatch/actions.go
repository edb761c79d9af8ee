package dispatch

import (
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/fairshare"
	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// Order tells one agent to run tasks of one step.
type Order struct {
	// Link identifies the agent's connection.
	Link string
	// Number is the sequence number of the order on its link.
	Number uint64
	Step   task.StepID
	Tasks  []Attempt
	// Queue is the name of the job's queue.
	Queue string
	// Service and RequiredLabel are what the target must have at the start.
	Service, RequiredLabel string
	Spec                   string
	Needs                  task.Resources
	// Expected is the run time expected on a target of slowness 1.
	Expected time.Duration
	// StartWithin is the longest time that a task may wait in the agent's queue.
	// DueWithin is the time within which it should start; the queue is ordered by it.
	StartWithin, DueWithin time.Duration
	// AtOnce makes the agent refuse tasks that cannot start immediately.
	AtOnce       bool
	Priority     int
	MaxPerTarget int
	// Suspicion is the likelihood that a task of the job crashes its target; 0 if
	// nothing speaks for it.
	Suspicion float64
}

// Attempt identifies one attempt of a task of an order by the index of the task in
// its step and the number of the attempt.
type Attempt struct{ Index, Number int }

// Stop tells one agent to drop or stop all its tasks of a job, or a single attempt.
type Stop struct {
	Link string
	Job  string
	// Task and Attempt are set to stop a single attempt.
	Task    task.ID
	Attempt int
}

// FinishedJob describes a job that has been answered, for logs and metrics.
type FinishedJob struct {
	ID, Queue string
	Answer    Answer
}

// AvoidanceChange says that an agent's target is now avoided or trusted again, for logs.
type AvoidanceChange struct {
	Agent   string
	Avoided bool
	// FailedShare and Anomaly are the reported values that caused the change.
	FailedShare, Anomaly float64
}

// ConfinementChange says that a queue is now confined to a part of the targets or no
// longer, for logs.
type ConfinementChange struct {
	Service, Queue string
	Confined       bool
	// CrashingJobs is the decaying number of its jobs that have crashed their targets.
	CrashingJobs float64
	// Targets is the number of targets to which the queue is confined.
	Targets int
}

// Retry describes an attempt that did not complete its task, for logs.
type Retry struct {
	Agent   string
	Task    task.ID
	Attempt int
	Outcome task.Outcome
	Reason  task.Reason
	// Ran is the run time of the attempt or, for a recall, the time since its order.
	Ran time.Duration
	// Expected is the run time that was predicted when the attempt was placed.
	Expected time.Duration
	// Recall is set if the attempt is overdue and is being stopped so that the task
	// can run on another target.
	Recall bool
}

// UnknownRun describes a run that an agent has started but that its gateway does not
// have, for logs.
type UnknownRun struct {
	Agent   string
	Task    task.ID
	Attempt int
}

// HeldJob describes a job that does not start since an earlier submission of it has a
// start in doubt, for logs.
type HeldJob struct {
	ID, Queue string
	// Agent is the agent of that start.
	Agent string
}

// DoubtfulRun describes a run that is being stopped since an earlier start of its task has
// come into doubt on another agent, for logs.
type DoubtfulRun struct {
	Task             task.ID
	Attempt          int
	Agent, InDoubtOn string
}

// Actions lists what the caller of a Core must carry out, log or count after calls
// to it. Stops are carried out before orders, so that a stop of a job that was given up
// does not end the tasks of its resubmission; no order is of a job that is stopped or
// answered by the same actions.
type Actions struct {
	Orders           []Order
	Stops            []Stop
	FinishedJobs     []FinishedJob
	AvoidanceChanges []AvoidanceChange
	// ConfinementChanges are those of queues whose jobs crash their targets.
	ConfinementChanges []ConfinementChange
	// ShareChanges are the starts and ends of limits by fair shares.
	ShareChanges []fairshare.Change
	Retries      []Retry
	// UnknownRuns are runs that Stops ends since the gateway does not have them.
	UnknownRuns []UnknownRun
	HeldJobs    []HeldJob
	// DoubtfulRuns are runs that Stops ends.
	DoubtfulRuns []DoubtfulRun
	// Suspended is the length of a suspension of this process that was detected, or
	// 0.
	Suspended time.Duration
}

// AttemptEvent is an agent's report that an attempt has started or ended.
type AttemptEvent struct {
	Task    task.ID
	Attempt int
	Outcome task.Outcome
	Reason  task.Reason
	// RunTime is the time from the start of the run to its end.
	RunTime time.Duration
}
