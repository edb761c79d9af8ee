package control

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"sync"

	"github.com/go-faster/errors"

	"github.com/rhubarbsail/rhubarbsail/logservice"
	"github.com/rhubarbsail/rhubarbsail/state"
)

// idBytes is the size of a random record ID, large enough that IDs are unique
// across all gateways for the lifetime of a log.
const idBytes = 12

// waiters holds the writers that wait until their record has been read back from
// the log.
type waiters struct {
	mu   sync.Mutex // guards byID
	byID map[string]chan state.Result
}

func (w *waiters) add(id string) <-chan state.Result {
	c := make(chan state.Result, 1)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.byID[id] = c
	return c
}

func (w *waiters) remove(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.byID, id)
}

// deliver sends a result to the writer of the record, if it is waiting. Only the
// first result is sent; a later record with the same ID is a duplicate.
func (w *waiters) deliver(r state.Result) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c, ok := w.byID[r.ID]; ok {
		c <- r
		delete(w.byID, r.ID)
	}
}

// deliverRecent sends the results that are among the recent records of a loaded
// state.
func (w *waiters) deliverRecent(recent func(id string) (state.Result, bool)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, c := range w.byID {
		if r, ok := recent(id); ok {
			c <- r
			delete(w.byID, id)
		}
	}
}

// Append writes a record and returns its result once it has been read back from
// the log and applied. The record may have been rejected; see Result.Err.
//
// Append retries failed attempts with the same record ID until the context ends.
// An error that wraps logservice.ErrUnavailable means that the record is not in
// the log. An error that wraps logservice.ErrUnknownOutcome means that the record
// may be in the log or may still be appended.
func (l *Loop) Append(ctx context.Context, kind state.Kind, body any) (state.Result, error) {
	if l.stopped.Err() != nil {
		return state.Result{}, fmt.Errorf("append %s: %w: %w", kind, logservice.ErrUnavailable, ErrStopped)
	}
	id := newID()
	data, err := l.encodeRecord(id, kind, body)
	if err != nil {
		return state.Result{}, err
	}
	a := &pendingAppend{loop: l, id: id, kind: kind, data: data, result: l.waiters.add(id)}
	defer l.waiters.remove(id)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(l.stopped, func() { cancel(ErrStopped) })()
	return a.run(ctx)
}

func (l *Loop) encodeRecord(id string, kind state.Kind, body any) ([]byte, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrapf(err, "encode %s", kind)
	}
	data, err := json.Marshal(state.Record{ID: id, Kind: kind, Writer: l.opts.Writer, At: l.opts.Now().UTC(), Body: raw})
	if err != nil {
		return nil, errors.Wrapf(err, "encode %s", kind)
	}
	return data, nil
}

func newID() string {
	var b [idBytes]byte
	_, _ = rand.Read(b[:]) // never fails (crypto/rand)
	return base64.RawURLEncoding.EncodeToString(b[:])
}

// pendingAppend is the state of one Append call: a record that is being appended
// and read back.
type pendingAppend struct {
	loop   *Loop
	id     string
	kind   state.Kind
	data   []byte
	result <-chan state.Result
	// mayBeAppended is true once the record may be in the log.
	mayBeAppended bool
	lastErr       error // of the last try
}

func (a *pendingAppend) run(ctx context.Context) (state.Result, error) {
	b := newBackoff()
	for ctx.Err() == nil {
		err := a.send(ctx)
		switch {
		case err == nil:
			select {
			case r := <-a.result:
				return r, nil
			case <-ctx.Done():
			}
			a.lastErr = errors.New("not read back")
		case errors.Is(err, logservice.ErrInvalid) && !a.mayBeAppended:
			return state.Result{}, errors.Wrapf(err, "append %s", a.kind)
		default:
			a.lastErr = err
			if r, ok := b.sleep(ctx, a.result); ok {
				return r, nil
			}
		}
	}
	select {
	case r := <-a.result:
		return r, nil
	default:
	}
	return state.Result{}, a.failure(ctx)
}

// send tries to append the record once.
func (a *pendingAppend) send(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, a.loop.opts.AppendTimeout)
	defer cancel()
	_, err := a.loop.opts.Log.Append(ctx, a.loop.opts.Stream, a.data)
	if !errors.Is(err, logservice.ErrUnavailable) && !errors.Is(err, logservice.ErrInvalid) {
		a.mayBeAppended = true
	}
	return err
}

// failure returns the error of an Append whose context ended. It does not wrap
// the last error: that may be ErrUnavailable although an earlier try may have
// appended the record.
func (a *pendingAppend) failure(ctx context.Context) error {
	kind := logservice.ErrUnavailable
	if a.mayBeAppended {
		kind = logservice.ErrUnknownOutcome
	}
	return fmt.Errorf("append %s record %s: %w: %w (last attempt: %v)", a.kind, a.id, kind, context.Cause(ctx), a.lastErr)
}
