package soak

import (
	"context"
	"sync"
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/wait"
	"github.com/rhubarbsail/rhubarbsail/platform/standin"
)

const (
	// readinessInterval is the time between two readiness checks,
	// readinessFailuresMax the number of consecutive failures after which a gateway
	// gets no new connections.
	readinessInterval    = time.Second
	readinessFailuresMax = 2
	configCheckInterval  = 150 * time.Millisecond
	runsCheckInterval    = time.Second
	callTimeout          = time.Second
)

// monitor takes gateways out of rotation by their readiness, as the platform does.
// It also checks continuously that no gateway returns to an earlier configuration,
// and the runs at the targets.
type monitor struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

func startMonitor(s *system, check *checker) *monitor {
	ctx, cancel := context.WithCancel(context.Background())
	m := &monitor{cancel: cancel}
	for _, g := range s.gateways {
		g.inRotation.Store(true)
		m.wg.Go(func() { watchReadiness(ctx, g) })
		m.wg.Go(func() { s.watchVersion(ctx, check, g) })
	}
	m.wg.Go(func() {
		for ctx.Err() == nil {
			check.checkRuns(false)
			wait.For(ctx, runsCheckInterval)
		}
	})
	return m
}

func (m *monitor) stop() {
	m.cancel()
	m.wg.Wait()
}

func watchReadiness(ctx context.Context, g *node) {
	failures := 0
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		if standin.Ready(call, g.readinessAddr) {
			failures = 0
		} else {
			failures++
		}
		cancel()
		g.inRotation.Store(failures < readinessFailuresMax)
		wait.For(ctx, readinessInterval)
	}
}

// watchVersion follows the configuration version of a gateway by the version queues
// that it serves, and reports a decrease and a version that it has not in time. A restarted process may start with an
// earlier version than its predecessor had.
func (s *system) watchVersion(ctx context.Context, check *checker, g *node) {
	watchedPID, seen := 0, uint64(0)
	for ctx.Err() == nil {
		wait.For(ctx, configCheckInterval)
		pid := g.PID()
		if pid != watchedPID {
			watchedPID, seen = pid, 0
		}
		for next := seen + 1; next <= s.newestVersion(); next++ {
			overdue := s.isOverdue(g, next)
			ok, err := s.servesVersion(ctx, g, next)
			if err == nil && !ok && overdue && g.PID() == watchedPID && s.isOverdue(g, next) {
				check.report("%s has not applied configuration %d in time", g.Name, next)
			}
			if err != nil || !ok {
				break
			}
			seen = next
		}
		if seen == 0 || g.PID() != watchedPID {
			continue
		}
		if ok, err := s.servesVersion(ctx, g, seen); err == nil && !ok && g.PID() == watchedPID && watchedPID != 0 {
			check.report("%s returned from configuration %d to an earlier one", g.Name, seen)
		}
	}
}

func (s *system) servesVersion(ctx context.Context, g *node, version uint64) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.caller(g, versionQueue(version)).HasQueue(ctx)
}
