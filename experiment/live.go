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

// LiveOptions describe a run against running gateways.
type LiveOptions struct {
	// Gateways are the base URLs of the callers' API, used in turn.
	Gateways []string
	Service  string
	// Fleet is the fleet behind the gateways. The load and the reference schedule
	// are computed for it; the stand-in target runs a task for run_ms divided by
	// its speed.
	Fleet Fleet
	Load  Workload
	Seed  uint64
	// MaxInFlight bounds the open requests. Jobs above it count as failed with
	// reason not_sent, since waiting for a request would close the loop.
	MaxInFlight int
	Client      *http.Client
}

const (
	reasonNotSent   model.Reason = "not_sent"
	reasonTransport model.Reason = "transport"
	// answerGrace is the time after a job's timeout until which its answer is
	// awaited.
	answerGrace = 5 * time.Second
)

// liveJob and liveAnswer are the bodies of POST /v1/jobs.
type liveJob struct {
	Client      string     `json:"client"`
	Key         string     `json:"key"`
	Service     string     `json:"service"`
	SubmittedAt time.Time  `json:"submitted_at"`
	TimeoutMS   int64      `json:"timeout_ms"`
	Repeatable  bool       `json:"repeatable"`
	Tasks       []liveTask `json:"tasks"`
}

type liveTask struct {
	Payload    []byte `json:"payload"`
	ExpectedMS int64  `json:"expected_ms"`
}

type liveAnswer struct {
	State   string   `json:"state"`
	Reason  string   `json:"reason"`
	Results [][]byte `json:"results"`
}

// RunLive sends the load in an open loop: each job leaves at its time of
// arrival, whatever happened to the ones before. Response times count from the
// time of arrival, so that a late sender does not hide delay. Messages between
// the processes are not seen from outside and are left at 0.
func RunLive(ctx context.Context, o LiveOptions) (Result, error) {
	if len(o.Gateways) == 0 {
		return Result{}, errors.New("no gateway given")
	}
	jobs := o.Load.Generate(o.Fleet.Capacity(), o.Seed)
	c := Case{Name: "live", Fleet: o.Fleet, Load: o.Load, WarmUp: o.Load.Duration / 10}
	s := newStats(c, jobs, NewReference(o.Fleet, jobs))
	r := liveRun{LiveOptions: o, stats: s, started: time.Now(), slots: make(chan struct{}, max(1, o.MaxInFlight))}
	for i := range jobs {
		if err := sleepUntil(ctx, r.started.Add(jobs[i].At)); err != nil {
			r.wait.Wait()
			return Result{}, errors.Wrap(err, "live run")
		}
		r.launch(ctx, i, &jobs[i])
	}
	r.wait.Wait()
	return s.result("live"), nil
}

type liveRun struct {
	LiveOptions
	started time.Time
	slots   chan struct{}
	wait    sync.WaitGroup
	// mu guards stats.
	mu    sync.Mutex
	stats *stats
}

func (r *liveRun) launch(ctx context.Context, index int, spec *JobSpec) {
	select {
	case r.slots <- struct{}{}:
	default:
		r.fail(spec, reasonNotSent)
		return
	}
	r.wait.Go(func() {
		defer func() { <-r.slots }()
		ctx, cancel := context.WithTimeout(ctx, spec.Timeout+answerGrace)
		defer cancel()
		answer, err := r.submit(ctx, index, spec)
		took := time.Since(r.started)
		switch {
		case err != nil:
			r.fail(spec, reasonTransport)
		case answer.State != "complete":
			r.fail(spec, model.Reason(answer.Reason))
		case len(answer.Results) != len(spec.Tasks):
			r.fail(spec, "partial_answer")
		default:
			r.mu.Lock()
			defer r.mu.Unlock()
			r.stats.complete(&live{spec: spec, index: index}, took)
		}
	})
}

func (r *liveRun) fail(spec *JobSpec, reason model.Reason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats.fail(spec, reason)
}

func (r *liveRun) submit(ctx context.Context, index int, spec *JobSpec) (liveAnswer, error) {
	body, err := json.Marshal(r.body(index, spec))
	if err != nil {
		return liveAnswer{}, errors.Wrap(err, "encode job")
	}
	url := r.Gateways[index%len(r.Gateways)] + "/v1/jobs"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return liveAnswer{}, errors.Wrap(err, "create request")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := r.Client.Do(req)
	if err != nil {
		return liveAnswer{}, errors.Wrap(err, "submit job")
	}
	defer func() { _ = resp.Body.Close() }()
	var a liveAnswer
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		return liveAnswer{}, errors.Wrapf(err, "decode answer with status %d", resp.StatusCode)
	}
	return a, nil
}

func (r *liveRun) body(index int, spec *JobSpec) liveJob {
	j := liveJob{
		Client: spec.Client, Key: fmt.Sprintf("%d-%d-%d", r.Seed, r.started.UnixNano(), index),
		Service: r.Service, SubmittedAt: time.Now(), TimeoutMS: spec.Timeout.Milliseconds(), Repeatable: true,
	}
	for _, t := range spec.Tasks {
		j.Tasks = append(j.Tasks, liveTask{
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
