// Package ledger implements the start ledger of an agent. It decides which
// attempts may start, so that each task starts at most once, and stores the
// outcomes.
//
// The ledger does no I/O, starts no goroutines and reads no clock: the caller
// passes the monotonic time since the start of the agent. If that time goes
// backwards, the ledger uses the latest time seen.
//
// Rules:
//   - A task that is running, succeeded or failed is never started again,
//     whatever the epoch of the new attempt.
//   - An attempt is refused if its epoch is older than the newest epoch seen in
//     any message for its partition, or if its permit is older than
//     Options.PermitLifetime or was issued by another incarnation.
//   - Each refusal, except for a duplicate or a stale epoch, each revocation and
//     each task dropped from the queue leaves a tombstone. The tombstone causes the
//     same attempt and all earlier ones to be refused; a later attempt is accepted.
//   - A tombstone is kept for twice the permit lifetime. Any attempt sent before
//     the tombstone was created carries a permit that has expired by then.
//   - Finished tasks and cancelled jobs are kept for Options.Retention. Nothing is
//     evicted early. A full ledger refuses starts. If it has no room for a
//     tombstone, it instead invalidates all permits issued up to that time.
package ledger

import (
	"sync"
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/model"
)

// Options are the settings of a ledger. Zero values mean the defaults.
type Options struct {
	// Incarnation is the agent's incarnation.
	Incarnation model.Incarnation
	// PermitLifetime is the time for which a permit is valid, called D in the
	// design; default 3 s.
	PermitLifetime time.Duration
	// Retention is the time for which outcomes are kept after a task ends; default
	// 10 min.
	Retention time.Duration
	// MaxEntries bounds the number of tasks, tombstones and cancelled jobs;
	// default 120,000, which is 200 tasks/s over the default retention.
	MaxEntries int
	// MaxBytes bounds the estimated memory of the entries; default 64 MiB.
	MaxBytes int64
	// ResultLimit bounds the size of a result in bytes and is reserved for each
	// running task; default 256 KiB.
	ResultLimit int
}

// Defaults of Options.
const (
	DefaultPermitLifetime = 3 * time.Second
	DefaultRetention      = 10 * time.Minute
	DefaultMaxEntries     = 120_000
	DefaultMaxBytes       = 64 << 20
	DefaultResultLimit    = 256 << 10
)

// entryOverhead is the estimated memory in bytes of an entry without its strings
// and result: the entry itself, its slots in two maps and in one queue.
const entryOverhead = 320

// errorLimit bounds the error text of an outcome in bytes.
const errorLimit = 1 << 10

func (o Options) withDefaults() Options {
	if o.PermitLifetime <= 0 {
		o.PermitLifetime = DefaultPermitLifetime
	}
	if o.Retention <= 0 {
		o.Retention = DefaultRetention
	}
	if o.MaxEntries <= 0 {
		o.MaxEntries = DefaultMaxEntries
	}
	if o.MaxBytes <= 0 {
		o.MaxBytes = DefaultMaxBytes
	}
	if o.ResultLimit <= 0 {
		o.ResultLimit = DefaultResultLimit
	}
	return o
}

// entry is the state that the ledger stores for a task.
type entry struct {
	Record
	deadline time.Duration
	// queuedAt and startedAt are the monotonic times at which the task became
	// Queued and Running.
	queuedAt, startedAt time.Duration
	cost                int64 // estimated memory in bytes
}

// Ledger is a start ledger. It is safe for concurrent use.
type Ledger struct {
	opts Options

	mu sync.Mutex // guards all fields below
	// incarnation is the incarnation whose permits are valid.
	incarnation model.Incarnation
	// now is the latest time passed by a caller.
	now     time.Duration
	entries map[model.TaskID]*entry
	// open holds the entries that are Queued or Running.
	open       map[model.TaskID]*entry
	partitions map[model.Partition]*partition
	// cancelled holds the expiry times of cancelled jobs.
	cancelled map[model.JobKey]time.Duration
	// finished, tombstones and cancels are ordered by expiry time.
	finished, tombstones expiryQueue[*entry]
	cancels              expiryQueue[model.JobKey]
	bytes                int64
	running              int
	// permitsInvalidUntil is the time up to which issued permits are invalid
	// because there was no room for a tombstone; negative if there is none.
	permitsInvalidUntil time.Duration
}

// partition is the newest known epoch of a partition with its entries.
type partition struct {
	epoch   model.Epoch
	entries map[*entry]struct{}
}

// New returns an empty ledger.
func New(opts Options) *Ledger {
	return &Ledger{
		opts:                opts.withDefaults(),
		incarnation:         opts.Incarnation,
		entries:             make(map[model.TaskID]*entry),
		open:                make(map[model.TaskID]*entry),
		partitions:          make(map[model.Partition]*partition),
		cancelled:           make(map[model.JobKey]time.Duration),
		permitsInvalidUntil: -1,
	}
}

// SetIncarnation changes the incarnation of the agent, which invalidates all
// permits issued so far. Entries and epochs stay; they can only cause more
// refusals than the empty ledger of a new process would.
func (l *Ledger) SetIncarnation(i model.Incarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.incarnation = i
}

// Counts returns the size of the ledger.
func (l *Ledger) Counts(now time.Duration) Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	return Counts{
		Queued:  len(l.open) - l.running,
		Running: l.running,
		Entries: l.size(),
		Bytes:   l.bytes,
	}
}

// Lookup returns the record of a task.
func (l *Ledger) Lookup(now time.Duration, id model.TaskID) (Record, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	e, ok := l.entries[id]
	if !ok {
		return Record{}, false
	}
	return e.Record, true
}

func (l *Ledger) size() int { return len(l.entries) + len(l.cancelled) }

// partitionFor returns the state of a partition and creates it if needed.
func (l *Ledger) partitionFor(p model.Partition) *partition {
	v, ok := l.partitions[p]
	if !ok {
		v = &partition{entries: make(map[*entry]struct{})}
		l.partitions[p] = v
	}
	return v
}

// raiseEpoch raises the newest known epoch of a partition to e if e is newer.
func (l *Ledger) raiseEpoch(p model.Partition, e model.Epoch) *partition {
	v := l.partitionFor(p)
	v.epoch = max(v.epoch, e)
	return v
}

// put stores e and replaces any entry of the same task. The caller must have
// checked that there is room.
func (l *Ledger) put(e *entry) {
	l.remove(e.Task)
	l.entries[e.Task] = e
	l.partitionFor(e.Partition).entries[e] = struct{}{}
	l.bytes += e.cost
	switch e.State {
	case Queued:
		l.open[e.Task] = e
	case NotStarted:
		l.tombstones.push(e, l.now+l.tombstoneLifetime())
	}
}

func (l *Ledger) remove(id model.TaskID) {
	e, ok := l.entries[id]
	if !ok {
		return
	}
	delete(l.entries, id)
	delete(l.partitions[e.Partition].entries, e)
	l.removeOpen(e)
	l.bytes -= e.cost
}

// removeOpen removes e from the open entries.
func (l *Ledger) removeOpen(e *entry) {
	if l.open[e.Task] != e {
		return
	}
	delete(l.open, e.Task)
	if e.State == Running {
		l.running--
	}
}

// hasRoom reports whether an entry of the given cost fits if it replaces old,
// which may be nil.
func (l *Ledger) hasRoom(old *entry, cost int64) bool {
	size, bytes := l.size()+1, l.bytes+cost
	if old != nil {
		size--
		bytes -= old.cost
	}
	return size <= l.opts.MaxEntries && bytes <= l.opts.MaxBytes
}

// putTombstone stores a tombstone for the attempt, or invalidates all permits
// issued so far if there is no room. It returns the tombstone's record.
func (l *Ledger) putTombstone(a Attempt, d model.Digest, r Reason) Record {
	rec := Record{Attempt: a, State: NotStarted, Refusal: r, Digest: d}
	e := &entry{Record: rec, cost: entryCost(a.Task)}
	if old := l.entries[a.Task]; !l.hasRoom(old, e.cost) {
		l.permitsInvalidUntil = max(l.permitsInvalidUntil, l.now)
		return rec
	}
	l.put(e)
	return rec
}

// entryCost returns the estimated memory of an entry without a result.
func entryCost(id model.TaskID) int64 {
	return entryOverhead + int64(len(id.Job.Client)+len(id.Job.Key))
}
