// Package subset selects the gateways that an agent keeps links to, so that the
// number of links of a process does not grow with the fleet.
//
// Each agent ranks all gateways by rendezvous hashing of its own name and the
// gateway's address, and links to the first ones in rank that answer. This needs no
// coordination: every gateway gets about the same number of agents, from all
// availability zones, and when a gateway fails, its agents spread over the others.
// The package does no I/O. Times are durations on the caller's monotonic clock.
package subset

import (
	"cmp"
	"slices"
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/rendezvous"
)

// Options set the size of the subset and the timing of dials.
type Options struct {
	// Links is the number of gateways that an agent keeps links to. If there are
	// fewer, it links to all of them.
	Links int
	// RetryMin and RetryMax bound the backoff between dials of a gateway that does
	// not answer, while at most Links gateways fail to answer. If more do, the
	// backoff is RetryMax times their number over Links, which bounds the agent's
	// rate of dials.
	RetryMin, RetryMax time.Duration
	// HedgeAfter is the time after which an unanswered dial is hedged: the next
	// gateway in rank is dialled as well.
	HedgeAfter time.Duration
	// UnreachableAfter is the time without a link after which a gateway may have been
	// replaced. From then on UnreachableRetry is the minimum backoff.
	UnreachableAfter, UnreachableRetry time.Duration
}

// DefaultOptions returns options for cells of up to hundreds of gateways.
func DefaultOptions() Options {
	return Options{
		// Each additional link means one more gateway that places tasks with an
		// outdated view of the agent's load. With six links, half of an agent's
		// gateways can fail at once (docs/decisions/0004-large-fleets.md).
		Links:    6,
		RetryMin: 30 * time.Millisecond, RetryMax: 400 * time.Millisecond, HedgeAfter: 75 * time.Millisecond,
		UnreachableAfter: 20 * time.Second, UnreachableRetry: 2 * time.Second,
	}
}

// state is the state of the link to a gateway.
type state int

const (
	idle state = iota
	dialling
	up
	// retiring links accept no new tasks and are closed once their running tasks
	// have ended.
	retiring
)

// gateway is the agent's record of one gateway.
type gateway struct {
	address string
	rank    uint64
	state   state
	// failing is set when a dial fails or an established link breaks, and cleared
	// by the next answer.
	failing bool
	// backoff is the wait before the dial that is due at retryAt. It doubles with
	// each failure.
	backoff, retryAt time.Duration
	dialledAt        time.Duration
	// lastUpAt is when the gateway last answered a dial or had an established
	// link; before that, when it became known.
	lastUpAt time.Duration
}

// Set tracks the gateways that an agent knows and the state of its links to them.
// It is not safe for concurrent use.
type Set struct {
	opts     Options
	agent    string
	gateways []*gateway // by rank
}

// New returns a set without gateways for the named agent.
func New(agent string, opts Options) *Set { return &Set{opts: opts, agent: agent} }

// Plan lists the dials to start and the links to retire now.
type Plan struct {
	// Dial lists the gateways to dial, Retire those whose links accept no new tasks
	// from now on and are closed when their running tasks have ended.
	Dial, Retire []string
	// Next is the time to ask for the next plan if no link changes before; 0 means
	// that only a change calls for a new plan.
	Next time.Duration
}

// UpdateGateways replaces the known gateways. A gateway that is no longer listed is
// removed by the first call after its link has ended.
func (s *Set) UpdateGateways(now time.Duration, addresses []string) {
	listed := make(map[string]bool, len(addresses))
	for _, a := range addresses {
		listed[a] = true
	}
	s.gateways = slices.DeleteFunc(s.gateways, func(g *gateway) bool {
		known := listed[g.address]
		delete(listed, g.address)
		return !known && g.state == idle
	})
	for a := range listed {
		s.gateways = append(s.gateways, &gateway{address: a, rank: rank(s.agent, a), backoff: s.opts.RetryMin / 2, lastUpAt: now})
	}
	slices.SortFunc(s.gateways, func(a, b *gateway) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.address, b.address))
	})
}

// rank returns a gateway's position in the order of an agent; the lowest goes
// first.
func rank(agent, address string) uint64 { return rendezvous.Weight(agent+"\x00", address) }

func (s *Set) find(address string) *gateway {
	for _, g := range s.gateways {
		if g.address == address {
			return g
		}
	}
	return nil
}

// Connected records that a dialled gateway has answered: its link is established.
func (s *Set) Connected(now time.Duration, address string) {
	if g := s.find(address); g != nil && g.state == dialling {
		g.state, g.failing, g.backoff, g.lastUpAt = up, false, s.opts.RetryMin/2, now
	}
}

// Disconnected records that a link has ended or that a dial has failed.
func (s *Set) Disconnected(now time.Duration, address string) {
	g := s.find(address)
	if g == nil {
		return
	}
	if g.state == up {
		g.lastUpAt = now
	}
	g.failing = g.state != retiring
	g.state = idle
	limit := s.maxBackoff()
	g.backoff = min(2*g.backoff, limit)
	if limit > s.opts.RetryMax {
		g.backoff = limit
	}
	g.retryAt = now + g.backoff
	if now-g.lastUpAt > s.opts.UnreachableAfter {
		g.retryAt = now + max(g.backoff, s.opts.UnreachableRetry)
	}
}

// maxBackoff returns the longest backoff. It grows with the number of failing
// gateways, so that the agent dials no more often than if Links of them failed.
func (s *Set) maxBackoff() time.Duration {
	failing := 0
	for _, g := range s.gateways {
		if g.failing {
			failing++
		}
	}
	return s.opts.RetryMax * time.Duration(max(failing, s.opts.Links)) / time.Duration(s.opts.Links)
}

// Plan returns the dials to start and the links to retire now. The caller must
// carry them out: the set records them as under way.
func (s *Set) Plan(now time.Duration) Plan {
	var p Plan
	counted, linked := 0, 0
	for _, g := range s.gateways {
		if counted == s.opts.Links {
			break
		}
		switch {
		case g.state == up:
			linked++
		case g.state == idle && now >= g.retryAt:
			g.state, g.dialledAt = dialling, now
			p.Dial = append(p.Dial, g.address)
		case g.state == idle:
			p.wakeAt(g.retryAt)
		}
		// A gateway that fails or is slow to answer is still dialled but does not
		// count, so that the next one in rank is dialled as well.
		hedgeAt := g.dialledAt + s.opts.HedgeAfter
		switch {
		case g.failing || g.state == dialling && now >= hedgeAt:
		case g.state == dialling:
			p.wakeAt(hedgeAt)
			counted++
		default:
			counted++
		}
	}
	if linked == s.opts.Links {
		p.Retire = s.retireSurplus()
	}
	return p
}

func (p *Plan) wakeAt(at time.Duration) {
	if p.Next == 0 || at < p.Next {
		p.Next = at
	}
}

// retireSurplus retires the established links beyond the first Links in rank and
// returns their addresses.
func (s *Set) retireSurplus() []string {
	var out []string
	linked := 0
	for _, g := range s.gateways {
		if g.state != up {
			continue
		}
		if linked++; linked > s.opts.Links {
			g.state = retiring
			out = append(out, g.address)
		}
	}
	return out
}
