package runner

import (
	"slices"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// CoreOptions are the times of a Core.
type CoreOptions struct {
	// GatewayLease is how long after the issue of a stamp the tasks of the
	// gateway that returned it keep running.
	GatewayLease time.Duration
	// OrderLifetime is the age of a stamp at which starts are refused.
	OrderLifetime time.Duration
	// ResolveAfter is how long a start without an answer may still take effect
	// once its own deadline has passed on the target's clock.
	ResolveAfter time.Duration
	// SlownessMax bounds the learned ratio of measured to expected run times.
	SlownessMax float64
}

// DefaultCoreOptions suit targets whose leases last at most one second.
func DefaultCoreOptions() CoreOptions {
	return CoreOptions{
		GatewayLease:  900 * time.Millisecond,
		OrderLifetime: 500 * time.Millisecond,
		ResolveAfter:  1200 * time.Millisecond,
		SlownessMax:   50,
	}
}

// Target is what a target's heartbeat says of it.
type Target struct {
	ID string
	// Incarnation distinguishes the lives of a target that keeps its id; Seq rises with
	// each heartbeat of a life.
	Incarnation, Seq int64
	Service          string
	// Kind names the model of the machine; targets of one kind are about as fast.
	Kind     string
	Labels   []string
	Capacity task.Resources
	Draining bool
}

// Equal tells whether two descriptions of a target are equal.
func (t Target) Equal(o Target) bool {
	return t.sameLife(o) && t.Service == o.Service && t.Kind == o.Kind && t.Capacity == o.Capacity &&
		t.Draining == o.Draining && slices.Equal(t.Labels, o.Labels)
}

// sameSize tells whether two targets of one VM may be expected to be about as
// fast, whatever kind they say they are of.
func (t Target) sameSize(o Target) bool { return t.Capacity == o.Capacity }

func (t Target) sameLife(o Target) bool { return t.ID == o.ID && t.Incarnation == o.Incarnation }

// Start asks for one attempt of one task.
type Start struct {
	Task     task.ID
	Attempt  int
	Spec     string
	Needs    task.Resources
	Expected time.Duration
	// StartWithin is the longest time in the queue, DueWithin the time in which
	// the task ought to start.
	StartWithin time.Duration
	DueWithin   time.Duration
	// AtOnce tasks do not wait in the queue: they begin or are refused.
	AtOnce       bool
	Priority     int
	MaxPerTarget int
}

// runState is how far an attempt has come on the target.
type runState int

const (
	queued runState = iota
	starting
	running
	// unanswered runs may have begun or may begin later.
	unanswered
	// stopping runs have been told to stop and still take their capacity.
	stopping
)

// run is an attempt that the core knows of.
type run struct {
	Start
	gateway string
	state   runState
	// queueUntil, dueAt, queuedAt and startedAt are times of the core's clock.
	queueUntil time.Duration
	dueAt      time.Duration
	queuedAt   time.Duration
	startedAt  time.Duration
	// confirmedAt is when the target last confirmed a state of this run; a look
	// at the target that began before it proves nothing about the run.
	confirmedAt time.Duration
	// stopAcked is set once the target has acknowledged a stop.
	stopAcked bool
	// revoked is set when the gateway no longer wants the attempt.
	revoked bool
}

// Report is an event for one gateway.
type Report struct {
	Gateway string
	Task    task.ID
	Attempt int
	Outcome task.Outcome
	Reason  task.Reason
	RunTime time.Duration
}

// Actions is what the driver has to do after a call of a Core.
type Actions struct {
	Starts  []Start
	Stops   []Attempt
	Reports []Report
	// Disconnect names gateways whose lease has lapsed.
	Disconnect []string
}

// Attempt names one attempt of a task.
type Attempt struct {
	Task   task.ID
	Number int
}
