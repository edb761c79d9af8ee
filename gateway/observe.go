package gateway

import (
	"context"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"github.com/rhubarbsail/rhubarbsail/common/events"
	"github.com/rhubarbsail/rhubarbsail/common/model"
	"github.com/rhubarbsail/rhubarbsail/common/telemetry"
	rhubarbsailv1 "github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/v1"
	"github.com/rhubarbsail/rhubarbsail/ownership"
	"github.com/rhubarbsail/rhubarbsail/scheduler"
	"github.com/rhubarbsail/rhubarbsail/state"
)

// metrics records the engine's metrics. The maps cache counters by their labels;
// only the engine goroutine accesses them.
type metrics struct {
	scope     tally.Scope
	frames    map[[2]string]tally.Counter
	wasted    map[string]tally.Counter
	taskRun   tally.Histogram
	taskQueue tally.Histogram
}

func newMetrics(s tally.Scope) *metrics {
	return &metrics{
		scope:     s,
		frames:    make(map[[2]string]tally.Counter),
		wasted:    make(map[string]tally.Counter),
		taskRun:   telemetry.TaskRun.Histogram(s),
		taskQueue: telemetry.TaskQueue.Histogram(s),
	}
}

// countFrame counts one frame that was sent or received on a link.
func (m *metrics) countFrame(direction, kind string) {
	k := [2]string{direction, kind}
	c, ok := m.frames[k]
	if !ok {
		c = telemetry.Messages.Counter(m.scope, direction, kind)
		m.frames[k] = c
	}
	c.Inc(1)
}

// countWasted counts frames that had no effect, such as the start of a task that the
// agent did not start.
func (m *metrics) countWasted(cause string, n int) {
	c, ok := m.wasted[cause]
	if !ok {
		c = telemetry.WastedMessages.Counter(m.scope, cause)
		m.wasted[cause] = c
	}
	c.Inc(int64(n))
}

// outcomeNames maps outcomes to their label in the metrics.
var outcomeNames = map[scheduler.OutcomeKind]string{
	scheduler.OutcomeSucceeded:  "succeeded",
	scheduler.OutcomeFailed:     "failed",
	scheduler.OutcomeNotStarted: "not_started",
	scheduler.OutcomeLost:       "lost",
}

// recordOutcome records the outcome of a placement and its run and queue times.
func (m *metrics) recordOutcome(k scheduler.OutcomeKind, r *rhubarbsailv1.TaskRecord) {
	telemetry.Tasks.Counter(m.scope, outcomeNames[k]).Inc(1)
	if k == scheduler.OutcomeNotStarted {
		m.countWasted(r.Refusal.String(), 1)
		return
	}
	m.taskRun.RecordValue(time.Duration(r.RunNanos).Seconds())
	m.taskQueue.RecordValue(time.Duration(r.QueueNanos).Seconds())
}

// recordAnswer records the answer of a job and the time since its acceptance.
func (m *metrics) recordAnswer(a model.Answer, took time.Duration) {
	telemetry.Jobs.Counter(m.scope, a.State.String(), string(a.Reason)).Inc(1)
	telemetry.JobDuration.Histogram(m.scope, a.State.String()).RecordValue(took.Seconds())
}

// jobSpan is the trace span of a job at its owner, with a child span for each
// placement of a task. The zero value records nothing.
type jobSpan struct {
	ctx        context.Context
	tracer     trace.Tracer
	span       trace.Span
	placements map[int]trace.Span
}

// startJobSpan starts the span of a job. It returns the zero value if the caller's
// request is not sampled.
func startJobSpan(ctx context.Context, t trace.Tracer, j *job) jobSpan {
	ctx, span := t.Start(ctx, "schedule", trace.WithAttributes(
		attribute.String("client", j.key.Client), attribute.String("key", j.key.Key),
		attribute.Int("tasks", j.taskCount),
	))
	if !span.IsRecording() {
		return jobSpan{}
	}
	return jobSpan{ctx: ctx, tracer: t, span: span, placements: make(map[int]trace.Span)}
}

// traceID returns the hexadecimal trace id, or "" if nothing is recorded.
func (s *jobSpan) traceID() string {
	if s.span == nil {
		return ""
	}
	return s.span.SpanContext().TraceID().String()
}

// startPlacement starts the span of a placement and returns its W3C traceparent, or
// "" if nothing is recorded.
func (s *jobSpan) startPlacement(a scheduler.Assignment) string {
	if s.span == nil {
		return ""
	}
	ctx, span := s.tracer.Start(s.ctx, "dispatch", trace.WithAttributes(
		attribute.Int("task", a.Task.Index), attribute.String("target", string(a.Target)),
		attribute.String("why", a.Reason),
	))
	s.placements[a.Task.Index] = span
	return telemetry.Traceparent(ctx)
}

// endPlacement ends the span of a placement.
func (s *jobSpan) endPlacement(index int, r *rhubarbsailv1.TaskRecord) {
	span, ok := s.placements[index]
	if !ok {
		return
	}
	delete(s.placements, index)
	if r.State != rhubarbsailv1.TaskState_TASK_STATE_SUCCEEDED {
		span.SetStatus(codes.Error, r.State.String())
	}
	span.End()
}

// end ends the spans of the job and of its open placements.
func (s *jobSpan) end(a model.Answer) {
	if s.span == nil {
		return
	}
	for _, t := range s.placements {
		t.End()
	}
	s.span.SetAttributes(attribute.String("run_state", a.State.String()))
	if a.State != model.RunComplete {
		s.span.SetStatus(codes.Error, string(a.Reason))
	}
	s.span.End()
	s.span = nil
	s.placements = nil
}

// eventLog logs the results of claims and handovers.
type eventLog struct{ logger zerolog.Logger }

func (e eventLog) claimed(c state.Claim, res state.Result, err error) {
	if err != nil {
		events.AppendUnknown.Log(e.logger).Err(err).Int("partitions", len(c.Partitions)).Send()
		return
	}
	events.PartitionsClaimed.Log(e.logger).Int("won", len(res.Won)).Int("lost", len(res.Lost)).Uint64("offset", res.Offset).Send()
}

func (e eventLog) handedOver(h ownership.PlannedHandover, err error) {
	ev := events.HandoverSent
	if err != nil {
		ev = events.HandoverFailed
	}
	ev.Log(e.logger).Err(err).Uint32("partition", uint32(h.Partition)).Str("to", h.To.ID).Send()
}
