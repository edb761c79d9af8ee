package gateway

import "time"

const (
	// maxTraceSteps bounds the decision trace of one job. A job of 1300 tasks, the
	// largest, has at least 2600 steps: a send and an outcome for each task.
	maxTraceSteps = 4096
	// maxRetainedTraces is the number of answered jobs whose decision traces are
	// kept.
	maxRetainedTraces = 512
)

// wholeJob is the task index of steps that concern the whole job.
const wholeJob = -1

// traceStep is one decision or outcome in the trace of a job.
type traceStep struct {
	at     time.Time
	kind   string
	task   int
	target string
	detail string
}

// decisionTrace records for operators what was decided about a job and why.
type decisionTrace struct {
	steps []traceStep
	// dropped counts the steps above maxTraceSteps.
	dropped int
}

func (t *decisionTrace) add(at time.Time, kind string, task int, target, detail string) {
	if len(t.steps) >= maxTraceSteps {
		t.dropped++
		return
	}
	t.steps = append(t.steps, traceStep{at: at, kind: kind, task: task, target: target, detail: detail})
}
