package scheduler

import (
	"math"
	"slices"
)

const (
	// staleAfter is the time in seconds without outcomes after which the estimate
	// of a target that has become slower than usual is stale, and the target is
	// tried again.
	staleAfter = 10.0
	// staleHalfLife is the half-life in seconds of the excess slowness of a target
	// with a stale estimate.
	staleHalfLife = 10.0
	// maxRefreshInterval is the maximum time in seconds for which the result of
	// refresh is used, and maxRefreshRunShare the maximum in mean run times.
	maxRefreshInterval = 0.05
	maxRefreshRunShare = 0.2
	// logisticScale is the scale parameter of a logistic distribution with a
	// standard deviation of 1 (sqrt(3)/pi).
	logisticScale = 0.55
	// usualSpeedWindow is the number of outcomes over which a target's usual speed
	// averages.
	usualSpeedWindow = 1000
	// overdueSlowdownStep is the factor by which the assumed slowness of a target
	// is raised until the run times so far of its overdue tasks are plausible.
	overdueSlowdownStep = 1.4
	// maxOverdueSlowdown is the maximum factor between assumed and learned slowness.
	maxOverdueSlowdown = 1000
)

// attempt is a task that was sent and has no known outcome yet.
type attempt struct {
	job      *job
	index    int
	sent     float64
	batch    bool
	revoking bool
	// start is the simulated time of the start, set by refresh.
	start float64
}

// target is the state of one target as this gateway knows it. "Own" tasks are
// those sent by this gateway, "foreign" ones those of other gateways.
type target struct {
	Target
	svc *service
	// listed is true while the target is in the list of SetTargets.
	listed bool
	// delay is Target.Delay in seconds.
	delay float64
	speed speedEstimate
	// usualSpeed averages the slowness over usualSpeedWindow outcomes.
	usualSpeed speedEstimate
	health     health
	// outstanding holds the attempts without a known outcome, in the order of
	// sending.
	outstanding []*attempt

	// active is the number of own tasks that are expected not to have ended. Tasks
	// of a batch may have ended without a report yet: simulatedUnreported of them
	// according to the simulation, and at least observedUnreported according to the
	// last load report.
	active, simulatedUnreported, observedUnreported int
	// outstandingLarge is the number of outstanding attempts of large jobs.
	outstandingLarge int

	leaving   bool
	rejecting bool
	// foreign is the number of foreign tasks at the time foreignAt of the last load
	// report, foreignMean its long-term mean.
	foreign, foreignMean, foreignAt float64

	// slotFreeAt is a min-heap of the times at which the slots become free. It is
	// valid until validUntil, and so are the other results of refresh: slowness is
	// the expected run time per unit of work, which is the learned one times
	// overdueSlowdown, the factor inferred from overdue tasks.
	slotFreeAt      []float64
	validUntil      float64
	slowness        float64
	overdueSlowdown float64
	// waitCost is the factor by which the wait for a faster target is multiplied
	// before it is compared with running on this one, see service.rankTargets.
	waitCost float64
	// The following fields are valid within one Decide. available is the number of
	// tasks that the target can take now, and sentInDecide the number that this
	// Decide has sent to it. fasterCompletionRate is the rate per second at which
	// own tasks end on the faster targets, as of the start of this Decide, and
	// fasterSpeedSum is the same rate weighted by the speed of the targets.
	available, sentInDecide              int
	fasterCompletionRate, fasterSpeedSum float64
	// hasIdleSlot is true when there were fewer active own tasks than slots at the
	// start of this Decide.
	hasIdleSlot bool
	// foreignExpected and foreignScale are the last results of foreignNow.
	foreignExpected, foreignScale float64
	// cachedCollisionCost is the result of collisionCost, or negative until that
	// has been computed.
	cachedCollisionCost float64
	// tieBreak is the sort key of equally fast targets, see engine.sortByHash.
	tieBreak uint64
}

// usable reports whether t may receive tasks; an ejected target may from the end
// of its backoff on.
func (t *target) usable(now float64) bool {
	return t.listed && t.Connected && !t.Draining && !t.leaving && !t.rejecting && t.Slots > 0 &&
		(!t.health.ejected || t.health.probing(now))
}

// limit returns the maximum number of outstanding own tasks at t: 1 while the
// target is probed or tried again after a slowdown, halved for each failure since
// the last success, and otherwise unlimited.
func (t *target) limit(now float64) int {
	if t.health.ejected || t.stale(now) {
		return 1
	}
	if t.health.consecutiveFailures >= 1 {
		return max(1, t.Slots>>int(t.health.consecutiveFailures))
	}
	return math.MaxInt
}

// stale reports whether the target has become slower than usual and has had no
// outcome for so long that the estimate may be out of date.
func (t *target) stale(now float64) bool {
	return t.speed.n > 0 && now-t.speed.lastOutcome > staleAfter && t.speed.logSlowness > t.usualSpeed.logSlowness+speedChangeThreshold
}

// logSlowness returns the learned logarithm of the slowness. The declared speed, or
// else the mean of the service, counts as one outcome. A stale estimate decays
// towards the usual slowness.
func (t *target) logSlowness(now float64) float64 {
	prior := t.svc.meanLogSlowness
	if t.DeclaredSpeed > 0 {
		prior = -math.Log(t.DeclaredSpeed)
	}
	s := t.speed.logSlowness
	if t.stale(now) {
		age := now - t.speed.lastOutcome - staleAfter
		s = t.usualSpeed.logSlowness + (s-t.usualSpeed.logSlowness)*math.Exp2(-age/staleHalfLife)
	}
	return (t.speed.n*s + prior) / (t.speed.n + 1)
}

// foreignNow returns the expected number of foreign tasks and the scale parameter
// of a logistic distribution of that number. The older the last report, the more
// the long-term mean counts, since tasks have ended and others have arrived.
func (t *target) foreignNow(now float64) (expected, scale float64) {
	tau := math.Max(t.svc.meanWork()*t.slowness, 0.01)
	w := math.Exp(-(now - t.foreignAt) / tau)
	variance := t.foreign*w*(1-w) + t.foreignMean*(1-w)
	return t.foreignMean + (t.foreign-t.foreignMean)*w, logisticScale * math.Sqrt(variance)
}

// report records a load report. The agent cannot have counted tasks that were sent
// within the last round trip, so these are left out of the comparison.
func (t *target) report(now float64, load Load) {
	known := 0
	for _, a := range t.outstanding {
		if a.sent <= now-2*t.delay {
			known++
		}
	}
	reported := load.Running + load.Queued
	t.observedUnreported = max(0, known-reported)
	t.foreign = math.Max(0, float64(reported-max(0, known-t.simulatedUnreported)))
	t.foreignMean += (t.foreign - t.foreignMean) / 64
	t.foreignAt = now
	t.leaving, t.rejecting = load.Leaving, !load.Accepting
	if load.Slots > 0 {
		t.Slots = load.Slots
	}
	t.validUntil = 0
}

// remove deletes the outstanding attempt at the given index.
func (t *target) remove(at int) {
	if t.outstanding[at].batch {
		t.outstandingLarge--
	}
	t.outstanding = slices.Delete(t.outstanding, at, at+1)
	t.validUntil = 0
}
