package control

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/rhubarbsail/rhubarbsail/logservice"
	"github.com/rhubarbsail/rhubarbsail/state"
)

const (
	// maxPageRecords bounds the number of records returned by one read.
	maxPageRecords = 256
	// readTimeout is the timeout of a read that does not wait for new records, which may
	// return a full page.
	readTimeout = 5 * time.Second
	// pollMargin is added to the wait of a long poll to get its timeout. A connection
	// that went silent is given up then, early enough for changes to be in force within
	// 6 s.
	pollMargin = 1500 * time.Millisecond
	// peerTimeout bounds one request for a peer's state. peerInterval is the
	// minimum time between requests while the log is down and the local state is
	// usable. Before the state is usable, or after a gap without a usable
	// snapshot, only the backoff limits them.
	peerTimeout  = 3 * time.Second
	peerInterval = 5 * time.Second
)

var (
	errLogBehind        = errors.New("log ends before the local state; it was reset or replaced")
	errNoSnapshot       = errors.New("records were trimmed from the log, which has no usable snapshot")
	errEmptyPage        = errors.New("log returned an empty page before its end")
	errNoNewerPeerState = errors.New("no peer has a newer state")
	errRecordsTrimmed   = errors.New("records to read were trimmed from the log")
)

// tail is the read position in the stream with the state up to it. Only the
// goroutine of Run uses it.
type tail struct {
	machine *state.Machine
	// next is the offset to read next. It is one above the last applied offset,
	// or further ahead while the tail searches for a snapshot after a gap.
	next uint64
	// logDown is true if the last read failed.
	logDown bool
	// logBehind is true while the log ends before the local state. snapshotMissing
	// is true while records are missing and the log has no usable snapshot.
	logBehind, snapshotMissing bool
	ready                      bool
	lastPeerRequest            time.Time
	snapshot                   snapshotTracker
	status                     Status
}

// gap reports whether records between the state and the read position are
// missing.
func (t *tail) gap() bool { return t.next > t.machine.Applied()+1 }

// poll reads one page of records and applies it. The caller backs off after an
// error.
func (l *Loop) poll(ctx context.Context) error {
	t := &l.tail
	wait, timeout := l.opts.PollWait, l.opts.PollWait+pollMargin
	if !t.ready || t.logDown || t.gap() {
		// Does not wait for new records. Before ready and after an outage, the read
		// only has to find out whether the state is up to date. After a gap only a
		// snapshot helps, and a long poll would delay the next request to a peer.
		wait, timeout = 0, readTimeout
	}
	readCtx, cancel := context.WithTimeout(ctx, timeout)
	page, err := l.opts.Log.Read(readCtx, l.opts.Stream, t.next, maxPageRecords, wait)
	cancel()
	trimmed := errors.Is(err, logservice.ErrTrimmed)
	if err != nil && !trimmed {
		return l.readFailed(ctx, err)
	}
	l.readSucceeded(page)
	if trimmed {
		l.opts.Report(Event{Kind: EventRetentionGap, Offset: t.next, Err: errRecordsTrimmed})
		t.next = page.First
		return nil
	}
	l.apply(page.Entries)
	return l.checkPosition(ctx, page)
}

func (l *Loop) readFailed(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return err
	}
	t := &l.tail
	if !t.logDown {
		t.logDown = true
		l.opts.Report(Event{Kind: EventLogUnavailable, Offset: t.next, Err: err})
	}
	l.tryLoadPeer(ctx)
	l.publishStatus()
	return err
}

func (l *Loop) readSucceeded(page logservice.Page) {
	t := &l.tail
	if t.logDown {
		t.logDown = false
		l.opts.Report(Event{Kind: EventLogAvailable, Offset: t.next})
	}
	t.status.LogNext, t.status.LastRead = page.Next, l.opts.Now()
	t.snapshot.logFirst = page.First
}

// apply applies entries in order. It publishes the new state before it notifies
// the writers, so that a writer finds its own change in the snapshot.
func (l *Loop) apply(entries []logservice.Entry) {
	t := &l.tail
	results := make([]state.Result, 0, len(entries))
	for _, e := range entries {
		r := t.machine.Apply(e.Offset, e.Appended, e.Data)
		t.next = e.Offset + 1
		if r.Kind == state.KindSnapshot || t.snapshot.at.IsZero() {
			t.snapshot.observe(e, r.Kind, t.ready, l.opts.Now())
		}
		if r.Reason == state.ReasonMalformed || r.Reason == state.ReasonUnknownKind {
			l.opts.Report(Event{Kind: EventRecordSkipped, Offset: e.Offset, Err: r.Err()})
		}
		if r.Outcome == state.OutcomeLoaded {
			l.opts.Report(Event{Kind: EventSnapshotLoaded, Offset: t.machine.Applied()})
			l.afterLoad()
			break
		}
		if r.Outcome != state.OutcomeGap {
			results = append(results, r)
		}
	}
	l.publish()
	for _, r := range results {
		l.waiters.deliver(r)
	}
}

// afterLoad moves the read position after the state was replaced by a snapshot.
// Waiting writers may find their results among its recent records.
func (l *Loop) afterLoad() {
	l.tail.next = l.tail.machine.Applied() + 1
	l.publish()
	l.waiters.deliverRecent(l.tail.machine.RecentResult)
}

// publish makes the current state visible to readers and notifies subscribers if
// it changed.
func (l *Loop) publish() {
	s := l.tail.machine.Snapshot()
	if l.snap.Swap(s) != s {
		l.subscribers.notify()
	}
}

// checkPosition compares the read position with the end of the log. It marks the
// state as ready at the end of the log, and handles a log that ends before the
// state or that has no usable snapshot after a gap.
func (l *Loop) checkPosition(ctx context.Context, page logservice.Page) error {
	t := &l.tail
	defer l.publishStatus()
	atEnd := t.next >= page.Next
	switch {
	case page.Next < t.next:
		if !t.logBehind {
			l.opts.Report(Event{Kind: EventLogBehind, Offset: page.Next, Err: errLogBehind})
		}
		t.logBehind = true
		return errLogBehind
	case t.gap() && atEnd:
		if !t.snapshotMissing {
			l.opts.Report(Event{Kind: EventRetentionGap, Offset: t.next, Err: errNoSnapshot})
		}
		t.snapshotMissing = true
		if l.tryLoadPeer(ctx) {
			return nil
		}
		return errNoSnapshot
	case atEnd:
		l.setReady()
	case len(page.Entries) == 0:
		return errEmptyPage
	}
	t.logBehind, t.snapshotMissing = false, false
	l.maybeWriteSnapshot(ctx)
	return nil
}

// tryLoadPeer requests the state of a peer, at a limited rate, loads it if it is
// newer than the local state and reports whether it did.
func (l *Loop) tryLoadPeer(ctx context.Context) bool {
	t := &l.tail
	now := l.opts.Now()
	if l.opts.PeerState == nil || t.ready && !t.snapshotMissing && now.Sub(t.lastPeerRequest) < peerInterval {
		return false
	}
	t.lastPeerRequest = now
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	err := l.loadPeer(ctx)
	switch {
	case err == nil:
		l.opts.Report(Event{Kind: EventPeerStateLoaded, Offset: t.machine.Applied()})
		return true
	case !t.ready || !errors.Is(err, errNoNewerPeerState):
		l.opts.Report(Event{Kind: EventPeerStateFailed, Offset: t.machine.Applied(), Err: err})
	}
	return false
}

// loadPeer loads the state of a peer. It returns errNoNewerPeerState if that is
// not newer than the local state.
func (l *Loop) loadPeer(ctx context.Context) error {
	t := &l.tail
	offset, data, err := l.opts.PeerState(ctx)
	if err != nil {
		return errors.Wrap(err, "request state from a peer")
	}
	if offset <= t.machine.Applied() {
		return errNoNewerPeerState
	}
	s, err := state.DecodeSnapshot(data)
	if err != nil {
		return errors.Wrap(err, "decode state from a peer")
	}
	if !t.machine.Load(s) {
		return errNoNewerPeerState
	}
	if t.snapshot.at.IsZero() {
		t.snapshot.offset, t.snapshot.at = s.Applied, l.opts.Now()
	}
	l.afterLoad()
	l.setReady()
	return nil
}

func (l *Loop) setReady() {
	if l.tail.ready {
		return
	}
	l.tail.ready = true
	l.publishStatus()
	close(l.ready)
	l.opts.Report(Event{Kind: EventReady, Offset: l.tail.machine.Applied()})
}

func (l *Loop) publishStatus() {
	t := &l.tail
	t.status.Ready, t.status.LogAvailable = t.ready, !t.logDown
	t.status.Applied, t.status.Skipped = t.machine.Applied(), t.machine.Skipped()
	s := t.status
	l.status.Store(&s)
}
