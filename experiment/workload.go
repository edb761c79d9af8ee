// Package experiment generates load, drives policies with a small
// discrete-event model of targets or sends the load to running gateways, and
// reports response times relative to a reference schedule and message counts.
package experiment

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// TaskSpec is a task of the generated load.
type TaskSpec struct {
	// Work is the run time on a target of speed 1.
	Work time.Duration
	// Declared is the run time that the caller states.
	Declared time.Duration
}

// JobSpec is a job of the generated load.
type JobSpec struct {
	At      time.Duration
	Client  string
	Tasks   []TaskSpec
	Timeout time.Duration
	// Poisoned jobs fail on each target.
	Poisoned bool
}

// Workload describes the load of a case. Times are on a target of speed 1.
type Workload struct {
	// Load is the offered work relative to the capacity of the fleet.
	Load     float64
	Duration time.Duration
	Clients  int
	// Sizes are the numbers of tasks of a job with their weights by jobs.
	Sizes []Size
	// DeclaredError is the largest factor between declared and real run time,
	// either way; the factor is uniform in its logarithm.
	DeclaredError float64
	Timeout       time.Duration
	// BurstFactor multiplies the arrival rate for BurstLength in each
	// BurstPeriod; the rate outside bursts is lowered to keep Load.
	BurstFactor              float64
	BurstLength, BurstPeriod time.Duration
	// Poisoned is the share of jobs that fail on each target.
	Poisoned float64
}

// Size is a job size with its weight.
type Size struct {
	Tasks  int
	Weight float64
}

const (
	// The medians of the clients' run times spread over this range; with
	// workSigma most tasks take 50 ms to 1 s.
	workMedianLow  = 0.08
	workMedianHigh = 0.5
	workSigma      = 0.5
	// One task in a hundred takes several seconds.
	longShare   = 0.01
	longLow     = 2.0
	longHigh    = 5.0
	workLeast   = 0.02
	clientDecay = 0.85
)

// Generate returns the jobs for a fleet of the given capacity (the sum over
// slots of their speed), in order of arrival.
func (w Workload) Generate(capacity float64, seed uint64) []JobSpec {
	rng := rand.New(rand.NewPCG(seed, 0x10ad))
	rate := w.Load * capacity / (w.meanWork() * w.meanSize())
	var jobs []JobSpec
	for at := 0.0; ; {
		// Thinning of a Poisson process at the highest rate.
		peak, _ := w.rates(rate, at)
		at += rng.ExpFloat64() / peak
		if at > w.Duration.Seconds() {
			break
		}
		if _, here := w.rates(rate, at); rng.Float64()*peak > here {
			continue
		}
		jobs = append(jobs, w.job(rng, at))
	}
	slices.SortStableFunc(jobs, func(a, b JobSpec) int { return cmp.Compare(a.At, b.At) })
	return jobs
}

// rates returns the highest arrival rate and the one at a time.
func (w Workload) rates(mean, at float64) (peak, here float64) {
	if w.BurstFactor <= 1 {
		return mean, mean
	}
	share := w.BurstLength.Seconds() / w.BurstPeriod.Seconds()
	peak = mean * w.BurstFactor
	here = mean * math.Max(0, 1-share*w.BurstFactor) / (1 - share)
	if math.Mod(at, w.BurstPeriod.Seconds()) < w.BurstLength.Seconds() {
		here = peak
	}
	return peak, here
}

func (w Workload) job(rng *rand.Rand, at float64) JobSpec {
	c := w.pickClient(rng)
	j := JobSpec{
		At: seconds(at), Client: fmt.Sprintf("client-%02d", c), Timeout: w.Timeout,
		Tasks: make([]TaskSpec, w.pickSize(rng)), Poisoned: rng.Float64() < w.Poisoned,
	}
	for i := range j.Tasks {
		work := w.drawWork(rng, c)
		declared := work
		if w.DeclaredError > 1 {
			declared *= math.Pow(w.DeclaredError, 2*rng.Float64()-1)
		}
		j.Tasks[i] = TaskSpec{Work: seconds(work), Declared: seconds(declared)}
	}
	return j
}

func (w Workload) drawWork(rng *rand.Rand, client int) float64 {
	if rng.Float64() < longShare {
		return longLow + (longHigh-longLow)*rng.Float64()
	}
	part := float64(client) / math.Max(1, float64(w.Clients-1))
	median := workMedianLow * math.Pow(workMedianHigh/workMedianLow, part)
	return math.Max(workLeast, median*math.Exp(workSigma*rng.NormFloat64()))
}

// meanWork estimates the mean run time with a fixed sample.
func (w Workload) meanWork() float64 {
	rng := rand.New(rand.NewPCG(1, 1))
	const sample = 50000
	sum := 0.0
	for range sample {
		sum += w.drawWork(rng, w.pickClient(rng))
	}
	return sum / sample
}

func (w Workload) meanSize() float64 {
	sum, weight := 0.0, 0.0
	for _, s := range w.Sizes {
		sum += s.Weight * float64(s.Tasks)
		weight += s.Weight
	}
	return sum / weight
}

func (w Workload) pickSize(rng *rand.Rand) int {
	total := 0.0
	for _, s := range w.Sizes {
		total += s.Weight
	}
	x := rng.Float64() * total
	for _, s := range w.Sizes {
		if x -= s.Weight; x < 0 {
			return s.Tasks
		}
	}
	return w.Sizes[len(w.Sizes)-1].Tasks
}

// pickClient returns a client; earlier ones submit more.
func (w Workload) pickClient(rng *rand.Rand) int {
	for c := 0; c < w.Clients-1; c++ {
		if rng.Float64() > clientDecay {
			return c
		}
	}
	return w.Clients - 1
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
