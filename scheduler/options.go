package scheduler

import "time"

// Options configure the policy. A zero field takes its default.
type Options struct {
	// Seed determines the jitter and the order of equally fast targets. Each
	// gateway should use a different seed, so that gateways do not all prefer the
	// same target.
	Seed uint64
	// Prefetch is the maximum number of tasks of small jobs that this gateway
	// keeps waiting at one agent. Default 1.
	Prefetch int
	// BatchTasks is the number of tasks from which a job counts as large: its
	// tasks are sent in batches with one report for each batch. Default 32.
	BatchTasks int
	// BatchChunk is the number of tasks of large jobs that a target is sent at a
	// time, provided that so many are queued; a target with many slots may get
	// more. For jobs of 100 tasks, chunks of 10 cost 0.38 messages per task and
	// chunks of 20 cost 0.29, with the same slowdown. Default 20.
	BatchChunk int
	// Lookahead is the maximum number of queued tasks of a service that one
	// Decide considers. Default 1024.
	Lookahead int
	// DefaultRun is the run time assumed before any task has ended. Default 200 ms.
	DefaultRun time.Duration
	// DefaultMaxQueued is the maximum number of queued tasks of a client for which
	// no limit is set. Default 20,000.
	DefaultMaxQueued int
	// EjectAfter is the number of consecutive failures that ejects a target.
	// Default 3.
	EjectAfter int
	// EjectRate is the difference from the mean failure rate of the service's
	// other targets above which a target is ejected. Default 0.2.
	EjectRate float64
	// EjectBackoff is the time from an ejection to the first probe. It doubles
	// with each failed probe up to EjectBackoffMax. Defaults 2 s and 2 min.
	EjectBackoff, EjectBackoffMax time.Duration
	// EjectShare is the maximum share of a service's targets that are ejected at
	// the same time. Default 0.4.
	EjectShare float64
	// ProbeSuccesses is the number of successful probes after which an ejected
	// target returns to normal use. Default 3.
	ProbeSuccesses int
	// RevokeGain is the minimum ratio of the remaining times to a queued task's end
	// at its target and at another one for which the task is revoked. Default 3.
	RevokeGain float64
	// RevokeMin is the minimum time saved for which a task is revoked. Smaller
	// savings cost messages without benefit (docs/policy.md). Default 200 ms.
	RevokeMin time.Duration
	// WaitMargin and RunMargin multiply the expected wait and run time of a job
	// before their sum is compared with the time to its deadline. If the queue
	// used up that whole time, tasks that take longer than expected would end too
	// late and their work would be wasted: at 2x overload, a WaitMargin of 1.2
	// gives a goodput of 0.84 and 3 gives 0.94. Defaults 3 and 1.2.
	WaitMargin, RunMargin float64
	// RetryMin and RetryMax bound the retry delay given to refused callers.
	// Defaults 100 ms and 10 s.
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
