package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/fairshare"
	"github.com/rhubarbsail/rhubarbsail/restartable/queues"
	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// Step is a set of identical tasks of a job.
type Step struct {
	Tasks int
	Needs task.Resources
	// Estimate is the caller's rough estimate of a task's run time.
	Estimate time.Duration
	// DependsOn lists the indices of earlier steps that must be done first.
	DependsOn []int
	// RequiredLabel is a label that the target must have; empty for none.
	RequiredLabel string
	// DataRack is the label of targets on the rack that holds the tasks' data. On
	// other targets they run slower. It may be empty.
	DataRack string
	// MaxPerTarget is the maximum number of tasks of the step on one target; 0 means
	// no limit.
	MaxPerTarget int
	// Gang is set if the tasks must all run at the same time (gang scheduling).
	Gang bool
	// Opportunistic is set if the tasks use only capacity that other tasks leave idle.
	Opportunistic bool
}

// Submission is a job as a caller submits it.
type Submission struct {
	ID    string
	Queue queues.Queue
	Spec  string
	Steps []Step
	// Wait is how long the caller waits for the answer, 0 if it does not say.
	Wait time.Duration
	// Durable is set if the job must survive a restart of this process.
	Durable bool
	// LongRunning is set if the job runs until it is cancelled.
	LongRunning bool
	// RepeatCount above 0 is the number of occurrences of a repeated job.
	RepeatCount int
}

// supported reports whether this release can run the job.
func (s *Submission) supported() bool {
	if s.Durable || s.LongRunning || s.RepeatCount > 0 || s.Queue.HasAdvisor {
		return false
	}
	return !slices.ContainsFunc(s.Steps, func(st Step) bool { return st.Gang || st.Opportunistic })
}

// State is the final state of a job.
type State int

const (
	// Completed means that every task has succeeded.
	Completed State = iota + 1
	// Failed means that a task has failed as often as its queue allows, or that too
	// many targets have crashed under it.
	Failed
	// NotRun means that no task has started and none will start.
	NotRun
	// Unfinished means that the job was aborted after a task may have started; tasks
	// that still run are being stopped.
	Unfinished
)

var stateNames = map[State]string{Completed: "completed", Failed: "failed", NotRun: "not_run", Unfinished: "unfinished"}

// String returns the name used in logs and metrics.
func (s State) String() string { return stateNames[s] }

// Cause says why a job was not completed.
type Cause string

// Causes of answers.
const (
	CauseNone        Cause = ""
	CauseAttempts    Cause = "attempts"    // a task has failed too often
	CauseCrashes     Cause = "crashes"     // too many targets went down under a task
	CauseLost        Cause = "lost"        // too many attempts of a task were lost
	CauseOverload    Cause = "overload"    // it was not expected to end in time
	CauseNoTarget    Cause = "no_target"   // no suitable target accepts tasks
	CauseTooLarge    Cause = "too_large"   // no target of the service is large enough for a task and has the required label
	CauseUnsupported Cause = "unsupported" // this release cannot run the job
	CauseDeadline    Cause = "deadline"    // it was not done by its deadline
	CauseAgentLost   Cause = "agent_lost"  // the link to an agent that ran a task ended
	CauseCallerLeft  Cause = "caller_left" // no caller waits for the answer any more
	CauseCancelled   Cause = "cancelled"   // a caller cancelled it
	CauseEarlierRun  Cause = "earlier_run" // a run of an earlier submission of the job has not ended
	CauseSuspended   Cause = "suspended"   // this gateway has just resumed after a suspension
	CauseInDoubt     Cause = "in_doubt"    // a target has not answered a start and may still carry it out
)

// Answer is the final answer to a submission.
type Answer struct {
	State State
	Cause Cause
	// RetryAfter is how long the caller should wait before it resubmits a job that
	// has not run.
	RetryAfter time.Duration
	// Attempts is the number of attempts of the job's tasks, Targets the number of
	// targets that they were sent to.
	Attempts int
	Targets  int
	// Elapsed is the time since the job arrived.
	Elapsed time.Duration
	// Refusal is set if the job was refused or aborted for lack of time or targets.
	Refusal *RefusalDetails
	// Open lists the first few tasks that were not done.
	Open []OpenTask
}

// OpenTask describes a task that is not done when its job is answered.
type OpenTask struct {
	Index, Attempt int
	// Agent is the agent that the task was sent to, Age the time since then. Agent
	// is empty if the task was on no target.
	Agent string
	Age   time.Duration
	// Expected is the predicted run time on the agent's target.
	Expected time.Duration
}

// maxOpenTasks is the maximum number of open tasks that an answer lists.
const maxOpenTasks = 4

// openTasks lists the first tasks that are not done.
func (j *job) openTasks(now time.Duration) []OpenTask {
	var out []OpenTask
	for _, step := range j.tasks {
		for _, t := range step {
			if t.state == done || len(out) == maxOpenTasks {
				continue
			}
			o := OpenTask{Index: t.id.Index, Attempt: t.attempt}
			if t.agent != nil {
				o.Agent, o.Age, o.Expected = t.agent.Name, now-t.sentAt, t.expected
			}
			out = append(out, o)
		}
	}
	return out
}

// RefusalDetails holds the prediction that led to the refusal or abort of a job:
// that of the first task that was not expected to end in time.
type RefusalDetails struct {
	// Agent is the best agent for the task, empty if there is none. ReportAge is
	// the age of that agent's last report.
	Agent     string
	ReportAge time.Duration
	// Estimate is the caller's estimate of the run time, Run the predicted run time
	// and Wait the predicted wait for the target.
	Estimate, Wait, Run time.Duration
	// Objective and Deadline are the times that were left until the job's objective
	// and deadline.
	Objective, Deadline time.Duration
	// Share is the share of the job's queue if the job was refused for it.
	Share *fairshare.Share
}

// taskState is the gateway's state of one task.
type taskState int

const (
	// waiting tasks are on no target.
	waiting taskState = iota
	// placed tasks were sent to an agent and have not ended.
	placed
	// recalled tasks were sent to an agent and are being stopped there, to run on
	// another target.
	recalled
	done
)

// taskRecord is the gateway's record of one task.
type taskRecord struct {
	id    task.ID
	state taskState
	// attempt is the number of the latest attempt.
	attempt int
	// failures counts the failed attempts, losses the lost ones, recalls the recalled
	// ones.
	failures int
	losses   int
	recalls  int
	// busyRefusals counts the attempts that were refused because they could not start
	// immediately.
	busyRefusals int
	// agent is the agent that the task is on, or nil; sentAt is when it was sent.
	agent  *agent
	sentAt time.Duration
	// expected is the predicted run time on the target.
	expected time.Duration
	// started is set once the agent has reported that the latest attempt has started, by a
	// start that was sent once.
	started bool
	// startAt is when the latest attempt has started, or the predicted time until the
	// agent has reported the start.
	startAt time.Duration
	// doneOn is the agent on which the task is done, and doneRatio the ratio of its run
	// time there to the predicted one.
	doneOn    string
	doneRatio float64
	// inDoubtOn is the agent on which an earlier start of the recalled task is in doubt, if
	// that is why it was recalled.
	inDoubtOn string
	// lateOn are the agents whose targets may carry out an earlier or the present start late.
	lateOn []string
	// failedOn is the agent of the last failed, lost or recalled attempt. The next attempt
	// avoids it.
	failedOn string
}

// job is a job in progress.
type job struct {
	Submission
	arrived time.Duration
	// objective and deadline are the times until which the job should be and must be
	// answered. startBy is the time until which its first task must have started.
	objective time.Duration
	deadline  time.Duration
	startBy   time.Duration
	tasks     [][]*taskRecord // by step and index
	remaining []int           // by step: the number of tasks that are not done
	// expected holds, by step, the predicted run time of a task on a target of
	// slowness 1.
	expected []time.Duration
	// started is set once a task is known to have started, lost once an attempt was
	// lost.
	started bool
	lost    bool
	// unanswered is set once a start got no answer. A target that restarts under its ID
	// may execute it seconds later, so that the job is not answered as not run.
	unanswered bool
	// held is set once the job has been held for a start in doubt.
	held bool
	// trial is the task that was placed last while the job was suspected of crashing its
	// targets.
	trial *taskRecord
	// inFlight counts the tasks that were sent to an agent and have not ended.
	inFlight int
	attempts int
	// agents are all agents that tasks of the job were sent to, with the number of
	// attempts that each was sent.
	agents  map[*agent]int
	callers []*Caller
	// refusal is set if the job is aborted for lack of time or targets.
	refusal *RefusalDetails
	// revokeCause is the cause for which the job is being revoked, if any.
	revokeCause Cause
	revokedAt   time.Duration
}

func newJob(now time.Duration, s Submission, predict func(time.Duration) time.Duration) *job {
	wait := cmp.Or(s.Wait, s.Queue.Timeout)
	j := &job{Submission: s, arrived: now, deadline: now + wait, startBy: now + min(wait, s.Queue.Timeout), agents: map[*agent]int{}}
	for step, st := range s.Steps {
		records := make([]*taskRecord, st.Tasks)
		for i := range records {
			records[i] = &taskRecord{id: task.ID{StepID: task.StepID{Job: s.ID, Step: step}, Index: i}}
		}
		j.tasks = append(j.tasks, records)
		j.remaining = append(j.remaining, st.Tasks)
		j.expected = append(j.expected, predict(st.Estimate))
	}
	j.objective = now + s.Queue.TargetLatency + time.Duration(s.Queue.StretchFactor*float64(j.criticalPath()))
	return j
}

// criticalPath returns the expected run time of the job's critical path: the longest
// sum of run times along the dependencies of its steps.
func (j *job) criticalPath() time.Duration {
	longest := make([]time.Duration, len(j.Steps))
	var all time.Duration
	for i, s := range j.Steps {
		for _, before := range s.DependsOn {
			longest[i] = max(longest[i], longest[before])
		}
		longest[i] += j.expected[i]
		all = max(all, longest[i])
	}
	return all
}

// ready reports whether all steps that step depends on are done.
func (j *job) ready(step int) bool {
	for _, before := range j.Steps[step].DependsOn {
		if j.remaining[before] > 0 {
			return false
		}
	}
	return true
}

// waitingTasks returns the tasks of step that can be placed: none unless the step
// is ready.
func (j *job) waitingTasks(step int) []*taskRecord {
	var out []*taskRecord
	if !j.ready(step) {
		return nil
	}
	for _, t := range j.tasks[step] {
		if t.state == waiting {
			out = append(out, t)
		}
	}
	return out
}

// complete reports whether all tasks are done.
func (j *job) complete() bool {
	for _, n := range j.remaining {
		if n > 0 {
			return false
		}
	}
	return true
}

// answer answers all callers.
func (j *job) answer(a Answer) {
	for _, c := range j.callers {
		c.Answer(a)
	}
}
