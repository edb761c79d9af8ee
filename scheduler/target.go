package scheduler

import (
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
	// refreshMost is the longest time in seconds, and refreshShare the longest
	// share of a run time, for which the model of a target is used unchanged.
	refreshMost  = 0.05
	refreshShare = 0.2
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
	// batchOut is the number of attempts in out that belong to large jobs.
	batchOut int

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
	// foreignSeen and foreignWidth are the last results of foreignNow.
	foreignSeen, foreignWidth float64
	// collision is the collisionCost, or negative when it has to be computed.
	collision float64
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
	if t.out[at].batch {
		t.batchOut--
	}
	t.out = slices.Delete(t.out, at, at+1)
	t.validUntil = 0
}
