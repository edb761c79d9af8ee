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
	// renewalsPerTTL is the number of renewal attempts per time to live (TTL).
	renewalsPerTTL = 3
	// minRenewalDelay is the minimum delay before the next renewal.
	minRenewalDelay = 100 * time.Millisecond
	// releaseTTL is the shortest TTL that the lease service accepts.
	releaseTTL = time.Millisecond
	// driftDivisor: the last 1/driftDivisor of a granted lease is not used, because
	// the clocks of agent and platform may drift apart by up to 10%.
	driftDivisor = 10
)

// leaseKeeper acquires and renews the worker's lease.
type leaseKeeper struct {
	service        logservice.Lease
	worker, holder string
	ttl            time.Duration
	// interval is the maximum time between two renewals.
	interval time.Duration

	// mu guards the fields below.
	mu sync.Mutex
	// expiresAt is the agent's monotonic time at which the lease expires.
	expiresAt time.Duration
	// memberConfirmed is set once a read of the log, made after the lease was
	// regained, shows the agent as a member. While the lease was expired, a gateway
	// may have acquired it and recorded the agent as departed; owners then no longer
	// count the confirmations of this agent.
	memberConfirmed bool
	// regainedAt is the time of the first renewal after the lease last expired.
	regainedAt time.Duration
}

func newLeaseKeeper(service logservice.Lease, o Options) *leaseKeeper {
	return &leaseKeeper{
		service: service,
		worker:  o.Worker,
		holder:  o.Agent + "/" + strconv.FormatUint(uint64(o.Incarnation), 10),
		ttl:     o.LeaseTTL, interval: o.LeaseRenew,
	}
}

// valid reports whether the agent may start tasks and confirm ownership: its lease
// is held and the log still shows it as a member. Without a lease service it always
// may.
func (k *leaseKeeper) valid(now time.Duration) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.service == nil || now < k.expiresAt && k.memberConfirmed
}

// held reports whether the agent holds the worker's lease.
func (k *leaseKeeper) held(now time.Duration) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.service == nil || now < k.expiresAt
}

// needsMembershipCheck reports whether a read of the log is needed to make the lease
// valid.
func (k *leaseKeeper) needsMembershipCheck() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.service != nil && !k.memberConfirmed
}

// confirmMembership notes that a read of the log that began at the given time shows
// the agent as a member. It reports whether this made the lease valid.
func (k *leaseKeeper) confirmMembership(began time.Duration) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.memberConfirmed || k.expiresAt == 0 || began < k.regainedAt {
		return false
	}
	k.memberConfirmed = true
	return true
}

// extend applies a grant that was requested at sent and received at answered. The
// lease was held without interruption only if the reply came before its previous
// expiry. Otherwise another holder may have had the lease before the service
// handled the request.
func (k *leaseKeeper) extend(sent, answered, granted time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if answered >= k.expiresAt {
		k.memberConfirmed, k.regainedAt = false, answered
	}
	k.expiresAt = sent + granted - granted/driftDivisor
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
		if is && k.needsMembershipCheck() {
			a.triggerAnnounce()
		}
		if is != was {
			a.leaseChanged(is)
		}
		if left := k.remaining(a.now()); is && left < pause {
			// Wakes up when the lease expires, to report that.
			pause = left
		}
		wait.For(ctx, pause)
		if is && !k.held(a.now()) {
			a.leaseChanged(false)
		}
	}
}

// renew requests the lease once and returns the delay until the next request. An
// error does not change the expiry: the platform may have renewed the lease, but
// the agent relies only on a reply.
func (k *leaseKeeper) renew(ctx context.Context, now func() time.Duration) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, k.ttl/renewalsPerTTL)
	defer cancel()
	sent := now()
	granted, err := k.service.Renew(ctx, k.worker, k.holder, k.ttl)
	if err != nil {
		return jitter(max(k.ttl/(4*renewalsPerTTL), minRenewalDelay)), err
	}
	k.extend(sent, now(), granted)
	return max(min(granted/renewalsPerTTL, k.interval), minRenewalDelay), nil
}

// remaining returns the time until the lease expires.
func (k *leaseKeeper) remaining(now time.Duration) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.expiresAt - now
}

// expire marks the lease as expired and reports whether it was ever held.
func (k *leaseKeeper) expire() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	had := k.expiresAt != 0
	k.expiresAt, k.memberConfirmed = 0, false
	return had
}

// release gives up the lease, so that the next agent of this worker need not wait
// for it to expire. run must have returned.
func (k *leaseKeeper) release() error {
	if k.service == nil || !k.expire() {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_, err := k.service.Renew(ctx, k.worker, k.holder, releaseTTL)
	return err
}

// leaseChanged logs that the lease was regained or has expired, starts queued tasks
// if that is allowed, and reports the load to the gateways.
func (a *Agent) leaseChanged(held bool) {
	event := events.LeaseLapsed
	if held {
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
