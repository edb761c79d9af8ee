package dispatch

import (
	"slices"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/queues"
	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// Step is a set of equal tasks of a job.
type Step struct {
	Tasks int
	Needs task.Resources
	// Estimate is the caller's rough estimate of a task's run time.
	Estimate time.Duration
	// DependsOn lists earlier steps that have to be done first.
	DependsOn []int
	// RequiredLabel is a label that the target must have.
	RequiredLabel string
	// DataRack is the rack on which the tasks run at full speed.
	DataRack string
	// MaxPerTarget bounds the tasks of the step on one target; 0 for no limit.
	MaxPerTarget int
	// Gang tasks work only all together.
	Gang bool
	// Opportunistic tasks take what other tasks of a target leave unused.
	Opportunistic bool
}

// Submission is a job as a caller hands it in.
type Submission struct {
	ID    string
	Queue queues.Queue
	Spec  string
	Steps []Step
	// Wait is how long the caller waits for the answer.
	Wait time.Duration
	// Durable jobs have to outlast this process, LongRunning ones run until they are
	// cancelled, and Times above 0 asks for that many occurrences.
	Durable, LongRunning bool
	RepeatCount          int
}

// supported tells whether this release runs jobs of this kind.
func (s *Submission) supported() bool {
	if s.Durable || s.LongRunning || s.RepeatCount > 0 || s.Queue.HasAdvisor {
		return false
	}
	return !slices.ContainsFunc(s.Steps, func(st Step) bool { return st.Gang || st.Opportunistic })
}

// State is the kind of an answer.
type State int

const (
	// Completed means that every task has ended as done.
	Completed State = iota + 1
	// Failed means that a task has failed as often as its queue allows.
	Failed
	// NotRun means that no task has started and none will.
	NotRun
	// Unfinished means that the job was given up after a task may have started;
	// whatever still runs is being stopped.
	Unfinished
)

var stateNames = map[State]string{Completed: "completed", Failed: "failed", NotRun: "not_run", Unfinished: "unfinished"}

// String returns the name used in logs and metrics.
func (s State) String() string { return stateNames[s] }

// Cause tells why a job was not completed.
type Cause string

// Causes of answers.
const (
	CauseNone        Cause = ""
	CauseAttempts    Cause = "attempts"    // a task has failed too often
	CauseOverload    Cause = "overload"    // it could not be done in time
	CauseNoTarget    Cause = "no_target"   // no suitable target takes work
	CauseTooLarge    Cause = "too_large"   // no target has room for a task
	CauseUnsupported Cause = "unsupported" // this release does not run jobs of its kind
	CauseDeadline    Cause = "deadline"    // its time ran out
	CauseAgentLost   Cause = "agent_lost"  // the link to an agent that ran a task ended
	CauseCallerLeft  Cause = "caller_left" // nobody waits for the answer
	CauseCancelled   Cause = "cancelled"   // a caller has cancelled it
	CauseEarlierRun  Cause = "earlier_run" // a run of an earlier submission of the job has not ended
	CauseSuspended   Cause = "suspended"   // this gateway did not run for a while
)

// Answer is the final answer to a submission.
type Answer struct {
	State State
	Cause Cause
	// RetryAfter is when the caller may submit a job that has not run again.
	RetryAfter time.Duration
	// Attempts, Targets and Elapsed describe the way to the answer.
	Attempts int
	Targets  int
	Elapsed  time.Duration
	// Refusal is the prediction that decided a refusal.
	Refusal *RefusalDetails
	// Open lists some tasks that had not ended.
	Open []OpenTask
}

// OpenTask is a task that has not ended when its job is answered.
type OpenTask struct {
	Index, Attempt int
	// Agent is where the task was sent Age ago; empty if it was on no target.
	Agent string
	Age   time.Duration
	// Expected is the predicted run time there.
	Expected time.Duration
}

// openTasksMax bounds the open tasks that an answer lists.
const openTasksMax = 4

// openTasks lists the first tasks that have not ended.
func (j *job) openTasks(now time.Duration) []OpenTask {
	var out []OpenTask
	for _, step := range j.tasks {
		for _, t := range step {
			if t.state == done || len(out) == openTasksMax {
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

// RefusalDetails is the prediction for the task of a job that would end last.
type RefusalDetails struct {
	// Agent is the best agent for the task, empty if there is none; Heard is the
	// age of its last report.
	Agent     string
	ReportAge time.Duration
	// Estimate is the caller's, Wait and Run are what was predicted from it.
	Estimate, Wait, Run time.Duration
	// Objective and Deadline are the times that were left.
	Objective, Deadline time.Duration
}

// taskState is what is known of one task.
type taskState int

const (
	// waiting tasks are on no target.
	waiting taskState = iota
	// placed tasks have been sent to an agent and have not ended.
	placed
	// recalled tasks have been sent and are being stopped, to run elsewhere.
	recalled
	done
)

type taskRecord struct {
	id      task.ID
	state   taskState
	attempt int
	failed  int
	recalls int
	// returned counts the attempts that could not begin at once.
	returned int
	agent    *agent
	sentAt   time.Duration
	// expected is the predicted run time on its target.
	expected time.Duration
	// overdueAt is when the run is taken to hang.
	overdueAt time.Duration
	// failedOn is the agent of the last failed run; the next one goes elsewhere.
	failedOn string
}

type job struct {
	Submission
	arrived time.Duration
	// objective and deadline are times of the core's clock.
	objective time.Duration
	deadline  time.Duration
	tasks     [][]*taskRecord
	left      []int // tasks of each step that are not done
	// expected are the run times of each step's tasks at slowness one.
	expected []time.Duration
	// begun is set once a task has run; onTargets counts the tasks that have been
	// sent and have not ended.
	begun     bool
	onTargets int
	attempts  int
	agents    map[*agent]bool
	callers   []*Caller
	// basis is the prediction that decided a refusal.
	basis *RefusalDetails
	// withdrawn is why the job is being taken back from the agents.
	withdrawn   Cause
	withdrawnAt time.Duration
}

func newJob(now time.Duration, s Submission, predict func(time.Duration) time.Duration) *job {
	j := &job{Submission: s, arrived: now, deadline: now + min(s.Wait, s.Queue.Timeout), agents: map[*agent]bool{}}
	for step, st := range s.Steps {
		records := make([]*taskRecord, st.Tasks)
		for i := range records {
			records[i] = &taskRecord{id: task.ID{StepID: task.StepID{Job: s.ID, Step: step}, Index: i}}
		}
		j.tasks = append(j.tasks, records)
		j.left = append(j.left, st.Tasks)
		j.expected = append(j.expected, predict(st.Estimate))
	}
	j.objective = now + s.Queue.TargetLatency + time.Duration(s.Queue.StretchFactor*float64(j.chain()))
	return j
}

// chain returns the longest sum of expected run times along the steps' order.
func (j *job) chain() time.Duration {
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

// ready tells whether all steps before step are done.
func (j *job) ready(step int) bool {
	for _, before := range j.Steps[step].DependsOn {
		if j.left[before] > 0 {
			return false
		}
	}
	return true
}

// waitingTasks returns the tasks of ready steps that are on no target.
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

func (j *job) complete() bool {
	for _, n := range j.left {
		if n > 0 {
			return false
		}
	}
	return true
}

func (j *job) answer(a Answer) {
	for _, c := range j.callers {
		c.Answer(a)
	}
}
