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

// metrics counts what the gateway does. The engine goroutine owns the maps,
// which keep metrics that are looked up often.
type metrics struct {
	scope    tally.Scope
	messages map[[2]string]tally.Counter
	wasted   map[string]tally.Counter
	taskRun  tally.Histogram
	taskWait tally.Histogram
}

func newMetrics(s tally.Scope) *metrics {
	return &metrics{
		scope:    s,
		messages: make(map[[2]string]tally.Counter),
		wasted:   make(map[string]tally.Counter),
		taskRun:  telemetry.TaskRun.Histogram(s),
		taskWait: telemetry.TaskQueue.Histogram(s),
	}
}

// frame counts one frame on a link.
func (m *metrics) frame(direction, kind string) {
	k := [2]string{direction, kind}
	c, ok := m.messages[k]
	if !ok {
		c = telemetry.Messages.Counter(m.scope, direction, kind)
		m.messages[k] = c
	}
	c.Inc(1)
}

// waste counts frames that a perfect dispatcher would not have sent.
func (m *metrics) waste(cause string, n int) {
	c, ok := m.wasted[cause]
	if !ok {
		c = telemetry.WastedMessages.Counter(m.scope, cause)
		m.wasted[cause] = c
	}
	c.Inc(int64(n))
}

var outcomeNames = map[scheduler.OutcomeKind]string{
	scheduler.OutcomeSucceeded:  "succeeded",
	scheduler.OutcomeFailed:     "failed",
	scheduler.OutcomeNotStarted: "not_started",
	scheduler.OutcomeLost:       "lost",
}

func (m *metrics) taskEnded(k scheduler.OutcomeKind, r *rhubarbsailv1.TaskRecord) {
	telemetry.Tasks.Counter(m.scope, outcomeNames[k]).Inc(1)
	if k == scheduler.OutcomeNotStarted {
		m.waste(r.Refusal.String(), 1)
		return
	}
	m.taskRun.RecordValue(time.Duration(r.RunNanos).Seconds())
	m.taskWait.RecordValue(time.Duration(r.QueueNanos).Seconds())
}

func (m *metrics) jobAnswered(a model.Answer, took time.Duration) {
	telemetry.Jobs.Counter(m.scope, a.State.String(), string(a.Reason)).Inc(1)
	telemetry.JobDuration.Histogram(m.scope, a.State.String()).RecordValue(took.Seconds())
}

// jobSpan is the span of a job at its owner, with a child for each placement
// of a task. The zero value records nothing.
type jobSpan struct {
	ctx    context.Context
	tracer trace.Tracer
	span   trace.Span
	tasks  map[int]trace.Span
}

// startJob starts the span of a job. It records only if the caller's request
// is sampled.
func startJob(ctx context.Context, t trace.Tracer, j *job) jobSpan {
	ctx, span := t.Start(ctx, "schedule", trace.WithAttributes(
		attribute.String("client", j.key.Client), attribute.String("key", j.key.Key),
		attribute.Int("tasks", j.taskCount),
	))
	if !span.IsRecording() {
		return jobSpan{}
	}
	return jobSpan{ctx: ctx, tracer: t, span: span, tasks: make(map[int]trace.Span)}
}

// traceID returns the hexadecimal id of the trace, or "".
func (s *jobSpan) traceID() string {
	if s.span == nil {
		return ""
	}
	return s.span.SpanContext().TraceID().String()
}

// dispatched starts the span of a placement and returns its traceparent.
func (s *jobSpan) dispatched(a scheduler.Assignment) string {
	if s.span == nil {
		return ""
	}
	ctx, span := s.tracer.Start(s.ctx, "dispatch", trace.WithAttributes(
		attribute.Int("task", a.Task.Index), attribute.String("target", string(a.Target)),
		attribute.String("why", a.Reason),
	))
	s.tasks[a.Task.Index] = span
	return telemetry.Traceparent(ctx)
}

// taskEnded ends the span of a placement.
func (s *jobSpan) taskEnded(index int, r *rhubarbsailv1.TaskRecord) {
	span, ok := s.tasks[index]
	if !ok {
		return
	}
	delete(s.tasks, index)
	if r.State != rhubarbsailv1.TaskState_TASK_STATE_SUCCEEDED {
		span.SetStatus(codes.Error, r.State.String())
	}
	span.End()
}

// end ends the job's span and those of its open placements.
func (s *jobSpan) end(a model.Answer) {
	if s.span == nil {
		return
	}
	for _, t := range s.tasks {
		t.End()
	}
	s.span.SetAttributes(attribute.String("run_state", a.State.String()))
	if a.State != model.RunComplete {
		s.span.SetStatus(codes.Error, string(a.Reason))
	}
	s.span.End()
	s.span = nil
	s.tasks = nil
}

// eventLog writes the gateway's log events.
type eventLog struct{ l zerolog.Logger }

func (e eventLog) claimed(c state.Claim, res state.Result, err error) {
	if err != nil {
		events.AppendUnknown.Log(e.l).Err(err).Int("partitions", len(c.Partitions)).Send()
		return
	}
	events.PartitionsClaimed.Log(e.l).Int("won", len(res.Won)).Int("lost", len(res.Lost)).Uint64("offset", res.Offset).Send()
}

func (e eventLog) handedOver(h ownership.PlannedHandover, err error) {
	ev := events.HandoverSent
	if err != nil {
		ev = events.HandoverFailed
	}
	ev.Log(e.l).Err(err).Uint32("partition", uint32(h.Partition)).Str("to", h.To.ID).Send()
}
