// Package logservice defines the interfaces to the platform's append-only log
// and to the workers' leases, and an HTTP client that implements both.
package logservice

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

var (
	// ErrUnavailable means that the request did not take effect, because it did
	// not reach the service or the service did not accept it.
	ErrUnavailable = errors.New("platform service unavailable")
	// ErrUnknownOutcome means that the request may have taken effect: its reply
	// was lost, timed out or is not conclusive.
	ErrUnknownOutcome = errors.New("platform request outcome unknown")
	// ErrTrimmed means that the requested records were dropped by the retention
	// of the stream.
	ErrTrimmed = errors.New("log records beyond retention")
	// ErrInvalid means that the service rejected the content of the request. A
	// retry would be rejected as well.
	ErrInvalid = errors.New("platform service refused an invalid request")
	// ErrLeaseHeld means that another holder has the lease and it has not expired.
	ErrLeaseHeld = errors.New("lease held by another holder")
)

// Entry is one record of a stream.
type Entry struct {
	Offset   uint64
	Appended time.Time
	Data     []byte
}

// Page is the result of one read of a stream.
type Page struct {
	Entries []Entry
	// First is the offset of the oldest retained record, or Next if the stream
	// retains none.
	First uint64
	// Next is the offset of the next record to be appended.
	Next uint64
}

// Log is an append-only log with named streams. The offsets of a stream start at
// 1 and increase by 1 per record.
type Log interface {
	// Append adds a record and returns its offset. After an error that wraps
	// ErrUnknownOutcome the record may have been added.
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	// Read returns up to limit records, starting at offset from. If there are
	// none, it waits up to wait for a record. It fails with ErrTrimmed if from is
	// before the stream's first retained record; First and Next of the page are
	// valid in that case. Any other error wraps ErrUnavailable, since a read has
	// no side effect whose outcome could be unknown.
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Page, error)
}

// Lease grants leases on workers to holders.
type Lease interface {
	// Renew acquires or renews the worker's lease for holder. It returns how long
	// the lease lasts, counted from the time at which the request was sent. It
	// fails with ErrLeaseHeld while another holder has the lease. After an error
	// that wraps ErrUnknownOutcome the lease may have been renewed.
	Renew(ctx context.Context, worker, holder string, ttl time.Duration) (time.Duration, error)
}
