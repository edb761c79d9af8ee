package experiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/rhubarbsail/rhubarbsail/common/model"
)

// Quantiles holds quantiles of a distribution.
type Quantiles struct {
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p99_9"`
}

// Result holds the measurements of one policy in one case.
type Result struct {
	Case   string `json:"case"`
	Policy string `json:"policy"`
	Jobs   int    `json:"jobs"`
	Done   int    `json:"done"`
	// Slowdown is the response time divided by that in the reference schedule,
	// SlowdownIdle the response time divided by that on an idle fleet.
	Slowdown     Quantiles `json:"slowdown"`
	SlowdownIdle Quantiles `json:"slowdown_idle"`
	// ResponseMS and ReferenceMS are the response times of the completed jobs as
	// measured and in the reference schedule, in milliseconds.
	ResponseMS  Quantiles `json:"response_ms"`
	ReferenceMS Quantiles `json:"reference_ms"`
	// Goodput is the work of completed jobs relative to the work that the fleet
	// without faults can do while jobs arrive.
	Goodput float64 `json:"goodput"`
	// MessagesPerTask counts all messages but probes, whose number depends on
	// time and not on tasks: starts, reports, revokes, replies to revokes and
	// cancellations.
	MessagesPerTask float64        `json:"messages_per_task"`
	Messages        map[string]int `json:"messages"`
	// Wasted is the share of messages that an ideal dispatcher would not send.
	Wasted   float64        `json:"wasted"`
	Failures map[string]int `json:"failures"`
}

// histogramScale is the number of histogram units for a ratio of 1 or a second.
const histogramScale = 1000

// stats collects the measurements of a run. Jobs that arrive during the warm-up
// count only towards messages and started tasks.
type stats struct {
	c                                             Case
	jobs                                          []JobSpec
	ref                                           Reference
	slowdown, idleSlowdown, response, refResponse *hdrhistogram.Histogram
	messages                                      map[string]int
	failures                                      map[string]int
	startedTasks                                  int
	wastedMessages                                int
	reportedJobs, completedJobs                   int
	completedWork                                 time.Duration
}

func newStats(c Case, jobs []JobSpec, ref Reference) *stats {
	s := &stats{c: c, jobs: jobs, ref: ref, messages: map[string]int{}, failures: map[string]int{}}
	for _, h := range []**hdrhistogram.Histogram{&s.slowdown, &s.idleSlowdown, &s.response, &s.refResponse} {
		*h = hdrhistogram.New(1, 1e9, 3)
	}
	for i := range jobs {
		if jobs[i].At >= c.WarmUp {
			s.reportedJobs++
		}
	}
	return s
}

func (s *stats) countMessages(kind string, n int) { s.messages[kind] += n }

func (s *stats) fail(j *JobSpec, reason model.Reason) {
	if j.At >= s.c.WarmUp {
		s.failures[string(reason)]++
	}
}

// complete counts a job that completed at the given time.
func (s *stats) complete(job *activeJob, now time.Duration) {
	if job.spec.At < s.c.WarmUp {
		return
	}
	s.completedJobs++
	took := now - job.spec.At
	s.record(took, s.ref.Shared[job.index], s.ref.Idle[job.index])
	for _, t := range job.spec.Tasks {
		s.completedWork += t.Work
	}
}

func (s *stats) record(took, shared, idle time.Duration) {
	recordValue(s.slowdown, float64(took)/float64(shared))
	recordValue(s.idleSlowdown, float64(took)/float64(idle))
	recordValue(s.response, took.Seconds())
	recordValue(s.refResponse, shared.Seconds())
}

// recordValue records v, limited to the range of the histogram.
func recordValue(h *hdrhistogram.Histogram, v float64) {
	_ = h.RecordValue(min(max(1, int64(v*histogramScale)), h.HighestTrackableValue()))
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / histogramScale }
	return Quantiles{P50: at(50), P99: at(99), P999: at(99.9)}
}

// millisecondQuantiles returns the quantiles of a histogram of seconds in
// milliseconds.
func millisecondQuantiles(h *hdrhistogram.Histogram) Quantiles {
	q := quantiles(h)
	return Quantiles{q.P50 * 1000, q.P99 * 1000, q.P999 * 1000}
}

func (s *stats) result(policy string) Result {
	r := Result{
		Case: s.c.Name, Policy: policy, Jobs: s.reportedJobs, Done: s.completedJobs,
		Slowdown: quantiles(s.slowdown), SlowdownIdle: quantiles(s.idleSlowdown),
		ResponseMS: millisecondQuantiles(s.response), ReferenceMS: millisecondQuantiles(s.refResponse),
		Messages: s.messages, Failures: s.failures,
	}
	window := (s.c.Load.Duration - s.c.WarmUp).Seconds()
	r.Goodput = s.completedWork.Seconds() / (window * s.c.Fleet.Capacity())
	total, tasks := 0, 0
	for kind, n := range s.messages {
		if kind != "probe" {
			total += n
		}
	}
	for i := range s.jobs {
		tasks += len(s.jobs[i].Tasks)
	}
	if s.startedTasks > 0 {
		r.MessagesPerTask = float64(total) / float64(min(tasks, s.startedTasks))
		r.Wasted = float64(s.wastedMessages) / float64(total)
	}
	return r
}
