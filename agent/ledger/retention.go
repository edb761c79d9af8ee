package ledger

import "time"

// expiryQueue is a first-in, first-out queue of items whose expiry times do not
// decrease.
type expiryQueue[T any] struct {
	items []expiring[T]
	head  int
}

type expiring[T any] struct {
	item T
	at   time.Duration
}

func (q *expiryQueue[T]) push(item T, at time.Duration) {
	q.items = append(q.items, expiring[T]{item: item, at: at})
}

// pop removes and returns the first item if it has expired.
func (q *expiryQueue[T]) pop(now time.Duration) (T, bool) {
	var zero T
	if q.head == len(q.items) || q.items[q.head].at > now {
		return zero, false
	}
	item := q.items[q.head].item
	q.items[q.head].item = zero
	q.head++
	// Moves the rest to the front once half of the memory is unused, so that the
	// cost is constant for each item.
	if 2*q.head >= len(q.items) {
		n := copy(q.items, q.items[q.head:])
		clear(q.items[n:])
		q.items = q.items[:n]
		q.head = 0
	}
	return item, true
}

// advance raises the ledger's time and removes what has expired.
func (l *Ledger) advance(now time.Duration) {
	l.now = max(l.now, now)
	expireEntries(l, &l.finished)
	expireEntries(l, &l.tombstones)
	for {
		job, ok := l.cancels.pop(l.now)
		if !ok {
			return
		}
		// A later cancellation of the same job has moved the expiry.
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
		// Another entry may have replaced a tombstone.
		if l.entries[e.Task] == e {
			l.remove(e.Task)
		}
	}
}

func (l *Ledger) tombstoneLifetime() time.Duration { return 2 * l.opts.PermitLifetime }
