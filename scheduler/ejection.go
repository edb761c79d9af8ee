package scheduler

import "math"

const (
	// failureWindow is the number of outcomes over which the failure rate of a
	// target averages.
	failureWindow = 32
	// minOutcomesToEject is the number of outcomes from which the failure rate
	// alone can eject a target.
	minOutcomesToEject = 10
)

// health tracks the failures of a target's tasks and whether the target is
// ejected, as outlier detection in load balancers does.
type health struct {
	// consecutiveFailures is the sum of the weights of the failures since the last
	// success.
	consecutiveFailures float64
	// failureRate is the moving average of the failure weights, over at most
	// failureWindow outcomes.
	failureRate float64
	outcomes    float64

	ejected bool
	// probeAfter is the time in seconds from which the ejected target may be probed
	// with single tasks.
	probeAfter float64
	backoff    float64
	// probeSuccesses is the number of successes since the ejection or the last
	// failed probe.
	probeSuccesses int
	reason         string
}

// probing reports whether the target is ejected and may be probed.
func (h *health) probing(now float64) bool { return h.ejected && now >= h.probeAfter }

func (h *health) observe(failure float64) {
	h.outcomes = math.Min(h.outcomes+1, failureWindow)
	h.failureRate += (failure - h.failureRate) / h.outcomes
	if failure > 0 {
		h.consecutiveFailures += failure
	} else {
		h.consecutiveFailures = 0
	}
}

// succeeded records a success on t.
func (e *engine) succeeded(t *target, c *client) {
	c.lastFailed[t] = false
	h := &t.health
	h.observe(0)
	if !h.ejected {
		return
	}
	if h.probeSuccesses++; h.probeSuccesses >= e.opts.ProbeSuccesses {
		h.ejected, h.reason = false, ""
		h.outcomes, h.failureRate = 0, 0
		t.svc.ejected--
	}
}

// failed records a failure of a task of j on t. A job that fails on more than one
// target is at fault itself: its failures are taken back from the targets. A
// failure counts less against the target the more of the client's tasks fail on
// other targets.
func (e *engine) failed(now float64, t *target, j *job) {
	if j.atFault {
		return
	}
	for _, c := range j.attributedFailures {
		if c.target != t {
			j.atFault = true
		}
	}
	if j.atFault {
		for _, c := range j.attributedFailures {
			e.retractFailure(c.target, c.weight)
		}
		j.attributedFailures = nil
		j.client.lastFailed[t] = true
		return
	}
	weight := e.targetFaultShare(t, j.client)
	j.client.lastFailed[t] = true
	j.attributedFailures = append(j.attributedFailures, attributedFailure{t, weight})
	t.health.observe(weight)
	e.ejectIfFailing(now, t)
}

// targetFaultShare returns the weight between 0 and 1 with which a failure counts
// against the target: among the other targets that the client used, the share on
// which its last task succeeded.
func (e *engine) targetFaultShare(t *target, c *client) float64 {
	succeeding, total := 0.0, 0.0
	for other, failing := range c.lastFailed {
		if other == t || other.health.ejected {
			continue
		}
		total++
		if !failing {
			succeeding++
		}
	}
	if total == 0 {
		return 1
	}
	return succeeding / total
}

// retractFailure takes back a failure that was counted against t. It also ends an
// ejection for which too few consecutive failures remain, unless a probe has
// succeeded since.
func (e *engine) retractFailure(t *target, weight float64) {
	h := &t.health
	h.consecutiveFailures = math.Max(0, h.consecutiveFailures-weight)
	if h.outcomes > 0 {
		h.failureRate = math.Max(0, h.failureRate-weight/h.outcomes)
	}
	if h.ejected && h.probeSuccesses == 0 && h.consecutiveFailures < float64(e.opts.EjectAfter) {
		h.ejected, h.reason = false, ""
		t.svc.ejected--
	}
}

// ejectIfFailing ejects t after too many consecutive failures or at too high a
// failure rate, unless it is the service's only target or the maximum of ejected
// targets is reached. If t is ejected and was being probed, it starts the next
// backoff.
func (e *engine) ejectIfFailing(now float64, t *target) {
	h := &t.health
	if h.ejected {
		if h.probing(now) {
			h.probeSuccesses = 0
			e.backOff(now, h)
		}
		return
	}
	tooManyConsecutive := h.consecutiveFailures >= float64(e.opts.EjectAfter)-0.5
	rateTooHigh := h.outcomes >= minOutcomesToEject && h.failureRate > t.svc.failureRate(t)+e.opts.EjectRate
	if !tooManyConsecutive && !rateTooHigh {
		return
	}
	maxEjected := max(1, int(e.opts.EjectShare*float64(len(t.svc.targets))))
	if len(t.svc.targets) < 2 || t.svc.ejected >= maxEjected {
		return
	}
	h.ejected, h.probeSuccesses = true, 0
	h.reason = "failure rate"
	if tooManyConsecutive {
		h.reason = "failures in a row"
	}
	t.svc.ejected++
	e.backOff(now, h)
}

// backOff doubles the time until the next probes of an ejected target, within the
// configured bounds and with jitter.
func (e *engine) backOff(now float64, h *health) {
	first, limit := e.opts.EjectBackoff.Seconds(), e.opts.EjectBackoffMax.Seconds()
	h.backoff = math.Min(limit, math.Max(first, 2*h.backoff))
	h.probeAfter = now + h.backoff*(0.8+0.4*e.rng.Float64())
}

// failureRate returns the mean failure rate of the targets other than t that are
// not ejected.
func (s *service) failureRate(t *target) float64 {
	sum, n := 0.0, 0.0
	for _, o := range s.targets {
		if o != t && !o.health.ejected && o.health.outcomes > 0 {
			sum += o.health.failureRate
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / n
}
