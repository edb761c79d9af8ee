package fleet

import (
	"fmt"
	"slices"
)

// Result is what a run of a fleet shows.
type Result struct {
	// Offered and InTime count jobs by kind.
	Offered, InTime map[string]int
	// Stretches are the ratios of the times of completed jobs to the run time of
	// their tasks at reference speed.
	Stretches []float64
	// Tasks and Attempts count those of answered jobs, Retries the attempts that
	// did not do their task's work and Recalls those that were stopped for it.
	Tasks, Attempts, Retries, Recalls int
	// Frames counts the frames of all links.
	Frames int
	// LinksMax is the largest number of links of a gateway.
	LinksMax int
}

func (f *Fleet) finish() {
	for _, g := range f.gateways {
		f.result.LinksMax = max(f.result.LinksMax, len(g.links))
	}
	slices.Sort(f.result.Stretches)
}

// Share returns the share of jobs that ended in time, as the mean over their
// kinds.
func (r Result) Share() float64 {
	sum := 0.0
	for k, n := range r.Offered {
		sum += float64(r.InTime[k]) / float64(n)
	}
	return sum / float64(len(r.Offered))
}

// Stretch returns a quantile of Stretches.
func (r Result) Stretch(q float64) float64 {
	if len(r.Stretches) == 0 {
		return 0
	}
	return r.Stretches[int(q*float64(len(r.Stretches)-1))]
}

// String returns the figures in one line.
func (r Result) String() string {
	return fmt.Sprintf("in time %.3f, stretch p50 %.2f p99 %.2f, attempts a task %.3f, retries %d, recalls %d, frames %d, links of a gateway at most %d",
		r.Share(), r.Stretch(0.5), r.Stretch(0.99), float64(r.Attempts)/float64(max(r.Tasks, 1)), r.Retries, r.Recalls, r.Frames, r.LinksMax)
}
