package harness

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/model"
	"github.com/rhubarbsail/rhubarbsail/standin/target"
)

// TaskStart is one start of a task as its target recorded it.
type TaskStart struct {
	Target  string
	At      time.Time
	Outcome target.Outcome
}

// TaskKey identifies a task.
type TaskKey struct {
	Client, Key string
	Index       int
}

// settleTime is the time without a new start after which no further start is
// expected. It is longer than a gateway needs to send queued tasks to a free
// target.
const settleTime = time.Second

// Starts returns the starts of each task at all targets, including targets that
// were ended.
func (c *Cluster) Starts() map[TaskKey][]TaskStart {
	c.t.Helper()
	var records []target.Record
	for i, p := range c.Targets {
		if p.PID() == 0 {
			continue
		}
		r, err := c.TargetRecord(i)
		if err != nil {
			c.t.Fatalf("record of %s: %v", p.Name, err)
		}
		records = append(records, r)
	}
	c.mu.Lock()
	records = append(records, c.endedRecords...)
	c.mu.Unlock()
	out := make(map[TaskKey][]TaskStart)
	for _, r := range records {
		if r.Truncated {
			c.t.Fatalf("the record of %s is truncated", r.Target)
		}
		for _, e := range r.Entries {
			k := TaskKey{e.Client, e.Key, e.Index}
			for _, run := range e.Runs {
				out[k] = append(out[k], TaskStart{Target: r.Target, At: time.Unix(0, run.StartedUnixNanos), Outcome: run.Outcome})
			}
		}
	}
	return out
}

// awaitNoStarts waits until the targets have started no task for settleTime and
// returns all starts.
func (c *Cluster) awaitNoStarts() map[TaskKey][]TaskStart {
	c.t.Helper()
	lastCount, since := -1, time.Now()
	for {
		starts := c.Starts()
		n := 0
		for _, s := range starts {
			n += len(s)
		}
		if n != lastCount {
			lastCount, since = n, time.Now()
		}
		if time.Since(since) >= settleTime {
			return starts
		}
		time.Sleep(settleTime / 10)
	}
}

// violationsMax bounds the violations that Judge prints.
const violationsMax = 10

// violations collects descriptions of violated guarantees.
type violations struct{ messages []string }

func (v *violations) addf(format string, args ...any) {
	v.messages = append(v.messages, fmt.Sprintf(format, args...))
}

// Judge checks all replies against the targets' records. It fails the test for each
// task that started more than once, each request that ran although its answer
// states not_run, and each answer that is partial or belongs to another request.
// It returns the number of complete, not-run and other replies.
func (c *Cluster) Judge() (complete, notRun, other int) {
	c.t.Helper()
	starts := c.awaitNoStarts()
	var v violations
	for k, s := range starts {
		if len(s) > 1 {
			v.addf("task %v started %d times: %v; replies %v", k, len(s), s, c.repliesOf(k.Key))
		}
	}
	first := make(map[model.JobKey]Reply)
	for _, r := range c.Replies() {
		switch {
		case r.Complete():
			complete++
			v.checkComplete(r, starts, !c.recordsIncomplete)
			key := model.JobKey{Client: r.Job.Client, Key: r.Job.Key}
			if f, ok := first[key]; ok && r.Job.Tasks == f.Job.Tasks {
				v.checkEqual(f, r)
			}
			first[key] = r
		case r.NotRun():
			notRun++
			v.checkNotRun(r, starts, c.otherMayHaveRun(r))
		default:
			other++
		}
		if !r.Complete() && len(r.Answer.Results) > 0 {
			v.addf("failed answer with %d results: %v", len(r.Answer.Results), r)
		}
	}
	for i, f := range v.messages {
		if i == violationsMax {
			c.t.Errorf("and %d more", len(v.messages)-violationsMax)
			break
		}
		c.t.Error(f)
	}
	c.t.Logf("%d tasks started; replies: %d complete, %d not run, %d other", len(starts), complete, notRun, other)
	return complete, notRun, other
}

func (c *Cluster) repliesOf(key string) (out []Reply) {
	for _, r := range c.Replies() {
		if r.Job.Key == key {
			r.Answer.Results = nil
			out = append(out, r)
		}
	}
	return out
}

// otherMayHaveRun reports whether another request with the same key may have run. If
// so, only starts before this request was sent contradict its not_run answer.
func (c *Cluster) otherMayHaveRun(r Reply) bool {
	for _, o := range c.repliesOf(r.Job.Key) {
		if o.Job.Client == r.Job.Client && !o.NotRun() {
			return true
		}
	}
	return false
}

// checkComplete requires the results of all tasks in order. If recordsComplete is
// set, the target that a result names must also have recorded the task as done.
func (v *violations) checkComplete(r Reply, starts map[TaskKey][]TaskStart, recordsComplete bool) {
	if len(r.Answer.Results) != r.Job.Tasks {
		v.addf("%d results for %d tasks: %v", len(r.Answer.Results), r.Job.Tasks, r)
		return
	}
	for i, b := range r.Answer.Results {
		var got target.Result
		err := json.Unmarshal(b, &got)
		if err != nil || got.Client != r.Job.Client || got.Key != r.Job.Key || got.Index != i {
			v.addf("result %d is %q (%v): %v", i, b, err, r)
			return
		}
		s := starts[TaskKey{r.Job.Client, r.Job.Key, i}]
		if recordsComplete && (len(s) == 0 || s[0].Outcome != target.OutcomeDone || s[0].Target != got.Target) {
			v.addf("complete answer, but the records have %v for task %d: %v", s, i, r)
			return
		}
	}
}

// checkEqual requires that two complete answers to the same job are equal.
func (v *violations) checkEqual(a, b Reply) {
	for i := range a.Answer.Results {
		if string(a.Answer.Results[i]) != string(b.Answer.Results[i]) {
			v.addf("result %d differs between answers to the same job: %q at %v and %q at %v",
				i, a.Answer.Results[i], a, b.Answer.Results[i], b)
			return
		}
	}
}

// checkNotRun requires that no task of a request with a not_run answer started. An
// answer that refuses a key conflict is skipped, as the tasks of the other job with
// this key may have started.
func (v *violations) checkNotRun(r Reply, starts map[TaskKey][]TaskStart, otherMayHaveRun bool) {
	if r.Answer.Reason == model.ReasonConflict {
		return
	}
	for i := range r.Job.Tasks {
		for _, s := range starts[TaskKey{r.Job.Client, r.Job.Key, i}] {
			if !otherMayHaveRun || s.At.Before(r.Sent) {
				v.addf("answered not_run, but task %d started %v: %v", i, s, r)
				return
			}
		}
	}
}
