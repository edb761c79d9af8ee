package agent

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/events"
	"github.com/rhubarbsail/rhubarbsail/platform"
)

const (
	// renewals is the number of renewals tried during one time to live.
	renewals = 3
	// leaseRetry is the shortest wait after a failed renewal.
	leaseRetry = 100 * time.Millisecond
	// releaseTTL is the shortest time to live that the lease service takes.
	releaseTTL = time.Millisecond
	// driftMargin is the divisor of the part of a lease that is not used, since
	// the clocks of agent and platform may drift by up to 10%.
	driftMargin = 10
)

// leaseKeeper holds the worker's lease.
type leaseKeeper struct {
	service        platform.Lease
	worker, holder string
	ttl            time.Duration
	// interval bounds the time between two renewals.
	interval time.Duration
	// until is the agent's monotonic time in nanoseconds up to which the lease is
	// valid.
	until atomic.Int64
}

func newLeaseKeeper(service platform.Lease, o Options) *leaseKeeper {
	return &leaseKeeper{
		service: service,
		worker:  o.Worker,
		holder:  o.Agent + "/" + strconv.FormatUint(uint64(o.Incarnation), 10),
		ttl:     o.LeaseTTL, interval: o.LeaseRenew,
	}
}

// valid reports whether tasks may start. Without a lease service they always may.
func (k *leaseKeeper) valid(now time.Duration) bool {
	return k.service == nil || int64(now) < k.until.Load()
}

// run renews the lease until ctx ends.
func (k *leaseKeeper) run(ctx context.Context, a *Agent) {
	if k.service == nil {
		return
	}
	failing := false
	for ctx.Err() == nil {
		was := k.valid(a.now())
		wait, err := k.renew(ctx, a.now)
		is := k.valid(a.now())
		if err != nil && !failing && ctx.Err() == nil {
			events.LeaseRenewalFailed.Log(a.log).Str("worker", k.worker).Err(err).Send()
		}
		failing = err != nil
		if is != was {
			a.leaseChanged(is)
		}
		if left := time.Duration(k.until.Load()) - a.now(); is && left < wait {
			// Wakes up at the lapse to report it.
			wait = left
		}
		sleep(ctx, wait)
		if is && !k.valid(a.now()) {
			a.leaseChanged(false)
		}
	}
}

// renew asks for the lease once and returns the wait until the next renewal. An
// error leaves the validity as it is: the platform may have renewed the lease,
// but the agent counts only on a reply.
func (k *leaseKeeper) renew(ctx context.Context, now func() time.Duration) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, k.ttl/renewals)
	defer cancel()
	sent := now()
	granted, err := k.service.Renew(ctx, k.worker, k.holder, k.ttl)
	if err != nil {
		return jitter(max(k.ttl/(4*renewals), leaseRetry)), err
	}
	k.until.Store(int64(sent + granted - granted/driftMargin))
	return max(min(granted/renewals, k.interval), leaseRetry), nil
}

// release lets the lease lapse at once, so that the next agent of this worker need
// not wait for the rest of it. The loop of run must have ended.
func (k *leaseKeeper) release() error {
	if k.service == nil || k.until.Swap(0) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_, err := k.service.Renew(ctx, k.worker, k.holder, releaseTTL)
	return err
}

// leaseChanged continues with the queue and reports the load.
func (a *Agent) leaseChanged(valid bool) {
	event := events.LeaseLapsed
	if valid {
		event = events.LeaseRenewed
	}
	event.Log(a.log).Str("worker", a.opts.Worker).Send()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dispatch(a.now())
	a.notifyLoad()
}

// jitter returns a random time between d/2 and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
