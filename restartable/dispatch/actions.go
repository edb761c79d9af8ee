package dispatch

import (
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// Order is what one agent is to do with tasks of one step.
type Order struct {
	Link string
	// Number counts the orders of a link.
	Number   uint64
	Step     task.StepID
	Tasks    []Attempt
	Spec     string
	Needs    task.Resources
	Expected time.Duration
	// StartWithin and DueWithin are times in the agent's queue.
	StartWithin, DueWithin time.Duration
	// AtOnce makes the agent refuse tasks that cannot begin at once.
	AtOnce       bool
	Priority     int
	MaxPerTarget int
}

// Attempt is one attempt of one task of an order.
type Attempt struct{ Index, Number int }

// Stop ends what an agent has of a job, or one attempt of it.
type Stop struct {
	Link string
	Job  string
	// Task and Attempt are set to stop one attempt only.
	Task    task.ID
	Attempt int
}

// FinishedJob is an answered job, for logs and metrics.
type FinishedJob struct {
	ID, Queue string
	Answer    Answer
}

// Change is a changed belief about an agent, for logs.
type Change struct {
	Agent   string
	Avoided bool
	// Failed and Anomaly are the values that decided it.
	Failed, Anomaly float64
}

// Retry is an attempt that did not do its task's work, for logs.
type Retry struct {
	Agent   string
	Task    task.ID
	Attempt int
	Outcome task.Outcome
	Reason  task.Reason
	// Ran is the time of the run, or since the order for a recall.
	Ran time.Duration
	// Expected is the prediction that the attempt was placed with.
	Expected time.Duration
	// Recall is set if the attempt is being stopped since it is overdue.
	Recall bool
}

// Actions is what the driver has to do after a call of a Core.
type Actions struct {
	Orders  []Order
	Stops   []Stop
	Ended   []FinishedJob
	Changes []Change
	Retries []Retry
	// Suspended is the length of a suspension of this process that was noticed.
	Suspended time.Duration
}

// AttemptEvent is the end of an attempt as an agent reports it.
type AttemptEvent struct {
	Task    task.ID
	Attempt int
	Outcome task.Outcome
	Reason  task.Reason
	// RunTime is the time between start and end.
	RunTime time.Duration
}
