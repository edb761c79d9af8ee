package gateway

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"github.com/rhubarbsail/rhubarbsail/common/events"
	"github.com/rhubarbsail/rhubarbsail/common/model"
	rhubarbsailv1 "github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/v1"
	"github.com/rhubarbsail/rhubarbsail/ownership"
	"github.com/rhubarbsail/rhubarbsail/state"
)

const (
	// startupDelay is the wait before the first claim. Gateways that start together
	// detect each other in this time; without it, partitions would have to move
	// right after they were claimed.
	startupDelay = 500 * time.Millisecond
	// claimTimeout bounds one claim, each step of a handover and the removal of one
	// agent.
	claimTimeout = 10 * time.Second
	// renewCheckInterval is the interval of the checks for epochs to renew. It can
	// be long, because a cell's agent list gets only a few new versions an hour.
	renewCheckInterval = 5 * time.Second
)

// peer is the state of another gateway as seen by this one.
type peer struct {
	ref ownership.GatewayRef
	// lastHeard is the time at which the last answered ping was sent.
	lastHeard time.Duration
	// healthySince is the time at which the peer was added or last recovered.
	healthySince time.Duration
	leaving      bool
	pinging      bool
	// failureLogged is set once the peer's failure has been logged, until it answers
	// again.
	failureLogged bool
}

// membership pings the other gateways, claims partitions and hands them over. Only
// the goroutine of run accesses its fields. Pings, claims and handovers run in
// goroutines of their own and send functions that update the fields to results.
type membership struct {
	g     *Gateway
	peers map[ownership.GatewayRef]*peer
	// pending holds the partitions with a claim or a handover in progress.
	pending        map[model.Partition]bool
	results        chan func()
	lastRenewCheck time.Duration
}

func newMembership(g *Gateway) *membership {
	return &membership{
		g: g, peers: make(map[ownership.GatewayRef]*peer),
		pending: make(map[model.Partition]bool), results: make(chan func(), 256),
	}
}

// run pings the other gateways and carries out the ownership plan until ctx ends.
func (m *membership) run(ctx context.Context) {
	tick := time.NewTicker(m.g.opts.PingInterval)
	defer tick.Stop()
	start := time.Now().Add(startupDelay)
	for {
		select {
		case <-ctx.Done():
			return
		case apply := <-m.results:
			apply()
		case <-tick.C:
			v := m.g.control.Snapshot()
			now := m.g.mono(time.Now())
			m.syncPeers(now, v)
			m.pingAll(ctx, now, v)
			m.publishReachability(now)
			if time.Now().After(start) {
				m.executePlan(ctx, now, v)
			}
		}
	}
}

// reportResult queues an update of the fields for the goroutine of run.
func (m *membership) reportResult(ctx context.Context, apply func()) {
	select {
	case m.results <- apply:
	case <-ctx.Done():
	}
}

// syncPeers adds and removes peers to match the gateways in the log.
func (m *membership) syncPeers(now time.Duration, v *state.Snapshot) {
	listed := make(map[ownership.GatewayRef]bool)
	for _, gw := range v.Gateways {
		ref := ownership.GatewayRef{ID: gw.ID, Incarnation: gw.Incarnation}
		if gw.Left || ref == m.g.ref() {
			continue
		}
		listed[ref] = true
		if m.peers[ref] == nil {
			m.peers[ref] = &peer{ref: ref, lastHeard: now, healthySince: now}
		}
	}
	for ref := range m.peers {
		if !listed[ref] {
			delete(m.peers, ref)
		}
	}
}

// pingAll pings each peer that has no ping in progress.
func (m *membership) pingAll(ctx context.Context, now time.Duration, v *state.Snapshot) {
	for ref, p := range m.peers {
		if now-p.lastHeard >= m.g.opts.Ownership.SuspectAfter {
			p.healthySince = now
		}
		if p.pinging {
			continue
		}
		gw, ok := v.Member(ref.ID, ref.Incarnation)
		if !ok {
			continue
		}
		p.pinging = true
		go m.ping(ctx, now, p, gw.Address)
	}
}

// publishReachability updates Gateway.alive and Gateway.successorAvailable and logs
// peers that have failed.
func (m *membership) publishReachability(now time.Duration) {
	alive := map[string]bool{m.g.opts.ID: true}
	for _, p := range m.peers {
		suspected := now-p.lastHeard >= m.g.opts.Ownership.SuspectAfter
		alive[p.ref.ID] = !suspected
		if suspected && !p.failureLogged {
			events.GatewayFailed.Log(m.g.deps.Logger).Str("gateway", p.ref.ID).Send()
		}
		p.failureLogged = suspected
	}
	m.g.alive.Store(&alive)
	m.g.successorAvailable.Store(m.hasSuccessor(now))
}

// hasSuccessor reports whether another gateway answers pings and is not leaving.
func (m *membership) hasSuccessor(now time.Duration) bool {
	for _, p := range m.peers {
		if !p.leaving && now-p.lastHeard < m.g.opts.Ownership.SuspectAfter {
			return true
		}
	}
	return false
}

// ping pings a peer. A reply counts from the time at which the ping was sent.
func (m *membership) ping(ctx context.Context, sent time.Duration, p *peer, address string) {
	pctx, cancel := context.WithTimeout(ctx, m.g.opts.Ownership.SuspectAfter)
	defer cancel()
	resp, err := m.g.peers.Client(address).Ping(pctx, connect.NewRequest(&rhubarbsailv1.PingRequest{
		Gateway: m.g.opts.ID, Incarnation: uint64(m.g.opts.Incarnation),
	}))
	m.reportResult(ctx, func() {
		p.pinging = false
		if err == nil && resp.Msg.Gateway == p.ref.ID && model.Incarnation(resp.Msg.Incarnation) == p.ref.Incarnation {
			p.lastHeard = sent
			p.leaving = resp.Msg.Leaving
		}
	})
}

// executePlan carries out the claims, renewals and handovers that are due.
func (m *membership) executePlan(ctx context.Context, now time.Duration, v *state.Snapshot) {
	if _, member := v.Member(m.g.opts.ID, m.g.opts.Incarnation); !member {
		return
	}
	actions := ownership.Plan(now, m.g.opts.Ownership, m.planView(now, v))
	if len(actions.Claims) > 0 && !m.g.leaving.Load() {
		m.claim(ctx, actions.Claims)
	}
	if now-m.lastRenewCheck >= renewCheckInterval && !m.g.leaving.Load() {
		m.lastRenewCheck = now
		m.renew(ctx, v)
	}
	if !m.g.control.Status().LogAvailable {
		return
	}
	for _, h := range actions.Handovers {
		m.pending[h.Partition] = true
		go m.handOver(ctx, h)
	}
}

// planView returns the input of ownership.Plan.
func (m *membership) planView(now time.Duration, v *state.Snapshot) ownership.View {
	view := ownership.View{
		Self:      m.g.ref(),
		Gateways:  []ownership.GatewayState{{Ref: m.g.ref(), LastHeard: now, Leaving: m.g.leaving.Load()}},
		Reachable: len(v.Agents) == 0 || m.g.engine.reachable.Load(),
	}
	for _, p := range m.peers {
		view.Gateways = append(view.Gateways, ownership.GatewayState{
			Ref: p.ref, LastHeard: p.lastHeard, HealthySince: p.healthySince, Leaving: p.leaving,
		})
	}
	for i := range m.g.opts.Partitions {
		id := model.Partition(i)
		o := v.Owners[id]
		view.Partitions = append(view.Partitions, ownership.PartitionState{
			Partition: id, Owner: ownership.GatewayRef{ID: o.Gateway, Incarnation: o.Incarnation},
			Epoch: o.Epoch, Pending: m.pending[id],
		})
	}
	return view
}

// renew claims partitions again that this gateway owns, to raise their base: the
// control state must keep all versions of the agent list since the base
// (ownership.ShouldRenew). Only a partition whose takeover is ready may be renewed,
// because a renewal asserts that no earlier owner is valid any more.
func (m *membership) renew(ctx context.Context, v *state.Snapshot) {
	ready, err := callEngine(ctx, m.g.engine, func(e *engine, now time.Time) []state.PartitionClaim { return e.readyPartitions(now) })
	if err != nil {
		return
	}
	list := agentMembers(v)
	var due []ownership.PlannedClaim
	for _, p := range ready {
		o := v.Owners[p.Partition]
		if o.Epoch == p.Replaces && !m.pending[p.Partition] && ownership.ShouldRenew(o.Base, v.Applied, list) {
			due = append(due, ownership.PlannedClaim{Partition: p.Partition, Replaces: p.Replaces})
		}
	}
	if len(due) > 0 {
		m.claim(ctx, due)
	}
}

// claim appends a claim of this gateway in the background.
func (m *membership) claim(ctx context.Context, claims []ownership.PlannedClaim) {
	c := state.Claim{Gateway: m.g.opts.ID, Incarnation: m.g.opts.Incarnation}
	for _, p := range claims {
		m.pending[p.Partition] = true
		c.Partitions = append(c.Partitions, state.PartitionClaim{Partition: p.Partition, Replaces: p.Replaces})
	}
	go func() {
		cctx, cancel := context.WithTimeout(ctx, claimTimeout)
		defer cancel()
		res, err := m.g.control.Claim(cctx, c)
		m.g.log.claimed(c, res, err)
		m.reportResult(ctx, func() {
			for _, p := range c.Partitions {
				delete(m.pending, p.Partition)
			}
		})
	}()
}

// handOver hands one partition over to another gateway and logs the result.
func (m *membership) handOver(ctx context.Context, h ownership.PlannedHandover) {
	defer m.reportResult(ctx, func() { delete(m.pending, h.Partition) })
	if err := m.g.handOver(ctx, h); !errors.Is(err, errSuccessorRefused) && !errors.Is(err, errNotOwned) {
		m.g.log.handedOver(h, err)
	}
}

// agentMembers returns the listed and the departed agents, whose list versions a
// takeover may need.
func agentMembers(v *state.Snapshot) []ownership.Member {
	out := make([]ownership.Member, 0, len(v.Agents)+len(v.Departed))
	for _, a := range v.Agents {
		out = append(out, ownership.Member{
			Agent: ownership.AgentRef{ID: a.ID, Incarnation: a.Incarnation}, Joined: a.Joined,
		})
	}
	for _, d := range v.Departed {
		out = append(out, ownership.Member{
			Agent: ownership.AgentRef{ID: d.ID, Incarnation: d.Incarnation}, Joined: d.Joined, Left: d.Left, LeftAt: d.LeftAt,
		})
	}
	return out
}
