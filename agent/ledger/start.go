package ledger

import (
	"fmt"
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/model"
)

// Issue returns a permit that is valid from now for Options.PermitLifetime.
func (l *Ledger) Issue(now time.Duration) Permit {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Permit{Incarnation: l.incarnation, Issued: now}
}

// Admit accepts or refuses a start. If it accepts, the returned record is Queued,
// and the caller must call Begin before it sends the task to the target. If it
// refuses, Record.Refusal has the reason. For Duplicate the record is that of the
// existing task; for all other reasons its state is NotStarted.
func (l *Ledger) Admit(now time.Duration, s Start) (Record, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	if rec, refused := l.refusal(s); refused {
		return rec, false
	}
	cost := entryCost(s.Task)
	if !l.hasRoom(l.entries[s.Task], cost+l.reservation()) {
		return l.putTombstone(s.Attempt, s.Digest, LedgerFull), false
	}
	e := &entry{
		Record:   Record{Attempt: s.Attempt, State: Queued, Digest: s.Digest},
		deadline: s.Deadline,
		queuedAt: l.now,
		cost:     cost,
	}
	l.put(e)
	return e.Record, true
}

// Refuse records that the caller refuses a start, for example with QueueFull. If
// the ledger refuses the start as well, the result has the ledger's reason.
func (l *Ledger) Refuse(now time.Duration, s Start, r Reason) Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	if rec, refused := l.refusal(s); refused {
		return rec
	}
	return l.putTombstone(s.Attempt, s.Digest, r)
}

// refusal reports whether a start must be refused, and returns the refusal.
func (l *Ledger) refusal(s Start) (Record, bool) {
	p := l.raiseEpoch(s.Partition, s.Epoch)
	old := l.entries[s.Task]
	// An entry queued under an older epoch cannot begin any more, so it does not
	// block an attempt of the new owner.
	if old != nil && (old.State.Started() || old.State == Queued && s.Epoch <= old.Epoch) {
		rec := old.Record
		rec.Refusal = Duplicate
		return rec, true
	}
	if s.Epoch < p.epoch {
		// No tombstone is needed: the newest epoch never decreases, so every copy
		// of this start will be refused.
		return Record{Attempt: s.Attempt, State: NotStarted, Refusal: StaleEpoch, Digest: s.Digest}, true
	}
	var r Reason
	switch _, cancelled := l.cancelled[s.Task.Job]; {
	case cancelled:
		r = Cancelled
	case old != nil && old.State == NotStarted && !s.After(old.Attempt):
		// The new tombstone keeps the attempt of the existing one, which is later
		// than or equal to that of the start.
		rec := l.putTombstone(old.Attempt, s.Digest, Revoked)
		rec.Attempt = s.Attempt
		return rec, true
	case !l.permitValid(s.Permit):
		r = PermitExpired
	case s.Deadline != 0 && l.now >= s.Deadline:
		r = Deadline
	default:
		return Record{}, false
	}
	return l.putTombstone(s.Attempt, s.Digest, r), true
}

// permitValid reports whether a permit is of this incarnation, not invalidated and
// not expired.
func (l *Ledger) permitValid(p Permit) bool {
	return p.Incarnation == l.incarnation &&
		p.Issued > l.permitsInvalidUntil && p.Issued <= l.now &&
		l.now-p.Issued <= l.opts.PermitLifetime
}

// reservation is the memory reserved for the outcome of a running task.
func (l *Ledger) reservation() int64 { return int64(l.opts.ResultLimit) + errorLimit }

// Begin moves a queued attempt to Running and reserves memory for its outcome.
// Only if it returns true may the caller send the task to the target. Otherwise
// Record.Refusal has the reason: StaleEpoch, Deadline, LedgerFull, or Revoked if
// the attempt is no longer queued.
func (l *Ledger) Begin(now time.Duration, a Attempt) (Record, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	e := l.entries[a.Task]
	if e == nil || e.Attempt != a || e.State != Queued {
		return Record{Attempt: a, State: NotStarted, Refusal: Revoked}, false
	}
	if e.Epoch < l.partitionFor(e.Partition).epoch {
		return l.putTombstone(a, e.Digest, StaleEpoch), false
	}
	if e.deadline != 0 && l.now >= e.deadline {
		return l.putTombstone(a, e.Digest, Deadline), false
	}
	if l.bytes+l.reservation() > l.opts.MaxBytes {
		return l.putTombstone(a, e.Digest, LedgerFull), false
	}
	e.cost += l.reservation()
	l.bytes += l.reservation()
	e.State = Running
	e.startedAt = l.now
	e.Wait = e.startedAt - e.queuedAt
	l.running++
	return e.Record, true
}

// Finish records the outcome of a running attempt. It returns false and has no
// effect if the attempt is not running.
func (l *Ledger) Finish(now time.Duration, a Attempt, o Outcome) (Record, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	e := l.entries[a.Task]
	if e == nil || e.Attempt != a || e.State != Running {
		return Record{}, false
	}
	if o.State == NotStarted {
		return l.putTombstone(a, e.Digest, o.Reason), true
	}
	l.removeOpen(e)
	e.State = o.State
	e.Result = o.Result
	e.Error = o.Error[:min(len(o.Error), errorLimit)]
	if len(e.Result) > l.opts.ResultLimit {
		e.State = Failed
		e.Error = fmt.Sprintf("result has %d bytes, limit %d", len(e.Result), l.opts.ResultLimit)
		e.Result = nil
	}
	e.Run = l.now - e.startedAt
	cost := entryCost(e.Task) + int64(len(e.Result)+len(e.Error))
	l.bytes += cost - e.cost
	e.cost = cost
	l.finished.push(e, l.now+l.opts.Retention)
	return e.Record, true
}

// Revoke revokes attempts that were not started and returns a record for each, in
// the same order. NotStarted means that the attempt and all earlier ones will be
// refused from now on. Queued means that a later attempt of the same task is
// queued; that attempt is not affected. Other states are those of a task that was
// already started.
func (l *Ledger) Revoke(now time.Duration, attempts []Attempt) []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	recs := make([]Record, len(attempts))
	for i, a := range attempts {
		recs[i] = l.revoke(a)
	}
	return recs
}

func (l *Ledger) revoke(a Attempt) Record {
	p := l.raiseEpoch(a.Partition, a.Epoch)
	e := l.entries[a.Task]
	var digest model.Digest
	if e != nil {
		if e.State.Started() || e.Attempt.After(a) {
			return e.Record
		}
		digest = e.Digest
	}
	if e == nil && a.Epoch < p.epoch {
		return Record{Attempt: a, State: NotStarted, Refusal: StaleEpoch}
	}
	return l.putTombstone(a, digest, Revoked)
}
