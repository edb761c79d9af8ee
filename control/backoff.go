package control

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rhubarbsail/rhubarbsail/state"
)

const (
	minBackoff = 50 * time.Millisecond
	// maxBackoff is short enough that a change takes effect within 6 s after an
	// outage ends.
	maxBackoff = 2 * time.Second
)

// backoff is an exponential backoff with jitter, so that the gateways do not all
// retry at the same moment after an outage.
type backoff struct{ limit time.Duration }

func newBackoff() *backoff { return &backoff{limit: minBackoff} }

func (b *backoff) reset() { b.limit = minBackoff }

// sleep waits for the next backoff interval or until the context ends. It returns
// early, with the result and true, if a result arrives on early.
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
