package experiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/rhubarbsail/rhubarbsail/common/model"
)

// Quantiles are values of a distribution.
type Quantiles struct {
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p99_9"`
}

// Result is what one policy reached in one case.
type Result struct {
	Case   string `json:"case"`
	Policy string `json:"policy"`
	Jobs   int    `json:"jobs"`
	Done   int    `json:"done"`
	// Slowdown is response time / response time in the reference schedule;
	// SlowdownIdle the same with an idle fleet.
	Slowdown     Quantiles `json:"slowdown"`
	SlowdownIdle Quantiles `json:"slowdown_idle"`
	// ResponseMS and ReferenceMS are response times of the answered jobs here
	// and in the reference schedule.
	ResponseMS  Quantiles `json:"response_ms"`
	ReferenceMS Quantiles `json:"reference_ms"`
	// Goodput is the work of answered jobs relative to what the fleet without
	// faults can do while jobs arrive.
	Goodput float64 `json:"goodput"`
	// MessagesPerTask counts starts, reports, revokes and cancellations, but
	// not probes, which depend on time and not on tasks.
	MessagesPerTask float64        `json:"messages_per_task"`
	Messages        map[string]int `json:"messages"`
	// Wasted is the share of messages that a perfect dispatcher would not send.
	Wasted   float64        `json:"wasted"`
	Failures map[string]int `json:"failures"`
}

// scale is the number of histogram units in a ratio of 1.
const scale = 1000

type stats struct {
	c                          Case
	jobs                       []JobSpec
	ref                        Reference
	slowdown, idle, resp, refs *hdrhistogram.Histogram
	messages                   map[string]int
	failures                   map[string]int
	Starts                     int
	Wasted                     int
	counted, done              int
	goodWork                   time.Duration
}

func newStats(c Case, jobs []JobSpec, ref Reference) *stats {
	s := &stats{c: c, jobs: jobs, ref: ref, messages: map[string]int{}, failures: map[string]int{}}
	for _, h := range []**hdrhistogram.Histogram{&s.slowdown, &s.idle, &s.resp, &s.refs} {
		*h = hdrhistogram.New(1, 1e9, 3)
	}
	for i := range jobs {
		if jobs[i].At >= c.WarmUp {
			s.counted++
		}
	}
	return s
}

func (s *stats) count(kind string, n int) { s.messages[kind] += n }

func (s *stats) fail(j *JobSpec, reason model.Reason) {
	if j.At >= s.c.WarmUp {
		s.failures[string(reason)]++
	}
}

func (s *stats) complete(l *live, now time.Duration) {
	if l.spec.At < s.c.WarmUp {
		return
	}
	s.done++
	took := now - l.spec.At
	s.record(took, s.ref.Shared[l.index], s.ref.Idle[l.index])
	for _, t := range l.spec.Tasks {
		s.goodWork += t.Work
	}
}

func (s *stats) record(took, shared, idle time.Duration) {
	record(s.slowdown, float64(took)/float64(shared))
	record(s.idle, float64(took)/float64(idle))
	record(s.resp, took.Seconds())
	record(s.refs, shared.Seconds())
}

func record(h *hdrhistogram.Histogram, v float64) {
	_ = h.RecordValue(min(max(1, int64(v*scale)), h.HighestTrackableValue()))
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / scale }
	return Quantiles{P50: at(50), P99: at(99), P999: at(99.9)}
}

func milliseconds(h *hdrhistogram.Histogram) Quantiles {
	q := quantiles(h)
	return Quantiles{q.P50 * 1000, q.P99 * 1000, q.P999 * 1000}
}

func (s *stats) result(policy string) Result {
	r := Result{
		Case: s.c.Name, Policy: policy, Jobs: s.counted, Done: s.done,
		Slowdown: quantiles(s.slowdown), SlowdownIdle: quantiles(s.idle),
		ResponseMS: milliseconds(s.resp), ReferenceMS: milliseconds(s.refs),
		Messages: s.messages, Failures: s.failures,
	}
	span := (s.c.Load.Duration - s.c.WarmUp).Seconds()
	r.Goodput = s.goodWork.Seconds() / (span * s.c.Fleet.Capacity())
	total, tasks := 0, 0
	for kind, n := range s.messages {
		if kind != "probe" {
			total += n
		}
	}
	for i := range s.jobs {
		tasks += len(s.jobs[i].Tasks)
	}
	if s.Starts > 0 {
		r.MessagesPerTask = float64(total) / float64(min(tasks, s.Starts))
		r.Wasted = float64(s.Wasted) / float64(total)
	}
	return r
}
