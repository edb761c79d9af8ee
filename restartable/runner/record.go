package runner

import "math"

// Record is what an agent stores about its target so that a later process can
// restore it. The target has its full capacity there, also while it has shrunk.
type Record struct {
	Target Target
	Speed  SpeedEstimate
}

// SpeedEstimate is an estimate of a target's speed.
type SpeedEstimate struct {
	// Slowness is the usual ratio of measured to expected run times, estimated
	// from Samples runs.
	Slowness float64
	Samples  int
}

const (
	// reliableSamples is the minimum number of runs after which an estimate is
	// stored. It is also the maximum weight, in runs, of a restored estimate,
	// since the target may have changed.
	reliableSamples = 20
	// maxSamplesOtherKind is the maximum weight, in runs, of an estimate restored
	// for a target of another kind: the VM is the same, but the kind may imply
	// another speed.
	maxSamplesOtherKind = 8
	// speedChangeRatio is the ratio between a new and the stored slowness above
	// which the new one replaces it.
	speedChangeRatio = 1.25
)

// forTarget returns the part of an estimate, made for the target estimatedFor,
// that applies to a target t of the same VM. Both are given with their full capacity.
func (e SpeedEstimate) forTarget(estimatedFor, t Target) SpeedEstimate {
	switch {
	case t.sameIncarnation(estimatedFor):
	case !t.sameCapacity(estimatedFor):
		return SpeedEstimate{}
	case t.Kind != estimatedFor.Kind:
		e.Samples = min(e.Samples, maxSamplesOtherKind)
	}
	return e
}

// Update returns the record of target t with the current estimate e. A reliable
// stored estimate is kept until the new one differs significantly or the target's
// capacity changes.
func (r Record) Update(t Target, e SpeedEstimate) Record {
	stored := r.Speed.forTarget(r.Target, t)
	if e.Samples >= reliableSamples && (stored.Samples < reliableSamples || math.Abs(math.Log(e.Slowness/stored.Slowness)) > math.Log(speedChangeRatio)) {
		stored = e
	}
	return Record{Target: t, Speed: stored}
}
