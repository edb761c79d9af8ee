package scheduler

import (
	"cmp"
	"math"
	"slices"
)

const (
	// staleAfter is the time in seconds without outcomes after which a target
	// that became slow is given another try.
	staleAfter = 10.0
	// staleHalf is the time in seconds in which the excess slowness of a stale
	// target halves.
	staleHalf = 10.0
	// logisticWidth is the scale of a logistic distribution with a standard
	// deviation of 1.
	logisticWidth = 0.55
	// usualWindow is the number of outcomes that define a target's usual speed.
	usualWindow = 1000
	// overdueStep is the factor by which the assumed slowness of a target grows
	// until its overdue tasks are plausible.
	overdueStep = 1.4
	// overdueMax bounds that factor.
	overdueMax = 1000
)

// attempt is a task that was sent and whose outcome is not known.
type attempt struct {
	job      *job
	index    int
	sent     float64
	batch    bool
	revoking bool
	// start is the modelled start, set by refresh.
	start float64
}

// target is the state of one target.
type target struct {
	Target
	svc     *service
	present bool
	delay   float64
	speed   speedEstimate
	usual   speedEstimate
	health  health
	out     []*attempt

	// active is the number of own tasks that have not ended, as far as known.
	// Tasks of a batch end silently before its report: modelSilent of them as
	// modelled, and at least silent of them by the last report of the load.
	active, modelSilent, silent int

	leaving   bool
	rejecting bool
	// foreign is the number of tasks of other gateways at the time foreignAt,
	// foreignMean its long-term mean.
	foreign, foreignMean, foreignAt float64

	// slots is a heap of the times at which the slots become free, valid until
	// validUntil. slow is the expected run time per unit of work, with factor
	// for overdue tasks included.
	slots      []float64
	validUntil float64
	slow       float64
	factor     float64
	// price is the factor by which waiting for a faster target counts more than
	// using this one, see service.rank.
	price float64
	// room is the number of tasks that the target can take now. fasterEnds is
	// the rate per second at which own tasks end on faster targets, fasterSpeed
	// the same weighted by speed, as of the start of the Decide; sent counts the
	// tasks that the Decide has sent. All are valid within one Decide.
	room, sent              int
	fasterEnds, fasterSpeed float64
	// hungry is true when the Decide began with fewer own tasks than slots.
	hungry bool
	// foreignSeen and foreignWidth are the results of foreignNow at the last
	// refresh.
	foreignSeen, foreignWidth float64
	// order ranks equal targets.
	order uint64
}

// usable reports whether t may receive ordinary work.
func (t *target) usable(now float64) bool {
	return t.present && t.Connected && !t.Draining && !t.leaving && !t.rejecting && t.Slots > 0 &&
		(!t.health.ejected || t.health.probing(now))
}

// limit returns the number of own tasks that t may hold now: fewer for a
// target that is probed, has just failed, or is tried again after a slowdown.
func (t *target) limit(now float64) int {
	if t.health.ejected || t.stale(now) {
		return 1
	}
	if t.health.row >= 1 {
		return max(1, t.Slots>>int(t.health.row))
	}
	return math.MaxInt
}

func (t *target) stale(now float64) bool {
	return t.speed.n > 0 && now-t.speed.seen > staleAfter && t.speed.slow > t.usual.slow+speedChange
}

// logSlow returns the learned logarithm of the slowness. A target that was not
// seen yet is taken as declared, or as the mean of the service.
func (t *target) logSlow(now float64) float64 {
	prior := t.svc.meanSlow
	if t.DeclaredSpeed > 0 {
		prior = -math.Log(t.DeclaredSpeed)
	}
	s := t.speed.slow
	if t.stale(now) {
		age := now - t.speed.seen - staleAfter
		s = t.usual.slow + (s-t.usual.slow)*math.Exp2(-age/staleHalf)
	}
	return (t.speed.n*s + prior) / (t.speed.n + 1)
}

// foreignNow returns the expected number of tasks of other gateways, and the
// width of a logistic distribution of it. An old report counts less, in favour
// of the mean: since then, tasks have ended and others have come.
func (t *target) foreignNow(now float64) (expected, width float64) {
	tau := math.Max(t.svc.meanWork()*t.slow, 0.01)
	w := math.Exp(-(now - t.foreignAt) / tau)
	variance := t.foreign*w*(1-w) + t.foreignMean*(1-w)
	return t.foreignMean + (t.foreign-t.foreignMean)*w, logisticWidth * math.Sqrt(variance)
}

func (t *target) report(now float64, load Load) {
	known := 0
	for _, a := range t.out {
		if a.sent <= now-2*t.delay {
			known++
		}
	}
	present := load.Running + load.Queued
	t.silent = max(0, known-present)
	t.foreign = math.Max(0, float64(present-max(0, known-t.modelSilent)))
	t.foreignMean += (t.foreign - t.foreignMean) / 64
	t.foreignAt = now
	t.leaving, t.rejecting = load.Leaving, !load.Accepting
	if load.Slots > 0 {
		t.Slots = load.Slots
	}
	t.validUntil = 0
}

func (t *target) remove(at int) {
	t.out = slices.Delete(t.out, at, at+1)
	t.validUntil = 0
}

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
	t.validUntil = now + math.Min(0.02, 0.1*t.svc.meanWork()*t.slow)
}

// model fills slots by replaying the attempts in the order of their sending.
func (t *target) model(now float64) {
	t.slots = slices.Grow(t.slots[:0], t.Slots)[:t.Slots]
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
	for i := t.Slots; i < foreign; i++ {
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

const (
	// priceMax bounds the price of waiting. Measured at 80% load with a 1:8
	// spread: 5 leaves tasks waiting at the owner, 50 sends them to the slowest
	// targets; 10 has the least p99 slowdown of the three.
	priceMax = 10
	// servedWindow is the time in seconds over which the served work averages.
	servedWindow = 3.0
)

// rank orders the targets by speed and sets the price of waiting for each. A
// task that waits for a fast target instead of using a free slow one delays the
// tasks that arrive until the fast targets have caught up, in the mean by a
// factor of 1/(1-load), with the load of the targets that are faster than the
// slow one. The load comes from the work in service, own and foreign.
func (s *service) rank(now, elapsed float64) {
	s.ranked = s.ranked[:0]
	served := 0.0
	for _, t := range s.targets {
		t.refresh(now)
		s.ranked = append(s.ranked, t)
		if !t.usable(now) || t.health.ejected {
			continue
		}
		served += math.Min(float64(t.Slots), float64(t.active)+t.foreignSeen) / t.slow
	}
	s.served += (served - s.served) * (1 - math.Exp(-elapsed/servedWindow))
	mean := s.meanWork()
	slices.SortStableFunc(s.ranked, func(a, b *target) int {
		return cmp.Compare(mean*a.slow+2*a.delay, mean*b.slow+2*b.delay)
	})
	faster := 0.0
	for _, t := range s.ranked {
		t.price = priceMax
		if s.served < faster {
			t.price = math.Min(priceMax, 1/(1-s.served/faster))
		}
		if t.usable(now) && !t.health.ejected {
			faster += float64(t.Slots) / t.slow
		}
	}
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
