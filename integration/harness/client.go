package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/rhubarbsail/rhubarbsail/common/model"
	"github.com/rhubarbsail/rhubarbsail/httpapi"
	"github.com/rhubarbsail/rhubarbsail/standin/target"
)

// Job is a submission.
type Job struct {
	Client, Key, Service string
	SubmittedAt          time.Time
	Tasks                int
	Run, Timeout         time.Duration
	NotRepeatable        bool
}

// Reply is what a caller got for one request.
type Reply struct {
	Job            Job
	Gateway        int
	Sent, Received time.Time
	// Err is set if the connection broke without an answer. Refused tells that it
	// was never established.
	Err     error
	Refused bool
	Answer  httpapi.AnswerBody
}

// Complete tells whether the reply is a complete answer.
func (r Reply) Complete() bool { return r.Err == nil && r.Answer.State == httpapi.StateComplete }

// NotRun tells whether the reply states that nothing was run.
func (r Reply) NotRun() bool { return r.Err == nil && r.Answer.RunState == "not_run" }

// String describes the reply without its results.
func (r Reply) String() string {
	return fmt.Sprintf("%s at gateway-%d, sent %s, received %s: %s %s %s %s, error %v", r.Job.Key, r.Gateway,
		r.Sent.Format("05.000"), r.Received.Format("05.000"),
		r.Answer.State, r.Answer.RunState, r.Answer.Reason, r.Answer.Message, r.Err)
}

// journal keeps all replies for the judge; mu guards it.
type journal struct {
	mu      sync.Mutex
	replies []Reply
}

func (j *journal) add(r Reply) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.replies = append(j.replies, r)
}

// Replies returns all replies so far.
func (c *Cluster) Replies() []Reply {
	c.journal.mu.Lock()
	defer c.journal.mu.Unlock()
	return slices.Clone(c.journal.replies)
}

// keyCount numbers the keys of all deployments.
var keyCount atomic.Int64

// NewJob returns a job with a key of its own.
func NewJob(tasks int, run time.Duration) Job {
	return Job{
		Client: Client, Key: fmt.Sprintf("job-%d", keyCount.Add(1)), Service: Service,
		SubmittedAt: time.Now(), Tasks: tasks, Run: run, Timeout: 30 * time.Second,
	}
}

func (j Job) body() ([]byte, error) {
	type task struct {
		Payload []byte `json:"payload"`
	}
	tasks := make([]task, j.Tasks)
	for i := range tasks {
		tasks[i].Payload = fmt.Appendf(nil, `{"run_ms":%g}`, j.Run.Seconds()*1000)
	}
	return json.Marshal(map[string]any{
		"client": j.Client, "key": j.Key, "service": j.Service, "repeatable": !j.NotRepeatable,
		"submitted_at": j.SubmittedAt.UTC().Format(time.RFC3339Nano), "timeout_ms": j.Timeout.Milliseconds(), "tasks": tasks,
	})
}

// callers opens a connection for each request: on one that is kept alive, a
// request can meet the end of its idle time, which is no fault of the gateway.
var callers = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: dialWithoutWait}}

// dialWithoutWait connects so that the end of the connection leaves no socket in
// TIME_WAIT: tens of thousands would slow down the look-up of sockets.
func dialWithoutWait(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return c, c.(*net.TCPConn).SetLinger(0)
}

// Submit sends a job to a gateway, waits for the answer and notes it for the
// judge.
func (c *Cluster) Submit(gateway int, j Job) Reply {
	r := Reply{Job: j, Gateway: gateway, Sent: time.Now()}
	r.Err = c.post(&r)
	r.Received = time.Now()
	var op *net.OpError
	r.Refused = errors.As(r.Err, &op) && op.Op == "dial"
	c.journal.add(r)
	return r
}

// answerGrace is the time after a job's timeout for which a caller waits.
const answerGrace = 30 * time.Second

func (c *Cluster) post(r *Reply) error {
	body, err := r.Job.body()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), r.Job.Timeout+answerGrace)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.gateways[r.Gateway].CallersAddress+"/v1/jobs", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := callers.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(resp.Body).Decode(&r.Answer); err != nil {
		return errors.Wrap(err, "decode answer")
	}
	return nil
}

// Cancel cancels a job through a gateway.
func (c *Cluster) Cancel(gateway int, j Job) error {
	return request(context.Background(), http.MethodDelete,
		"http://"+c.gateways[gateway].CallersAddress+"/v1/jobs/"+j.Client+"/"+j.Key, nil, nil)
}

// Load is a stream of jobs from concurrent callers.
type Load struct {
	// Callers submit one job after another; each job goes to Copies gateways at
	// the same instant.
	Callers, Copies int
	Job             func() Job
	// Resubmit is the number of times that a caller sends a job again, each to
	// the next gateway, after a broken connection or a 503 that says that the
	// job may have run.
	Resubmit int
	// Reachable lists the gateways for callers; nil is all.
	Reachable []int
	// Pause is the time between two jobs of a caller.
	Pause time.Duration
	// Balanced sends new requests only to gateways that are ready, as the
	// platform's load balancer does.
	Balanced bool
}

// readyPoll is the interval at which the balancer asks for readiness.
const readyPoll = 50 * time.Millisecond

// balance keeps readiness of the gateways until ctx ends.
func (c *Cluster) balance(ctx context.Context, unready []atomic.Bool) {
	for i := range unready {
		go func() {
			for ctx.Err() == nil {
				err := request(ctx, http.MethodGet, c.operator(i, "/ready"), nil, nil)
				unready[i].Store(err != nil)
				time.Sleep(readyPoll)
			}
		}()
	}
}

// StartLoad starts a load and returns the function that ends it and waits for
// all answers.
func (c *Cluster) StartLoad(l Load) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	unready := make([]atomic.Bool, len(c.Gateways))
	if l.Balanced {
		c.balance(ctx, unready)
	}
	if l.Reachable == nil {
		for i := range c.Gateways {
			l.Reachable = append(l.Reachable, i)
		}
	}
	var wg sync.WaitGroup
	for i := range l.Callers {
		wg.Go(func() {
			for n := i; ctx.Err() == nil; n++ {
				job := l.Job()
				var copies sync.WaitGroup
				for k := range max(l.Copies, 1) {
					copies.Go(func() { c.submitUntilAnswered(l, job, n+k, unready) })
				}
				copies.Wait()
				time.Sleep(l.Pause)
			}
		})
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

func (c *Cluster) submitUntilAnswered(l Load, j Job, first int, unready []atomic.Bool) {
	for k := range l.Resubmit + 1 {
		to := l.Reachable[(first+k)%len(l.Reachable)]
		for i := 0; unready[to].Load() && i < len(l.Reachable); i++ {
			to = l.Reachable[(first+k+i)%len(l.Reachable)]
		}
		r := c.Submit(to, j)
		if r.Err == nil && r.Answer.Reason != model.ReasonNoOwner {
			return
		}
		time.Sleep(resubmitWait)
	}
}

// resubmitWait is the time before a caller sends a job again.
const resubmitWait = 200 * time.Millisecond

// Submitted sends a job in the background; the channel gets the reply.
func (c *Cluster) Submitted(gateway int, j Job) <-chan Reply {
	out := make(chan Reply, 1)
	go func() { out <- c.Submit(gateway, j) }()
	return out
}

// AwaitDone waits until the targets have recorded the end of n tasks of a job.
func (c *Cluster) AwaitDone(j Job, n int) {
	c.t.Helper()
	c.Await("tasks done", func() error {
		done := 0
		for k, s := range c.Starts() {
			if k.Key == j.Key && k.Client == j.Client && s[0].Outcome == target.OutcomeDone {
				done++
			}
		}
		if done < n {
			return errors.Errorf("%d of %d", done, n)
		}
		return nil
	})
}

// AwaitStarts waits until a target has recorded n starts.
func (c *Cluster) AwaitStarts(i, n int) {
	c.t.Helper()
	c.Await("starts", func() error {
		r, err := c.TargetRecord(i)
		if err == nil && r.Starts < n {
			err = errors.Errorf("%d of %d", r.Starts, n)
		}
		return err
	})
}
