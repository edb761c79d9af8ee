package soak

import (
	"context"
	"sync"
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/wait"
	"github.com/rhubarbsail/rhubarbsail/platform/standin"
)

const (
	// readyEvery is the time between two readiness checks, missesMax the number
	// of failures after which a gateway gets no new connections.
	readyEvery  = time.Second
	missesMax   = 2
	configEvery = 150 * time.Millisecond
	runsEvery   = time.Second
	callTimeout = time.Second
)

// watch checks gateways' readiness, as the platform does, that no gateway goes
// back to an earlier configuration, and the runs at targets.
type watch struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

func startWatch(s *site, j *judge) *watch {
	ctx, cancel := context.WithCancel(context.Background())
	w := &watch{cancel: cancel}
	for _, g := range s.gateways {
		g.inRotation.Store(true)
		w.wg.Go(func() { watchReadiness(ctx, g) })
		w.wg.Go(func() { s.watchVersion(ctx, j, g) })
	}
	w.wg.Go(func() {
		for ctx.Err() == nil {
			j.checkRuns(false)
			wait.For(ctx, runsEvery)
		}
	})
	return w
}

func (w *watch) stop() {
	w.cancel()
	w.wg.Wait()
}

func watchReadiness(ctx context.Context, g *node) {
	misses := 0
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		if standin.Ready(call, g.readiness) {
			misses = 0
		} else {
			misses++
		}
		cancel()
		g.inRotation.Store(misses < missesMax)
		wait.For(ctx, readyEvery)
	}
}

// watchVersion follows which of the queues that are named after versions a
// gateway serves. A process may know less than the one before it.
func (s *site) watchVersion(ctx context.Context, j *judge, g *node) {
	process, seen := 0, uint64(0)
	for ctx.Err() == nil {
		wait.For(ctx, configEvery)
		pid := g.PID()
		if pid != process {
			process, seen = pid, 0
		}
		for next := seen + 1; next <= s.newestVersion(); next++ {
			if ok, err := s.serves(ctx, g, next); err != nil || !ok {
				break
			}
			seen = next
		}
		if seen == 0 || g.PID() != process {
			continue
		}
		if ok, err := s.serves(ctx, g, seen); err == nil && !ok && g.PID() == process && process != 0 {
			j.report("%s went back from configuration %d", g.Name, seen)
		}
	}
}

func (s *site) serves(ctx context.Context, g *node, version uint64) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.caller(g, versionQueue(version)).HasQueue(ctx)
}
