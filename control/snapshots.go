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
	// snapshotShare is the part of the log's retention after which a snapshot
	// is due: three writes in a row may fail before records are lost.
	snapshotShare = 4
	// snapshotTimeout bounds the write of a snapshot, snapshotPause is the time
	// after a failed one.
	snapshotTimeout = 30 * time.Second
	snapshotPause   = 10 * time.Second
)

// snapshotAge is what the tail knows of the newest snapshot record.
type snapshotAge struct {
	// offset and at are those of the newest snapshot record; without one, at
	// is the time of the oldest record that was read.
	offset uint64
	at     time.Time
	// first is the oldest offset that the log keeps.
	first uint64
}

// saw notes a snapshot record, or the oldest record. Of a record that was just
// written it takes the own time: if the log's clock is behind, a snapshot would
// else be due again at once.
func (a *snapshotAge) saw(e logservice.Entry, kind state.Kind, live bool, now time.Time) {
	a.at = e.Appended
	if live {
		a.at = now
	}
	if kind == state.KindSnapshot {
		a.offset = e.Offset
	}
}

// due reports whether a snapshot has to be written. A quiet stream needs one
// as well, before retention drops the last.
func (a snapshotAge) due(applied uint64, now time.Time, every int, retention time.Duration) bool {
	if applied == 0 {
		return false
	}
	return applied-min(a.offset, applied) >= uint64(every) ||
		now.Sub(a.at) > retention/snapshotShare ||
		a.first > 1 && a.offset < a.first
}

func (l *Loop) maybeWriteSnapshot(ctx context.Context) {
	t := &l.tail
	if !t.ready || l.opts.ShouldSnapshot == nil || l.writing.Load() ||
		!t.snapshot.due(t.machine.Applied(), l.opts.Now(), l.opts.SnapshotEvery, l.opts.LogRetention) ||
		!l.opts.ShouldSnapshot() {
		return
	}
	l.writing.Store(true)
	s := t.machine.Snapshot()
	l.background.Go(func() {
		defer l.writing.Store(false)
		if err := l.writeSnapshot(ctx, s); err != nil && ctx.Err() == nil {
			l.opts.Report(Event{Kind: EventSnapshotFailed, Offset: s.Applied, Err: err})
			select {
			case <-time.After(snapshotPause):
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
