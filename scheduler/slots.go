package scheduler

import (
	"math"
	"slices"
)

// refresh recomputes the times at which slots become free, and how far overdue
// tasks show that the target is slower than learned.
func (t *target) refresh(now float64) {
	if now < t.validUntil {
		return
	}
	t.factor = 1
	base := math.Exp(t.logSlow(now))
	t.slow = base
	t.foreignSeen, t.foreignWidth = t.foreignNow(now)
	t.model(now)
	if k := t.overdueFactor(now, base); k > 1 {
		t.factor = k
		t.slow = base * k
		t.model(now)
	}
	t.validUntil = now + math.Min(refreshMost, refreshShare*t.svc.meanWork()*t.slow)
}

// model fills slots by replaying the attempts in the order of their sending.
func (t *target) model(now float64) {
	// A target without slots is not usable; one slot keeps the model simple.
	n := max(1, t.Slots)
	t.slots = slices.Grow(t.slots[:0], n)[:n]
	ratio := t.svc.ratio
	foreign := int(math.Round(t.foreignSeen))
	mean := t.svc.meanWork() * t.slow
	for i := range t.slots {
		t.slots[i] = math.Inf(-1)
		if i < foreign {
			t.slots[i] = now + mean*float64(i+1)/float64(foreign)
		}
	}
	heapify(t.slots)
	for i := n; i < foreign; i++ {
		replaceMin(t.slots, t.slots[0]+mean)
	}
	silent := 0
	for i, a := range t.out {
		a.start = math.Max(t.slots[0], a.sent+t.delay)
		run := a.job.tasks[a.index].work * t.slow
		end := a.start + run*ratio.mean
		if a.start <= now {
			if a.batch && end <= now && t.sameBatch(i) {
				silent++
			} else {
				end = now + run*ratio.restAfter((now-a.start)/run)
			}
		}
		replaceMin(t.slots, end)
	}
	t.modelSilent = silent
	t.active = len(t.out) - min(len(t.out), max(silent, t.silent))
}

// sameBatch reports whether attempt i and the next one were sent together.
func (t *target) sameBatch(i int) bool {
	return i+1 < len(t.out) && t.out[i+1].sent == t.out[i].sent
}

// overdueFactor returns the factor by which the target has to be slower than
// base for its running tasks to be plausible.
func (t *target) overdueFactor(now, base float64) float64 {
	k := 1.0
	for ; k < overdueMax; k *= overdueStep {
		n, sum, unreported := 0.0, 0.0, 1
		for i, a := range t.out {
			if a.batch && t.sameBatch(i) {
				unreported++
				continue
			}
			if a.start >= now {
				unreported = 1
				continue
			}
			n++
			surprise := t.svc.ratio.surprise((now - a.start - 2*t.delay) / (a.job.tasks[a.index].work * base * k))
			// A batch is reported when the last of its tasks has ended.
			sum += math.Max(0, surprise-math.Log(float64(unreported)))
			unreported = 1
		}
		// The sum of n terms of Exp(1) has mean n and deviation sqrt(n).
		if sum <= n+4*math.Sqrt(n)+3 {
			break
		}
	}
	return k
}

func heapify(h []float64) {
	for i := len(h)/2 - 1; i >= 0; i-- {
		siftDown(h, i)
	}
}

// replaceMin replaces the least element of the heap.
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
