package daemon

import (
	"context"
	"maps"
	"os"
	"os/signal"
	"syscall"

	"github.com/rhubarbsail/rhubarbsail/common/events"
	"github.com/rhubarbsail/rhubarbsail/common/telemetry"
	"github.com/rhubarbsail/rhubarbsail/platform"
	"github.com/rhubarbsail/rhubarbsail/restartable/fairshare"
)

// sighups returns a channel that gets a value after SIGHUP. Several signals before it is
// read are one. The signal stays handled until the process ends: without a handler it
// would end the process.
func sighups() <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}

// reloadSettings applies the settings of fair shares anew after each signal until ctx is
// done. No other setting changes while the process runs.
func (g *PlatformGateway) reloadSettings(ctx context.Context, signals <-chan os.Signal, load func() (*platform.Node, error)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		n, err := load()
		if err != nil {
			events.FairSharesRejected.Log(g.log).Err(err).Send()
			continue
		}
		g.applyFairShares(n.FairShares)
	}
}

// applyFairShares applies settings. It logs nothing if fair shares were and are switched
// off.
func (g *PlatformGateway) applyFairShares(s fairshare.Settings) {
	if !s.Enabled && !g.dispatcher.WantsQueueUse() {
		return
	}
	g.dispatcher.SetFairShares(s)
	events.FairSharesApplied.Log(g.log).Bool("enabled", s.Enabled).Float64("default_weight", s.DefaultWeight).Interface("weights", s.Weights).Send()
}

// shareGauges shows the shares and the use of queues.
type shareGauges struct {
	gateway *PlatformGateway
	// shown holds the queues whose gauges are not 0.
	shown map[shownQueue]bool
}

type shownQueue struct{ service, queue string }

// update sets the gauges of all queues. Those of queues that have disappeared become 0.
func (s *shareGauges) update() {
	gone := maps.Clone(s.shown)
	for service, shares := range s.gateway.dispatcher.FairShares() {
		for _, share := range shares {
			q := shownQueue{service, share.Queue}
			delete(gone, q)
			s.shown[q] = true
			s.set(q, share)
		}
	}
	for q := range gone {
		delete(s.shown, q)
		s.set(q, fairshare.Share{})
	}
}

func (s *shareGauges) set(q shownQueue, share fairshare.Share) {
	scope := s.gateway.metrics.Scope
	telemetry.QueueShare.Gauge(scope, q.service, q.queue).Update(share.Share)
	telemetry.QueueUse.Gauge(scope, q.service, q.queue).Update(share.Use)
}
