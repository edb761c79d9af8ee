package gateway

import (
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/model"
	"github.com/rhubarbsail/rhubarbsail/scheduler"
)

// taskPhase is the progress of a task as its owner knows it.
type taskPhase uint8

const (
	// taskWaiting: not sent, or sent to an agent that reported it as not started.
	taskWaiting taskPhase = iota
	// taskSent: sent to an agent that has not reported its outcome; it may have started.
	taskSent
	// taskSucceeded: the result has arrived.
	taskSucceeded
	// taskFailedOrLost: it failed after its start, or its outcome is lost.
	taskFailedOrLost
)

// taskEntry is a task of a job in progress. Only the engine goroutine accesses it.
type taskEntry struct {
	phase taskPhase
	// attempt counts the placements under the current epoch.
	attempt uint32
	result  []byte
}

// reply is the engine's reply to a submission: an answer, or moved if the submitter
// must ask another owner.
type reply struct {
	answer model.Answer
	moved  bool
}

// job is a job in progress or an answered job that is retained. Only the engine
// goroutine accesses it.
type job struct {
	key         model.JobKey
	digest      model.Digest
	spec        *model.Job // nil once answered, to free the payloads
	submittedAt time.Time
	service     string
	deadline    time.Time
	traceID     string
	partition   model.Partition
	// handles identify the job in the scheduling policy. A task that is requeued
	// after a takeover gets a handle of its own.
	handles []scheduler.JobHandle
	tasks   []taskEntry
	// placementsAt counts the open placements at each agent.
	placementsAt map[*agentState]int
	// taskCount is the number of tasks. Unlike tasks, it is kept after the answer.
	taskCount   int
	remaining   int
	resultBytes int
	waiters     []chan<- reply
	answer      *model.Answer
	answeredAt  time.Time
	acceptedAt  time.Time
	// ownerChanged is set once another gateway owns the job.
	ownerChanged bool
	trace        decisionTrace
	span         jobSpan
}

func newJob(spec *model.Job, digest model.Digest, p model.Partition, now time.Time) *job {
	return &job{
		key:         spec.Key,
		digest:      digest,
		spec:        spec,
		submittedAt: spec.SubmittedAt,
		service:     spec.Service,
		deadline:    spec.Deadline,
		partition:   p,
		tasks:       make([]taskEntry, len(spec.Tasks)),
		taskCount:   len(spec.Tasks),
		remaining:   len(spec.Tasks),
		acceptedAt:  now,
	}
}

// answered reports whether the job has its final answer.
func (j *job) answered() bool { return j.answer != nil }

// mayRunAgain reports whether a resubmission runs the job: it was answered not_run,
// and the caller was told when to submit it again. A cancelled job stays cancelled.
func (j *job) mayRunAgain() bool {
	return j.answered() && j.answer.State == model.RunNotRun && j.answer.Reason != model.ReasonCancelled
}

// runState returns the state for a failed answer: RunNotRun only if no task can have
// started.
func (j *job) runState() model.RunState {
	for i := range j.tasks {
		if j.tasks[i].phase != taskWaiting {
			return model.RunMayHaveRun
		}
	}
	return model.RunNotRun
}

// hasWaitingTasks reports whether at least one task waits to be sent.
func (j *job) hasWaitingTasks() bool {
	for i := range j.tasks {
		if j.tasks[i].phase == taskWaiting {
			return true
		}
	}
	return false
}

// succeed stores a result. It returns false if the task already had an outcome.
func (j *job) succeed(index int, result []byte) bool {
	t := &j.tasks[index]
	if t.phase == taskSucceeded || t.phase == taskFailedOrLost {
		return false
	}
	t.phase = taskSucceeded
	t.result = result
	j.resultBytes += len(result)
	j.remaining--
	return true
}

// results returns the results in task order.
func (j *job) results() [][]byte {
	out := make([][]byte, len(j.tasks))
	for i := range j.tasks {
		out[i] = j.tasks[i].result
	}
	return out
}

// finish sets the final answer, sends it to all waiters and frees the memory that
// only a job in progress needs.
func (j *job) finish(a model.Answer, now time.Time) {
	j.answer = &a
	j.answeredAt = now
	j.deliver(reply{answer: a})
	j.spec = nil
	j.tasks = nil
	j.span.end(a)
}

// deliver sends r to all waiters. It does not block, because each waiter's channel
// has a buffer for one reply.
func (j *job) deliver(r reply) {
	for _, w := range j.waiters {
		w <- r
	}
	j.waiters = nil
}
