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

	"github.com/rhubarbsail/rhubarbsail/common/events"
	"github.com/rhubarbsail/rhubarbsail/common/wait"
	pb "github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/restart/v1"
	"github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/restart/v1/restartv1connect"
	"github.com/rhubarbsail/rhubarbsail/platform"
	"github.com/rhubarbsail/rhubarbsail/restartable/link"
)

const (
	// introduceRetry is the time between two introductions to other gateways
	// until one of them has answered and each has been tried, introduceEvery that
	// afterwards.
	introduceRetry = 200 * time.Millisecond
	introduceEvery = 2 * time.Second
	// introduceRounds is the number of rounds in which each other gateway is called
	// once, and introduceMin the least number of calls of a round. The rounds take
	// well below the time for which a gateway counts as reachable.
	introduceRounds = 10
	introduceMin    = 4
	// configurationsAsked is the number of other gateways that are asked for a newer
	// configuration at a time. With half of them turned away by the store as well,
	// 1 in 64 questions finds none, and the next one follows within a second.
	configurationsAsked = 6
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
	directory *platform.GatewayRegistry
	// introduced are the gateways that have been called, and whether the last call
	// was answered; round counts the rounds. The goroutine of introduce owns both.
	introduced map[string]lastIntroduction
	round      int
}

// lastIntroduction is the last call to a gateway.
type lastIntroduction struct {
	round    int
	answered bool
}

// others returns the addresses of the other gateways.
func (p *gatewayPeers) others() []string {
	return slices.DeleteFunc(p.known.All(), func(a string) bool { return a == p.address })
}

// clients returns the clients of gateways. Their calls are rare, and a
// connection kept in between may have gone silent: it is closed after each.
func (p *gatewayPeers) clients(addresses []string) []otherGateway {
	out := make([]otherGateway, len(addresses))
	for i, a := range addresses {
		out[i] = otherGateway{a, restartv1connect.NewDispatchServiceClient(p.client, "http://"+a,
			connect.WithAcceptCompression("gzip", nil, nil))}
	}
	return out
}

// otherGateway calls another gateway at its advertised address.
type otherGateway struct {
	address string
	restartv1connect.DispatchServiceClient
}

// Newer implements configsync.Peers. It asks some of the other gateways, drawn
// anew each time: in an outage of the store all gateways ask at once. One that does
// not answer is passed over here and logged by the introductions.
func (p *gatewayPeers) Newer(ctx context.Context, version uint64) []byte {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	defer p.client.CloseIdleConnections()
	addresses := p.others()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	others := p.clients(addresses[:min(len(addresses), configurationsAsked)])
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
		answered, more := p.introduceOnce(ctx)
		switch {
		case more:
			gap = introduceRetry
		case answered:
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

// nextRound returns the gateways to call in the next round: those that have not
// been called for the longest time. More tells whether there are others that
// have never been called.
func (p *gatewayPeers) nextRound() (addresses []string, more bool) {
	others := p.others()
	kept := make(map[string]lastIntroduction, len(others))
	for _, a := range others {
		if last, ok := p.introduced[a]; ok {
			kept[a] = last
		}
	}
	p.introduced = kept
	p.round++
	n := min(len(others), max(introduceMin, (len(others)+introduceRounds-1)/introduceRounds))
	slices.SortStableFunc(others, func(a, b string) int { return cmp.Compare(kept[a].round, kept[b].round) })
	return others[:n], n < len(others) && kept[others[n]].round == 0
}

// introduceOnce calls the gateways of one round. It returns whether any has
// answered, and whether others have not been called yet.
func (p *gatewayPeers) introduceOnce(ctx context.Context) (answered, more bool) {
	call, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	defer p.client.CloseIdleConnections()
	addresses, more := p.nextRound()
	outcomes := make(chan introduction, len(addresses))
	for _, o := range p.clients(addresses) {
		go func() {
			r, err := o.Introduce(call, connect.NewRequest(&pb.IntroduceRequest{Gateway: p.address}))
			out := introduction{to: o.address, err: err}
			if err == nil {
				out.gateways = r.Msg.Gateways
			}
			outcomes <- out
		}()
	}
	for range addresses {
		out := <-outcomes
		if ctx.Err() != nil {
			continue
		}
		p.note(out)
		if out.err == nil {
			answered = true
		}
	}
	return answered, more
}

// note takes in the outcome of an introduction and logs a gateway that is lost
// or regained with it.
func (p *gatewayPeers) note(out introduction) {
	last, called := p.introduced[out.to]
	lost := called && !last.answered
	p.introduced[out.to] = lastIntroduction{round: p.round, answered: out.err == nil}
	if out.err != nil {
		if !lost {
			events.GatewayLost.Log(p.log).Str("gateway", out.to).Err(out.err).Send()
		}
		return
	}
	if lost {
		events.GatewayRegained.Log(p.log).Str("gateway", out.to).Send()
	}
	p.known.MarkReached(out.to)
	for _, a := range out.gateways {
		p.known.Add(a)
	}
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
