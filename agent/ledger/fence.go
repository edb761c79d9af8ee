package ledger

import (
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/model"
)

// FenceResult is the result of Fence.
type FenceResult struct {
	// Records are all entries of the fenced partitions.
	Records []Record
	// Dropped are the attempts removed from the queue. Their tombstones are in
	// Records.
	Dropped []Attempt
	// Newer lists the requested partitions that already have a newer epoch than
	// requested, with that epoch. Their entries are not in Records.
	Newer []PartitionEpoch
}

// Fence raises the epochs of the partitions, so that attempts of older epochs are
// refused, and returns all entries of the partitions. Queued attempts of older
// epochs become NotStarted. Fence may be repeated with the same epoch.
func (l *Ledger) Fence(now time.Duration, fences []PartitionEpoch) FenceResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	var r FenceResult
	for _, f := range fences {
		p := l.raiseEpoch(f.Partition, f.Epoch)
		if p.epoch > f.Epoch {
			r.Newer = append(r.Newer, PartitionEpoch{Partition: f.Partition, Epoch: p.epoch})
			continue
		}
		l.fence(f, p, &r)
	}
	return r
}

// fence adds the entries of one partition to r.
func (l *Ledger) fence(f PartitionEpoch, p *partition, r *FenceResult) {
	var stale []*entry
	for e := range p.entries {
		if e.State == Queued && e.Epoch < f.Epoch {
			stale = append(stale, e)
			continue
		}
		r.Records = append(r.Records, e.Record)
	}
	for _, e := range stale {
		r.Dropped = append(r.Dropped, e.Attempt)
		r.Records = append(r.Records, l.putTombstone(e.Attempt, e.Digest, StaleEpoch))
	}
}

// Epoch returns the newest epoch seen for a partition, or 0 if none was seen.
func (l *Ledger) Epoch(p model.Partition) model.Epoch {
	l.mu.Lock()
	defer l.mu.Unlock()
	if v, ok := l.partitions[p]; ok {
		return v.epoch
	}
	return 0
}

// IsQueued reports whether this attempt of its task is queued.
func (l *Ledger) IsQueued(a Attempt) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[a.Task]
	return e != nil && e.Attempt == a && e.State == Queued
}

// EpochsAbove returns the partitions whose newest epoch is above a log offset. An
// epoch is the log offset of a claim, so these claims come after the offset.
func (l *Ledger) EpochsAbove(offset uint64) []PartitionEpoch {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []PartitionEpoch
	for id, p := range l.partitions {
		if uint64(p.epoch) > offset {
			out = append(out, PartitionEpoch{Partition: id, Epoch: p.epoch})
		}
	}
	return out
}

// Cancel drops the queued tasks of the jobs and, for the retention time, refuses
// every start of their tasks under any epoch. It returns the tombstones of the
// dropped tasks and the running attempts, which the caller should abort.
func (l *Ledger) Cancel(now time.Duration, jobs []Cancellation) (dropped []Record, running []Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	cancelledNow := make(map[model.JobKey]struct{}, len(jobs))
	for _, c := range jobs {
		if c.Epoch != 0 && c.Epoch < l.raiseEpoch(c.Partition, c.Epoch).epoch {
			continue
		}
		l.cancel(c.Job)
		cancelledNow[c.Job] = struct{}{}
	}
	for id, e := range l.open {
		if _, ok := cancelledNow[id.Job]; !ok {
			continue
		}
		if e.State == Running {
			running = append(running, e.Attempt)
			continue
		}
		dropped = append(dropped, l.putTombstone(e.Attempt, e.Digest, Cancelled))
	}
	return dropped, running
}

func (l *Ledger) cancel(job model.JobKey) {
	at := l.now + l.opts.Retention
	expiry, known := l.cancelled[job]
	if known && at-expiry < l.opts.PermitLifetime {
		// Skipping short extensions bounds the queue of expiry times if a job is
		// cancelled repeatedly.
		return
	}
	if !known {
		cost := cancelCost(job)
		if !l.hasRoom(nil, cost) {
			// Starts in flight are refused because their permits are invalid now.
			// The owner sends no further starts for a job that it cancelled.
			l.permitsInvalidUntil = max(l.permitsInvalidUntil, l.now)
			return
		}
		l.bytes += cost
	}
	l.cancelled[job] = at
	l.cancels.push(job, at)
}

// cancelCost returns the estimated memory of a cancelled job.
func cancelCost(job model.JobKey) int64 {
	return entryOverhead + int64(len(job.Client)+len(job.Key))
}

// DropQueued drops all queued tasks and returns their tombstones with the given
// reason.
func (l *Ledger) DropQueued(now time.Duration, r Reason) []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	var recs []Record
	for _, e := range l.open {
		if e.State == Queued {
			recs = append(recs, l.putTombstone(e.Attempt, e.Digest, r))
		}
	}
	return recs
}
