package state

import (
	"github.com/rhubarbsail/rhubarbsail/common/model"
	"github.com/rhubarbsail/rhubarbsail/ownership"
)

func (m *Machine) gatewayJoined(g Gateway) Result {
	if g.ID == "" || g.Incarnation == 0 || g.Address == "" {
		return rejected(ReasonMalformed)
	}
	old, known := m.cur.Gateways[g.ID]
	if known && (g.Incarnation < old.Incarnation || g.Incarnation == old.Incarnation && old.Left) {
		return rejected(ReasonStaleIncarnation)
	}
	cloneIfShared(&m.cur.Gateways, &m.sharedGateways)[g.ID] = Gateway{
		ID: g.ID, Incarnation: g.Incarnation, Address: g.Address, AvailabilityZone: g.AvailabilityZone,
	}
	return Result{}
}

func (m *Machine) gatewayLeft(l GatewayLeft) Result {
	g, ok := m.cur.Member(l.ID, l.Incarnation)
	if !ok {
		return rejected(ReasonNotMember)
	}
	g.Left, g.LeftAt = true, m.cur.LogTime
	cloneIfShared(&m.cur.Gateways, &m.sharedGateways)[g.ID] = g
	return Result{}
}

// dropLeftGateways removes gateways that left longer ago than the retention time.
func (m *Machine) dropLeftGateways() {
	for id, g := range m.cur.Gateways {
		if g.Left && m.cur.LogTime.Sub(g.LeftAt) > m.retention {
			delete(cloneIfShared(&m.cur.Gateways, &m.sharedGateways), id)
		}
	}
}

func (m *Machine) agentsJoined(l AgentsJoined) Result {
	return applyEach(l.Agents, func(a Agent) (string, Reason) { return a.ID, m.agentJoined(a) })
}

func (m *Machine) agentsLeft(l AgentsLeft) Result {
	return applyEach(l.Agents, func(a AgentLeft) (string, Reason) { return a.ID, m.agentLeft(a) })
}

// applyEach applies the items of a list record one by one. The record is rejected,
// with the reason of its first item, if no item had an effect.
func applyEach[T any](items []T, apply func(T) (string, Reason)) Result {
	res := Result{}
	var first Reason
	for _, it := range items {
		if id, reason := apply(it); reason != "" {
			res.Ignored = append(res.Ignored, id)
			if first == "" {
				first = reason
			}
		}
	}
	if len(items) == 0 {
		return rejected(ReasonMalformed)
	}
	if len(res.Ignored) == len(items) {
		res.Reason = first
	}
	return res
}

func (m *Machine) agentJoined(a Agent) Reason {
	if a.ID == "" || a.Incarnation == 0 {
		return ReasonMalformed
	}
	old, listed := m.cur.Agents[a.ID]
	a.Joined = m.cur.Applied
	if listed && a.Incarnation == old.Incarnation {
		a.Joined = old.Joined
	}
	switch {
	case listed && a.Incarnation < old.Incarnation, a.Incarnation <= m.departedIncarnations[a.ID]:
		return ReasonStaleIncarnation
	case listed && a == old:
		return ""
	case listed && a.Incarnation > old.Incarnation:
		m.addDeparted(old)
	}
	cloneIfShared(&m.cur.Agents, &m.sharedAgents)[a.ID] = a
	return ""
}

func (m *Machine) agentLeft(l AgentLeft) Reason {
	a, ok := m.cur.Agents[l.ID]
	if !ok || a.Incarnation != l.Incarnation {
		return ReasonNotMember
	}
	if !l.LeaseUntil.IsZero() && m.cur.LogTime.After(l.LeaseUntil) {
		return ReasonLeaseExpired
	}
	m.addDeparted(a)
	delete(cloneIfShared(&m.cur.Agents, &m.sharedAgents), l.ID)
	return ""
}

// minBase returns the smallest Ownership.Base of all partitions.
func (m *Machine) minBase() uint64 {
	base := m.cur.Applied
	for _, o := range m.cur.Owners {
		base = min(base, o.Base)
	}
	return base
}

// addDeparted adds an incarnation to the departed agents. The list stays sorted by
// LeftAt because log time never decreases.
func (m *Machine) addDeparted(a Agent) {
	m.cur.Departed = append(m.cur.Departed, DepartedAgent{
		ID: a.ID, Incarnation: a.Incarnation, Joined: a.Joined, Left: m.cur.Applied, LeftAt: m.cur.LogTime,
	})
	m.departedIncarnations[a.ID] = max(m.departedIncarnations[a.ID], a.Incarnation)
}

// dropDeparted removes departed agents that are past the retention time and
// that no takeover can need any more.
func (m *Machine) dropDeparted() {
	for len(m.cur.Departed) > 0 {
		d := m.cur.Departed[0]
		if m.cur.LogTime.Sub(d.LeftAt) <= m.retention || d.Left > m.minBase() {
			// A takeover needs every departure since the base of its partition.
			return
		}
		m.cur.Departed = m.cur.Departed[1:]
		if m.departedIncarnations[d.ID] == d.Incarnation {
			delete(m.departedIncarnations, d.ID)
		}
	}
}

// applyClaim decides a claim separately for each partition. Only the current owner
// may hand over a partition, because the new owner after a handover does not wait
// for agents to confirm a fence.
func (m *Machine) applyClaim(writer string, c Claim) Result {
	if len(c.Partitions) == 0 {
		return rejected(ReasonMalformed)
	}
	var res Result
	_, member := m.cur.Member(c.Gateway, c.Incarnation)
	for _, p := range c.Partitions {
		if reason := m.claimRejection(writer, c, p, member); reason != "" {
			res.Lost = append(res.Lost, LostClaim{Partition: p.Partition, Reason: reason, Epoch: m.cur.Owners[p.Partition].Epoch})
			continue
		}
		cloneIfShared(&m.cur.Owners, &m.sharedOwners)[p.Partition] = m.nextOwner(c, p)
		res.Won = append(res.Won, p.Partition)
	}
	if len(res.Won) == 0 {
		res.Reason = res.Lost[0].Reason
	}
	return res
}

// nextOwner returns the ownership that results from a successful claim. The
// offset of the claim record becomes the new epoch.
func (m *Machine) nextOwner(c Claim, p PartitionClaim) Ownership {
	old := m.cur.Owners[p.Partition]
	epoch := model.Epoch(m.cur.Applied)
	return Ownership{
		Gateway: c.Gateway, Incarnation: c.Incarnation, Epoch: epoch, Replaces: p.Replaces,
		Base: ownership.NextBase(old.Base, ownership.ClaimRecord{
			Offset: epoch, Replaces: p.Replaces, Handover: c.Handover,
			From: ownership.GatewayRef{ID: old.Gateway, Incarnation: old.Incarnation},
			To:   ownership.GatewayRef{ID: c.Gateway, Incarnation: c.Incarnation},
		}),
		ClaimedAt: m.cur.LogTime, Handover: c.Handover,
	}
}

// claimRejection returns why a claim has no effect for a partition, or "" if it
// succeeds.
func (m *Machine) claimRejection(writer string, c Claim, p PartitionClaim, member bool) Reason {
	cur := m.cur.Owners[p.Partition]
	switch {
	case p.Partition >= MaxPartitions:
		return ReasonMalformed
	case !member:
		return ReasonNotMember
	case cur.Epoch != p.Replaces:
		return ReasonEpochConflict
	case c.Handover && cur.Gateway != writer:
		return ReasonNotOwner
	}
	return ""
}
