package scheduler

import "time"

// Options tune the policy. A zero field takes its default.
type Options struct {
	// Seed makes the jitter and the order of equal targets reproducible. Each
	// gateway should use another seed, so that gateways prefer different ones
	// among equal targets.
	Seed uint64
	// Prefetch bounds the tasks of small jobs that wait at one agent. Default 1.
	Prefetch int
	// BatchTasks is the number of tasks from which a job is sent in batches with
	// one report each. Default 32.
	BatchTasks int
	// BatchChunk is the least number of tasks of such jobs that are sent to a
	// target at a time, as far as enough wait. Measured
	// with jobs of 100 tasks: 10 take 0.38 messages per task, 20 take 0.29 at the
	// same slowdown. Default 20.
	BatchChunk int
	// Lookahead bounds the waiting tasks that one Decide considers for a
	// service. Default 1024.
	Lookahead int
	// DefaultRun is the run time assumed before anything was seen. Default 200 ms.
	DefaultRun time.Duration
	// DefaultMaxQueued bounds the waiting tasks of a client without a limit.
	// Default 20,000.
	DefaultMaxQueued int
	// EjectAfter is the number of failures in a row that ejects a target.
	// Default 3.
	EjectAfter int
	// EjectRate is the failure rate above that of the fleet that ejects a
	// target. Default 0.2.
	EjectRate float64
	// EjectBackoff is the first time out of rotation; it doubles with each
	// failed probe up to EjectBackoffMax. Defaults 2 s and 2 min.
	EjectBackoff, EjectBackoffMax time.Duration
	// EjectShare bounds the share of a service's targets that are ejected at
	// the same time. Default 0.4.
	EjectShare float64
	// ProbeSuccesses is the number of successes that readmits a target.
	// Default 3.
	ProbeSuccesses int
	// RevokeGain is the factor by which another target has to finish a queued
	// task sooner before it is revoked. Default 3.
	RevokeGain float64
	// RevokeMin is the least time saved that is worth a revoke; smaller gains cost
	// messages only (docs/policy.md). Default 200 ms.
	RevokeMin time.Duration
	// WaitMargin and RunMargin multiply the expected wait and run time of a job
	// before their sum is compared with its deadline. A queue that uses the whole
	// deadline leaves no room for tasks that take longer than expected, and work
	// that ends too late is lost: at 2x overload a WaitMargin of 1.2 gives a
	// goodput of 0.84, 3 gives 0.94. Defaults 3 and 1.2.
	WaitMargin, RunMargin float64
	// RetryMin and RetryMax bound the time after which a refused caller may
	// retry. Defaults 100 ms and 10 s.
	RetryMin, RetryMax time.Duration
}

func (o Options) withDefaults() Options {
	setDefault(&o.Prefetch, 1)
	setDefault(&o.BatchTasks, 32)
	setDefault(&o.BatchChunk, 20)
	setDefault(&o.Lookahead, 1024)
	setDefault(&o.DefaultRun, 200*time.Millisecond)
	setDefault(&o.DefaultMaxQueued, 20000)
	setDefault(&o.EjectAfter, 3)
	setDefault(&o.EjectRate, 0.2)
	setDefault(&o.EjectBackoff, 2*time.Second)
	setDefault(&o.EjectBackoffMax, 2*time.Minute)
	setDefault(&o.EjectShare, 0.4)
	setDefault(&o.ProbeSuccesses, 3)
	setDefault(&o.RevokeGain, 3)
	setDefault(&o.RevokeMin, 200*time.Millisecond)
	setDefault(&o.WaitMargin, 3)
	setDefault(&o.RunMargin, 1.2)
	setDefault(&o.RetryMin, 100*time.Millisecond)
	setDefault(&o.RetryMax, 10*time.Second)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
