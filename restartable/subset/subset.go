// Package subset decides with which gateways an agent keeps links, so that the
// links of a process do not grow with the fleet.
//
// Each agent ranks all gateways by a hash of both names (rendezvous hashing) and
// links to the first ones that answer. No process has to agree on anything: every
// gateway gets about the same number of agents, from all availability zones, and
// when a gateway goes, its agents spread over the others. The package does no I/O.
package subset

import (
	"cmp"
	"slices"
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/rendezvous"
)

// Options are the size of a subset and the times between dials.
type Options struct {
	// Links is the number of links that an agent keeps. With fewer gateways it
	// links to all of them.
	Links int
	// RetryMin and RetryMax bound the wait between two dials of a gateway that does
	// not answer, while no more than Links gateways do not. With more of them the
	// wait grows in proportion, which bounds the rate of dials.
	RetryMin, RetryMax time.Duration
	// SlowAfter is the time without an answer to a dial after which the next gateway
	// in rank is dialled as well.
	SlowAfter time.Duration
	// GoneAfter is the time without an answer after which a gateway may have been
	// replaced; it is then dialled each RetryGone.
	GoneAfter, RetryGone time.Duration
}

// DefaultOptions suit cells of up to hundreds of gateways.
func DefaultOptions() Options {
	return Options{
		// Each link adds a gateway that sees the agent's load late. With six, half of
		// an agent's gateways may go at once (docs/decisions/0004-large-fleets.md).
		Links:    6,
		RetryMin: 30 * time.Millisecond, RetryMax: 400 * time.Millisecond, SlowAfter: 75 * time.Millisecond,
		GoneAfter: 20 * time.Second, RetryGone: 2 * time.Second,
	}
}

// state is how far the link to a gateway has come.
type state int

const (
	idle state = iota
	dialling
	up
	// retiring links take no new work and end with what runs.
	retiring
)

// gateway is one gateway as the agent knows it.
type gateway struct {
	address string
	rank    uint64
	state   state
	// failing is set from an end of the link until the next answer.
	failing bool
	// gap is the wait before the dial that is due at retryAt; it doubles.
	gap, retryAt          time.Duration
	dialledAt, answeredAt time.Duration
}

// Set is the set of gateways that an agent knows. It is not safe for concurrent
// use.
type Set struct {
	opts     Options
	agent    string
	gateways []*gateway // by rank
}

// New returns a set without gateways.
func New(agent string, opts Options) *Set { return &Set{opts: opts, agent: agent} }

// Plan is what to do now.
type Plan struct {
	// Dial are gateways to dial and Retire those whose link is to end.
	Dial, Retire []string
	// Next is when to ask for the next plan if nothing happens; 0 for never.
	Next time.Duration
}

// UpdateGateways replaces the known gateways. One that is gone from the list is forgotten
// when its link has ended.
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
		s.gateways = append(s.gateways, &gateway{address: a, rank: rank(s.agent, a), gap: s.opts.RetryMin / 2, answeredAt: now})
	}
	slices.SortFunc(s.gateways, func(a, b *gateway) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.address, b.address))
	})
}

// rank orders the gateways of an agent.
func rank(agent, address string) uint64 { return rendezvous.Weight(agent+"\x00", address) }

func (s *Set) find(address string) *gateway {
	for _, g := range s.gateways {
		if g.address == address {
			return g
		}
	}
	return nil
}

// Connected notes that a dialled gateway has answered.
func (s *Set) Connected(now time.Duration, address string) {
	if g := s.find(address); g != nil && g.state == dialling {
		g.state, g.failing, g.gap, g.answeredAt = up, false, s.opts.RetryMin/2, now
	}
}

// Disconnected notes the end of a link or of a dial without an answer.
func (s *Set) Disconnected(now time.Duration, address string) {
	g := s.find(address)
	if g == nil {
		return
	}
	if g.state == up {
		g.answeredAt = now
	}
	g.failing = g.state != retiring
	g.state = idle
	most := s.retryMax()
	g.gap = min(2*g.gap, most)
	if most > s.opts.RetryMax {
		g.gap = most
	}
	g.retryAt = now + g.gap
	if now-g.answeredAt > s.opts.GoneAfter {
		g.retryAt = now + max(g.gap, s.opts.RetryGone)
	}
}

// retryMax keeps the rate of dials that of Links gateways which do not answer.
func (s *Set) retryMax() time.Duration {
	failing := 0
	for _, g := range s.gateways {
		if g.failing {
			failing++
		}
	}
	return s.opts.RetryMax * time.Duration(max(failing, s.opts.Links)) / time.Duration(s.opts.Links)
}

// Plan returns what to do now, and takes it as done.
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
		// One that does not answer, or not soon, is dialled on, and the next in rank
		// takes its place meanwhile.
		slowAt := g.dialledAt + s.opts.SlowAfter
		switch {
		case g.failing || g.state == dialling && now >= slowAt:
		case g.state == dialling:
			p.wakeAt(slowAt)
			counted++
		default:
			counted++
		}
	}
	if linked == s.opts.Links {
		p.Retire = s.retireOthers()
	}
	return p
}

func (p *Plan) wakeAt(at time.Duration) {
	if p.Next == 0 || at < p.Next {
		p.Next = at
	}
}

// retireOthers ends the links beyond the first Links that are up.
func (s *Set) retireOthers() []string {
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
