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

// Job is a job to submit. Each of its tasks runs for Run.
type Job struct {
	Client, Key, Service string
	SubmittedAt          time.Time
	Tasks                int
	Run, Timeout         time.Duration
	NotRepeatable        bool
}

// Reply is the outcome of one request of a caller.
type Reply struct {
	Job            Job
	Gateway        int
	Sent, Received time.Time
	// Err is set if the request failed without an answer; Refused is set if the
	// connection could not be established.
	Err     error
	Refused bool
	Answer  httpapi.AnswerBody
}

// Complete reports whether the reply is a complete answer.
func (r Reply) Complete() bool { return r.Err == nil && r.Answer.State == httpapi.StateComplete }

// NotRun reports whether the reply states that no task was run.
func (r Reply) NotRun() bool { return r.Err == nil && r.Answer.RunState == "not_run" }

// String describes the reply without its results.
func (r Reply) String() string {
	return fmt.Sprintf("%s at gateway-%d, sent %s, received %s: %s %s %s %s, error %v", r.Job.Key, r.Gateway,
		r.Sent.Format("05.000"), r.Received.Format("05.000"),
		r.Answer.State, r.Answer.RunState, r.Answer.Reason, r.Answer.Message, r.Err)
}

// replyLog keeps all replies for Judge; mu guards it.
type replyLog struct {
	mu      sync.Mutex
	replies []Reply
}

func (l *replyLog) add(r Reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replies = append(l.replies, r)
}

// Replies returns all replies so far.
func (c *Cluster) Replies() []Reply {
	c.replyLog.mu.Lock()
	defer c.replyLog.mu.Unlock()
	return slices.Clone(c.replyLog.replies)
}

// keyCount numbers the keys of jobs, which are unique across deployments.
var keyCount atomic.Int64

// NewJob returns a job with a unique key.
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

// callerClient opens a connection for each request. On a kept-alive connection, a
// request can fail because the gateway closes the idle connection at that moment,
// which is not a fault of the gateway.
var callerClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: dialWithoutTimeWait}}

// dialWithoutTimeWait opens a connection whose close leaves no socket in TIME_WAIT:
// tens of thousands of them would slow down socket lookups.
func dialWithoutTimeWait(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return c, c.(*net.TCPConn).SetLinger(0)
}

// Submit sends a job to a gateway, waits for the answer and records it for Judge.
func (c *Cluster) Submit(gateway int, j Job) Reply {
	r := Reply{Job: j, Gateway: gateway, Sent: time.Now()}
	r.Err = c.post(&r)
	r.Received = time.Now()
	var op *net.OpError
	r.Refused = errors.As(r.Err, &op) && op.Op == "dial"
	c.replyLog.add(r)
	return r
}

// answerGrace is how long a caller waits for an answer after the job's timeout.
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
	resp, err := callerClient.Do(req)
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

// Load describes a stream of jobs from concurrent callers.
type Load struct {
	// Callers is the number of callers, each of which submits one job after
	// another. Each job is sent to Copies gateways concurrently.
	Callers, Copies int
	Job             func() Job
	// Resubmit is the maximum number of times that a caller sends a job again, each
	// time to the next gateway, after a broken connection or a 503 with the reason
	// no_owner, which states that the job may have run.
	Resubmit int
	// Reachable lists the gateways that callers use; nil means all.
	Reachable []int
	// Pause is the time between two jobs of a caller.
	Pause time.Duration
	// Balanced sends new requests only to gateways that are ready, as the
	// platform's load balancer does.
	Balanced bool
}

// readinessPollInterval is the interval at which a balanced load checks readiness.
const readinessPollInterval = 50 * time.Millisecond

// pollReadiness updates unready with the readiness of each gateway until ctx ends.
func (c *Cluster) pollReadiness(ctx context.Context, unready []atomic.Bool) {
	for i := range unready {
		go func() {
			for ctx.Err() == nil {
				err := request(ctx, http.MethodGet, c.operatorURL(i, "/ready"), nil, nil)
				unready[i].Store(err != nil)
				time.Sleep(readinessPollInterval)
			}
		}()
	}
}

// StartLoad starts a load and returns a function that stops it and waits for all
// answers.
func (c *Cluster) StartLoad(l Load) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	unready := make([]atomic.Bool, len(c.Gateways))
	if l.Balanced {
		c.pollReadiness(ctx, unready)
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
		time.Sleep(resubmitDelay)
	}
}

// resubmitDelay is the time that a caller waits before it sends a job again.
const resubmitDelay = 200 * time.Millisecond

// SubmitAsync sends a job in the background and returns a channel with the reply.
func (c *Cluster) SubmitAsync(gateway int, j Job) <-chan Reply {
	out := make(chan Reply, 1)
	go func() { out <- c.Submit(gateway, j) }()
	return out
}

// AwaitDone waits until the targets have recorded n tasks of a job as done.
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
