package ownership

import (
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/model"
)

// GatewayState is a gateway listed in the log as this gateway sees it.
type GatewayState struct {
	Ref GatewayRef
	// LastHeard is the time at which the last answered ping was sent, or at which
	// this gateway first saw the member. It is ignored for the gateway itself.
	LastHeard time.Duration
	// HealthySince is the time since which the member has not been suspected.
	HealthySince time.Duration
	// Leaving is true once the member has announced a planned stop.
	Leaving bool
}

// PartitionState is the ownership of a partition according to the log.
type PartitionState struct {
	Partition model.Partition
	// Owner and Epoch are zero for a partition that was never claimed.
	Owner GatewayRef
	Epoch model.Epoch
	// Pending is true while this gateway has a claim or handover of the partition
	// in progress.
	Pending bool
}

// View is the input of Plan.
type View struct {
	Self GatewayRef
	// Gateways holds the listed gateways, including Self.
	Gateways   []GatewayState
	Partitions []PartitionState
	// Reachable is true if a majority of the listed agents confirmed a probe sent
	// within the last L (Validity.Reachable), or if no agent is listed. Otherwise
	// the gateway makes no claims, since it could not serve the partitions.
	Reachable bool
}

// ClaimReason is the reason for claiming a partition.
type ClaimReason uint8

// The reasons for a claim.
const (
	ClaimUnowned ClaimReason = iota + 1
	ClaimOwnerLeft
	ClaimOwnerSuspected
)

// PlannedClaim is a claim that this gateway should append to the log now.
type PlannedClaim struct {
	Partition model.Partition
	Replaces  model.Epoch
	Reason    ClaimReason
}

// PlannedHandover is a partition that this gateway should hand over to another.
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

// Plan returns the claims and handovers that this gateway should make now. Two
// gateways with different views may claim the same partition; then the claim that
// comes first in the log takes effect.
func Plan(now time.Duration, s Settings, v View) Actions {
	pl := newPlanner(now, s, v)
	var out Actions
	pending := 0
	for _, p := range v.Partitions {
		switch {
		case p.Pending:
			pending++
		case p.Owner == v.Self && p.Epoch != 0:
		default:
			if r, ok := pl.claimReason(p); ok && v.Reachable {
				if first, ok := Preferred(p.Partition, pl.healthy); ok && first == v.Self {
					out.Claims = append(out.Claims, PlannedClaim{p.Partition, p.Epoch, r})
				}
			}
		}
	}
	out.Handovers = pl.handovers(s, v, s.MaxHandovers-pending)
	return out
}

// planner classifies the gateways of a View by health and counts the partitions
// that they own.
type planner struct {
	suspected   map[GatewayRef]bool // listed gateways; true if suspected
	healthy     []GatewayRef        // neither suspected nor leaving
	settled     map[GatewayRef]bool // healthy gateways; true if healthy for SettleTime
	owned       map[GatewayRef]int
	selfLeaving bool // this gateway is leaving
}

func newPlanner(now time.Duration, s Settings, v View) planner {
	pl := planner{suspected: map[GatewayRef]bool{}, settled: map[GatewayRef]bool{}, owned: map[GatewayRef]int{}}
	for _, g := range v.Gateways {
		self := g.Ref == v.Self
		suspected := !self && now-g.LastHeard >= s.SuspectAfter
		pl.suspected[g.Ref] = suspected
		pl.selfLeaving = pl.selfLeaving || self && g.Leaving
		if suspected || g.Leaving {
			continue
		}
		pl.healthy = append(pl.healthy, g.Ref)
		pl.settled[g.Ref] = self || now-g.HealthySince >= s.SettleTime
	}
	for _, p := range v.Partitions {
		pl.owned[p.Owner]++
	}
	return pl
}

// claimReason returns why the partition should be claimed, and false if its owner
// is a listed gateway that is not suspected.
func (pl *planner) claimReason(p PartitionState) (ClaimReason, bool) {
	suspected, member := pl.suspected[p.Owner]
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

// handovers returns the handovers of partitions to their preferred gateways for
// load balance: at most limit, and only while this gateway has more than its fair
// share or the other one has less. Partitions do not move back and forth, since
// the preferred gateway depends only on the set of healthy gateways. A gateway
// that is leaving hands over all its partitions at once.
func (pl *planner) handovers(s Settings, v View, limit int) []PlannedHandover {
	if len(pl.healthy) == 0 {
		return nil
	}
	fairShare := len(v.Partitions) / len(pl.healthy)
	var out []PlannedHandover
	for _, p := range v.Partitions {
		if p.Owner != v.Self || p.Epoch == 0 || p.Pending {
			continue
		}
		to, _ := Preferred(p.Partition, pl.healthy)
		if to == v.Self {
			continue
		}
		if !pl.selfLeaving {
			unbalanced := pl.owned[v.Self] > fairShare+s.Slack || pl.owned[to] < fairShare-s.Slack
			if len(out) >= limit || !pl.settled[to] || !unbalanced {
				continue
			}
		}
		pl.owned[v.Self]--
		pl.owned[to]++
		out = append(out, PlannedHandover{p.Partition, p.Epoch, to})
	}
	return out
}
