package daemon

import (
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/rhubarbsail/rhubarbsail/common/events"
	"github.com/rhubarbsail/rhubarbsail/common/telemetry"
	"github.com/rhubarbsail/rhubarbsail/restartable/dispatch"
	"github.com/rhubarbsail/rhubarbsail/restartable/runner"
)

// endings counts and times what ends, by two labels. Its user's lock owns it.
type endings struct {
	scope    tally.Scope
	count    telemetry.Metric
	duration telemetry.Metric
	made     map[[2]string]ending
}

type ending struct {
	count    tally.Counter
	duration tally.Histogram
}

// observe counts one end. The histogram has the first label only.
func (e *endings) observe(first, second string, took time.Duration) {
	key := [2]string{first, second}
	m, ok := e.made[key]
	if !ok {
		m = ending{e.count.Counter(e.scope, first, second), e.duration.Histogram(e.scope, first)}
		e.made[key] = m
	}
	m.count.Inc(1)
	m.duration.RecordDuration(took)
}

// jobObserver logs and counts answered jobs. The dispatcher's lock owns it.
type jobObserver struct {
	log     zerolog.Logger
	endings endings
}

func newJobObserver(log zerolog.Logger, scope tally.Scope) *jobObserver {
	return &jobObserver{log, endings{scope, telemetry.RestartableJobs, telemetry.RestartableDuration, map[[2]string]ending{}}}
}

// JobEnded implements dispatch.Observer.
func (o *jobObserver) JobEnded(e dispatch.FinishedJob) {
	a := e.Answer
	line := events.RestartableEnded.Log(o.log).Str("job", e.ID).Str("queue", e.Queue).Stringer("state", a.State).
		Str("cause", string(a.Cause)).Int("attempts", a.Attempts).Int("targets", a.Targets).Int64("elapsed_ms", a.Elapsed.Milliseconds())
	if b := a.Refusal; b != nil {
		line = line.Str("agent", b.Agent).Int64("heard_ms", b.ReportAge.Milliseconds()).Int64("estimate_ms", b.Estimate.Milliseconds()).
			Int64("wait_ms", b.Wait.Milliseconds()).Int64("run_ms", b.Run.Milliseconds()).
			Int64("objective_ms", b.Objective.Milliseconds()).Int64("deadline_ms", b.Deadline.Milliseconds())
	}
	if a.State == dispatch.Unfinished && len(a.Open) > 0 {
		line = line.Array("open", openTasks(a.Open))
	}
	line.Send()
	o.endings.observe(a.State.String(), string(a.Cause), a.Elapsed)
}

// attemptObserver counts ended attempts. The runner's lock owns it.
type attemptObserver struct{ endings endings }

func newAttemptObserver(scope tally.Scope) *attemptObserver {
	return &attemptObserver{endings{scope, telemetry.Attempts, telemetry.AttemptDuration, map[[2]string]ending{}}}
}

// AttemptEnded implements runner.Observer.
func (o *attemptObserver) AttemptEnded(r runner.Report) {
	o.endings.observe(r.Outcome.String(), string(r.Reason), r.RunTime)
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
