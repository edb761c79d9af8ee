package httpapi

import "time"

// Limits bounds what a submission may ask for and what it may cost.
type Limits struct {
	// TasksPerJob is the largest number of tasks of a job.
	TasksPerJob int
	// BodyBytes is the largest request body.
	BodyBytes int64
	// BodyBytesTotal bounds the request bodies held at the same time.
	BodyBytesTotal int64
	// PayloadBytes is the largest payload of a task.
	PayloadBytes int
	// NameBytes is the longest client, key or service name.
	NameBytes int
	// TimeoutMin and TimeoutMax bound a job's timeout; TimeoutDefault applies
	// when the body names none.
	TimeoutMin, TimeoutMax, TimeoutDefault time.Duration
	// MaxClockSkew is how far submitted_at may be ahead of the gateway's
	// clock (the skew bound S of the design).
	MaxClockSkew time.Duration
	// Retention is the age from which submitted_at is refused as too old.
	Retention time.Duration
}

// DefaultLimits are the limits of section 10 of the design.
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
		MaxClockSkew:   5 * time.Second,
		Retention:      10 * time.Minute,
	}
}
