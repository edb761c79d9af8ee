package httpapi

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/rhubarbsail/rhubarbsail/common/events"
	"github.com/rhubarbsail/rhubarbsail/common/telemetry"
)

const (
	// scrapeTimeout bounds the wait for a busy gateway's status in a scrape.
	scrapeTimeout = 2 * time.Second
	// watchInterval is the time between two looks at the status.
	watchInterval = time.Second
)

// statusGauges reports the numbers of the status.
func statusGauges(ops Operations, set telemetry.Set) {
	ctx, cancel := context.WithTimeout(context.Background(), scrapeTimeout)
	defer cancel()
	s := ops.Status(ctx)
	connected, ejected, outstanding := 0, 0, 0
	for _, t := range s.Targets {
		connected += int(number(t.Connected))
		ejected += int(number(t.Ejected))
		outstanding += t.Outstanding
	}
	set(telemetry.Ready, number(s.Ready))
	set(telemetry.JobTableSize, float64(s.Jobs))
	set(telemetry.TasksQueued, float64(s.Queued))
	set(telemetry.TasksRunning, float64(outstanding))
	set(telemetry.Links, float64(connected))
	set(telemetry.TargetsEjected, float64(ejected))
	set(telemetry.PartitionsOwned, float64(s.Partitions))
	set(telemetry.PartitionsServing, float64(s.Serving))
	set(telemetry.ConfigVersion, float64(s.ConfigVersion))
	set(telemetry.LogAppliedOffset, float64(s.AppliedOffset))
	set(telemetry.LogReachable, number(s.LogReachable))
}

func number(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// Watch logs an event when readiness, the configuration or the use of a target
// changes, until ctx ends. Each gateway runs it in one goroutine.
func Watch(ctx context.Context, ops Operations, log zerolog.Logger) {
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	var w watcher
	for {
		w.observe(ops.Status(ctx), log)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// watcher keeps what was last logged. The goroutine of Watch owns it.
type watcher struct {
	known   bool
	ready   bool
	version uint64
	ejected map[string]bool
}

func (w *watcher) observe(s Status, log zerolog.Logger) {
	if !w.known || s.Ready != w.ready {
		events.ReadyChanged.Log(log).Bool("ready", s.Ready).Str("why", s.NotReadyReason).Send()
	}
	if s.ConfigVersion != w.version {
		events.ConfigApplied.Log(log).Uint64("version", s.ConfigVersion).Send()
	}
	ejected := make(map[string]bool, len(s.Targets))
	for _, t := range s.Targets {
		ejected[t.ID] = t.Ejected
		switch {
		case t.Ejected && !w.ejected[t.ID]:
			events.TargetEjected.Log(log).Str("target", t.ID).Str("why", t.Reason).Send()
		case !t.Ejected && w.ejected[t.ID]:
			events.TargetReadmitted.Log(log).Str("target", t.ID).Send()
		}
	}
	*w = watcher{known: true, ready: s.Ready, version: s.ConfigVersion, ejected: ejected}
}
