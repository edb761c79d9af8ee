package control

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rhubarbsail/rhubarbsail/state"
)

const (
	minBackoff = 50 * time.Millisecond
	// maxBackoff leaves time for a change to be in force within 6 s of the end
	// of an outage.
	maxBackoff = 2 * time.Second
)

// backoff gives growing waiting times with jitter, so that gateways do not
// come back all at once after an outage.
type backoff struct{ limit time.Duration }

func newBackoff() *backoff { return &backoff{limit: minBackoff} }

func (b *backoff) reset() { b.limit = minBackoff }

// sleep waits until the next attempt or the end of the context. It returns
// early if a result arrives.
func (b *backoff) sleep(ctx context.Context, early <-chan state.Result) (state.Result, bool) {
	wait := b.limit/2 + rand.N(b.limit/2)
	b.limit = min(2*b.limit, maxBackoff)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case r := <-early:
		return r, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return state.Result{}, false
}
