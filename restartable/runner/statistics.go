package runner

import (
	"math"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

const (
	// minBaselineWeight is the minimum weight of one run in the baseline
	// slowness. It is small because estimates are off by about 40%, with the same
	// error for all tasks of a job.
	minBaselineWeight = 0.015
	// baselinePriorSamples sets the weight of the first runs:
	// 1/(baselinePriorSamples+n).
	baselinePriorSamples = 4
	// recentWeight is the weight of one run in the recent slowness, which reveals
	// within about ten runs that a target has become slow.
	recentWeight = 0.15
	// anomalyThreshold is the ratio between recent and baseline slowness above
	// which the difference counts as an anomaly. Random variation changes the
	// ratio by about a quarter.
	anomalyThreshold = 2.0
	// anomalyHalfLife is the half-life with which the recent slowness returns to
	// the baseline while no runs end, so that a target that was slow is tried
	// again.
	anomalyHalfLife = 1500 * time.Millisecond
	// failedWeight is the weight of one run in the moving average of failures:
	// five failures in a row raise it above one half.
	failedWeight = 0.15
	// failedHalfLife is the half-life of that average while no runs end.
	failedHalfLife = 2 * time.Second
	// overdueRatio is the multiple of the target's usual run time beyond which an
	// unfinished run counts as a sample.
	overdueRatio = 2.0
)

// statistics estimates a target's speed and failure rate from its runs. Ratios of
// measured to expected run times are averaged as logarithms, in baseline and
// recent.
type statistics struct {
	baseline, recent float64
	samples          int
	failedShare      float64
	maxRatio         float64
	lastUpdate       time.Duration
}

func newStatistics(maxRatio float64) statistics { return statistics{maxRatio: maxRatio} }

func (s *statistics) runEnded(now time.Duration, outcome task.Outcome, took, expected time.Duration) {
	switch outcome {
	case task.Done:
		s.decay(now)
		s.failedShare -= failedWeight * s.failedShare
		if expected > 0 && took > 0 {
			s.addSample(s.logRatio(float64(took) / float64(expected)))
		}
	case task.Failed:
		s.decay(now)
		s.failedShare += failedWeight * (1 - s.failedShare)
	case task.Stopped:
		// A run that was stopped because it was overdue would have taken at least
		// this long.
		if ratio := float64(took) / float64(max(expected, 1)); ratio > overdueRatio*math.Exp(s.baseline) {
			s.decay(now)
			s.addSample(s.logRatio(ratio))
		}
	}
}

// restore starts from a stored estimate, unless at least as many samples have
// been collected since.
func (s *statistics) restore(e SpeedEstimate) {
	if n := min(e.Samples, reliableSamples); n > s.samples && e.Slowness > 0 {
		s.baseline = s.logRatio(e.Slowness)
		s.recent, s.samples = s.baseline, n
	}
}

func (s *statistics) logRatio(ratio float64) float64 {
	return math.Log(min(max(ratio, 1/s.maxRatio), s.maxRatio))
}

func (s *statistics) addSample(sample float64) {
	weight := max(minBaselineWeight, 1/float64(baselinePriorSamples+s.samples))
	if math.Abs(s.recent-s.baseline) > math.Log(anomalyThreshold) {
		// Runs during an anomaly say little about the usual speed.
		weight = min(weight, minBaselineWeight/4)
	}
	s.samples++
	s.baseline += weight * (sample - s.baseline)
	s.recent += max(weight, recentWeight) * (sample - s.recent)
}

// decay lets the recent slowness and the failures fade over the time since the
// last update.
func (s *statistics) decay(now time.Duration) {
	idle := max(now-s.lastUpdate, 0)
	s.lastUpdate = now
	s.recent = s.baseline + (s.recent-s.baseline)*decayFactor(idle, anomalyHalfLife)
	s.failedShare *= decayFactor(idle, failedHalfLife)
}

func decayFactor(t, halfLife time.Duration) float64 {
	return math.Exp2(-t.Seconds() / halfLife.Seconds())
}

// summary is the state of the statistics at one time.
type summary struct {
	// slowness is the usual ratio of measured to expected run times. anomaly is
	// the ratio of the recent slowness to the usual one, or 1 unless they differ
	// significantly.
	slowness, anomaly float64
	samples           int
	failedShare       float64
}

// summary returns the estimates as of now. Overdue runs, given by their ratios of
// elapsed to expected time, count as if they ended now.
func (s *statistics) summary(now time.Duration, elapsed []float64) summary {
	projected := *s
	projected.decay(now)
	usual := math.Exp(max(projected.baseline, projected.recent))
	for _, ratio := range elapsed {
		if ratio > overdueRatio*usual {
			projected.recent += recentWeight * (s.logRatio(ratio) - projected.recent)
		}
	}
	out := summary{slowness: math.Exp(projected.baseline), anomaly: 1, samples: projected.samples, failedShare: projected.failedShare}
	if d := projected.recent - projected.baseline; math.Abs(d) > math.Log(anomalyThreshold) {
		out.anomaly = math.Exp(d)
	}
	return out
}
