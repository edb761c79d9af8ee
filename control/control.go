// Package control maintains the control state of a gateway. One goroutine tails
// the control stream, applies its records to the state machine and publishes
// immutable snapshots; the package also appends records on behalf of the gateway.
package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/rhubarbsail/rhubarbsail/logservice"
	"github.com/rhubarbsail/rhubarbsail/state"
)

// ErrStopped means that Run has returned.
var ErrStopped = errors.New("control loop stopped")

// Options configures a Loop. Zero durations and counts mean the defaults.
type Options struct {
	// Log, Stream and Writer (the gateway's id) are required.
	Log    logservice.Log
	Stream string
	Writer string
	// Retention is passed to the state machine. It must be the same in all
	// gateways.
	Retention time.Duration
	// LogRetention is the time for which the log keeps records.
	LogRetention time.Duration
	// PeerState returns the encoded snapshot of a peer gateway and its offset. It
	// is called every few seconds while the log cannot be read, or while records
	// are missing and the log has no usable snapshot. It may return offset 0 if no
	// peer is ahead of Loop.Snapshot, to avoid the transfer. It may be nil.
	PeerState func(ctx context.Context) (offset uint64, snapshot []byte, err error)
	// ShouldSnapshot reports whether this gateway currently is the one that writes
	// snapshot records; nil means never.
	ShouldSnapshot func() bool
	// SnapshotEvery is the number of records after which a snapshot is due.
	SnapshotEvery int
	// PollWait is the time for which a long poll waits for new records.
	PollWait time.Duration
	// AppendTimeout bounds each try of an append.
	AppendTimeout time.Duration
	// BatchWait is the time for which agent announcements are collected into one
	// record.
	BatchWait time.Duration
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Report receives events for logs and metrics. It must not block; it may be
	// nil.
	Report func(Event)
}

// The defaults of Options.
const (
	defaultPollWait      = 2 * time.Second
	defaultAppendTimeout = 3 * time.Second
	defaultBatchWait     = 200 * time.Millisecond
	defaultSnapshotEvery = 1000
	// defaultLogRetention is far below the retention of any log in use.
	defaultLogRetention = time.Hour
)

func (o Options) withDefaults() Options {
	orDuration := func(p *time.Duration, def time.Duration) {
		if *p <= 0 {
			*p = def
		}
	}
	orDuration(&o.PollWait, defaultPollWait)
	orDuration(&o.AppendTimeout, defaultAppendTimeout)
	orDuration(&o.BatchWait, defaultBatchWait)
	orDuration(&o.LogRetention, defaultLogRetention)
	if o.SnapshotEvery <= 0 {
		o.SnapshotEvery = defaultSnapshotEvery
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Report == nil {
		o.Report = func(Event) {}
	}
	return o
}

// Loop owns the state machine and publishes its snapshots. Only the goroutine of
// Run may use the field tail; all other fields may be used by any goroutine.
type Loop struct {
	opts            Options
	tail            tail
	snap            atomic.Pointer[state.Snapshot]
	status          atomic.Pointer[Status]
	ready           chan struct{}
	stopped         context.Context // ended when Run ends
	stop            context.CancelFunc
	waiters         waiters
	subscribers     subscribers
	joins           *batcher[state.Agent]
	leaves          *batcher[state.AgentLeft]
	writingSnapshot atomic.Bool // a snapshot is being written
	background      sync.WaitGroup
}

// New returns a Loop, which does nothing until Run is called.
func New(opts Options) *Loop {
	l := &Loop{
		opts: opts.withDefaults(), ready: make(chan struct{}),
		waiters: waiters{byID: map[string]chan state.Result{}},
	}
	l.stopped, l.stop = context.WithCancel(context.Background())
	l.tail = tail{machine: state.NewMachine(state.Options{Retention: opts.Retention}), next: 1}
	l.snap.Store(l.tail.machine.Snapshot())
	l.status.Store(&Status{})
	l.joins = newBatcher(l, state.KindAgentJoined, func(a []state.Agent) any { return state.AgentsJoined{Agents: a} })
	l.leaves = newBatcher(l, state.KindAgentLeft, func(a []state.AgentLeft) any { return state.AgentsLeft{Agents: a} })
	return l
}

// Run tails the stream until the context ends. It must be called only once.
func (l *Loop) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer l.background.Wait()
	defer l.stop()
	defer cancel()
	l.background.Go(func() { l.joins.run(ctx) })
	l.background.Go(func() { l.leaves.run(ctx) })
	b := newBackoff()
	for ctx.Err() == nil {
		if err := l.poll(ctx); err != nil {
			b.sleep(ctx, nil)
			continue
		}
		b.reset()
	}
}

// Snapshot returns the latest state. It is never nil.
func (l *Loop) Snapshot() *state.Snapshot { return l.snap.Load() }

// Subscribe returns a channel that receives a value after the snapshot has
// changed. Several changes may be combined into one value. The returned function
// ends the subscription.
func (l *Loop) Subscribe() (<-chan struct{}, func()) { return l.subscribers.add() }

// Ready returns a channel that is closed once the state has caught up with the
// end of the log or was loaded from a peer.
func (l *Loop) Ready() <-chan struct{} { return l.ready }

// Status returns the status of the control stream's tail.
func (l *Loop) Status() Status { return *l.status.Load() }
