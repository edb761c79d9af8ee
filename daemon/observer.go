package daemon

import (
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/rhubarbsail/rhubarbsail/common/events"
	"github.com/rhubarbsail/rhubarbsail/common/telemetry"
	"github.com/rhubarbsail/rhubarbsail/restartable/dispatch"
	"github.com/rhubarbsail/rhubarbsail/restartable/runner"
)

// jobObserver logs and counts answered jobs. The dispatcher's lock owns it.
type jobObserver struct {
	log   zerolog.Logger
	scope tally.Scope
	made  map[[2]string]jobMetrics
}

type jobMetrics struct {
	count    tally.Counter
	duration tally.Histogram
}

func newJobObserver(log zerolog.Logger, scope tally.Scope) *jobObserver {
	return &jobObserver{log: log, scope: scope, made: map[[2]string]jobMetrics{}}
}

// JobEnded implements dispatch.Observer.
func (o *jobObserver) JobEnded(e dispatch.Ended) {
	a := e.Answer
	line := events.RestartableEnded.Log(o.log).Str("job", e.ID).Str("queue", e.Queue).Stringer("state", a.State).
		Str("cause", string(a.Cause)).Int("attempts", a.Attempts).Int("targets", a.Targets).Int64("elapsed_ms", a.Elapsed.Milliseconds())
	if b := a.Basis; b != nil {
		line = line.Str("agent", b.Agent).Int64("heard_ms", b.Heard.Milliseconds()).Int64("estimate_ms", b.Estimate.Milliseconds()).
			Int64("wait_ms", b.Wait.Milliseconds()).Int64("run_ms", b.Run.Milliseconds()).
			Int64("objective_ms", b.Objective.Milliseconds()).Int64("deadline_ms", b.Deadline.Milliseconds())
	}
	if a.State == dispatch.Unfinished && len(a.Open) > 0 {
		line = line.Array("open", openTasks(a.Open))
	}
	line.Send()
	key := [2]string{a.State.String(), string(a.Cause)}
	m, ok := o.made[key]
	if !ok {
		m = jobMetrics{
			count:    telemetry.RestartableJobs.Counter(o.scope, key[0], key[1]),
			duration: telemetry.RestartableDuration.Histogram(o.scope, key[0]),
		}
		o.made[key] = m
	}
	m.count.Inc(1)
	m.duration.RecordDuration(a.Elapsed)
}

// attemptObserver counts ended attempts. The runner's lock owns it.
type attemptObserver struct {
	scope tally.Scope
	made  map[[2]string]attemptMetrics
}

type attemptMetrics struct {
	count    tally.Counter
	duration tally.Histogram
}

func newAttemptObserver(scope tally.Scope) *attemptObserver {
	return &attemptObserver{scope: scope, made: map[[2]string]attemptMetrics{}}
}

// AttemptEnded implements runner.Observer.
func (o *attemptObserver) AttemptEnded(r runner.Report) {
	key := [2]string{r.Outcome.String(), string(r.Reason)}
	m, ok := o.made[key]
	if !ok {
		m = attemptMetrics{
			count:    telemetry.Attempts.Counter(o.scope, key[0], key[1]),
			duration: telemetry.AttemptDuration.Histogram(o.scope, key[0]),
		}
		o.made[key] = m
	}
	m.count.Inc(1)
	m.duration.RecordDuration(r.RunTime)
}

// openTasks writes the open tasks of an answer to the log.
type openTasks []dispatch.OpenTask

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (o openTasks) MarshalZerologArray(a *zerolog.Array) {
	for _, t := range o {
		a.Dict(zerolog.Dict().Int("index", t.Index).Int("attempt", t.Attempt).Str("agent", t.Agent).
			Int64("age_ms", t.Age.Milliseconds()).Int64("expected_ms", t.Expected.Milliseconds()))
	}
}
