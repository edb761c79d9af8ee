package queues

import (
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/boottime"
)

// Status is the result of the search for the queue of a request.
type Status int

const (
	// Found means that the active configuration has the queue.
	Found Status = iota
	// NotFound means that there is no such queue: the active configuration has none
	// and is recent enough to tell.
	NotFound
	// Unconfirmed means that the active configuration has no such queue, but a newer
	// one may exist that has it.
	Unconfirmed
	// Unreadable means that the queue, or one that may be it, cannot be decoded.
	Unreadable
	// NoConfiguration means that no configuration is active yet.
	NoConfiguration
)

// Resolution is the queue of a request and what was known when it was searched for.
type Resolution struct {
	Status Status
	Queue  Queue
	// Rest is the part of the request's path after the queue's prefix.
	Rest string
	// Version is the version of the active configuration, or 0 if there is none.
	Version uint64
	// Age is the time since that version was last confirmed to be the newest one.
	Age time.Duration
	// Limits are the limits on the request.
	Limits Limits
}

// Resolver finds the queues of requests in the active configuration.
type Resolver struct {
	current *CurrentConfig
	now     boottime.Clock
	maxAge  time.Duration
}

// NewResolver returns a resolver that reports a queue as not found only if the active
// configuration was confirmed within maxAge. Callers take that as final, and a gateway
// that cannot reach the store may not know a queue that others serve.
func NewResolver(current *CurrentConfig, now boottime.Clock, maxAge time.Duration) *Resolver {
	return &Resolver{current, now, maxAge}
}

// Resolve returns the queue of a request.
func (r *Resolver) Resolve(host, path string) Resolution {
	// Read before the configuration, which is then at least as new.
	confirmedAt, confirmed := r.current.ConfirmedAt()
	c := r.current.Get()
	if c == nil {
		return Resolution{Status: NoConfiguration}
	}
	out := Resolution{Version: c.Version, Limits: c.Limits}
	if confirmed {
		out.Age = r.now() - confirmedAt
	}
	q, rest, found := c.Find(host, path)
	switch {
	case found && q.Malformed, !found && c.Incomplete:
		out.Status = Unreadable
	case found:
		out.Queue, out.Rest = q, rest
	case !confirmed, out.Age > r.maxAge:
		out.Status = Unconfirmed
	default:
		out.Status = NotFound
	}
	return out
}
