package daemon

import (
	"context"
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/telemetry"
	"github.com/rhubarbsail/rhubarbsail/common/wait"
)

// gaugeInterval is the interval at which gauges are updated.
const gaugeInterval = time.Second

// updateGauges updates the gauges of a gateway periodically until ctx is done.
func (g *PlatformGateway) updateGauges(ctx context.Context) {
	scope := g.metrics.Scope
	jobs, agents := telemetry.RestartableInProgress.Gauge(scope), telemetry.AgentsAttached.Gauge(scope)
	accepting, avoided := telemetry.AgentsAccepting.Gauge(scope), telemetry.AgentsAvoided.Gauge(scope)
	capacity, committed := telemetry.CapacityCPU.Gauge(scope), telemetry.CommittedCPU.Gauge(scope)
	version, confirmed := telemetry.QueuesVersion.Gauge(scope), telemetry.QueuesConfirmed.Gauge(scope)
	drained := telemetry.ZonesDrained.Gauge(scope)
	inDoubt := telemetry.TasksInDoubt.Gauge(scope)
	shares := &shareGauges{gateway: g, shown: map[shownQueue]bool{}}
	crashed, confined := telemetry.CrashedJobs.Gauge(scope), telemetry.QueuesConfined.Gauge(scope)
	for ctx.Err() == nil {
		s := g.dispatcher.Status()
		jobs.Update(float64(s.Jobs))
		agents.Update(float64(s.Agents))
		accepting.Update(float64(s.Accepting))
		avoided.Update(float64(s.Avoided))
		crashed.Update(float64(s.CrashedJobs))
		confined.Update(float64(s.Confined))
		inDoubt.Update(float64(s.TasksInDoubt))
		shares.update()
		capacity.Update(float64(s.Capacity))
		committed.Update(float64(s.Committed))
		version.Update(float64(g.queuesVersion()))
		drained.Update(float64(len(g.drains.Get().Zones())))
		confirmed.Update(g.syncer.Age().Seconds())
		wait.For(ctx, gaugeInterval)
	}
}

// updateGauges updates the gauges of an agent periodically until ctx is done.
func (a *PlatformAgent) updateGauges(ctx context.Context) {
	scope := a.metrics.Scope
	running, queued := telemetry.RunsAtWork.Gauge(scope), telemetry.RunsQueued.Gauge(scope)
	slowness, failed := telemetry.TargetSlowness.Gauge(scope), telemetry.TargetFailed.Gauge(scope)
	accepting, linked := telemetry.TargetAccepting.Gauge(scope), telemetry.GatewaysLinked.Gauge(scope)
	for ctx.Err() == nil {
		_, l, _ := a.runner.Load()
		running.Update(float64(l.Running))
		queued.Update(float64(l.Queued))
		slowness.Update(l.Slowness * l.Anomaly)
		failed.Update(l.FailedShare)
		value := 0.0
		if l.Accepting {
			value = 1
		}
		accepting.Update(value)
		linked.Update(float64(a.links.LinksUp()))
		wait.For(ctx, gaugeInterval)
	}
}
