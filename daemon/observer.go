package daemon

import (
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/rhubarbsail/rhubarbsail/common/events"
	"github.com/rhubarbsail/rhubarbsail/common/telemetry"
	"github.com/rhubarbsail/rhubarbsail/restartable/dispatch"
	"github.com/rhubarbsail/rhubarbsail/restartable/runner"
	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// outcomeMetrics counts jobs or attempts by two labels and records their
// duration. It is guarded by the lock of the caller.
type outcomeMetrics struct {
	scope       tally.Scope
	count       telemetry.Metric
	duration    telemetry.Metric
	instruments map[[2]string]outcomeInstruments
}

// outcomeInstruments are the instruments of one pair of label values. They are
// cached, since their lookup in the scope allocates.
type outcomeInstruments struct {
	count    tally.Counter
	duration tally.Histogram
}

// observe records one job or attempt. The histogram has the first label only.
func (e *outcomeMetrics) observe(first, second string, took time.Duration) {
	key := [2]string{first, second}
	m, ok := e.instruments[key]
	if !ok {
		m = outcomeInstruments{e.count.Counter(e.scope, first, second), e.duration.Histogram(e.scope, first)}
		e.instruments[key] = m
	}
	m.count.Inc(1)
	m.duration.RecordDuration(took)
}

// jobObserver logs and counts answered jobs. It is guarded by the dispatcher's
// lock.
type jobObserver struct {
	log     zerolog.Logger
	metrics outcomeMetrics
}

func newJobObserver(log zerolog.Logger, scope tally.Scope) *jobObserver {
	return &jobObserver{log, outcomeMetrics{scope, telemetry.RestartableJobs, telemetry.RestartableDuration, map[[2]string]outcomeInstruments{}}}
}

// JobEnded implements dispatch.Observer.
func (o *jobObserver) JobEnded(e dispatch.FinishedJob) {
	a := e.Answer
	line := events.RestartableEnded.Log(o.log).Str("job", e.ID).Str("queue", e.Queue).Stringer("state", a.State).
		Str("cause", string(a.Cause)).Int("attempts", a.Attempts).Int("targets", a.Targets).Int64("elapsed_ms", a.Elapsed.Milliseconds())
	if details := a.Refusal; details != nil {
		line = line.Str("agent", details.Agent).Int64("heard_ms", details.ReportAge.Milliseconds()).Int64("estimate_ms", details.Estimate.Milliseconds()).
			Int64("wait_ms", details.Wait.Milliseconds()).Int64("run_ms", details.Run.Milliseconds()).
			Int64("objective_ms", details.Objective.Milliseconds()).Int64("deadline_ms", details.Deadline.Milliseconds())
	}
	if details := a.Refusal; details != nil && details.Share != nil {
		s := details.Share
		line = line.Int64("share_cpu_millis", int64(s.Share)).Int64("use_cpu_millis", int64(s.Use)).
			Int64("demand_cpu_millis", int64(s.Demand)).Int64("retry_after_ms", a.RetryAfter.Milliseconds())
		telemetry.ShareRejections.Counter(o.metrics.scope, e.Queue).Inc(1)
	}
	if a.State == dispatch.Unfinished && len(a.Open) > 0 {
		line = line.Array("open", openTasks(a.Open))
	}
	line.Send()
	o.metrics.observe(a.State.String(), string(a.Cause), a.Elapsed)
}

// attemptObserver counts ended attempts and crashes of the target. It is guarded
// by the runner's lock.
type attemptObserver struct{ metrics outcomeMetrics }

func newAttemptObserver(scope tally.Scope) *attemptObserver {
	return &attemptObserver{outcomeMetrics{scope, telemetry.Attempts, telemetry.AttemptDuration, map[[2]string]outcomeInstruments{}}}
}

// TargetCrashed implements runner.Observer.
func (o *attemptObserver) TargetCrashed(reason task.Reason) {
	telemetry.TargetCrashes.Counter(o.metrics.scope, string(reason)).Inc(1)
}

// AttemptEnded implements runner.Observer.
func (o *attemptObserver) AttemptEnded(r runner.Report) {
	o.metrics.observe(r.Outcome.String(), string(r.Reason), r.RunTime)
}

// openTasks encodes the unfinished tasks of an answer for the log.
type openTasks []dispatch.OpenTask

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (o openTasks) MarshalZerologArray(a *zerolog.Array) {
	for _, t := range o {
		a.Dict(zerolog.Dict().Int("index", t.Index).Int("attempt", t.Attempt).Str("agent", t.Agent).
			Int64("age_ms", t.Age.Milliseconds()).Int64("expected_ms", t.Expected.Milliseconds()))
	}
}
