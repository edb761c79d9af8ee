package scheduler

import (
	"math"
	"slices"
)

// refresh recomputes the expected slowness of the target and the times at which
// its slots become free. Overdue tasks raise the slowness above the learned one.
func (t *target) refresh(now float64) {
	if now < t.validUntil {
		return
	}
	t.overdueSlowdown = 1
	base := math.Exp(t.logSlowness(now))
	t.slowness = base
	t.foreignExpected, t.foreignScale = t.foreignNow(now)
	t.simulateSlots(now)
	if k := t.estimateOverdueSlowdown(now, base); k > 1 {
		t.overdueSlowdown = k
		t.slowness = base * k
		t.simulateSlots(now)
	}
	t.validUntil = now + math.Min(maxRefreshInterval, maxRefreshRunShare*t.svc.meanWork()*t.slowness)
}

// simulateSlots simulates the outstanding attempts in the order in which they were
// sent, and so computes the time at which each slot becomes free.
func (t *target) simulateSlots(now float64) {
	// A target without slots is not usable; simulating one slot avoids an empty
	// heap.
	n := max(1, t.Slots)
	t.slotFreeAt = slices.Grow(t.slotFreeAt[:0], n)[:n]
	ratio := t.svc.runRatio
	foreign := int(math.Round(t.foreignExpected))
	mean := t.svc.meanWork() * t.slowness
	for i := range t.slotFreeAt {
		t.slotFreeAt[i] = math.Inf(-1)
		if i < foreign {
			t.slotFreeAt[i] = now + mean*float64(i+1)/float64(foreign)
		}
	}
	heapify(t.slotFreeAt)
	for i := n; i < foreign; i++ {
		replaceMin(t.slotFreeAt, t.slotFreeAt[0]+mean)
	}
	unreported := 0
	for i, a := range t.outstanding {
		a.start = math.Max(t.slotFreeAt[0], a.sent+t.delay)
		run := a.job.tasks[a.index].work * t.slowness
		end := a.start + run*ratio.mean
		if a.start <= now {
			if a.batch && end <= now && t.sentWithNext(i) {
				unreported++
			} else {
				end = now + run*ratio.meanResidualAfter((now-a.start)/run)
			}
		}
		replaceMin(t.slotFreeAt, end)
	}
	t.simulatedUnreported = unreported
	t.active = len(t.outstanding) - min(len(t.outstanding), max(unreported, t.observedUnreported))
}

// sentWithNext reports whether attempt i and the next one were sent at the same
// time, and so in the same batch.
func (t *target) sentWithNext(i int) bool {
	return i+1 < len(t.outstanding) && t.outstanding[i+1].sent == t.outstanding[i].sent
}

// estimateOverdueSlowdown returns the factor by which the target must be slower
// than base for the run times so far of its running tasks to be plausible: a power
// of overdueSlowdownStep, and at least 1.
func (t *target) estimateOverdueSlowdown(now, base float64) float64 {
	k := 1.0
	for ; k < maxOverdueSlowdown; k *= overdueSlowdownStep {
		n, sum, batchSize := 0.0, 0.0, 1
		for i, a := range t.outstanding {
			if a.batch && t.sentWithNext(i) {
				batchSize++
				continue
			}
			if a.start >= now {
				batchSize = 1
				continue
			}
			n++
			surprisal := t.svc.runRatio.negLogSurvival((now - a.start - 2*t.delay) / (a.job.tasks[a.index].work * base * k))
			// A batch is reported when the last of its tasks has ended, and the
			// longest of several run times is longer on average than each of them.
			sum += math.Max(0, surprisal-math.Log(float64(batchSize)))
			batchSize = 1
		}
		// The sum of n exponentially distributed terms of mean 1 has mean n and
		// standard deviation sqrt(n).
		if sum <= n+4*math.Sqrt(n)+3 {
			break
		}
	}
	return k
}

// heapify makes h a min-heap.
func heapify(h []float64) {
	for i := len(h)/2 - 1; i >= 0; i-- {
		siftDown(h, i)
	}
}

// replaceMin replaces the least element of the min-heap h by v.
func replaceMin(h []float64, v float64) {
	h[0] = v
	siftDown(h, 0)
}

func siftDown(h []float64, i int) {
	for {
		c := 2*i + 1
		if c >= len(h) {
			return
		}
		if c+1 < len(h) && h[c+1] < h[c] {
			c++
		}
		if h[i] <= h[c] {
			return
		}
		h[i], h[c] = h[c], h[i]
		i = c
	}
}
