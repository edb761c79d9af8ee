package runner

import (
	"math"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

const (
	// baselineWeight is the least weight of one run in a target's slowness.
	// Estimates are off by about 40%, and all tasks of a job alike.
	baselineWeight = 0.015
	// baselineStart makes the weight of the first runs 1/(baselineStart+n).
	baselineStart = 4
	// recentWeight is the weight of one run in the recent slowness, which shows
	// within some ten runs that a target has become slow.
	recentWeight = 0.15
	// anomalyRatio is how far the recent slowness has to be from the baseline to
	// count. Chance moves it by about a quarter.
	anomalyRatio = 2.0
	// anomalyHalfLife is how fast the recent slowness returns to the baseline
	// while nothing runs, so that a target that was slow is tried again.
	anomalyHalfLife = 1500 * time.Millisecond
	// failedWeight is the weight of one run in the moving share of failures: five
	// failures in a row raise it above a half.
	failedWeight = 0.15
	// failedHalfLife is how fast the share falls while nothing runs.
	failedHalfLife = 2 * time.Second
	// overdueRatio is how far beyond the target's mean a run must be before it
	// counts as a sample while it still runs.
	overdueRatio = 2.0
)

// statistics holds what is learned about a target from its runs. Ratios of
// measured to expected run times are averaged as logarithms.
type statistics struct {
	baseline, recent float64
	samples          int
	failed           float64
	ratioMax         float64
	lastAt           time.Duration
}

func newStatistics(ratioMax float64) statistics { return statistics{ratioMax: ratioMax} }

func (s *statistics) ended(now time.Duration, outcome task.Outcome, took, expected time.Duration) {
	switch outcome {
	case task.Done:
		s.settle(now)
		s.failed -= failedWeight * s.failed
		if expected > 0 && took > 0 {
			s.observe(s.logRatio(float64(took) / float64(expected)))
		}
	case task.Failed:
		s.settle(now)
		s.failed += failedWeight * (1 - s.failed)
	case task.Stopped:
		// A run that was recalled since it was overdue would have taken at least as
		// long as it has.
		if ratio := float64(took) / float64(max(expected, 1)); ratio > overdueRatio*math.Exp(s.baseline) {
			s.settle(now)
			s.observe(s.logRatio(ratio))
		}
	}
}

// adopt starts from a kept speed, unless as much has been learned since.
func (s *statistics) adopt(l SpeedEstimate) {
	if n := min(l.Samples, learnedSamples); n > s.samples && l.Slowness > 0 {
		s.baseline = s.logRatio(l.Slowness)
		s.recent, s.samples = s.baseline, n
	}
}

func (s *statistics) logRatio(ratio float64) float64 {
	return math.Log(min(max(ratio, 1/s.ratioMax), s.ratioMax))
}

func (s *statistics) observe(sample float64) {
	weight := max(baselineWeight, 1/float64(baselineStart+s.samples))
	if math.Abs(s.recent-s.baseline) > math.Log(anomalyRatio) {
		// An anomaly is no sample of the usual speed.
		weight = min(weight, baselineWeight/4)
	}
	s.samples++
	s.baseline += weight * (sample - s.baseline)
	s.recent += max(weight, recentWeight) * (sample - s.recent)
}

// settle lets what was observed fade over the time since the last run ended.
func (s *statistics) settle(now time.Duration) {
	idle := max(now-s.lastAt, 0)
	s.lastAt = now
	s.recent = s.baseline + (s.recent-s.baseline)*halved(idle, anomalyHalfLife)
	s.failed *= halved(idle, failedHalfLife)
}

func halved(t, halfLife time.Duration) float64 {
	return math.Exp2(-t.Seconds() / halfLife.Seconds())
}

// summary is what the statistics say of a target now.
type summary struct {
	// slowness is the usual ratio of measured to expected run times, anomaly the
	// present ratio to the usual one; 1 unless it differs clearly.
	slowness, anomaly float64
	samples           int
	failed            float64
}

// summary takes in the elapsed ratios of runs that are overdue as if they ended
// now.
func (s *statistics) summary(now time.Duration, elapsed []float64) summary {
	at := *s
	at.settle(now)
	usual := math.Exp(max(at.baseline, at.recent))
	for _, ratio := range elapsed {
		if ratio > overdueRatio*usual {
			at.recent += recentWeight * (s.logRatio(ratio) - at.recent)
		}
	}
	out := summary{slowness: math.Exp(at.baseline), anomaly: 1, samples: at.samples, failed: at.failed}
	if d := at.recent - at.baseline; math.Abs(d) > math.Log(anomalyRatio) {
		out.anomaly = math.Exp(d)
	}
	return out
}
