package dispatch

import (
	"math"
	"time"
)

const (
	// estimatorWindow is the number of runs over which the weight of an older run
	// falls to 1/e.
	estimatorWindow = 400
	// priorRuns is the weight, in runs, of the prior assumption that estimates are
	// right on average and that their errors are as large as the differences
	// between run times.
	priorRuns = 15
	// priorLogStdDev is the prior standard deviation of the logarithm of estimates.
	priorLogStdDev = 0.5
	// priorSlope is the prior slope of the regression: the share of an estimate's
	// deviation from the mean that shows in the run time.
	priorSlope = 0.6
)

// estimator predicts the run times of a queue's tasks from the callers' rough
// estimates. An estimate far from the queue's mean is more often wrong than right,
// so only a part of its deviation is used. A linear regression of the logarithm of
// run times on that of estimates, starting from a prior, determines how large a
// part. Run times are normalised to a target of slowness 1.
type estimator struct {
	// n is the total weight. The sums are weighted; X is the logarithm of an
	// estimate, Y that of the run time.
	n, sumX, sumY, sumXX, sumXY float64
}

// observe adds a run. Its weight is below 1 if the job has other tasks in the
// step, since they all share the error of one estimate.
func (e *estimator) observe(estimate, run time.Duration, weight float64) {
	if estimate <= 0 || run <= 0 {
		return
	}
	x, y := math.Log(float64(estimate)), math.Log(float64(run))
	decay := 1 - weight/estimatorWindow
	e.n = e.n*decay + weight
	e.sumX = e.sumX*decay + weight*x
	e.sumY = e.sumY*decay + weight*y
	e.sumXX = e.sumXX*decay + weight*x*x
	e.sumXY = e.sumXY*decay + weight*x*y
}

// predict returns the expected run time for a caller's estimate.
func (e *estimator) predict(estimate time.Duration) time.Duration {
	if e.n == 0 || estimate <= 0 {
		return estimate
	}
	x := math.Log(float64(estimate))
	meanX, meanY := e.sumX/e.n, e.sumY/e.n
	varX := max(e.sumXX-e.n*meanX*meanX, 0)
	covXY := e.sumXY - e.n*meanX*meanY
	slope := (covXY + priorRuns*priorSlope*priorLogStdDev*priorLogStdDev) / (varX + priorRuns*priorLogStdDev*priorLogStdDev)
	slope = min(max(slope, 0), 1)
	offset := (meanY - meanX) * e.n / (e.n + priorRuns)
	return time.Duration(math.Exp(meanX + offset + slope*(x-meanX)))
}

// onTimeProbability returns the probability that a run ends within limit if its
// predicted duration is expected. It assumes a lognormal distribution.
func onTimeProbability(expected, limit time.Duration) float64 {
	if limit <= 0 {
		return 0
	}
	if expected <= 0 {
		return 1
	}
	z := math.Log(float64(limit)/float64(expected)) / runLogStdDev
	return 0.5 * (1 + math.Erf(z/math.Sqrt2))
}

// runLogStdDev is the standard deviation of the logarithm of the ratio of a run time
// to its prediction.
const runLogStdDev = 0.35
