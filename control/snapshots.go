package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"github.com/rhubarbsail/rhubarbsail/logservice"
	"github.com/rhubarbsail/rhubarbsail/state"
)

const (
	// snapshotsPerRetention is the number of snapshots that are due per retention
	// time of the log. With 4, three writes in a row may fail before records are
	// lost.
	snapshotsPerRetention = 4
	// snapshotTimeout bounds the write of a snapshot, and
	// snapshotRetryDelay is the delay after a failed write.
	snapshotTimeout    = 30 * time.Second
	snapshotRetryDelay = 10 * time.Second
)

// snapshotTracker tracks the newest snapshot record in the log, to decide when the
// next one is due.
type snapshotTracker struct {
	// offset and at are the offset and time of the newest snapshot record. Before
	// the first one, at is the time of the first record that was read.
	offset uint64
	at     time.Time
	// logFirst is the oldest offset still in the log.
	logFirst uint64
}

// observe notes a snapshot record, or the first record read. If live is set, the
// record was just appended and observe uses the local time now: if the log's clock
// is behind the local one, the next snapshot would otherwise be due immediately.
func (a *snapshotTracker) observe(e logservice.Entry, kind state.Kind, live bool, now time.Time) {
	a.at = e.Appended
	if live {
		a.at = now
	}
	if kind == state.KindSnapshot {
		a.offset = e.Offset
	}
}

// due reports whether a snapshot must be written: after enough records, and also
// on a quiet stream before the log's retention removes the last snapshot.
func (a snapshotTracker) due(applied uint64, now time.Time, every int, retention time.Duration) bool {
	if applied == 0 {
		return false
	}
	return applied-min(a.offset, applied) >= uint64(every) ||
		now.Sub(a.at) > retention/snapshotsPerRetention ||
		a.logFirst > 1 && a.offset < a.logFirst
}

// maybeWriteSnapshot writes a snapshot record in the background if one is due and
// no other write is in progress.
func (l *Loop) maybeWriteSnapshot(ctx context.Context) {
	t := &l.tail
	if !t.ready || l.opts.ShouldSnapshot == nil || l.writingSnapshot.Load() ||
		!t.snapshot.due(t.machine.Applied(), l.opts.Now(), l.opts.SnapshotEvery, l.opts.LogRetention) ||
		!l.opts.ShouldSnapshot() {
		return
	}
	l.writingSnapshot.Store(true)
	s := t.machine.Snapshot()
	l.background.Go(func() {
		defer l.writingSnapshot.Store(false)
		if err := l.writeSnapshot(ctx, s); err != nil && ctx.Err() == nil {
			l.opts.Report(Event{Kind: EventSnapshotFailed, Offset: s.Applied, Err: err})
			select {
			case <-time.After(snapshotRetryDelay):
			case <-ctx.Done():
			}
		}
	})
}

func (l *Loop) writeSnapshot(ctx context.Context, s *state.Snapshot) error {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	data, err := s.Encode()
	if err != nil {
		return err
	}
	r, err := l.Append(ctx, state.KindSnapshot, json.RawMessage(data))
	if err != nil {
		return errors.Wrap(err, "write snapshot")
	}
	l.opts.Report(Event{Kind: EventSnapshotWritten, Offset: r.Offset})
	return nil
}
