package daemon

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"

	"github.com/rhubarbsail/rhubarbsail/common/events"
	"github.com/rhubarbsail/rhubarbsail/common/wait"
	pb "github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/restart/v1"
	"github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/restart/v1/restartv1connect"
	"github.com/rhubarbsail/rhubarbsail/platform"
	"github.com/rhubarbsail/rhubarbsail/restartable/link"
)

const (
	// introduceRetry is the time between two introductions to other gateways
	// until one of them has answered, introduceEvery that afterwards.
	introduceRetry = 200 * time.Millisecond
	introduceEvery = 2 * time.Second
	// registerRetry is the pause after a failed write of the gateway's record.
	registerRetry = time.Second
	// registerEvery is the time between two writes of the record, by which those
	// of living gateways stay the newest.
	registerEvery = 5 * time.Minute
	// recordsKept is the number of newest records that are read and kept. In a
	// cell that replaces one gateway a minute it holds those of many times
	// registerEvery.
	recordsKept = 128
	// peerTimeout bounds a call to another gateway.
	peerTimeout = 500 * time.Millisecond
)

// gatewayPeers is what a gateway has to do with the other gateways: it makes
// itself known to them and asks them for newer configurations.
type gatewayPeers struct {
	name      string
	address   string
	log       zerolog.Logger
	known     *link.Gateways
	client    *http.Client
	directory *platform.Directory
	// lost are the gateways that did not answer the last introduction. The
	// goroutine of introduce owns it.
	lost map[string]bool
}

// others returns the clients of the other gateways. Their calls are rare, and a
// connection kept in between may have gone silent: it is closed after each.
func (p *gatewayPeers) others() []otherGateway {
	var out []otherGateway
	for _, a := range p.known.All() {
		if a != p.address {
			out = append(out, otherGateway{a, restartv1connect.NewDispatchServiceClient(p.client, "http://"+a,
				connect.WithAcceptCompression("gzip", nil, nil))})
		}
	}
	return out
}

// otherGateway calls another gateway at its advertised address.
type otherGateway struct {
	address string
	restartv1connect.DispatchServiceClient
}

// Newer implements configsync.Peers. A gateway that does not answer is passed
// over here and logged by the introductions, which call it each 2 s.
func (p *gatewayPeers) Newer(ctx context.Context, version uint64) []byte {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	defer p.client.CloseIdleConnections()
	others := p.others()
	replies := make(chan *pb.ConfigurationReply, len(others))
	for _, o := range others {
		go func() {
			r, err := o.Configuration(ctx, connect.NewRequest(&pb.ConfigurationRequest{NewerThan: version}))
			if err != nil {
				replies <- nil
				return
			}
			replies <- r.Msg
		}()
	}
	var newest *pb.ConfigurationReply
	for range others {
		r := <-replies
		if r != nil && len(r.Document) > 0 && (newest == nil || r.Version > newest.Version) {
			newest = r
		}
	}
	if newest == nil {
		return nil
	}
	return newest.Document
}

// introduce makes this gateway known to the agents of the others. Another
// gateway may have been replaced since, so that it does not end.
func (p *gatewayPeers) introduce(ctx context.Context) {
	gap := introduceRetry
	for ctx.Err() == nil {
		if p.introduceOnce(ctx) {
			gap = introduceEvery
		}
		// A gateway that has just become known is introduced to at once.
		select {
		case <-ctx.Done():
		case <-time.After(gap):
		case <-p.known.Changed():
		}
	}
}

// introduction is the outcome of one call.
type introduction struct {
	to       string
	gateways []string
	err      error
}

// introduceOnce returns whether any other gateway has answered.
func (p *gatewayPeers) introduceOnce(ctx context.Context) bool {
	call, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	defer p.client.CloseIdleConnections()
	others := p.others()
	outcomes := make(chan introduction, len(others))
	for _, o := range others {
		go func() {
			r, err := o.Introduce(call, connect.NewRequest(&pb.IntroduceRequest{Gateway: p.address}))
			out := introduction{to: o.address, err: err}
			if err == nil {
				out.gateways = r.Msg.Gateways
			}
			outcomes <- out
		}()
	}
	lost, answered := map[string]bool{}, false
	for range others {
		out := <-outcomes
		if out.err != nil {
			lost[out.to] = true
			if !p.lost[out.to] && ctx.Err() == nil {
				events.GatewayLost.Log(p.log).Str("gateway", out.to).Err(out.err).Send()
			}
			continue
		}
		if p.lost[out.to] {
			events.GatewayRegained.Log(p.log).Str("gateway", out.to).Send()
		}
		answered = true
		p.known.Reached(out.to)
		for _, a := range out.gateways {
			p.known.Add(a)
		}
	}
	p.lost = lost
	return answered
}

// register reads the other gateways' addresses from the store and writes this
// one's. Of two gateways that start together each is told of the other by the
// store or by an introduction.
func (p *gatewayPeers) register(ctx context.Context) {
	for ctx.Err() == nil {
		gap := registerEvery
		if err := p.registerOnce(ctx); err != nil {
			events.GatewayRecordFailed.Log(p.log).Err(err).Send()
			gap = registerRetry
		}
		wait.For(ctx, gap)
	}
}

// registerOnce writes the record, and removes those that are too old to be of a
// living gateway. One that writes its record between the list and the removal
// loses it until it writes the next.
func (p *gatewayPeers) registerOnce(ctx context.Context) error {
	newest, err := p.directory.List(ctx)
	if err != nil {
		return err
	}
	kept := newest[:min(len(newest), recordsKept)]
	for _, r := range kept {
		p.known.Add(r.Address)
	}
	if err := p.directory.Register(ctx, p.name, p.address); err != nil {
		return err
	}
	for _, r := range newest[len(kept):] {
		if err := p.directory.Remove(ctx, r.Name); err != nil {
			return err
		}
	}
	return nil
}
