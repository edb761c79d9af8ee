package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/rhubarbsail/rhubarbsail/common/model"
)

// LiveOptions configures RunLive.
type LiveOptions struct {
	// Gateways are the base URLs of the gateways' callers' APIs; jobs are sent to
	// them in turn.
	Gateways []string
	Service  string
	// Fleet describes the targets behind the gateways. The load and the reference
	// schedule are computed for it. A stand-in target runs a task for the
	// run_ms of its payload divided by the target's speed.
	Fleet Fleet
	Load  Workload
	Seed  uint64
	// MaxInFlight is the largest number of concurrent requests. Jobs above it are
	// not sent and count as failed with reason not_sent; waiting for another
	// request to end would make the arrivals depend on the response times.
	MaxInFlight int
	Client      *http.Client
}

const (
	reasonNotSent   model.Reason = "not_sent"
	reasonTransport model.Reason = "transport"
	// responseGrace is how long after a job's timeout its response is awaited.
	responseGrace = 5 * time.Second
)

// jobRequest and jobResponse are the bodies of POST /v1/jobs.
type jobRequest struct {
	Client      string        `json:"client"`
	Key         string        `json:"key"`
	Service     string        `json:"service"`
	SubmittedAt time.Time     `json:"submitted_at"`
	TimeoutMS   int64         `json:"timeout_ms"`
	Repeatable  bool          `json:"repeatable"`
	Tasks       []taskRequest `json:"tasks"`
}

type taskRequest struct {
	Payload    []byte `json:"payload"`
	ExpectedMS int64  `json:"expected_ms"`
}

type jobResponse struct {
	State   string   `json:"state"`
	Reason  string   `json:"reason"`
	Results [][]byte `json:"results"`
}

// RunLive sends the load in an open loop: each job is sent at its arrival time,
// regardless of the state of earlier jobs. Response times count from the
// arrival time, so that they include any delay in sending. The message counts
// of the result are 0, because a client does not see the messages between
// gateways and agents.
func RunLive(ctx context.Context, o LiveOptions) (Result, error) {
	if len(o.Gateways) == 0 {
		return Result{}, errors.New("no gateway given")
	}
	jobs := o.Load.Generate(o.Fleet.Capacity(), o.Seed)
	c := Case{Name: "live", Fleet: o.Fleet, Load: o.Load, WarmUp: o.Load.Duration / 10}
	s := newStats(c, jobs, NewReference(o.Fleet, jobs))
	r := liveRun{LiveOptions: o, stats: s, startTime: time.Now(), inFlight: make(chan struct{}, max(1, o.MaxInFlight))}
	for i := range jobs {
		if err := sleepUntil(ctx, r.startTime.Add(jobs[i].At)); err != nil {
			r.requests.Wait()
			return Result{}, errors.Wrap(err, "live run interrupted")
		}
		r.startRequest(ctx, i, &jobs[i])
	}
	r.requests.Wait()
	return s.result("live"), nil
}

type liveRun struct {
	LiveOptions
	startTime time.Time
	inFlight  chan struct{}
	requests  sync.WaitGroup
	// mu guards stats.
	mu    sync.Mutex
	stats *stats
}

// startRequest submits a job in a goroutine and records the outcome.
func (r *liveRun) startRequest(ctx context.Context, index int, spec *JobSpec) {
	select {
	case r.inFlight <- struct{}{}:
	default:
		r.fail(spec, reasonNotSent)
		return
	}
	r.requests.Go(func() {
		defer func() { <-r.inFlight }()
		ctx, cancel := context.WithTimeout(ctx, spec.Timeout+responseGrace)
		defer cancel()
		response, err := r.submit(ctx, index, spec)
		now := time.Since(r.startTime)
		switch {
		case err != nil:
			r.fail(spec, reasonTransport)
		case response.State != "complete":
			r.fail(spec, model.Reason(response.Reason))
		case len(response.Results) != len(spec.Tasks):
			r.fail(spec, "partial_answer")
		default:
			r.mu.Lock()
			defer r.mu.Unlock()
			r.stats.complete(&activeJob{spec: spec, index: index}, now)
		}
	})
}

func (r *liveRun) fail(spec *JobSpec, reason model.Reason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats.fail(spec, reason)
}

func (r *liveRun) submit(ctx context.Context, index int, spec *JobSpec) (jobResponse, error) {
	body, err := json.Marshal(r.newJobRequest(index, spec))
	if err != nil {
		return jobResponse{}, errors.Wrap(err, "encode job")
	}
	url := r.Gateways[index%len(r.Gateways)] + "/v1/jobs"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return jobResponse{}, errors.Wrap(err, "create request")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := r.Client.Do(req)
	if err != nil {
		return jobResponse{}, errors.Wrap(err, "submit job")
	}
	defer func() { _ = resp.Body.Close() }()
	var response jobResponse
	if err := json.NewDecoder(resp.Body).Decode(&response); err != nil {
		return jobResponse{}, errors.Wrapf(err, "decode response with status %d", resp.StatusCode)
	}
	return response, nil
}

func (r *liveRun) newJobRequest(index int, spec *JobSpec) jobRequest {
	j := jobRequest{
		Client: spec.Client, Key: fmt.Sprintf("%d-%d-%d", r.Seed, r.startTime.UnixNano(), index),
		Service: r.Service, SubmittedAt: time.Now(), TimeoutMS: spec.Timeout.Milliseconds(), Repeatable: true,
	}
	for _, t := range spec.Tasks {
		j.Tasks = append(j.Tasks, taskRequest{
			Payload:    fmt.Appendf(nil, `{"run_ms":%d}`, t.Work.Milliseconds()),
			ExpectedMS: t.Declared.Milliseconds(),
		})
	}
	return j
}

func sleepUntil(ctx context.Context, at time.Time) error {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
