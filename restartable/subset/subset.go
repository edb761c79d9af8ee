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
	"hash/fnv"
	"slices"
	"time"
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
	// GoneAfter is the time without an answer after which a gateway may have been
	// replaced; it is then dialled each RetryGone.
	GoneAfter, RetryGone time.Duration
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
	// gap is the wait before the next dial, which is due at retryAt.
	gap, retryAt time.Duration
	answeredAt   time.Duration
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
	// Next is when the next dial is due; 0 if none is.
	Next time.Duration
}

// Know replaces the known gateways. One that is gone from the list is forgotten
// when its link has ended.
func (s *Set) Know(now time.Duration, addresses []string) {
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
		s.gateways = append(s.gateways, &gateway{address: a, rank: rank(s.agent, a), gap: s.opts.RetryMin, answeredAt: now})
	}
	slices.SortFunc(s.gateways, func(a, b *gateway) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.address, b.address))
	})
}

// rank orders the gateways of an agent.
func rank(agent, address string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(agent + "\x00" + address)) // never fails
	return mix(h.Sum64())
}

// mix spreads a hash over all bits: the high bits of FNV hardly depend on the
// last bytes, in which addresses differ.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

func (s *Set) find(address string) *gateway {
	for _, g := range s.gateways {
		if g.address == address {
			return g
		}
	}
	return nil
}

// Answered notes that a dialled gateway has answered.
func (s *Set) Answered(now time.Duration, address string) {
	if g := s.find(address); g != nil && g.state == dialling {
		g.state, g.failing, g.gap, g.answeredAt = up, false, s.opts.RetryMin, now
	}
}

// Ended notes the end of a link or of a dial without an answer.
func (s *Set) Ended(now time.Duration, address string) {
	g := s.find(address)
	if g == nil {
		return
	}
	if g.state == up {
		g.answeredAt = now
	}
	g.failing = g.state != retiring
	g.state = idle
	g.retryAt = now + g.gap
	g.gap = min(2*g.gap, s.retryMax())
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
			g.state = dialling
			p.Dial = append(p.Dial, g.address)
		case g.state == idle && (p.Next == 0 || g.retryAt < p.Next):
			p.Next = g.retryAt
		}
		// One that does not answer is dialled on, and the next in rank takes its
		// place meanwhile.
		if !g.failing {
			counted++
		}
	}
	if linked == s.opts.Links {
		p.Retire = s.retireOthers()
	}
	return p
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
