package fleet

import (
	"fmt"
	"slices"
)

// Result holds the figures of a simulation.
type Result struct {
	// Offered counts the submitted jobs by kind, InTime those that completed
	// within their objective.
	Offered, InTime map[string]int
	// Stretches are the ratios of the response times of completed jobs to the run
	// time of their tasks at reference speed.
	Stretches []float64
	// Tasks and Attempts count those of answered jobs. Retries counts the
	// attempts that did not complete their task, Recalls those of them that were
	// stopped because they were overdue.
	Tasks, Attempts, Retries, Recalls int
	// Frames counts the frames on all links.
	Frames int
	// MaxLinks is the largest number of links of a gateway.
	MaxLinks int
}

func (f *Fleet) finishResult() {
	for _, g := range f.gateways {
		f.result.MaxLinks = max(f.result.MaxLinks, len(g.links))
	}
	slices.Sort(f.result.Stretches)
}

// InTimeShare returns the share of jobs that completed in time, as the mean over
// the kinds of jobs.
func (r Result) InTimeShare() float64 {
	sum := 0.0
	for k, n := range r.Offered {
		sum += float64(r.InTime[k]) / float64(n)
	}
	return sum / float64(len(r.Offered))
}

// StretchQuantile returns a quantile of Stretches.
func (r Result) StretchQuantile(q float64) float64 {
	if len(r.Stretches) == 0 {
		return 0
	}
	return r.Stretches[int(q*float64(len(r.Stretches)-1))]
}

// String returns the figures in one line.
func (r Result) String() string {
	return fmt.Sprintf("in time %.3f, stretch p50 %.2f p99 %.2f, attempts a task %.3f, retries %d, recalls %d, frames %d, links of a gateway at most %d",
		r.InTimeShare(), r.StretchQuantile(0.5), r.StretchQuantile(0.99), float64(r.Attempts)/float64(max(r.Tasks, 1)), r.Retries, r.Recalls, r.Frames, r.MaxLinks)
}
