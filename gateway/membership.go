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
	// startupDelay lets gateways that start together see each other before the
	// first claim, so that partitions need not move at once.
	startupDelay = 500 * time.Millisecond
	// claimTimeout bounds one attempt to claim or hand over.
	claimTimeout = 10 * time.Second
	// renewInterval is the time between two checks whether epochs are due for
	// renewal; list versions grow by a few an hour in a cell.
	renewInterval = 5 * time.Second
)

// peer is what this gateway knows of another member.
type peer struct {
	ref          ownership.GatewayRef
	lastHeard    time.Duration
	healthySince time.Duration
	leaving      bool
	pinging      bool
	// failed is set once the failure was logged.
	failed bool
}

// membership pings the other gateways, claims partitions and hands them over.
// One goroutine runs it and owns its fields; pings and claims run in goroutines
// of their own and report through results.
type membership struct {
	g       *Gateway
	peers   map[ownership.GatewayRef]*peer
	pending map[model.Partition]bool
	results chan func()
	// renewed is the time of the last check for renewals.
	renewed time.Duration
}

func newMembership(g *Gateway) *membership {
	return &membership{
		g: g, peers: make(map[ownership.GatewayRef]*peer),
		pending: make(map[model.Partition]bool), results: make(chan func(), 256),
	}
}

// run pings and plans until ctx ends.
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
			m.publish(now)
			if time.Now().After(start) {
				m.act(ctx, now, v)
			}
		}
	}
}

func (m *membership) done(ctx context.Context, apply func()) {
	select {
	case m.results <- apply:
	case <-ctx.Done():
	}
}

func (m *membership) syncPeers(now time.Duration, v *state.Snapshot) {
	live := make(map[ownership.GatewayRef]bool)
	for _, gw := range v.Gateways {
		ref := ownership.GatewayRef{ID: gw.ID, Incarnation: gw.Incarnation}
		if gw.Left || ref == m.g.ref() {
			continue
		}
		live[ref] = true
		if m.peers[ref] == nil {
			m.peers[ref] = &peer{ref: ref, lastHeard: now, healthySince: now}
		}
	}
	for ref := range m.peers {
		if !live[ref] {
			delete(m.peers, ref)
		}
	}
}

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

// publish tells the rest of the gateway which members answer.
func (m *membership) publish(now time.Duration) {
	alive := map[string]bool{m.g.opts.ID: true}
	for _, p := range m.peers {
		suspected := now-p.lastHeard >= m.g.opts.Ownership.SuspectAfter
		alive[p.ref.ID] = !suspected
		if suspected && !p.failed {
			events.GatewayFailed.Log(m.g.deps.Logger).Str("gateway", p.ref.ID).Send()
		}
		p.failed = suspected
	}
	m.g.alive.Store(&alive)
	m.g.successor.Store(m.hasSuccessor(now))
}

// hasSuccessor reports whether another gateway could take partitions over.
func (m *membership) hasSuccessor(now time.Duration) bool {
	for _, p := range m.peers {
		if !p.leaving && now-p.lastHeard < m.g.opts.Ownership.SuspectAfter {
			return true
		}
	}
	return false
}

func (m *membership) ping(ctx context.Context, sent time.Duration, p *peer, address string) {
	pctx, cancel := context.WithTimeout(ctx, m.g.opts.Ownership.SuspectAfter)
	defer cancel()
	resp, err := m.g.peers.Client(address).Ping(pctx, connect.NewRequest(&rhubarbsailv1.PingRequest{
		Gateway: m.g.opts.ID, Incarnation: uint64(m.g.opts.Incarnation),
	}))
	m.done(ctx, func() {
		p.pinging = false
		if err == nil && resp.Msg.Gateway == p.ref.ID && model.Incarnation(resp.Msg.Incarnation) == p.ref.Incarnation {
			p.lastHeard = sent
			p.leaving = resp.Msg.Leaving
		}
	})
}

// act carries out what the ownership rules ask for.
func (m *membership) act(ctx context.Context, now time.Duration, v *state.Snapshot) {
	if _, member := v.Member(m.g.opts.ID, m.g.opts.Incarnation); !member {
		return
	}
	actions := ownership.Plan(now, m.g.opts.Ownership, m.planView(now, v))
	if len(actions.Claims) > 0 && !m.g.leaving.Load() {
		m.claim(ctx, actions.Claims)
	}
	if now-m.renewed >= renewInterval && !m.g.leaving.Load() {
		m.renewed = now
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

// renew replaces the epochs of partitions whose list versions would grow the
// state (ownership.ShouldRenew). Only partitions whose takeover is ready may be
// renewed: a renewal states that all earlier owners have ended.
func (m *membership) renew(ctx context.Context, v *state.Snapshot) {
	ready, err := call(ctx, m.g.engine, func(e *engine, now time.Time) []state.PartitionClaim { return e.readyPartitions(now) })
	if err != nil {
		return
	}
	list := members(v)
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
		m.done(ctx, func() {
			for _, p := range c.Partitions {
				delete(m.pending, p.Partition)
			}
		})
	}()
}

// handOver gives one partition to another gateway: it stops work on it, sends
// the job table and then writes the claim for the successor.
func (m *membership) handOver(ctx context.Context, h ownership.PlannedHandover) {
	defer m.done(ctx, func() { delete(m.pending, h.Partition) })
	if err := m.g.handOver(ctx, h); !errors.Is(err, errSuccessorLeaving) && !errors.Is(err, errNotOwned) {
		m.g.log.handedOver(h, err)
	}
}

// members returns the agents of all list versions that a takeover may need.
func members(v *state.Snapshot) []ownership.Member {
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
