// Package ledger is the start ledger of an agent. It decides which attempts of
// tasks may start, so that each task starts at most once, and keeps the outcomes.
//
// The ledger does no I/O, starts no goroutine and reads no clock: the caller
// passes the monotonic time since the start of the agent. Times that go
// backwards are raised to the latest time seen.
//
// Rules:
//   - A task that is running, succeeded or failed is never started again,
//     whatever the epoch of the new attempt.
//   - An attempt is refused if its epoch is older than the newest epoch that any
//     message showed for its partition, or if its permit is older than
//     Options.PermitLifetime or from another incarnation.
//   - Each refusal except for a duplicate or a stale epoch, each revocation and
//     each task dropped from the queue leaves a tombstone. It refuses the same
//     attempt and all earlier ones; a later attempt is accepted.
//   - A tombstone lives for twice the permit lifetime: an attempt that was sent
//     before the tombstone existed carries a permit issued before, which has
//     expired by then.
//   - Finished tasks and cancelled jobs are kept for Options.Retention. Nothing is
//     evicted early. Without room, starts are refused; a tombstone that finds no
//     room is replaced by refusing all permits issued up to that time.
package ledger

import (
	"sync"
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/model"
)

// Options are the settings of a ledger. Zero values take the defaults.
type Options struct {
	// Incarnation is the agent's incarnation.
	Incarnation model.Incarnation
	// PermitLifetime is D of the design; default 3 s.
	PermitLifetime time.Duration
	// Retention is the time that outcomes are kept after the end of the task;
	// default 10 min.
	Retention time.Duration
	// MaxEntries bounds tasks, tombstones and cancelled jobs; default 120,000,
	// which is 200 tasks/s over the default retention.
	MaxEntries int
	// MaxBytes bounds the memory of the entries as estimated by the ledger;
	// default 64 MiB.
	MaxBytes int64
	// ResultLimit bounds one result and is reserved for each running task;
	// default 256 KiB.
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

// entryOverhead is the estimated memory in bytes of an entry without its
// strings and result: the entry, its places in two maps and in one queue.
const entryOverhead = 320

// errorLimit bounds the text of a failure in bytes.
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

// entry is the ledger's own record of a task.
type entry struct {
	Record
	deadline time.Duration
	// admitted and begun are the monotonic times of the transitions.
	admitted, begun time.Duration
	cost            int64
}

// Ledger is the start ledger. Its methods may be called from any goroutine.
type Ledger struct {
	opts Options

	mu sync.Mutex // guards all fields below
	// incarnation is the one whose permits are valid.
	incarnation model.Incarnation
	// now is the latest time that a caller passed.
	now     time.Duration
	entries map[model.TaskID]*entry
	// open holds the entries that are queued or running.
	open       map[model.TaskID]*entry
	partitions map[model.Partition]*partition
	cancelled  map[model.JobKey]time.Duration
	// finished, tombstones and cancels are ordered by expiry.
	finished, tombstones expiryQueue[*entry]
	cancels              expiryQueue[model.JobKey]
	bytes                int64
	running              int
	// refuseIssued is the time up to which issued permits are void, since a
	// tombstone found no room; negative when there is none.
	refuseIssued time.Duration
}

type partition struct {
	epoch   model.Epoch
	entries map[*entry]struct{}
}

// New returns an empty ledger.
func New(opts Options) *Ledger {
	return &Ledger{
		opts:         opts.withDefaults(),
		incarnation:  opts.Incarnation,
		entries:      make(map[model.TaskID]*entry),
		open:         make(map[model.TaskID]*entry),
		partitions:   make(map[model.Partition]*partition),
		cancelled:    make(map[model.JobKey]time.Duration),
		refuseIssued: -1,
	}
}

// SetIncarnation makes all permits issued so far void. Entries and epochs stay,
// which refuses more than the empty ledger of a new process would.
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

func (l *Ledger) partition(p model.Partition) *partition {
	v, ok := l.partitions[p]
	if !ok {
		v = &partition{entries: make(map[*entry]struct{})}
		l.partitions[p] = v
	}
	return v
}

// observe raises the newest epoch of a partition.
func (l *Ledger) observe(p model.Partition, e model.Epoch) *partition {
	v := l.partition(p)
	v.epoch = max(v.epoch, e)
	return v
}

// put stores e in place of any entry of the same task. There must be room.
func (l *Ledger) put(e *entry) {
	l.remove(e.Task)
	l.entries[e.Task] = e
	l.partition(e.Partition).entries[e] = struct{}{}
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
	l.close(e)
	l.bytes -= e.cost
}

// close takes e out of the open entries.
func (l *Ledger) close(e *entry) {
	if l.open[e.Task] != e {
		return
	}
	delete(l.open, e.Task)
	if e.State == Running {
		l.running--
	}
}

// room reports whether an entry of the given cost fits in place of old, which
// may be nil.
func (l *Ledger) room(old *entry, cost int64) bool {
	size, bytes := l.size()+1, l.bytes+cost
	if old != nil {
		size--
		bytes -= old.cost
	}
	return size <= l.opts.MaxEntries && bytes <= l.opts.MaxBytes
}

// bury leaves a tombstone for the attempt, or refuses all permits issued so far
// if there is no room. It returns the tombstone's record.
func (l *Ledger) bury(a Attempt, d model.Digest, r Reason) Record {
	rec := Record{Attempt: a, State: NotStarted, Refusal: r, Digest: d}
	e := &entry{Record: rec, cost: entryCost(a.Task)}
	if old := l.entries[a.Task]; !l.room(old, e.cost) {
		l.refuseIssued = max(l.refuseIssued, l.now)
		return rec
	}
	l.put(e)
	return rec
}

func entryCost(id model.TaskID) int64 {
	return entryOverhead + int64(len(id.Job.Client)+len(id.Job.Key))
}
