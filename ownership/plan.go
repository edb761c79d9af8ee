package ownership

import (
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/model"
)

// GatewayState is a gateway of the log's membership as this gateway sees it.
type GatewayState struct {
	Ref GatewayRef
	// LastHeard is the sending time of the last ping that was answered, or the
	// time at which this gateway first saw the member. Ignored for itself.
	LastHeard time.Duration
	// HealthySince is the time since which the member was never suspected.
	HealthySince time.Duration
	// Leaving is set once the member reported a planned stop.
	Leaving bool
}

// PartitionState is the owner of a partition in the log.
type PartitionState struct {
	Partition model.Partition
	// Owner and Epoch are zero for a partition that was never claimed.
	Owner GatewayRef
	Epoch model.Epoch
	// Pending is set while this gateway has a claim or handover of the
	// partition under way.
	Pending bool
}

// View is what Plan decides on.
type View struct {
	Self GatewayRef
	// Gateways are the members that have not left, with Self.
	Gateways   []GatewayState
	Partitions []PartitionState
	// Reachable is true if a majority of the listed agents confirmed a probe
	// within L (Validity.Reachable), or if no agent is listed. A gateway that
	// is cut off from the agents could not serve what it claims.
	Reachable bool
}

// ClaimReason says why a partition is claimed.
type ClaimReason uint8

// The reasons of claims.
const (
	ClaimUnowned ClaimReason = iota + 1
	ClaimOwnerLeft
	ClaimOwnerSuspected
)

// PlannedClaim is a claim that this gateway should append now.
type PlannedClaim struct {
	Partition model.Partition
	Replaces  model.Epoch
	Reason    ClaimReason
}

// PlannedHandover is a partition that this gateway should give to another.
type PlannedHandover struct {
	Partition model.Partition
	Epoch     model.Epoch
	To        GatewayRef
}

// Actions is the result of Plan.
type Actions struct {
	Claims    []PlannedClaim
	Handovers []PlannedHandover
}

// Plan returns what this gateway should do now. Two gateways with different
// views may both claim; the order of the log decides.
func Plan(now time.Duration, s Settings, v View) Actions {
	c := newCensus(now, s, v)
	var out Actions
	pending := 0
	for _, p := range v.Partitions {
		switch {
		case p.Pending:
			pending++
		case p.Owner == v.Self && p.Epoch != 0:
		default:
			if r, ok := c.claimReason(p); ok && v.Reachable {
				if first, ok := Preferred(p.Partition, c.healthy); ok && first == v.Self {
					out.Claims = append(out.Claims, PlannedClaim{p.Partition, p.Epoch, r})
				}
			}
		}
	}
	out.Handovers = c.handovers(s, v, s.MaxHandovers-pending)
	return out
}

// census is the view sorted by health.
type census struct {
	members  map[GatewayRef]bool // value: suspected
	healthy  []GatewayRef        // candidates for ownership
	settled  map[GatewayRef]bool
	owned    map[GatewayRef]int
	selfGoes bool
}

func newCensus(now time.Duration, s Settings, v View) census {
	c := census{members: map[GatewayRef]bool{}, settled: map[GatewayRef]bool{}, owned: map[GatewayRef]int{}}
	for _, g := range v.Gateways {
		self := g.Ref == v.Self
		suspected := !self && now-g.LastHeard >= s.SuspectAfter
		c.members[g.Ref] = suspected
		c.selfGoes = c.selfGoes || self && g.Leaving
		if suspected || g.Leaving {
			continue
		}
		c.healthy = append(c.healthy, g.Ref)
		c.settled[g.Ref] = self || now-g.HealthySince >= s.SettleTime
	}
	for _, p := range v.Partitions {
		c.owned[p.Owner]++
	}
	return c
}

func (c *census) claimReason(p PartitionState) (ClaimReason, bool) {
	suspected, member := c.members[p.Owner]
	switch {
	case p.Epoch == 0:
		return ClaimUnowned, true
	case !member:
		return ClaimOwnerLeft, true
	case suspected:
		return ClaimOwnerSuspected, true
	}
	return 0, false
}

// handovers gives partitions to their preferred gateway while this gateway has
// more than its share or the other less. Ownership by rendezvous order is a
// function of the live set, so partitions do not move back and forth. A
// gateway that stops gives away everything without a bound.
func (c *census) handovers(s Settings, v View, limit int) []PlannedHandover {
	if len(c.healthy) == 0 {
		return nil
	}
	fair := len(v.Partitions) / len(c.healthy)
	var out []PlannedHandover
	for _, p := range v.Partitions {
		if p.Owner != v.Self || p.Epoch == 0 || p.Pending {
			continue
		}
		to, _ := Preferred(p.Partition, c.healthy)
		if to == v.Self {
			continue
		}
		if !c.selfGoes {
			unbalanced := c.owned[v.Self] > fair+s.Slack || c.owned[to] < fair-s.Slack
			if len(out) >= limit || !c.settled[to] || !unbalanced {
				continue
			}
		}
		c.owned[v.Self]--
		c.owned[to]++
		out = append(out, PlannedHandover{p.Partition, p.Epoch, to})
	}
	return out
}
