package runner

import (
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

const (
	// slownessWeight is the weight of one run in the moving average of a target's
	// slowness. Estimates are off by about 40%, so that some twenty runs are
	// needed for a mean within a tenth.
	slownessWeight = 0.06
	// failedWeight is the weight of one run in the moving share of failures: five
	// failures in a row raise it above a half.
	failedWeight = 0.15
	// overdueRatio is how far beyond the target's mean a run must be before it
	// counts as a sample while it still runs.
	overdueRatio = 2.0
)

// statistics holds what is learned about a target from its runs.
type statistics struct {
	slowness, failed, max float64
}

func newStatistics(slownessMax float64) statistics {
	return statistics{slowness: 1, max: slownessMax}
}

func (s *statistics) ended(outcome task.Outcome, took, expected time.Duration) {
	switch outcome {
	case task.Done:
		s.failed -= failedWeight * s.failed
		if expected > 0 {
			s.slowness = s.next(s.slowness, float64(took)/float64(expected))
		}
	case task.Failed:
		s.failed += failedWeight * (1 - s.failed)
	}
}

func (s *statistics) next(mean, sample float64) float64 {
	return mean + slownessWeight*(min(sample, s.max)-mean)
}

// slownessWith returns the slowness with the runs that are overdue taken in as
// if they ended now.
func (s *statistics) slownessWith(elapsed []float64) float64 {
	mean := s.slowness
	for _, ratio := range elapsed {
		if ratio > overdueRatio*s.slowness {
			mean = s.next(mean, ratio)
		}
	}
	return mean
}
