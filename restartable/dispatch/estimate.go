package dispatch

import (
	"math"
	"time"
)

const (
	// estimatorMemory is the number of runs over which a queue's estimator
	// forgets.
	estimatorMemory = 400
	// priorRuns is the weight of the assumption that estimates are right on
	// average and off by as much as run times differ.
	priorRuns = 15
	// priorSpread is the assumed standard deviation of the logarithm of
	// estimates.
	priorSpread = 0.5
	// priorTrust is the assumed share of an estimate's deviation from the mean
	// that shows in the run time.
	priorTrust = 0.6
)

// estimator predicts run times of a queue's tasks from callers' estimates. A
// rough estimate far from the queue's mean is more often wrong than right, so
// that only a part of its deviation is believed; how much is learned by a
// linear regression of logarithms. Run times are those of a target of slowness
// one.
type estimator struct {
	n, sumX, sumY, sumXX, sumXY float64
}

// observe takes in a run. Weight is below 1 for runs of one job, whose
// estimates are off alike.
func (e *estimator) observe(estimate, run time.Duration, weight float64) {
	if estimate <= 0 || run <= 0 {
		return
	}
	x, y := math.Log(float64(estimate)), math.Log(float64(run))
	keep := 1 - weight/estimatorMemory
	e.n = e.n*keep + weight
	e.sumX = e.sumX*keep + weight*x
	e.sumY = e.sumY*keep + weight*y
	e.sumXX = e.sumXX*keep + weight*x*x
	e.sumXY = e.sumXY*keep + weight*x*y
}

// predict returns the expected run time for an estimate.
func (e *estimator) predict(estimate time.Duration) time.Duration {
	if e.n == 0 || estimate <= 0 {
		return estimate
	}
	x := math.Log(float64(estimate))
	meanX, meanY := e.sumX/e.n, e.sumY/e.n
	varX := max(e.sumXX-e.n*meanX*meanX, 0)
	covXY := e.sumXY - e.n*meanX*meanY
	slope := (covXY + priorRuns*priorTrust*priorSpread*priorSpread) / (varX + priorRuns*priorSpread*priorSpread)
	slope = min(max(slope, 0), 1)
	offset := (meanY - meanX) * e.n / (e.n + priorRuns)
	return time.Duration(math.Exp(meanX + offset + slope*(x-meanX)))
}

// onTime returns the probability that a run expected to end after a time ends
// within a limit. The logarithm of the ratio is taken as normal.
func onTime(expected, limit time.Duration) float64 {
	if limit <= 0 {
		return 0
	}
	if expected <= 0 {
		return 1
	}
	z := math.Log(float64(limit)/float64(expected)) / runSpread
	return 0.5 * (1 + math.Erf(z/math.Sqrt2))
}

// runSpread is the standard deviation of the logarithm of the ratio of a run
// time to its prediction.
const runSpread = 0.35
