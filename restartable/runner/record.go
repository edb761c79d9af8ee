package runner

import "math"

// Record is what an agent keeps of its target beyond its own process.
type Record struct {
	Target Target
	Speed  SpeedEstimate
}

// SpeedEstimate is what is known of a target's speed.
type SpeedEstimate struct {
	// Slowness is the usual ratio of measured to expected run times, learned from
	// Samples runs.
	Slowness float64
	Samples  int
}

const (
	// learnedSamples is the least number of runs after which a speed is worth
	// keeping, and the most that a kept one counts: a target may have changed.
	learnedSamples = 20
	// relabelledSamples is the most that it counts for a target of another kind:
	// the VM is the same, but a kind may stand for its speed.
	relabelledSamples = 8
	// learnedRatio is how far a speed has to be from the kept one to replace it.
	learnedRatio = 1.25
)

// forTarget returns what of it is to be expected of a target t of the same VM.
func (l SpeedEstimate) forTarget(learnedOf, t Target) SpeedEstimate {
	switch {
	case !t.sameSize(learnedOf):
		return SpeedEstimate{}
	case t.Kind != learnedOf.Kind:
		l.Samples = min(l.Samples, relabelledSamples)
	}
	return l
}

// Update returns the record of a target with a speed. A well-known speed stays until
// one is learned that differs clearly, or until a target of another size comes.
func (r Record) Update(t Target, l SpeedEstimate) Record {
	kept := r.Speed.forTarget(r.Target, t)
	if l.Samples >= learnedSamples && (kept.Samples < learnedSamples || math.Abs(math.Log(l.Slowness/kept.Slowness)) > math.Log(learnedRatio)) {
		kept = l
	}
	return Record{Target: t, Speed: kept}
}
