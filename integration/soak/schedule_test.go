package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

// step is one fault of a schedule.
type step struct {
	At, For time.Duration
	Fault   *fault
	// Gateway and Agent are the indexes of those that it touches.
	Gateway, Agent int
	// X is its strength, from 0 to 1.
	X float64
}

// String describes the step for the log of a failed seed.
func (st step) String() string {
	return fmt.Sprintf("at %v for %v: %s (gateway %d, agent %d, strength %.2f)", st.At, st.For, st.Fault.name, st.Gateway, st.Agent, st.X)
}

const (
	// gapMax bounds the time between two steps, faultMax the length of one, so
	// that steps overlap.
	gapMax   = 900 * time.Millisecond
	faultMin = 100 * time.Millisecond
	faultMax = 4 * time.Second
	// seriesShare of the steps are series of seriesSize over different processes.
	seriesShare = 0.15
	seriesSize  = 3
	seriesGap   = 700 * time.Millisecond
)

// drawSchedule returns the steps of a seed in the order of their times.
func drawSchedule(seed uint64, length time.Duration, s *site) []step {
	r := rand.New(rand.NewPCG(seed, 0))
	var weighted []*fault
	for i := range faults {
		weighted = append(weighted, slices.Repeat([]*fault{&faults[i]}, faults[i].weight)...)
	}
	var out []step
	for at := time.Duration(0); at < length; at += time.Duration(r.Int64N(int64(gapMax))) {
		st := step{
			At: at, For: faultMin + time.Duration(r.Int64N(int64(faultMax-faultMin))), Fault: weighted[r.IntN(len(weighted))],
			Gateway: r.IntN(len(s.gateways)), Agent: r.IntN(len(s.agents)), X: r.Float64(),
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
	sort.SliceStable(out, func(i, j int) bool { return out[i].At < out[j].At })
	return out
}
