package agent

import (
	"context"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"github.com/rhubarbsail/rhubarbsail/agent/ledger"
	"github.com/rhubarbsail/rhubarbsail/common/events"
	"github.com/rhubarbsail/rhubarbsail/common/model"
	pb "github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/v1"
	"github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/v1/rhubarbsailv1connect"
)

const (
	// announceTimeout bounds one announcement. The gateway replies after it has
	// read the record back from the log.
	announceTimeout = 2 * time.Second
	// announceFirstRetry is the delay after the first failed announcement. It
	// doubles with each failure up to Options.AnnounceRetry.
	announceFirstRetry = 100 * time.Millisecond
	gatewayDialTimeout = time.Second
)

func newGatewayClient() connect.HTTPClient {
	t := &http.Transport{
		DialContext: (&net.Dialer{Timeout: gatewayDialTimeout}).DialContext,
		Protocols:   new(http.Protocols),
	}
	t.Protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: t}
}

// announceLoop announces the agent until ctx ends: immediately when the target
// changes or a regained lease needs a membership check, every
// Options.AnnouncePending until the log has recorded the agent, and every
// Options.AnnounceInterval after that. If the log has recorded the current
// incarnation as departed, which is final, it takes a new incarnation.
func (a *Agent) announceLoop(ctx context.Context) {
	retry := announceFirstRetry
	next := 0
	failing, joined := false, false
	for ctx.Err() == nil {
		req := a.announcement()
		wait := a.opts.AnnounceInterval
		if req != nil && len(a.opts.Gateways) > 0 {
			began := a.now()
			recorded, err := a.announceTo(ctx, a.opts.Gateways[next], req)
			switch {
			case connect.CodeOf(err) == connect.CodeFailedPrecondition && a.rejoin():
				wait = announceFirstRetry
			case err != nil:
				if !failing && ctx.Err() == nil {
					events.AnnounceFailed.Log(a.log).Str("gateway", a.opts.Gateways[next]).Err(err).Send()
				}
				next = (next + 1) % len(a.opts.Gateways)
				wait = retry
				retry = min(2*retry, a.opts.AnnounceRetry)
			case !recorded:
				wait, retry = a.opts.AnnouncePending, announceFirstRetry
			default:
				if req.Verify && a.lease.confirmMembership(began) {
					a.leaseChanged(true)
				}
				if !joined {
					events.AgentJoined.Log(a.log).Str("gateway", a.opts.Gateways[next]).Send()
				}
				retry, joined = announceFirstRetry, true
			}
			failing = err != nil
		}
		timer := time.NewTimer(jitter(wait))
		select {
		case <-timer.C:
		case <-a.announceNow:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// triggerAnnounce wakes the announce loop.
func (a *Agent) triggerAnnounce() {
	select {
	case a.announceNow <- struct{}{}:
	default:
	}
}

// announcement returns an announcement of the agent and its target. It returns nil
// if no target was announced yet or if the lease is not held, because an agent
// without a lease may be recorded as departed at any time.
func (a *Agent) announcement() *pb.AnnounceRequest {
	if !a.lease.held(a.now()) {
		return nil
	}
	return a.newAnnouncement()
}

// newAnnouncement returns an announcement without checking the lease.
func (a *Agent) newAnnouncement() *pb.AnnounceRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.target.name == "" {
		return nil
	}
	return &pb.AnnounceRequest{
		Agent:            a.opts.Agent,
		Incarnation:      uint64(a.incarnation),
		Address:          a.opts.Advertise,
		Worker:           a.opts.Worker,
		Rack:             a.opts.Rack,
		AvailabilityZone: a.opts.AvailabilityZone,
		Target:           a.target.name,
		Service:          a.target.service,
		Slots:            uint32(a.target.slots),
		Connections:      uint32(a.target.connections),
		Verify:           a.lease.needsMembershipCheck(),
	}
}

// rejoin takes a new incarnation after a gateway replied that the current one is
// recorded as departed, which happens after the agent was unreachable and lost its
// lease. The ledger is kept. It returns false if the lease is not held, because
// another agent with the same name may have replaced this one on the worker.
func (a *Agent) rejoin() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.deps.Clock.Now()
	if a.stopping || !a.lease.held(a.since(now)) {
		return false
	}
	old := a.incarnation
	a.incarnation = max(model.Incarnation(now.UnixNano()), old+1)
	a.ledger.SetIncarnation(a.incarnation)
	a.dropQueue(a.since(now), ledger.Leaving)
	// Gateways opened their links to the old incarnation and must reconnect.
	for _, s := range a.sessions {
		s.abort()
	}
	events.AgentRejoined.Log(a.log).Uint64("old", uint64(old)).Uint64("incarnation", uint64(a.incarnation)).Send()
	return true
}

func (a *Agent) announceTo(ctx context.Context, address string, req *pb.AnnounceRequest) (recorded bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	c := rhubarbsailv1connect.NewGatewayServiceClient(a.deps.GatewayClient, "http://"+address,
		connect.WithAcceptCompression("gzip", nil, nil))
	resp, err := c.Announce(ctx, connect.NewRequest(req))
	if err != nil {
		return false, errors.Wrapf(err, "announce to %s", address)
	}
	return resp.Msg.GetRecorded(), nil
}

// announceLeaving announces to the gateways in turn, until one accepts it, that
// the agent is leaving. It must be called after the outcomes were delivered: owners
// stop waiting for outcomes of this agent once the log has recorded that it left.
func (a *Agent) announceLeaving() {
	req := a.newAnnouncement()
	if req == nil {
		return
	}
	req.Leaving = true
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, address := range a.opts.Gateways {
		_, err := a.announceTo(ctx, address, req)
		if err == nil {
			return
		}
		events.AnnounceFailed.Log(a.log).Str("gateway", address).Bool("leaving", true).Err(err).Send()
	}
}
