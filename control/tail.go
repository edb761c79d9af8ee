package control

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/rhubarbsail/rhubarbsail/logservice"
	"github.com/rhubarbsail/rhubarbsail/state"
)

const (
	// pageRecords bounds the records of one read.
	pageRecords = 256
	// readMargin is the time beyond its wait after which a read counts as
	// failed.
	readMargin = 5 * time.Second
	// peerTimeout bounds one request to the peers, peerInterval is the time
	// between requests while the log is down and the state is usable. After a gap
	// they follow each other at the pauses of the backoff.
	peerTimeout  = 3 * time.Second
	peerInterval = 5 * time.Second
)

var (
	errLogBehind   = errors.New("the log ends before the state; it was reset or is another log")
	errNoSnapshot  = errors.New("records are beyond retention and the log has no usable snapshot")
	errEmptyPage   = errors.New("the log returned no record before its end")
	errPeerTooOld  = errors.New("no peer has a newer state")
	errMissedStart = errors.New("records are beyond retention")
)

// tail is the position in the stream. The goroutine of Run owns it.
type tail struct {
	machine *state.Machine
	// next is the offset to read next: behind the machine's, or above it while
	// the tail looks for a snapshot after a gap.
	next uint64
	// down is true while the last read failed.
	down bool
	// behind is true while the log ends before the state, stuck while it has
	// no usable snapshot after a gap.
	behind, stuck bool
	ready         bool
	lastPeer      time.Time
	snapshot      snapshotAge
	status        Status
}

// gap tells whether records between the state and the position are missing.
func (t *tail) gap() bool { return t.next > t.machine.Applied()+1 }

// step reads once and applies what it got. An error asks for a pause.
func (l *Loop) step(ctx context.Context) error {
	t := &l.tail
	wait := l.opts.PollWait
	if !t.ready || t.down || t.gap() {
		// Without records to wait for, the end of the log is reached at once. After a
		// gap no record helps but a snapshot, and a peer may be asked again.
		wait = 0
	}
	readCtx, cancel := context.WithTimeout(ctx, wait+readMargin)
	page, err := l.opts.Log.Read(readCtx, l.opts.Stream, t.next, pageRecords, wait)
	cancel()
	trimmed := errors.Is(err, logservice.ErrTrimmed)
	if err != nil && !trimmed {
		return l.readFailed(ctx, err)
	}
	l.readSucceeded(page)
	if trimmed {
		l.opts.Report(Event{Kind: EventGap, Offset: t.next, Err: errMissedStart})
		t.next = page.First
		return nil
	}
	l.apply(page.Entries)
	return l.checkEnd(ctx, page)
}

func (l *Loop) readFailed(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return err
	}
	t := &l.tail
	if !t.down {
		t.down = true
		l.opts.Report(Event{Kind: EventLogUnavailable, Offset: t.next, Err: err})
	}
	l.askPeers(ctx)
	l.publishStatus()
	return err
}

func (l *Loop) readSucceeded(page logservice.Page) {
	t := &l.tail
	if t.down {
		t.down = false
		l.opts.Report(Event{Kind: EventLogAvailable, Offset: t.next})
	}
	t.status.LogNext, t.status.LastRead = page.Next, l.opts.Now()
	t.snapshot.first = page.First
}

// apply applies entries in order and publishes the new state before it tells
// the writers, so that a writer finds its own change in the snapshot.
func (l *Loop) apply(entries []logservice.Entry) {
	t := &l.tail
	results := make([]state.Result, 0, len(entries))
	for _, e := range entries {
		r := t.machine.Apply(e.Offset, e.Appended, e.Data)
		t.next = e.Offset + 1
		if r.Kind == state.KindSnapshot || t.snapshot.at.IsZero() {
			t.snapshot.saw(e, r.Kind, t.ready, l.opts.Now())
		}
		if r.Reason == state.ReasonMalformed || r.Reason == state.ReasonUnknownKind {
			l.opts.Report(Event{Kind: EventSkipped, Offset: e.Offset, Err: r.Err()})
		}
		if r.Outcome == state.OutcomeLoaded {
			l.opts.Report(Event{Kind: EventLoadedSnapshot, Offset: t.machine.Applied()})
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

// afterLoad continues behind a state that was loaded as a whole. The results
// of waiting writers can be among its recent records.
func (l *Loop) afterLoad() {
	l.tail.next = l.tail.machine.Applied() + 1
	l.publish()
	l.waiters.deliverKnown(l.tail.machine.RecentResult)
}

func (l *Loop) publish() {
	s := l.tail.machine.Snapshot()
	if l.snap.Swap(s) != s {
		l.subscribers.notify()
	}
}

// checkEnd looks at where the read position stands relative to the log.
func (l *Loop) checkEnd(ctx context.Context, page logservice.Page) error {
	t := &l.tail
	defer l.publishStatus()
	atEnd := t.next >= page.Next
	switch {
	case page.Next < t.next:
		if !t.behind {
			l.opts.Report(Event{Kind: EventLogBehind, Offset: page.Next, Err: errLogBehind})
		}
		t.behind = true
		return errLogBehind
	case t.gap() && atEnd:
		if !t.stuck {
			l.opts.Report(Event{Kind: EventGap, Offset: t.next, Err: errNoSnapshot})
		}
		t.stuck = true
		if l.askPeers(ctx) {
			return nil
		}
		return errNoSnapshot
	case atEnd:
		l.setReady()
	case len(page.Entries) == 0:
		return errEmptyPage
	}
	t.behind, t.stuck = false, false
	l.maybeWriteSnapshot(ctx)
	return nil
}

// askPeers loads the state of a peer if it is newer and reports whether it
// did.
func (l *Loop) askPeers(ctx context.Context) bool {
	t := &l.tail
	now := l.opts.Now()
	if l.opts.PeerState == nil || t.ready && !t.stuck && now.Sub(t.lastPeer) < peerInterval {
		return false
	}
	t.lastPeer = now
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	err := l.loadPeer(ctx)
	switch {
	case err == nil:
		l.opts.Report(Event{Kind: EventLoadedPeer, Offset: t.machine.Applied()})
		return true
	case !t.ready || !errors.Is(err, errPeerTooOld):
		l.opts.Report(Event{Kind: EventPeerFailed, Offset: t.machine.Applied(), Err: err})
	}
	return false
}

func (l *Loop) loadPeer(ctx context.Context) error {
	t := &l.tail
	offset, data, err := l.opts.PeerState(ctx)
	if err != nil {
		return errors.Wrap(err, "state of a peer")
	}
	if offset <= t.machine.Applied() {
		return errPeerTooOld
	}
	s, err := state.DecodeSnapshot(data)
	if err != nil {
		return errors.Wrap(err, "state of a peer")
	}
	if !t.machine.Load(s) {
		return errPeerTooOld
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
	t.status.Ready, t.status.LogAvailable = t.ready, !t.down
	t.status.Applied, t.status.Skipped = t.machine.Applied(), t.machine.Skipped()
	s := t.status
	l.status.Store(&s)
}
