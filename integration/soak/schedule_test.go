package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

// step is one scheduled fault: it starts at the offset At from the start of the
// schedule and lasts for Duration.
type step struct {
	At, Duration time.Duration
	Fault        *fault
	// Gateway and Agent are the indexes of the processes that the fault may affect.
	Gateway, Agent int
	// Strength scales the fault, from 0 to 1.
	Strength float64
}

// String describes the step for the test log of a failed seed.
func (st step) String() string {
	return fmt.Sprintf("at %v for %v: %s (gateway %d, agent %d, strength %.2f)", st.At, st.Duration, st.Fault.name, st.Gateway, st.Agent, st.Strength)
}

const (
	// gapMax bounds the time between the starts of two steps, faultMax the duration
	// of one. Because faultMax is larger, steps overlap.
	gapMax   = 900 * time.Millisecond
	faultMin = 100 * time.Millisecond
	faultMax = 4 * time.Second
	// seriesShare is the probability that a step starts a series: seriesSize steps
	// with the same fault on consecutive processes, with a gap of up to seriesGap
	// multiplied by the position in the series.
	seriesShare = 0.15
	seriesSize  = 3
	seriesGap   = 700 * time.Millisecond
)

// drawSchedule returns the steps of a seed, sorted by start time. The schedule
// depends on the order of the random draws.
func drawSchedule(seed uint64, length time.Duration, s *system) []step {
	r := rand.New(rand.NewPCG(seed, 0))
	var weighted []*fault
	for i := range faults {
		weighted = append(weighted, slices.Repeat([]*fault{&faults[i]}, faults[i].weight)...)
	}
	var out []step
	for at := time.Duration(0); at < length; at += time.Duration(r.Int64N(int64(gapMax))) {
		st := step{
			At: at, Duration: faultMin + time.Duration(r.Int64N(int64(faultMax-faultMin))), Fault: weighted[r.IntN(len(weighted))],
			Gateway: r.IntN(len(s.gateways)), Agent: r.IntN(len(s.agents)), Strength: r.Float64(),
		}
		out = append(out, st)
		if r.Float64() >= seriesShare {
			continue
		}
		for i := 1; i < seriesSize; i++ {
			next := st
			next.At += time.Duration(i) * time.Duration(r.Int64N(int64(seriesGap)))
			next.Gateway, next.Agent = (st.Gateway+i)%len(s.gateways), (st.Agent+i)%len(s.agents)
			out = append(out, next)
		}
	}
	out = append(out, drawTargetFaults(seed, length, s)...)
	out = append(out, drawStoreFaults(seed, length, s)...)
	sort.SliceStable(out, func(i, j int) bool { return out[i].At < out[j].At })
	return out
}

// targetGapMax bounds the time between the starts of two steps with targetFaults.
const targetGapMax = 2 * time.Second

// drawTargetFaults returns the steps of a seed with targetFaults. They are drawn apart
// from the others, whose draw a seed keeps.
func drawTargetFaults(seed uint64, length time.Duration, s *system) []step {
	return drawFaults(targetFaults, rand.New(rand.NewPCG(seed, targetFaultsStream)), targetGapMax, length, s)
}

// storeGapMax bounds the time between the starts of two steps with storeFaults.
const storeGapMax = 8 * time.Second

// drawStoreFaults returns the steps of a seed with storeFaults.
func drawStoreFaults(seed uint64, length time.Duration, s *system) []step {
	return drawFaults(storeFaults, rand.New(rand.NewPCG(seed, storeFaultsStream)), storeGapMax, length, s)
}

// drawFaults returns steps with faults of a list.
func drawFaults(list []fault, r *rand.Rand, gap, length time.Duration, s *system) []step {
	var out []step
	next := func() time.Duration { return time.Duration(r.Int64N(int64(gap))) }
	for at := next(); at < length; at += next() {
		out = append(out, step{
			At: at, Duration: faultMin + time.Duration(r.Int64N(int64(faultMax-faultMin))), Fault: &list[r.IntN(len(list))],
			Gateway: r.IntN(len(s.gateways)), Agent: r.IntN(len(s.agents)), Strength: r.Float64(),
		})
	}
	return out
}
