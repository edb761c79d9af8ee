package ledger

import (
	"fmt"
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/model"
)

// Issue returns a permit for starts sent after now.
func (l *Ledger) Issue(now time.Duration) Permit {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Permit{Incarnation: l.incarnation, Issued: now}
}

// Admit decides about a start. If it is accepted, the record is Queued and the
// caller calls Begin before it gives the task to the target. Otherwise
// Record.Refusal has the reason: with Duplicate the record is the existing one,
// else it is NotStarted.
func (l *Ledger) Admit(now time.Duration, s Start) (Record, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	if rec, refused := l.refusal(s); refused {
		return rec, false
	}
	cost := entryCost(s.Task)
	if !l.room(l.entries[s.Task], cost+l.reservation()) {
		return l.bury(s.Attempt, s.Digest, LedgerFull), false
	}
	e := &entry{
		Record:   Record{Attempt: s.Attempt, State: Queued, Digest: s.Digest},
		deadline: s.Deadline,
		admitted: l.now,
		cost:     cost,
	}
	l.put(e)
	return e.Record, true
}

// Refuse records that the caller refuses a start for a reason of its own, such
// as QueueFull. The reason in the result is the ledger's if it refuses too.
func (l *Ledger) Refuse(now time.Duration, s Start, r Reason) Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	if rec, refused := l.refusal(s); refused {
		return rec
	}
	return l.bury(s.Attempt, s.Digest, r)
}

// refusal returns the refusal of a start, if there is a reason for one.
func (l *Ledger) refusal(s Start) (Record, bool) {
	p := l.observe(s.Partition, s.Epoch)
	old := l.entries[s.Task]
	// An entry that is queued under an older epoch can no longer begin and does
	// not block an attempt of the new owner.
	if old != nil && (old.State.Started() || old.State == Queued && s.Epoch <= old.Epoch) {
		rec := old.Record
		rec.Refusal = Duplicate
		return rec, true
	}
	if s.Epoch < p.epoch {
		// No tombstone: the epoch never falls, so every copy is refused.
		return Record{Attempt: s.Attempt, State: NotStarted, Refusal: StaleEpoch, Digest: s.Digest}, true
	}
	var r Reason
	switch _, cancelled := l.cancelled[s.Task.Job]; {
	case cancelled:
		r = Cancelled
	case old != nil && old.State == NotStarted && !s.After(old.Attempt):
		// The tombstone stays at its own, later attempt.
		rec := l.bury(old.Attempt, s.Digest, Revoked)
		rec.Attempt = s.Attempt
		return rec, true
	case !l.valid(s.Permit):
		r = PermitExpired
	case s.Deadline != 0 && l.now >= s.Deadline:
		r = Deadline
	default:
		return Record{}, false
	}
	return l.bury(s.Attempt, s.Digest, r), true
}

func (l *Ledger) valid(p Permit) bool {
	return p.Incarnation == l.incarnation &&
		p.Issued > l.refuseIssued && p.Issued <= l.now &&
		l.now-p.Issued <= l.opts.PermitLifetime
}

// reservation is the memory for the outcome of a running task.
func (l *Ledger) reservation() int64 { return int64(l.opts.ResultLimit) + errorLimit }

// Begin moves a queued attempt to Running and reserves room for its outcome. The
// caller gives the task to the target only if it returns true. Otherwise the
// record says why the attempt does not begin: Refusal is StaleEpoch, Deadline,
// LedgerFull, or Revoked if the attempt is no longer the queued one.
func (l *Ledger) Begin(now time.Duration, a Attempt) (Record, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	e := l.entries[a.Task]
	if e == nil || e.Attempt != a || e.State != Queued {
		return Record{Attempt: a, State: NotStarted, Refusal: Revoked}, false
	}
	if e.Epoch < l.partition(e.Partition).epoch {
		return l.bury(a, e.Digest, StaleEpoch), false
	}
	if e.deadline != 0 && l.now >= e.deadline {
		return l.bury(a, e.Digest, Deadline), false
	}
	if l.bytes+l.reservation() > l.opts.MaxBytes {
		return l.bury(a, e.Digest, LedgerFull), false
	}
	e.cost += l.reservation()
	l.bytes += l.reservation()
	e.State = Running
	e.begun = l.now
	e.Wait = e.begun - e.admitted
	l.running++
	return e.Record, true
}

// Finish records the end of a running attempt. It returns false and changes
// nothing if the attempt is not running.
func (l *Ledger) Finish(now time.Duration, a Attempt, o Outcome) (Record, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	e := l.entries[a.Task]
	if e == nil || e.Attempt != a || e.State != Running {
		return Record{}, false
	}
	if o.State == NotStarted {
		return l.bury(a, e.Digest, o.Reason), true
	}
	l.close(e)
	e.State = o.State
	e.Result = o.Result
	e.Error = o.Error[:min(len(o.Error), errorLimit)]
	if len(e.Result) > l.opts.ResultLimit {
		e.State = Failed
		e.Error = fmt.Sprintf("result has %d bytes, limit %d", len(e.Result), l.opts.ResultLimit)
		e.Result = nil
	}
	e.Run = l.now - e.begun
	cost := entryCost(e.Task) + int64(len(e.Result)+len(e.Error))
	l.bytes += cost - e.cost
	e.cost = cost
	l.finished.push(e, l.now+l.opts.Retention)
	return e.Record, true
}

// Revoke takes back attempts that were not started. The records are in the
// order of the attempts. NotStarted means that a tombstone refuses the attempt
// and all earlier ones from now on; Queued means that a later attempt of the
// same task is queued, and is unaffected.
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
	p := l.observe(a.Partition, a.Epoch)
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
	return l.bury(a, digest, Revoked)
}
