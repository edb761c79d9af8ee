package runner

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// ErrFenced is returned by a target that has seen a higher fencing token.
var ErrFenced = errors.New("the target has seen a higher fencing token")

// ErrNotListening is returned by calls that were not sent, since nothing listens at
// the target's address. The target is on the agent's own VM, so its process has
// ended.
var ErrNotListening = errors.New("nothing listens at the target's address")

// ErrConnectionLost is returned by calls whose connection has ended before an answer
// began, as it does when the process of the target ends.
var ErrConnectionLost = errors.New("the connection to the target has ended")

// ErrOtherIncarnation is returned by polls that the target has refused, since it is not
// the one that the call names.
var ErrOtherIncarnation = errors.New("the call is meant for another target")

// TargetClient calls a target. Deadlines and clock readings are on the target's
// own clock, in milliseconds.
type TargetClient interface {
	// Start starts a task. It returns StartUnanswered for every failure after
	// which the task may still start, StartUndelivered with ErrNotListening, and
	// ErrFenced if the token is too low. The second result is the target's clock, or 0 if it is unknown.
	Start(ctx context.Context, t Target, s Start, token, deadline int64) (StartResult, int64, error)
	// Stop stops a task. After an error the stop may not have been carried out.
	Stop(ctx context.Context, t Target, a Attempt, token int64) (clock int64, err error)
	// Poll lists running and ended attempts and extends the lease of all running
	// ones. It is a long poll: the target may hold it for q.Wait until a run
	// ends. It fails with ErrOtherIncarnation if another target listens at the address,
	// with ErrNotListening, and with ErrConnectionLost.
	Poll(ctx context.Context, t Target, q PollRequest) (PollReply, error)
}

// PollRequest holds the parameters of a poll.
type PollRequest struct {
	Token int64
	// Deadline is the new end of the lease on the target's clock; 0 does not
	// extend the lease.
	Deadline int64
	// LastEndSeq is the highest sequence number of an end that was processed.
	LastEndSeq int64
	// Wait is how long the target may hold the poll until a run ends.
	Wait time.Duration
}

// PollReply is the answer to a poll.
type PollReply struct {
	Clock       int64
	Incarnation int64
	LastEndSeq  int64
	Running     []Attempt
	Ended       []End
	// Incomplete is set if some of the running attempts could not be decoded.
	Incomplete bool
}

// snapshot returns the lists of a poll that was requested at a time on the core's clock.
func (p *PollReply) snapshot(requestedAt time.Duration) Snapshot {
	return Snapshot{RequestedAt: requestedAt, Incarnation: p.Incarnation, Running: p.Running, Ended: p.Ended, Incomplete: p.Incomplete}
}

// Options holds the timeouts and intervals of a Runner.
type Options struct {
	// Lease is how long the target keeps runs without a renewal.
	Lease time.Duration
	// LeaseMax is the maximum lease duration that the target grants, plus the
	// error of its clock.
	LeaseMax time.Duration
	// MaxPollers is the number of concurrent polls during ExtraPollersFor after an
	// unanswered poll, so that a second unanswered one causes no delay. At other
	// times there is one poll, because all waiting polls are answered whenever a
	// run ends.
	MaxPollers      int
	ExtraPollersFor time.Duration
	// PollWait is the time between two lease renewals while no run ends.
	PollWait time.Duration
	// CallTimeout is the timeout of a start or a stop; that of a poll is longer
	// by its wait time.
	CallTimeout time.Duration
	// StopInterval is the time after which a stop without an answer is repeated. About
	// ten stops fit into the time from the end of a gateway's lease until its jobs may
	// be submitted to another gateway.
	StopInterval time.Duration
	// UnreachableAfter is the time without an answered poll after which the
	// target counts as unreachable.
	UnreachableAfter time.Duration
	// RetryDelay is the delay after a failed call.
	RetryDelay time.Duration
	// TickInterval is the time between two checks of leases and the queue.
	TickInterval time.Duration
}

// DefaultOptions returns options for targets whose leases last at most one
// second. The lease survives two lost renewals. A run that starts inherits it, so that
// Lease and the usual age of a gateway's stamp, 0.36 s, are below RunLimit.
func DefaultOptions() Options {
	return Options{
		Lease: 800 * time.Millisecond, LeaseMax: 1050 * time.Millisecond,
		MaxPollers: 2, ExtraPollersFor: 5 * time.Second, PollWait: 100 * time.Millisecond, CallTimeout: 60 * time.Millisecond,
		UnreachableAfter: 350 * time.Millisecond,
		StopInterval:     30 * time.Millisecond,
		RetryDelay:       20 * time.Millisecond, TickInterval: 25 * time.Millisecond,
	}
}
