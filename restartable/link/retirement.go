package link

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/rhubarbsail/rhubarbsail/common/events"
)

var errRetired = errors.New("the agent retired the link in favour of other gateways")

// retirement is the state of a graceful close of a link by the agent. The agent
// first reports that it accepts nothing more on the link. It refuses orders that
// were already on their way, and runs continue to their end. The zero value is a
// link that is not being retired.
type retirement struct {
	started bool
	// announcedAt is the stamp of the first frame that said that nothing more is
	// accepted; 0 before.
	announcedAt time.Duration
	// idleAt is when the link was first found without runs and unsent reports after
	// the gateway had returned announcedAt; 0 if that has not happened since the
	// last report was queued. All reports are in frames with stamps up to idleAt.
	idleAt time.Duration
}

// frameSent records that a frame with a stamp is being sent. It returns whether
// the frame has to say that nothing is accepted.
func (r *retirement) frameSent(stamp time.Duration) bool {
	if r.started && r.announcedAt == 0 {
		r.announcedAt = stamp
	}
	return r.started
}

// reportQueued records that a report waits to be sent. This happens on an idle
// link too: the agent refuses an order that the gateway sent before it learned
// that nothing is accepted.
func (r *retirement) reportQueued() { r.idleAt = 0 }

// mayClose returns whether the link may be closed, given the newest stamp that
// the gateway has returned and whether the link has no runs. It may once the
// gateway can send no more orders, because it knows that nothing is accepted, and
// has received the ends of all runs. mayClose also records when the link was
// first found idle.
func (r *retirement) mayClose(now, stamp time.Duration, idle bool) bool {
	if !r.started || r.announcedAt == 0 || stamp < r.announcedAt || !idle {
		return false
	}
	if r.idleAt == 0 {
		r.idleAt = now
	}
	return stamp > r.idleAt
}

// retire begins the graceful close of the link.
func (l *agentLink) retire() {
	l.client.runner.Retire(l.name)
	events.GatewayRetired.Log(l.client.log).Str("gateway", l.address).Str("link", l.name).Send()
	l.mu.Lock()
	l.retirement.started = true
	l.mu.Unlock()
	l.LoadChanged()
}

// mayClose returns whether a retired link has nothing left to carry, given the
// newest stamp that the gateway has returned.
func (l *agentLink) mayClose(stamp time.Duration) bool {
	l.mu.Lock()
	started := l.retirement.started
	l.mu.Unlock()
	if !started {
		return false
	}
	idle := l.client.runner.GatewayIdle(l.name)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.retirement.mayClose(l.client.now(), stamp, idle && len(l.pendingEvents) == 0)
}
