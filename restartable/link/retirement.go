package link

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/rhubarbsail/rhubarbsail/common/events"
)

var errRetired = errors.New("the agent keeps links to other gateways")

// retirement is the planned end of a link at the agent. The gateway is first
// told that the agent accepts nothing on the link; orders that were on their way
// are refused, and runs go on to their end. The zero value is a link that stays.
type retirement struct {
	begun bool
	// told is the stamp of the first frame that told the gateway.
	told time.Duration
	// emptyAt is when the link was seen to have no runs after the gateway had
	// returned told, 0 if an end was reported since; the reports of earlier ends are
	// in frames with stamps up to it.
	emptyAt time.Duration
}

// sent notes that a frame with a stamp is being sent, and returns whether it
// has to tell that nothing is accepted.
func (r *retirement) sent(stamp time.Duration) bool {
	if r.begun && r.told == 0 {
		r.told = stamp
	}
	return r.begun
}

// reported notes that the report of an end waits to be sent: an order may have
// been refused that the gateway decided on before it took in that nothing is
// accepted.
func (r *retirement) reported() { r.emptyAt = 0 }

// complete takes in the newest stamp that the gateway has returned, and whether
// the link has no runs at a time. It returns whether the link may end: the
// gateway has sent no more orders since it was told, and has received the ends of
// all runs.
func (r *retirement) complete(now, stamp time.Duration, empty bool) bool {
	if !r.begun || r.told == 0 || stamp < r.told || !empty {
		return false
	}
	if r.emptyAt == 0 {
		r.emptyAt = now
	}
	return stamp > r.emptyAt
}

// retire begins the planned end of the link.
func (l *agentLink) retire() {
	l.client.runner.Retire(l.name)
	events.GatewayRetired.Log(l.client.log).Str("gateway", l.address).Str("link", l.name).Send()
	l.mu.Lock()
	l.retirement.begun = true
	l.mu.Unlock()
	l.LoadChanged()
}

// mayEnd tells whether a retired link has nothing left to carry, given the
// newest stamp that the gateway has returned.
func (l *agentLink) mayEnd(stamp time.Duration) bool {
	l.mu.Lock()
	begun := l.retirement.begun
	l.mu.Unlock()
	if !begun {
		return false
	}
	empty := l.client.runner.GatewayIdle(l.name)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.retirement.complete(l.client.now(), stamp, empty && len(l.ends) == 0)
}
