package gateway

import "time"

const (
	// maxTraceSteps bounds the decision trace of one job: a job of 1,300 tasks
	// has a send and an outcome for each.
	maxTraceSteps = 4096
	// retainedTraces is the number of answered jobs whose traces are kept.
	retainedTraces = 512
)

// wholeJob is the task index of a step that concerns the whole job.
const wholeJob = -1

// traceStep is one decision about a job.
type traceStep struct {
	at     time.Time
	kind   string
	task   int
	target string
	detail string
}

// decisionTrace records what was decided about a job and why, for operators.
type decisionTrace struct {
	steps   []traceStep
	dropped int
}

func (t *decisionTrace) add(at time.Time, kind string, task int, target, detail string) {
	if len(t.steps) >= maxTraceSteps {
		t.dropped++
		return
	}
	t.steps = append(t.steps, traceStep{at: at, kind: kind, task: task, target: target, detail: detail})
}
