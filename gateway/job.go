package gateway

import (
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/model"
	"github.com/rhubarbsail/rhubarbsail/scheduler"
)

// taskPhase is the owner's view of one task.
type taskPhase uint8

const (
	// taskWaiting: not sent, or an agent has said that it did not start it.
	taskWaiting taskPhase = iota
	// taskSent: sent to an agent whose answer is outstanding; it may have started.
	taskSent
	// taskSucceeded: the result is present.
	taskSucceeded
	// taskEnded: started and failed, or its outcome is lost.
	taskEnded
)

// taskEntry is owned by the engine goroutine.
type taskEntry struct {
	phase taskPhase
	// attempt counts the placements under the present epoch.
	attempt uint32
	result  []byte
}

// reply is what the engine gives to a submission: an answer, or moved when the
// partition has another owner.
type reply struct {
	answer model.Answer
	moved  bool
}

// job is a job in progress or a retained answer. The engine goroutine owns it.
type job struct {
	key       model.JobKey
	digest    model.Digest
	spec      *model.Job // nil once answered, to free the payloads
	submitted time.Time
	service   string
	deadline  time.Time
	traceID   string
	partition model.Partition
	// handles are the names of the job in the policy. A task that comes back
	// after a takeover is admitted again under a handle of its own.
	handles []scheduler.JobHandle
	tasks   []taskEntry
	// sentTo counts the placements in flight at each agent.
	sentTo map[*agentState]int
	// taskCount is kept after the answer, when tasks is freed.
	taskCount   int
	remaining   int
	resultBytes int
	waiters     []chan<- reply
	answer      *model.Answer
	answeredAt  time.Time
	accepted    time.Time
	// gone is set once another gateway owns the job.
	gone  bool
	trace decisionTrace
	span  jobSpan
}

func newJob(spec *model.Job, digest model.Digest, p model.Partition, now time.Time) *job {
	return &job{
		key:       spec.Key,
		digest:    digest,
		spec:      spec,
		submitted: spec.SubmittedAt,
		service:   spec.Service,
		deadline:  spec.Deadline,
		partition: p,
		tasks:     make([]taskEntry, len(spec.Tasks)),
		taskCount: len(spec.Tasks),
		remaining: len(spec.Tasks),
		accepted:  now,
	}
}

// answered reports whether the job has its final answer.
func (j *job) answered() bool { return j.answer != nil }

// mayRunAgain reports whether a resubmission starts the job anew: it was given
// up before any start, and the caller was told when to come back. A cancelled
// job stays cancelled.
func (j *job) mayRunAgain() bool {
	return j.answered() && j.answer.State == model.RunNotRun && j.answer.Reason != model.ReasonCancelled
}

// runState returns the state of a failed answer given now: not run only if no
// start of any task can have happened.
func (j *job) runState() model.RunState {
	for i := range j.tasks {
		if j.tasks[i].phase != taskWaiting {
			return model.RunMayHaveRun
		}
	}
	return model.RunNotRun
}

// waitingTasks reports whether a task waits to be sent.
func (j *job) waitingTasks() bool {
	for i := range j.tasks {
		if j.tasks[i].phase == taskWaiting {
			return true
		}
	}
	return false
}

// succeed stores a result. It reports whether the task was outstanding.
func (j *job) succeed(index int, result []byte) bool {
	t := &j.tasks[index]
	if t.phase == taskSucceeded || t.phase == taskEnded {
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

// finish sets the final answer, gives it to every waiter and frees what only a
// job in progress needs.
func (j *job) finish(a model.Answer, now time.Time) {
	j.answer = &a
	j.answeredAt = now
	j.deliver(reply{answer: a})
	j.spec = nil
	j.tasks = nil
	j.span.end(a)
}

// deliver sends r to all waiters. Each waiter's channel has room for one reply.
func (j *job) deliver(r reply) {
	for _, w := range j.waiters {
		w <- r
	}
	j.waiters = nil
}
