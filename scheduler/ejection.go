package scheduler

import "math"

const (
	// failureWindow is the number of outcomes over which the failure rate of a
	// target averages.
	failureWindow = 32
	// failureMinimum is the number of outcomes below which the rate does not
	// eject.
	failureMinimum = 10
)

// health judges a target by the success of its tasks.
type health struct {
	// row is the weight of failures since the last success.
	row  float64
	rate float64
	n    float64

	ejected bool
	// until is the time in seconds at which probes may begin.
	until   float64
	backoff float64
	// passed counts the successful probes since the ejection.
	passed int
	why    string
}

// probing reports whether the target is ejected and may be probed.
func (h *health) probing(now float64) bool { return h.ejected && now >= h.until }

func (h *health) observe(failure float64) {
	h.n = math.Min(h.n+1, failureWindow)
	h.rate += (failure - h.rate) / h.n
	if failure > 0 {
		h.row += failure
	} else {
		h.row = 0
	}
}

// succeeded records a success on t.
func (e *engine) succeeded(t *target, c *client) {
	c.failing[t] = false
	h := &t.health
	h.observe(0)
	if !h.ejected {
		return
	}
	if h.passed++; h.passed >= e.opts.ProbeSuccesses {
		h.ejected, h.why = false, ""
		h.n, h.rate = 0, 0
		t.svc.ejected--
	}
}

// failed records a failure of a task of j on t. A job that fails on several
// targets is at fault itself, and so is a client whose tasks fail elsewhere.
func (e *engine) failed(now float64, t *target, j *job) {
	if j.blamed {
		return
	}
	for _, c := range j.charges {
		if c.target != t {
			j.blamed = true
		}
	}
	if j.blamed {
		for _, c := range j.charges {
			e.uncharge(c.target, c.weight)
		}
		j.charges = nil
		j.client.failing[t] = true
		return
	}
	weight := e.targetBlame(t, j.client)
	j.client.failing[t] = true
	j.charges = append(j.charges, charge{t, weight})
	t.health.observe(weight)
	e.judge(now, t)
}

// targetBlame returns the share of a failure that is attributed to the target:
// the share of the other targets on which the client's last task succeeded.
func (e *engine) targetBlame(t *target, c *client) float64 {
	good, all := 0.0, 0.0
	for other, failing := range c.failing {
		if other == t || other.health.ejected {
			continue
		}
		all++
		if !failing {
			good++
		}
	}
	if all == 0 {
		return 1
	}
	return good / all
}

func (e *engine) uncharge(t *target, weight float64) {
	h := &t.health
	h.row = math.Max(0, h.row-weight)
	if h.n > 0 {
		h.rate = math.Max(0, h.rate-weight/h.n)
	}
	if h.ejected && h.passed == 0 && h.row < float64(e.opts.EjectAfter) {
		h.ejected, h.why = false, ""
		t.svc.ejected--
	}
}

// judge ejects t when it fails tasks, within the bound on ejected targets.
func (e *engine) judge(now float64, t *target) {
	h := &t.health
	if h.ejected {
		if h.probing(now) {
			h.passed = 0
			e.backOff(now, h)
		}
		return
	}
	row := h.row >= float64(e.opts.EjectAfter)-0.5
	rate := h.n >= failureMinimum && h.rate > t.svc.failureRate(t)+e.opts.EjectRate
	if !row && !rate {
		return
	}
	bound := max(1, int(e.opts.EjectShare*float64(len(t.svc.targets))))
	if len(t.svc.targets) < 2 || t.svc.ejected >= bound {
		return
	}
	h.ejected, h.passed = true, 0
	h.why = "failure rate"
	if row {
		h.why = "failures in a row"
	}
	t.svc.ejected++
	e.backOff(now, h)
}

func (e *engine) backOff(now float64, h *health) {
	first, limit := e.opts.EjectBackoff.Seconds(), e.opts.EjectBackoffMax.Seconds()
	h.backoff = math.Min(limit, math.Max(first, 2*h.backoff))
	h.until = now + h.backoff*(0.8+0.4*e.rng.Float64())
}

// failureRate returns the mean failure rate of the targets in rotation other
// than t.
func (s *service) failureRate(t *target) float64 {
	sum, n := 0.0, 0.0
	for _, o := range s.targets {
		if o != t && !o.health.ejected && o.health.n > 0 {
			sum += o.health.rate
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / n
}
