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

// idBytes makes ids unique over all gateways for the life of a log.
const idBytes = 12

// waiters holds the writers that wait for their record to be read back.
type waiters struct {
	mu   sync.Mutex // owns byID
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

// deliver gives a result to the writer of the record. Only the first counts: a
// second record with the id is a duplicate.
func (w *waiters) deliver(r state.Result) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c, ok := w.byID[r.ID]; ok {
		c <- r
		delete(w.byID, r.ID)
	}
}

// deliverKnown gives the results that a loaded state knows.
func (w *waiters) deliverKnown(recent func(id string) (state.Result, bool)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, c := range w.byID {
		if r, ok := recent(id); ok {
			c <- r
			delete(w.byID, id)
		}
	}
}

// Append writes a record and returns once it was read back and applied.
//
// The result may be a rejection; Result.Err tells. It repeats failed attempts
// with the same id until the context ends. An error that wraps
// logservice.ErrUnavailable means that the record is not in the log, one that
// wraps logservice.ErrUnknownOutcome that it may be or may yet arrive.
func (l *Loop) Append(ctx context.Context, kind state.Kind, body any) (state.Result, error) {
	if l.stopped.Err() != nil {
		return state.Result{}, fmt.Errorf("append %s: %w: %w", kind, logservice.ErrUnavailable, ErrStopped)
	}
	id := newID()
	data, err := l.encode(id, kind, body)
	if err != nil {
		return state.Result{}, err
	}
	a := &attempt{loop: l, id: id, kind: kind, data: data, result: l.waiters.add(id)}
	defer l.waiters.remove(id)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(l.stopped, func() { cancel(ErrStopped) })()
	return a.run(ctx)
}

func (l *Loop) encode(id string, kind state.Kind, body any) ([]byte, error) {
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

// attempt is one record on its way into the log and back.
type attempt struct {
	loop   *Loop
	id     string
	kind   state.Kind
	data   []byte
	result <-chan state.Result
	// taken is true once the log may hold the record.
	taken bool
	last  error
}

func (a *attempt) run(ctx context.Context) (state.Result, error) {
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
			a.last = errors.New("not read back")
		case errors.Is(err, logservice.ErrInvalid) && !a.taken:
			return state.Result{}, errors.Wrapf(err, "append %s", a.kind)
		default:
			a.last = err
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

func (a *attempt) send(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, a.loop.opts.AppendTimeout)
	defer cancel()
	_, err := a.loop.opts.Log.Append(ctx, a.loop.opts.Stream, a.data)
	if !errors.Is(err, logservice.ErrUnavailable) && !errors.Is(err, logservice.ErrInvalid) {
		a.taken = true
	}
	return err
}

// failure does not wrap the last error: it may be a refusal after an earlier
// attempt that the log may have taken.
func (a *attempt) failure(ctx context.Context) error {
	kind := logservice.ErrUnavailable
	if a.taken {
		kind = logservice.ErrUnknownOutcome
	}
	return fmt.Errorf("append %s record %s: %w: %w (last attempt: %v)", a.kind, a.id, kind, context.Cause(ctx), a.last)
}
