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

// settleTime is the time without a new start after which no start is expected:
// longer than a gateway needs to send what waits at a free target.
const settleTime = time.Second

// Starts returns the starts of each task over all targets, including those that
// ended.
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
	records = append(records, c.kept...)
	c.mu.Unlock()
	out := make(map[TaskKey][]TaskStart)
	for _, r := range records {
		if r.Truncated {
			c.t.Fatalf("the record of %s is not complete", r.Target)
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

// settle waits until no target starts anything any more and returns the starts.
func (c *Cluster) settle() map[TaskKey][]TaskStart {
	c.t.Helper()
	last, since := -1, time.Now()
	for {
		starts := c.Starts()
		n := 0
		for _, s := range starts {
			n += len(s)
		}
		if n != last {
			last, since = n, time.Now()
		}
		if time.Since(since) >= settleTime {
			return starts
		}
		time.Sleep(settleTime / 10)
	}
}

// faultsMax bounds the faults that the judge prints.
const faultsMax = 10

// verdict collects what is wrong.
type verdict struct{ faults []string }

func (v *verdict) addf(format string, args ...any) {
	v.faults = append(v.faults, fmt.Sprintf(format, args...))
}

// Judge compares the targets' records with all replies. It reports each task
// that started more than once, each refused request that ran, and each answer
// that is partial or belongs to another request. It returns the number of
// complete, not-run and other replies.
func (c *Cluster) Judge() (complete, notRun, other int) {
	c.t.Helper()
	starts := c.settle()
	var v verdict
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
			v.checkComplete(r, starts, !c.lost)
			key := model.JobKey{Client: r.Job.Client, Key: r.Job.Key}
			if f, ok := first[key]; ok && r.Job.Tasks == f.Job.Tasks {
				v.checkEqual(f, r)
			}
			first[key] = r
		case r.NotRun():
			notRun++
			v.checkNotRun(r, starts, c.ranOtherwise(r))
		default:
			other++
		}
		if !r.Complete() && len(r.Answer.Results) > 0 {
			v.addf("failed answer with %d results: %v", len(r.Answer.Results), r)
		}
	}
	for i, f := range v.faults {
		if i == faultsMax {
			c.t.Errorf("and %d more", len(v.faults)-faultsMax)
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

// ranOtherwise tells whether another request with the same key may have run:
// then only starts before this request was sent contradict its answer.
func (c *Cluster) ranOtherwise(r Reply) bool {
	for _, o := range c.repliesOf(r.Job.Key) {
		if o.Job.Client == r.Job.Client && !o.NotRun() {
			return true
		}
	}
	return false
}

// checkComplete requires the result of each task in order, and with full
// records that its target recorded the end of the task.
func (v *verdict) checkComplete(r Reply, starts map[TaskKey][]TaskStart, full bool) {
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
		if full && (len(s) == 0 || s[0].Outcome != target.OutcomeDone || s[0].Target != got.Target) {
			v.addf("complete answer, but the records have %v for task %d: %v", s, i, r)
			return
		}
	}
}

// checkEqual requires that two complete answers to the same job are the same.
func (v *verdict) checkEqual(a, b Reply) {
	for i := range a.Answer.Results {
		if string(a.Answer.Results[i]) != string(b.Answer.Results[i]) {
			v.addf("result %d differs between answers to the same job: %q at %v and %q at %v",
				i, a.Answer.Results[i], a, b.Answer.Results[i], b)
			return
		}
	}
}

// checkNotRun requires that nothing of a refused request started. A refusal
// because of the key's other job says nothing about that job.
func (v *verdict) checkNotRun(r Reply, starts map[TaskKey][]TaskStart, ranOtherwise bool) {
	if r.Answer.Reason == model.ReasonConflict {
		return
	}
	for i := range r.Job.Tasks {
		for _, s := range starts[TaskKey{r.Job.Client, r.Job.Key, i}] {
			if !ranOtherwise || s.At.Before(r.Sent) {
				v.addf("answered not_run, but task %d started %v: %v", i, s, r)
				return
			}
		}
	}
}
