package httpapi

import "time"

// Limits are limits on a submission and on the memory that request bodies use.
type Limits struct {
	// TasksPerJob is the largest number of tasks of a job.
	TasksPerJob int
	// BodyBytes is the largest request body.
	BodyBytes int64
	// BodyBytesTotal is the largest total size of the request bodies in memory.
	BodyBytesTotal int64
	// PayloadBytes is the largest payload of a task.
	PayloadBytes int
	// NameBytes is the largest length of a client, key or service name.
	NameBytes int
	// TimeoutMin and TimeoutMax bound a job's timeout; TimeoutDefault applies if the
	// body has none.
	TimeoutMin, TimeoutMax, TimeoutDefault time.Duration
	// CallerSkew is how far submitted_at may be ahead of the gateway's clock.
	CallerSkew time.Duration
	// Retention is how long outcomes are kept; an older submitted_at is refused.
	Retention time.Duration
}

// DefaultLimits returns the limits that apply without settings. They equal the
// defaults of the settings file.
func DefaultLimits() Limits {
	return Limits{
		TasksPerJob:    1300,
		BodyBytes:      8 << 20,
		BodyBytesTotal: 256 << 20,
		PayloadBytes:   256 << 10,
		NameBytes:      256,
		TimeoutMin:     10 * time.Millisecond,
		TimeoutMax:     120 * time.Second,
		TimeoutDefault: 30 * time.Second,
		CallerSkew:     5 * time.Second,
		Retention:      10 * time.Minute,
	}
}
