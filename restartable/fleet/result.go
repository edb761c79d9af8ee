package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/dispatch"
)

// Result holds the figures of a simulation.
type Result struct {
	// Jobs holds the submitted jobs by kind.
	Jobs map[string][]*Job
	// Stretches are the ratios of the response times of completed jobs to the run
	// time of their tasks at reference speed.
	Stretches []float64
	// Tasks and Attempts count those of answered jobs. Retries counts the
	// attempts that did not complete their task, Recalls those of them that were
	// stopped because they were overdue.
	Tasks, Attempts, Retries, Recalls int
	// Crashes counts the crashes of targets.
	Crashes int
	// Frames counts the frames on all links.
	Frames int
	// MaxLinks is the largest number of links of a gateway.
	MaxLinks int
}

// Job is the course of one job.
type Job struct {
	// Work is the sum of the run times of its tasks at reference speed.
	Work time.Duration
	// Possible is set if the fastest targets, all idle, complete the job within its
	// objective and its deadline. No dispatcher can do more.
	Possible bool
	// State is how the job was answered and Cause why, 0 and empty if it has not been.
	// Elapsed is the time from its arrival to the answer.
	State   dispatch.State
	Cause   dispatch.Cause
	Elapsed time.Duration
	// Arrived is the time from the start of the arrivals to its own.
	Arrived time.Duration
	// InTime is set if it was completed within its objective.
	InTime bool
	// Crashing is set if its first task crashes its targets.
	Crashing bool
}

// add adds a job of a kind.
func (r *Result) add(k JobKind, work time.Duration) *Job {
	if r.Jobs == nil {
		r.Jobs = map[string][]*Job{}
	}
	j := &Job{Work: work}
	r.Jobs[k.Name] = append(r.Jobs[k.Name], j)
	return j
}

func (f *Fleet) finishResult() {
	for _, g := range f.gateways {
		f.result.MaxLinks = max(f.result.MaxLinks, len(g.links))
	}
	slices.Sort(f.result.Stretches)
}

// share returns the share of jobs of which a property holds.
func share(jobs []*Job, holds func(j *Job) bool) float64 {
	n := 0
	for _, j := range jobs {
		if holds(j) {
			n++
		}
	}
	return float64(n) / float64(max(len(jobs), 1))
}

func inTime(j *Job) bool { return j.InTime }

// largestTenth returns the tenth of jobs with the most work.
func largestTenth(jobs []*Job) []*Job {
	sorted := slices.SortedFunc(slices.Values(jobs), func(a, b *Job) int { return cmp.Compare(b.Work, a.Work) })
	return sorted[:len(sorted)/10]
}

// InTimeShare returns the share of jobs that completed in time, as the mean over
// the kinds of jobs.
func (r Result) InTimeShare() float64 {
	sum := 0.0
	for _, jobs := range r.Jobs {
		sum += share(jobs, inTime)
	}
	return sum / float64(len(r.Jobs))
}

// StretchQuantile returns a quantile of Stretches.
func (r Result) StretchQuantile(q float64) float64 {
	if len(r.Stretches) == 0 {
		return 0
	}
	return r.Stretches[int(q*float64(len(r.Stretches)-1))]
}

// String returns the figures in one line, followed by one for each kind of jobs.
func (r Result) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "in time %.3f, stretch p50 %.2f p99 %.2f, attempts a task %.3f, retries %d, recalls %d, frames %d, links of a gateway at most %d",
		r.InTimeShare(), r.StretchQuantile(0.5), r.StretchQuantile(0.99), float64(r.Attempts)/float64(max(r.Tasks, 1)), r.Retries, r.Recalls, r.Frames, r.MaxLinks)
	for _, name := range slices.Sorted(maps.Keys(r.Jobs)) {
		jobs := r.Jobs[name]
		in := func(s dispatch.State) float64 { return share(jobs, func(j *Job) bool { return j.State == s }) }
		fmt.Fprintf(&b, "\n  %s: in time %.4f of possible %.4f, completed %.4f, refused %.4f, unfinished %.4f; largest tenth %.3f of %.3f",
			name, share(jobs, inTime), share(jobs, func(j *Job) bool { return j.Possible }), in(dispatch.Completed), in(dispatch.NotRun), in(dispatch.Unfinished),
			share(largestTenth(jobs), inTime), share(largestTenth(jobs), func(j *Job) bool { return j.Possible }))
	}
	return b.String()
}
