package runner

import (
	"slices"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// CoreOptions holds the timeouts and limits of a Core.
type CoreOptions struct {
	// GatewayLease is how long the tasks of a gateway may keep running after the
	// agent issued the newest stamp that the gateway has returned.
	GatewayLease time.Duration
	// RunLimit is the time after which a run must have ended, from the stamp of its
	// gateway's last contact or from its revocation: the job may be submitted to another
	// gateway 1.3 s after the caller's connection broke. The difference covers the drift
	// of the target's clock.
	RunLimit time.Duration
	// MaxOrderAge is the age of the accompanying stamp above which starts are
	// refused as stale.
	MaxOrderAge time.Duration
	// UnansweredTimeout is the time after the decision on a start from which, if it was
	// not answered, it can no longer take effect on the incarnation of the target that it
	// was sent to: the deadline that it carried, at most
	// GatewayLease later, has then passed on the target's clock.
	UnansweredTimeout time.Duration
	// HeartbeatTimeout is the time without a heartbeat of the target after which
	// nothing starts, since its capacity may have shrunk.
	HeartbeatTimeout time.Duration
	// SlownessMax is the upper bound of the estimated ratio of measured to
	// expected run times; its inverse is the lower bound.
	SlownessMax float64
}

// DefaultCoreOptions returns options for targets whose leases last at most one
// second.
func DefaultCoreOptions() CoreOptions {
	return CoreOptions{
		GatewayLease:      900 * time.Millisecond,
		RunLimit:          1200 * time.Millisecond,
		MaxOrderAge:       500 * time.Millisecond,
		UnansweredTimeout: 1200 * time.Millisecond,
		HeartbeatTimeout:  4 * time.Second,
		SlownessMax:       50,
	}
}

// Target describes a target as its heartbeats report it.
type Target struct {
	ID string
	// Incarnation is the time at which the target's process started, in Unix
	// milliseconds. It tells apart the incarnations of a target that keeps its
	// ID. Seq increases with each heartbeat of an incarnation.
	Incarnation, Seq int64
	Service          string
	// Kind is the machine type; targets of one kind run at about the same speed.
	Kind     string
	Labels   []string
	Capacity task.Resources
	Draining bool
}

// Equal reports whether two descriptions of a target are equal, apart from Seq.
func (t Target) Equal(o Target) bool {
	return t.sameIncarnation(o) && t.Service == o.Service && t.Kind == o.Kind && t.Capacity == o.Capacity &&
		t.Draining == o.Draining && slices.Equal(t.Labels, o.Labels)
}

// mayRun reports whether the target serves the queue of a start and has the label that its
// step requires.
func (t Target) mayRun(s Start) bool {
	return (s.Service == "" || s.Service == t.Service) && (s.RequiredLabel == "" || slices.Contains(t.Labels, s.RequiredLabel))
}

// sameCapacity reports whether two targets have the same capacity. On one VM,
// such targets can be expected to run at about the same speed, whatever kind they
// report.
func (t Target) sameCapacity(o Target) bool { return t.Capacity == o.Capacity }

func (t Target) sameIncarnation(o Target) bool { return t.ID == o.ID && t.Incarnation == o.Incarnation }

// Start is a request to start one attempt of a task.
type Start struct {
	Task    task.ID
	Attempt int
	// Queue is the name of the job's queue.
	Queue string
	// Service and RequiredLabel are what the target must have at the start; empty for no
	// condition.
	Service, RequiredLabel string
	Spec                   string
	Needs                  task.Resources
	// Expected is the run time expected on a target of slowness 1.
	Expected time.Duration
	// StartWithin is the maximum time in the queue. DueWithin is the time within
	// which the task should start; it orders the queue.
	StartWithin time.Duration
	DueWithin   time.Duration
	// AtOnce tasks do not wait in the queue: they start immediately or are
	// refused.
	AtOnce       bool
	Priority     int
	MaxPerTarget int
	// Suspicion is the likelihood that a task of the job crashes its target; 0 if
	// nothing speaks for it.
	Suspicion float64
	// ValidUntil is the latest time on the core's clock at which the start may take
	// effect. The core sets it: the end of the gateway's lease, after which the job may
	// be submitted to another gateway.
	ValidUntil time.Duration
}

// runState is the state of an attempt on this agent.
type runState int

const (
	queued runState = iota
	starting
	running
	// unanswered means that the start got no answer: the run may have begun or
	// may still begin.
	unanswered
	// stopping means that a stop has been requested; the run still occupies its
	// capacity.
	stopping
)

// run is an attempt that is queued or may be on the target.
type run struct {
	Start
	gateway string
	state   runState
	// queueUntil, dueAt, queuedAt and startedAt are times on the core's clock.
	queueUntil time.Duration
	dueAt      time.Duration
	queuedAt   time.Duration
	startedAt  time.Duration
	// confirmedAt is when the target last confirmed the state of this run. A
	// snapshot that was requested earlier says nothing about the run.
	confirmedAt time.Duration
	// stopAcknowledged is set once the target has acknowledged the stop, stopPostponed
	// while the stop waits for the target to answer again.
	stopAcknowledged, stopPostponed bool
	// stopRefused is set once a stop has found no process of the target, stopDelivered once
	// the target may have carried out one without an answer.
	stopRefused, stopDelivered bool
	// repeated is set once the start was repeated, superseded if the target has then refused
	// it as one that it has seen.
	repeated, superseded bool
	// crashReported is set once a crash of the target was reported with this run,
	// doubtReported once its start was reported as in doubt.
	crashReported, doubtReported bool
	// revoked is set once the gateway has cancelled the attempt, at revokedAt.
	// overdueReported is set once its stop was reported as overdue.
	revoked         bool
	revokedAt       time.Duration
	overdueReported bool
	// recalled is set if only this attempt was cancelled, before its start was answered.
	recalled bool
	// revokedEndBy is the time by which a revoked run must have ended; 0 unless revoked.
	revokedEndBy time.Duration
}

// hasUnansweredStart reports whether a start of a run got no answer, and the target has not
// yet accepted another one.
func (r *run) hasUnansweredStart() bool {
	return r.state == unanswered || r.state == starting && r.repeated
}

// resume takes back the cancellation of a run that was only recalled.
func (r *run) resume() {
	r.recalled, r.revoked, r.overdueReported = false, false, false
	r.revokedAt, r.revokedEndBy = 0, 0
}

func (r *run) attempt() Attempt { return Attempt{r.Task, r.Attempt} }

// Report tells a gateway that an attempt has started or ended.
type Report struct {
	Gateway string
	Task    task.ID
	Attempt int
	Outcome task.Outcome
	Reason  task.Reason
	RunTime time.Duration
}

// Actions lists what the Runner has to do after a call to a Core.
type Actions struct {
	Starts  []Start
	Stops   []Attempt
	Reports []Report
	Crashes []Crash
	// Disconnect lists the gateways whose lease has expired.
	Disconnect []string
	// ForeignRuns lists runs newly found on the target that this core did not start.
	ForeignRuns []Attempt
	// StartsInDoubt lists the starts that have come into doubt.
	StartsInDoubt []StartInDoubt
	// OverdueStops lists runs that have not ended stopOverdueAfter their revocation.
	OverdueStops []OverdueStop
}

// OverdueStop is a run that goes on although its gateway has given it up.
type OverdueStop struct {
	Attempt Attempt
	Gateway string
	// RevokedFor is the time since the revocation.
	RevokedFor time.Duration
}

// StartInDoubt is a start that the target has not answered and may still carry out.
type StartInDoubt struct {
	Attempt Attempt
	Gateway string
	// Age is the time since the start.
	Age time.Duration
}

// Attempt identifies one attempt of a task.
type Attempt struct {
	Task   task.ID
	Number int
}
