package daemon

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"

	"github.com/rhubarbsail/rhubarbsail/common/boottime"
	"github.com/rhubarbsail/rhubarbsail/common/events"
	"github.com/rhubarbsail/rhubarbsail/common/wait"
	pb "github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/restart/v1"
	"github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/restart/v1/restartv1connect"
	"github.com/rhubarbsail/rhubarbsail/platform"
	"github.com/rhubarbsail/rhubarbsail/restartable/cancel"
	"github.com/rhubarbsail/rhubarbsail/restartable/configsync"
	"github.com/rhubarbsail/rhubarbsail/restartable/link"
	"github.com/rhubarbsail/rhubarbsail/restartable/zones"
)

const (
	// introduceRetryInterval is the interval between rounds of Introduce calls until
	// a peer has answered and each has been called once.
	introduceRetryInterval = 200 * time.Millisecond
	// introduceInterval is the interval between rounds after that.
	introduceInterval = 2 * time.Second
	// introduceCycleRounds is the number of rounds in which each peer is called once.
	// A cycle takes much less time than that for which a gateway counts as reachable.
	introduceCycleRounds = 10
	// minIntroduceCalls is the minimum number of calls in a round.
	minIntroduceCalls = 4
	// configurationFanOut is the number of peers that are asked for a newer
	// configuration at a time. If the store refuses half of the peers as well, 1 in 64
	// attempts finds none with a newer one, and the next attempt follows within a
	// second.
	configurationFanOut = 6
	// storeReaders is the number of agents that are asked to read the store at a time.
	// If the store rejects a third of them, 1 in 27 attempts finds none that it serves.
	storeReaders = 3
	// storeRetryDelay is the delay after a failed read or write of a record.
	storeRetryDelay = time.Second
	// registerInterval is the interval at which a gateway rewrites its record, so that
	// the records of running gateways stay the newest.
	registerInterval = 5 * time.Minute
	// maxGatewayRecords is the number of newest records that are read and kept. In a
	// cell that replaces one gateway a minute they cover many times registerInterval,
	// so that the record of a running gateway is among them.
	maxGatewayRecords = 128
	// maxRecordRemovals limits the removals of old records in one registerInterval. All
	// gateways together remove far more than a cell replaces, and do not overload the
	// store if another writer has left thousands of records.
	maxRecordRemovals = 16
	// peerTimeout limits a call to another gateway.
	peerTimeout = 500 * time.Millisecond
	// maxConfirmedAgeMs is the largest age of a configuration that a peer's answer may
	// have; a larger one may not fit into a time.Duration.
	maxConfirmedAgeMs = uint64(24 * time.Hour / time.Millisecond)
)

// gatewayPeers announces a gateway to its peers, the other gateways, registers it
// in the store's registry and fetches newer configurations from its peers.
type gatewayPeers struct {
	name     string
	address  string
	log      zerolog.Logger
	known    *link.Gateways
	client   *http.Client
	registry *platform.GatewayRegistry
	// links are those to the agents of this gateway.
	links *link.Server
	// lastCalls holds the last Introduce call to each peer by address, and round the
	// number of the current round. Only the goroutine of introduce uses them.
	lastCalls map[string]introduceCall
	round     int
	// onReached is called with the address of each peer that answers for the first time, or
	// again. It may be nil.
	onReached func(address string)
}

// introduceCall is the round and outcome of an Introduce call.
type introduceCall struct {
	round    int
	answered bool
}

// peerAddresses returns the addresses of the known gateways without this one.
func (p *gatewayPeers) peerAddresses() []string {
	return slices.DeleteFunc(p.known.All(), func(a string) bool { return a == p.address })
}

// peerClients returns a client for each address. Callers close idle connections
// after use: calls are rare, and a connection kept between them may be dead.
func (p *gatewayPeers) peerClients(addresses []string) []peerClient {
	out := make([]peerClient, len(addresses))
	for i, a := range addresses {
		out[i] = peerClient{a, restartv1connect.NewDispatchServiceClient(p.client, "http://"+a,
			connect.WithAcceptCompression("gzip", nil, nil))}
	}
	return out
}

// peerClient is a client of another gateway at its advertised address.
type peerClient struct {
	address string
	restartv1connect.DispatchServiceClient
}

// Newer implements configsync.Peers. It asks configurationFanOut peers, chosen at
// random each time, to limit the load when all gateways ask during an outage of
// the store. Peers that do not answer are skipped; introduce logs them.
func (p *gatewayPeers) Newer(ctx context.Context, version, revision uint64) configsync.Newer {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	defer p.client.CloseIdleConnections()
	addresses := p.peerAddresses()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	others := p.peerClients(addresses[:min(len(addresses), configurationFanOut)])
	request := &pb.ConfigurationRequest{NewerThan: version, DrainsNewerThan: revision}
	asked := boottime.Now()
	replies := make(chan *pb.ConfigurationReply, len(others))
	for _, o := range others {
		go func() {
			r, err := o.Configuration(ctx, connect.NewRequest(request))
			if err != nil {
				replies <- nil
				return
			}
			replies <- r.Msg
		}()
	}
	newest := configsync.Newer{Asked: len(others)}
	for range others {
		r := <-replies
		if r == nil {
			continue
		}
		newest.Answered++
		if age := r.ConfirmedAgeMs; age > 0 && age <= maxConfirmedAgeMs {
			// The peer measured the age after this gateway had asked.
			newest.AsOf = max(newest.AsOf, asked-time.Duration(age)*time.Millisecond)
		}
		if len(r.Document) > 0 && r.Version > version {
			version, newest.Document = r.Version, r.Document
		}
		if r.DrainsRevision > revision {
			revision, newest.Drains = r.DrainsRevision, zones.New(r.DrainsRevision, r.DrainedZones...)
		}
	}
	return newest
}

// RequestStoreReads implements configsync.Peers.
func (p *gatewayPeers) RequestStoreReads(version, revision uint64) int {
	return p.links.RequestStoreReads(storeReaders, version, revision)
}

// introduce announces this gateway to its peers, which pass its address on to
// their agents. It repeats this until ctx is done, since peers may be replaced.
func (p *gatewayPeers) introduce(ctx context.Context) {
	interval := introduceRetryInterval
	for ctx.Err() == nil {
		answered, more := p.introduceRound(ctx)
		switch {
		case more:
			interval = introduceRetryInterval
		case answered:
			interval = introduceInterval
		}
		// A newly discovered gateway is called without waiting for the interval.
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		case <-p.known.Changed():
		}
	}
}

// introduceResult is the result of one Introduce call: the gateways that the peer
// knows, or an error.
type introduceResult struct {
	address  string
	gateways []string
	err      error
}

// nextRound starts a round and returns the peers to call in it: those whose last
// call is the longest ago. more reports whether further peers have never been
// called.
func (p *gatewayPeers) nextRound() (addresses []string, more bool) {
	others := p.peerAddresses()
	lastCalls := make(map[string]introduceCall, len(others))
	for _, a := range others {
		if last, ok := p.lastCalls[a]; ok {
			lastCalls[a] = last
		}
	}
	p.lastCalls = lastCalls
	p.round++
	n := min(len(others), max(minIntroduceCalls, (len(others)+introduceCycleRounds-1)/introduceCycleRounds))
	slices.SortStableFunc(others, func(a, b string) int { return cmp.Compare(lastCalls[a].round, lastCalls[b].round) })
	return others[:n], n < len(others) && lastCalls[others[n]].round == 0
}

// introduceRound calls the peers of one round. It reports whether any of them has
// answered and whether further peers have never been called.
func (p *gatewayPeers) introduceRound(ctx context.Context) (answered, more bool) {
	call, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	defer p.client.CloseIdleConnections()
	addresses, more := p.nextRound()
	results := make(chan introduceResult, len(addresses))
	for _, o := range p.peerClients(addresses) {
		go func() {
			r, err := o.Introduce(call, connect.NewRequest(&pb.IntroduceRequest{Gateway: p.address}))
			result := introduceResult{address: o.address, err: err}
			if err == nil {
				result.gateways = r.Msg.Gateways
			}
			results <- result
		}()
	}
	for range addresses {
		result := <-results
		if ctx.Err() != nil {
			continue
		}
		p.recordResult(result)
		if result.err == nil {
			answered = true
		}
	}
	return answered, more
}

// recordResult stores the result of a call and adds the gateways that the peer
// knows. It logs a peer once when it stops answering and once when it answers
// again.
func (p *gatewayPeers) recordResult(result introduceResult) {
	last, called := p.lastCalls[result.address]
	lost := called && !last.answered
	p.lastCalls[result.address] = introduceCall{round: p.round, answered: result.err == nil}
	if result.err != nil {
		if !lost {
			events.GatewayLost.Log(p.log).Str("gateway", result.address).Err(result.err).Send()
		}
		return
	}
	if (lost || !called) && p.onReached != nil {
		p.onReached(result.address)
	}
	if lost {
		events.GatewayRegained.Log(p.log).Str("gateway", result.address).Send()
	}
	p.known.MarkReached(result.address)
	for _, a := range result.gateways {
		p.known.Add(a)
	}
}

// register periodically reads the peers' addresses from the store and writes this
// gateway's own. Two gateways that start at the same time learn of each other
// from the store or from an Introduce call.
func (p *gatewayPeers) register(ctx context.Context) {
	for ctx.Err() == nil {
		interval := registerInterval
		if err := p.registerOnce(ctx); err != nil {
			events.GatewayRecordFailed.Log(p.log).Err(err).Send()
			interval = storeRetryDelay
		}
		wait.For(ctx, interval)
	}
}

// registerOnce writes this gateway's record and removes some of the records beyond the
// newest maxGatewayRecords, which are too old to belong to running gateways. A
// gateway whose old record is removed just after it was rewritten is missing from
// the registry until its next write.
func (p *gatewayPeers) registerOnce(ctx context.Context) error {
	newest, err := p.registry.List(ctx)
	if err != nil {
		return err
	}
	recent := newest[:min(len(newest), maxGatewayRecords)]
	for _, r := range recent {
		p.known.Add(r.Address)
	}
	if err := p.registry.Register(ctx, p.name, p.address); err != nil {
		return err
	}
	old := newest[len(recent):]
	for _, r := range old[max(0, len(old)-maxRecordRemovals):] {
		if err := p.registry.Remove(ctx, r.Name); err != nil {
			// This gateway is registered, so that the removal can wait for its next
			// write.
			events.GatewayRecordFailed.Log(p.log).Str("record", r.Name).Err(err).Send()
			break
		}
	}
	return nil
}

// cancelConn is a connection to a gateway that cancellations are passed on to.
type cancelConn struct {
	restartv1connect.DispatchServiceClient
	http *http.Client
	self string
}

// dialForCancel returns a connection of its own, which is closed once nothing is left to
// cancel: one that is kept may be dead.
func (p *gatewayPeers) dialForCancel(address string) cancel.Conn {
	c := link.NewHTTPClient()
	return &cancelConn{restartv1connect.NewDispatchServiceClient(c, "http://"+address, connect.WithAcceptCompression("gzip", nil, nil)), c, p.address}
}

// CancelJobs implements cancel.Conn.
func (p *cancelConn) CancelJobs(ctx context.Context, jobs []string) ([]string, error) {
	r, err := p.DispatchServiceClient.CancelJobs(ctx, connect.NewRequest(&pb.CancelJobsRequest{Jobs: jobs, Gateway: p.self}))
	switch {
	case err == nil:
		return r.Msg.Found, nil
	case connect.CodeOf(err) == connect.CodeUnimplemented:
		// Gateways of earlier releases cancel only at their own callers' request.
		return nil, nil
	default:
		return nil, err
	}
}

// Close implements cancel.Conn.
func (p *cancelConn) Close() { p.http.CloseIdleConnections() }
