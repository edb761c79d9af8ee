// Package logservice is the interface to the platform's services: the
// append-only log and the workers' leases.
package logservice

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

var (
	// ErrUnavailable means that the service certainly did not take the request.
	ErrUnavailable = errors.New("platform service unavailable")
	// ErrUnknownOutcome means that the request may have taken effect: its reply
	// was lost or timed out.
	ErrUnknownOutcome = errors.New("platform request outcome unknown")
	// ErrTrimmed means that the records asked for are beyond retention.
	ErrTrimmed = errors.New("log records beyond retention")
	// ErrInvalid means that the service refused the request for its content; a
	// repetition would be refused as well.
	ErrInvalid = errors.New("platform service refused an invalid request")
	// ErrLeaseHeld means that another holder has the lease.
	ErrLeaseHeld = errors.New("lease held by another holder")
)

// Entry is one record of a stream.
type Entry struct {
	Offset   uint64
	Appended time.Time
	Data     []byte
}

// Page is the result of a read.
type Page struct {
	Entries []Entry
	// First is the oldest offset that the stream still keeps.
	First uint64
	// Next is the offset that the next append will get.
	Next uint64
}

// Log is an append-only service of streams with offsets. Offsets start at 1
// and grow by 1 a record.
type Log interface {
	// Append adds a record and returns its offset. An error that wraps
	// ErrUnknownOutcome leaves open whether the record was added.
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	// Read returns up to limit records from offset from on. With nothing to
	// return it waits for up to wait. It fails with ErrTrimmed if from is
	// older than the stream's first record; First and Next of the page are
	// then valid. A read has no effect, so that any other failure wraps
	// ErrUnavailable.
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Page, error)
}

// Lease grants a worker's lease.
type Lease interface {
	// Renew takes or renews the worker's lease for holder and returns the time
	// that it lasts from the sending of the request. It fails with ErrLeaseHeld
	// while another holder has it. After an error that wraps ErrUnknownOutcome
	// the lease may have been renewed.
	Renew(ctx context.Context, worker, holder string, ttl time.Duration) (time.Duration, error)
}
