package agent

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/events"
	"github.com/rhubarbsail/rhubarbsail/common/wait"
	"github.com/rhubarbsail/rhubarbsail/logservice"
)

const (
	// renewals is the number of renewals tried during one time to live.
	renewals = 3
	// leaseRetry is the shortest pause after a failed renewal.
	leaseRetry = 100 * time.Millisecond
	// releaseTTL is the shortest time to live that the lease service takes.
	releaseTTL = time.Millisecond
	// driftMargin is the divisor of the part of a lease that is not used, since
	// the clocks of agent and platform may drift by up to 10%.
	driftMargin = 10
)

// leaseKeeper holds the worker's lease.
type leaseKeeper struct {
	service        logservice.Lease
	worker, holder string
	ttl            time.Duration
	// interval bounds the time between two renewals.
	interval time.Duration

	// mu guards the fields below.
	mu sync.Mutex
	// until is the agent's monotonic time up to which the lease is held.
	until time.Duration
	// listed is set once the log, read after the last lapse, still lists the
	// agent. While the lease had lapsed, a gateway may have taken it and recorded
	// the agent as departed; owners then count its confirmations as ended.
	listed bool
	// regained is the time of the first renewal after the last lapse.
	regained time.Duration
}

func newLeaseKeeper(service logservice.Lease, o Options) *leaseKeeper {
	return &leaseKeeper{
		service: service,
		worker:  o.Worker,
		holder:  o.Agent + "/" + strconv.FormatUint(uint64(o.Incarnation), 10),
		ttl:     o.LeaseTTL, interval: o.LeaseRenew,
	}
}

// valid reports whether tasks may start and ownership may be confirmed. Without
// a lease service they always may.
func (k *leaseKeeper) valid(now time.Duration) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.service == nil || now < k.until && k.listed
}

// held reports whether the worker's lease is held.
func (k *leaseKeeper) held(now time.Duration) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.service == nil || now < k.until
}

// unlisted reports whether a check of the log is needed.
func (k *leaseKeeper) unlisted() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.service != nil && !k.listed
}

// confirmListed notes that a read of the log that began at the given time lists
// the agent. It reports whether the lease became valid by that.
func (k *leaseKeeper) confirmListed(began time.Duration) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.listed || k.until == 0 || began < k.regained {
		return false
	}
	k.listed = true
	return true
}

// renewed notes a grant that was asked for at sent and answered at answered. The
// lease was held without a gap only if the answer came before its former end:
// the service may have handled a late request after another holder's lease.
func (k *leaseKeeper) renewed(sent, answered, granted time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if answered >= k.until {
		k.listed, k.regained = false, answered
	}
	k.until = sent + granted - granted/driftMargin
}

// run renews the lease until ctx ends.
func (k *leaseKeeper) run(ctx context.Context, a *Agent) {
	if k.service == nil {
		return
	}
	failing := false
	for ctx.Err() == nil {
		was := k.held(a.now())
		pause, err := k.renew(ctx, a.now)
		is := k.held(a.now())
		if err != nil && !failing && ctx.Err() == nil {
			events.LeaseRenewalFailed.Log(a.log).Str("worker", k.worker).Err(err).Send()
		}
		failing = err != nil
		if is && k.unlisted() {
			a.announceSoon()
		}
		if is != was {
			a.leaseChanged(is)
		}
		if left := k.remaining(a.now()); is && left < pause {
			// Wakes up at the lapse to report it.
			pause = left
		}
		wait.For(ctx, pause)
		if is && !k.held(a.now()) {
			a.leaseChanged(false)
		}
	}
}

// renew asks for the lease once and returns the pause until the next renewal. An
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
	k.renewed(sent, now(), granted)
	return max(min(granted/renewals, k.interval), leaseRetry), nil
}

// remaining returns the time until the lease lapses.
func (k *leaseKeeper) remaining(now time.Duration) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.until - now
}

// end gives the lease up and reports whether it was ever held.
func (k *leaseKeeper) end() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	had := k.until != 0
	k.until, k.listed = 0, false
	return had
}

// release lets the lease lapse at once, so that the next agent of this worker need
// not wait for the rest of it. The loop of run must have ended.
func (k *leaseKeeper) release() error {
	if k.service == nil || !k.end() {
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
