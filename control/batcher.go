package control

import (
	"context"
	"time"

	"github.com/rhubarbsail/rhubarbsail/state"
)

const (
	// maxBatch bounds the number of agents in one record; a cell has about 400.
	maxBatch = 512
	// batchTimeout bounds the append of a batch. A failed batch is dropped,
	// because agents repeat their announcements.
	batchTimeout = 30 * time.Second
)

// batcher groups concurrent announcements into list records, so that a restart of
// a whole cell needs few appends. Announcements that arrive while a record is
// being appended go into the next one.
type batcher[T any] struct {
	loop *Loop
	kind state.Kind
	list func([]T) any
	in   chan announcement[T]
}

type announcement[T any] struct {
	value T
	done  chan error
}

func newBatcher[T any](l *Loop, kind state.Kind, list func([]T) any) *batcher[T] {
	return &batcher[T]{loop: l, kind: kind, list: list, in: make(chan announcement[T])}
}

// add puts v into a batch and waits until the record of the batch was applied. A
// nil error does not mean that v took effect.
func (b *batcher[T]) add(ctx context.Context, v T) error {
	a := announcement[T]{value: v, done: make(chan error, 1)}
	select {
	case b.in <- a:
	case <-ctx.Done():
		return ctx.Err()
	case <-b.loop.stopped.Done():
		return ErrStopped
	}
	select {
	case err := <-a.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (b *batcher[T]) run(ctx context.Context) {
	for {
		select {
		case first := <-b.in:
			b.flush(ctx, b.collect(ctx, first))
		case <-ctx.Done():
			return
		}
	}
}

// collect gathers announcements until the batch is full or Options.BatchWait has
// passed since the first one.
func (b *batcher[T]) collect(ctx context.Context, first announcement[T]) []announcement[T] {
	batch := []announcement[T]{first}
	timer := time.NewTimer(b.loop.opts.BatchWait)
	defer timer.Stop()
	for len(batch) < maxBatch {
		select {
		case a := <-b.in:
			batch = append(batch, a)
		case <-timer.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

// flush appends a batch as one record and reports the error to its callers.
func (b *batcher[T]) flush(ctx context.Context, batch []announcement[T]) {
	ctx, cancel := context.WithTimeout(ctx, batchTimeout)
	defer cancel()
	values := make([]T, len(batch))
	for i, a := range batch {
		values[i] = a.value
	}
	_, err := b.loop.Append(ctx, b.kind, b.list(values))
	for _, a := range batch {
		a.done <- err
	}
}
