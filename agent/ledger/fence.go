package ledger

import (
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/model"
)

// FenceResult is the result of Fence.
type FenceResult struct {
	// Records are all entries of the partitions that were fenced.
	Records []Record
	// Dropped are the attempts that were taken out of the queue. Their
	// tombstones are in Records.
	Dropped []Attempt
	// Newer are the requested partitions whose newest epoch is above the
	// requested one; their entries are not returned.
	Newer []PartitionEpoch
}

// Fence raises the newest epoch of the partitions and returns their entries.
// Queued attempts of older epochs become NotStarted. A fence with the epoch that
// is already the newest returns the entries again.
func (l *Ledger) Fence(now time.Duration, fences []PartitionEpoch) FenceResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	var r FenceResult
	for _, f := range fences {
		p := l.observe(f.Partition, f.Epoch)
		if p.epoch > f.Epoch {
			r.Newer = append(r.Newer, PartitionEpoch{Partition: f.Partition, Epoch: p.epoch})
			continue
		}
		l.fence(f, p, &r)
	}
	return r
}

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
		r.Records = append(r.Records, l.bury(e.Attempt, e.Digest, StaleEpoch))
	}
}

// Epoch returns the newest epoch seen for a partition.
func (l *Ledger) Epoch(p model.Partition) model.Epoch {
	l.mu.Lock()
	defer l.mu.Unlock()
	if v, ok := l.partitions[p]; ok {
		return v.epoch
	}
	return 0
}

// IsQueued reports whether the attempt is the queued one of its task.
func (l *Ledger) IsQueued(a Attempt) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[a.Task]
	return e != nil && e.Attempt == a && e.State == Queued
}

// EpochsAbove returns the partitions whose newest epoch is above a log offset.
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

// Cancel drops the queued tasks of the jobs and refuses every later start of
// them, under any epoch, within the retention time. Dropped are the tombstones of
// the queued tasks, running the attempts that the caller should abort.
func (l *Ledger) Cancel(now time.Duration, jobs []Cancellation) (dropped []Record, running []Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	wave := make(map[model.JobKey]struct{}, len(jobs))
	for _, c := range jobs {
		if c.Epoch != 0 && c.Epoch < l.observe(c.Partition, c.Epoch).epoch {
			continue
		}
		l.cancel(c.Job)
		wave[c.Job] = struct{}{}
	}
	for id, e := range l.open {
		if _, ok := wave[id.Job]; !ok {
			continue
		}
		if e.State == Running {
			running = append(running, e.Attempt)
			continue
		}
		dropped = append(dropped, l.bury(e.Attempt, e.Digest, Cancelled))
	}
	return dropped, running
}

func (l *Ledger) cancel(job model.JobKey) {
	at := l.now + l.opts.Retention
	expiry, known := l.cancelled[job]
	if known && at-expiry < l.opts.PermitLifetime {
		// Bounds the queue of expiries when a job is cancelled over and over.
		return
	}
	if !known {
		cost := cancelCost(job)
		if !l.room(nil, cost) {
			// Starts that are on their way are refused by their permit; the owner
			// does not send others for a job that it cancelled.
			l.refuseIssued = max(l.refuseIssued, l.now)
			return
		}
		l.bytes += cost
	}
	l.cancelled[job] = at
	l.cancels.push(job, at)
}

func cancelCost(job model.JobKey) int64 {
	return entryOverhead + int64(len(job.Client)+len(job.Key))
}

// DropQueued gives back all queued tasks as NotStarted with the reason.
func (l *Ledger) DropQueued(now time.Duration, r Reason) []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	var recs []Record
	for _, e := range l.open {
		if e.State == Queued {
			recs = append(recs, l.bury(e.Attempt, e.Digest, r))
		}
	}
	return recs
}
