package ledger

import "time"

// expiryQueue is a FIFO queue of items whose expiry times must not decrease.
type expiryQueue[T any] struct {
	items []expiring[T]
	head  int
}

type expiring[T any] struct {
	item   T
	expiry time.Duration
}

func (q *expiryQueue[T]) push(item T, at time.Duration) {
	q.items = append(q.items, expiring[T]{item: item, expiry: at})
}

// pop removes and returns the first item if it has expired.
func (q *expiryQueue[T]) pop(now time.Duration) (T, bool) {
	var zero T
	if q.head == len(q.items) || q.items[q.head].expiry > now {
		return zero, false
	}
	item := q.items[q.head].item
	q.items[q.head].item = zero
	q.head++
	// Compacts the slice once half of it is unused, which takes amortized constant
	// time per item.
	if 2*q.head >= len(q.items) {
		n := copy(q.items, q.items[q.head:])
		clear(q.items[n:])
		q.items = q.items[:n]
		q.head = 0
	}
	return item, true
}

// advance raises the ledger's time and removes expired entries and cancellations.
func (l *Ledger) advance(now time.Duration) {
	l.now = max(l.now, now)
	expireEntries(l, &l.finished)
	expireEntries(l, &l.tombstones)
	for {
		job, ok := l.cancels.pop(l.now)
		if !ok {
			return
		}
		// A later cancellation of the same job may have extended the expiry.
		if at, known := l.cancelled[job]; known && at <= l.now {
			delete(l.cancelled, job)
			l.bytes -= cancelCost(job)
		}
	}
}

func expireEntries(l *Ledger, q *expiryQueue[*entry]) {
	for {
		e, ok := q.pop(l.now)
		if !ok {
			return
		}
		// A tombstone may have been replaced by another entry.
		if l.entries[e.Task] == e {
			l.remove(e.Task)
		}
	}
}

func (l *Ledger) tombstoneLifetime() time.Duration { return 2 * l.opts.PermitLifetime }
