package httpapi

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/rhubarbsail/rhubarbsail/common/events"
	"github.com/rhubarbsail/rhubarbsail/common/telemetry"
)

const (
	// scrapeTimeout is how long a metrics scrape waits for the status of a busy
	// gateway.
	scrapeTimeout = 2 * time.Second
	// statusPollInterval is the time between two polls of the status.
	statusPollInterval = time.Second
)

// setStatusGauges sets the gauges that show the status.
func setStatusGauges(ops Operations, set telemetry.Set) {
	ctx, cancel := context.WithTimeout(context.Background(), scrapeTimeout)
	defer cancel()
	s := ops.Status(ctx)
	connected, ejected, outstanding := 0, 0, 0
	for _, t := range s.Targets {
		connected += int(boolToFloat(t.Connected))
		ejected += int(boolToFloat(t.Ejected))
		outstanding += t.Outstanding
	}
	set(telemetry.Ready, boolToFloat(s.Ready))
	set(telemetry.JobTableSize, float64(s.Jobs))
	set(telemetry.TasksQueued, float64(s.Queued))
	set(telemetry.TasksRunning, float64(outstanding))
	set(telemetry.Links, float64(connected))
	set(telemetry.TargetsEjected, float64(ejected))
	set(telemetry.PartitionsOwned, float64(s.Partitions))
	set(telemetry.PartitionsServing, float64(s.Serving))
	set(telemetry.ConfigVersion, float64(s.ConfigVersion))
	set(telemetry.LogAppliedOffset, float64(s.AppliedOffset))
	set(telemetry.LogReachable, boolToFloat(s.LogReachable))
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// Watch logs an event whenever the readiness or the configuration version changes
// or a target is ejected or readmitted, until ctx ends. Each gateway runs it in
// one goroutine.
func Watch(ctx context.Context, ops Operations, log zerolog.Logger) {
	tick := time.NewTicker(statusPollInterval)
	defer tick.Stop()
	var w statusWatcher
	for {
		w.observe(ops.Status(ctx), log)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// statusWatcher holds the values that were last logged. Only the goroutine of
// Watch uses it.
type statusWatcher struct {
	initialized bool
	ready       bool
	version     uint64
	ejected     map[string]bool
}

// observe logs the differences between a status and the previous one.
func (w *statusWatcher) observe(s Status, log zerolog.Logger) {
	if !w.initialized || s.Ready != w.ready {
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
	*w = statusWatcher{initialized: true, ready: s.Ready, version: s.ConfigVersion, ejected: ejected}
}
