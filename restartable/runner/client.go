package runner

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// ErrFenced means that the target has seen a higher fencing token.
var ErrFenced = errors.New("the target has seen a higher fencing token")

// TargetClient calls a target. All durations in deadlines are on the target's
// own clock, in milliseconds.
type TargetClient interface {
	// Start begins a task. It returns StartUnanswered for every failure after
	// which the task may still start, and ErrFenced for a low token.
	Start(ctx context.Context, t Target, s Start, token, deadline int64) (StartResult, int64, error)
	// Stop ends a task. An error means that it may not have been carried out.
	Stop(ctx context.Context, t Target, a Attempt, token int64) (clock int64, err error)
	// Poll lists what runs and ends, and extends the lease of all that runs.
	Poll(ctx context.Context, t Target, q PollRequest) (PollReply, error)
}

// PollRequest is the question for a look at a target.
type PollRequest struct {
	Token int64
	// Deadline extends the lease to this time of the target's clock; 0 does not.
	Deadline int64
	// LastEndSeq is the highest number of an end that was taken in.
	LastEndSeq int64
	// Wait is how long the target may wait for an end.
	Wait time.Duration
}

// PollReply is the target's answer.
type PollReply struct {
	Clock       int64
	Incarnation int64
	LastEndSeq  int64
	Running     []Attempt
	Ended       []End
}

// Options are the times of a Runner.
type Options struct {
	// Lease is how long the target keeps runs without a renewal.
	Lease time.Duration
	// LeaseMax is the target's own bound of a lease, with the error of its clock.
	LeaseMax time.Duration
	// Lookers is the number of looks at a time for SilentFor after a look had no
	// answer, so that the next one without an answer holds nothing up. Otherwise
	// there is one: each look that waits is answered at each end.
	Lookers   int
	SilentFor time.Duration
	// LookWait is the time between two renewals while nothing ends.
	LookWait time.Duration
	// CallTimeout bounds a start or a stop; a look has LookWait more.
	CallTimeout time.Duration
	// SilentAfter is the time without any answer to a look after which the
	// target counts as unreachable.
	SilentAfter time.Duration
	// RetryAfter is the pause after a failed call.
	RetryAfter time.Duration
	// TickEvery is the time between two checks of leases and the queue.
	TickEvery time.Duration
}

// DefaultOptions suit targets whose leases last at most one second. A
// lease outlives two lost renewals.
func DefaultOptions() Options {
	return Options{
		Lease: 900 * time.Millisecond, LeaseMax: 1050 * time.Millisecond,
		Lookers: 2, SilentFor: 5 * time.Second, LookWait: 100 * time.Millisecond, CallTimeout: 60 * time.Millisecond,
		SilentAfter: 350 * time.Millisecond,
		RetryAfter:  20 * time.Millisecond, TickEvery: 25 * time.Millisecond,
	}
}
