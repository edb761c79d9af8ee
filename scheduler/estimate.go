package scheduler

import "math"

// The run time of a task is modelled as its work divided by the speed of the
// target; slowness is the reciprocal of speed. Work is learned per service and
// client, slowness per target, both as means of logarithms, since declared and
// real run times differ by factors rather than by amounts.

const (
	// workWindow is the number of outcomes over which a work estimate averages.
	workWindow = 200
	// speedWindow is the number of outcomes over which a speed averages. When the
	// logarithm of run times has a standard deviation of 0.86 (a factor of 2.4),
	// the average has a noise of about 8%.
	speedWindow = 64
	// recentWindow is the number of outcomes over which the recent speed averages,
	// which shows a change of speed. Its noise is about 22%.
	recentWindow = 8
	// speedChangeThreshold is the difference between the logarithms of recent and
	// average speed above which the speed has changed (a factor of 2). Smaller
	// differences are taken for noise.
	speedChangeThreshold = 0.7
	// shrinkageWeight is the number of outcomes that the service's mean counts as
	// in a client's estimate (shrinkage towards the mean).
	shrinkageWeight = 5
	// slopeRegularization, divided by the number of outcomes, is added to the
	// variance of the declared run times in the regression (as in ridge
	// regression), so that declarations have little weight while outcomes are few.
	slopeRegularization = 0.5
)

// workEstimate learns the mean logarithm of the work of a service's tasks, of one
// client or of all, and by linear regression how well declared run times predict
// it.
type workEstimate struct {
	n            float64
	mean         float64
	nDeclared    float64
	meanDeclared float64
	varDeclared  float64
	cov          float64
}

func (w *workEstimate) observe(logWork, logDeclared float64, declared bool) {
	w.n = math.Min(w.n+1, workWindow)
	w.mean += (logWork - w.mean) / w.n
	if !declared {
		return
	}
	w.nDeclared = math.Min(w.nDeclared+1, workWindow)
	a := 1 / w.nDeclared
	d := logDeclared - w.meanDeclared
	w.meanDeclared += a * d
	w.varDeclared = (1 - a) * (w.varDeclared + a*d*d)
	w.cov = (1 - a) * (w.cov + a*d*(logWork-w.mean))
}

// declaredCorrection returns the correction that a declared run time makes to the
// mean. The regression slope is limited to [0, 1]: 0 ignores declarations, 1 trusts
// them up to a constant factor.
func (w *workEstimate) declaredCorrection(logDeclared float64) float64 {
	if w.nDeclared < 2 {
		return 0
	}
	slope := w.cov / (w.varDeclared + slopeRegularization/w.nDeclared)
	return math.Max(0, math.Min(1, slope)) * (logDeclared - w.meanDeclared)
}

// predictLog returns the logarithm of the expected work of a task in seconds at
// speed 1. The estimate overall of the whole service supplements w while w has
// few outcomes.
func (w *workEstimate) predictLog(overall *workEstimate, declared, defaultRun float64) float64 {
	if overall.n == 0 {
		// Without any outcome, the declared run time is used as it is. It serves
		// mainly to order the tasks of a job.
		if declared > 0 {
			return math.Log(declared)
		}
		return math.Log(defaultRun)
	}
	base := (w.n*w.mean + shrinkageWeight*overall.mean) / (w.n + shrinkageWeight)
	if declared > 0 {
		if w.nDeclared >= shrinkageWeight {
			base += w.declaredCorrection(math.Log(declared))
		} else {
			base += overall.declaredCorrection(math.Log(declared))
		}
	}
	return base
}

// speedEstimate learns the logarithm of a target's slowness, its run time per
// unit of work.
type speedEstimate struct {
	n float64
	// logSlowness averages over speedWindow outcomes, recentLogSlowness over
	// recentWindow. When they differ by more than speedChangeThreshold, logSlowness
	// restarts from recentLogSlowness.
	logSlowness       float64
	recentLogSlowness float64
	// lastOutcome is the time of the last outcome in seconds.
	lastOutcome float64
}

func (s *speedEstimate) observe(now, logSlow float64) {
	s.lastOutcome = now
	s.n = math.Min(s.n+1, speedWindow)
	if s.n <= 1 {
		s.logSlowness, s.recentLogSlowness = logSlow, logSlow
		return
	}
	s.logSlowness += (logSlow - s.logSlowness) / s.n
	s.recentLogSlowness += (logSlow - s.recentLogSlowness) / math.Min(s.n, recentWindow)
	if s.n > 2*recentWindow && math.Abs(s.recentLogSlowness-s.logSlowness) > speedChangeThreshold {
		s.logSlowness, s.n = s.recentLogSlowness, recentWindow
	}
}

const (
	ratioPerOctave       = 4 // buckets for each factor of 2
	ratioOctaves         = 6 // on each side of ratio 1
	ratioBuckets         = 2 * ratioOctaves * ratioPerOctave
	ratioPriorWeight     = 20   // outcomes that the prior distribution counts as
	ratioRebuildInterval = 64   // outcomes between two calls of rebuild
	ratioWindow          = 2000 // outcomes at which all counts are halved
	minRatioTail         = 1e-6 // lower bound of the shares in logSurvival
)

// ratioTable is a histogram, with logarithmic buckets, of the ratio of run time
// to predicted run time in a service. It gives the expected remaining run time of
// a running task and how improbable it is that a task runs so long.
type ratioTable struct {
	count        [ratioBuckets]float64
	total        float64
	sinceRebuild int
	// mean is the mean ratio. meanResidual[i] is the mean remaining run time, in
	// units of the prediction, of a task that has run up to the lower edge of
	// bucket i. logSurvival[i] is the logarithm of the share of the tasks running
	// at any moment that have run longer than that. It exceeds the share among all
	// tasks, since long tasks are more often among the running ones (length-biased
	// sampling).
	mean         float64
	meanResidual [ratioBuckets + 1]float64
	logSurvival  [ratioBuckets + 1]float64
}

func newRatioTable() *ratioTable {
	t := &ratioTable{}
	for i := range t.count {
		// Log-normal prior. The logarithm has a standard deviation of 0.8 (a
		// factor of 2.2).
		x := (float64(i) + 0.5 - ratioBuckets/2) / ratioPerOctave * math.Ln2 / 0.8
		t.count[i] = math.Exp(-x * x / 2)
		t.total += t.count[i]
	}
	for i := range t.count {
		t.count[i] *= ratioPriorWeight / t.total
	}
	t.total = ratioPriorWeight
	t.rebuild()
	return t
}

// ratioEdge returns the lower edge of bucket i.
func ratioEdge(i int) float64 {
	return math.Exp2(float64(i-ratioBuckets/2) / ratioPerOctave)
}

// ratioIndex returns the fractional bucket index of ratio x.
func ratioIndex(x float64) float64 {
	if x <= 0 {
		return 0
	}
	return math.Max(0, math.Min(ratioBuckets, math.Log2(x)*ratioPerOctave+ratioBuckets/2))
}

func (t *ratioTable) observe(ratio float64) {
	t.count[min(int(ratioIndex(ratio)), ratioBuckets-1)]++
	t.total++
	if t.total > ratioWindow {
		for i := range t.count {
			t.count[i] /= 2
		}
		t.total /= 2
	}
	if t.sinceRebuild++; t.sinceRebuild >= ratioRebuildInterval {
		t.rebuild()
	}
}

// rebuild computes the derived values from the counts.
func (t *ratioTable) rebuild() {
	t.sinceRebuild = 0
	tail, sum := 0.0, 0.0
	t.meanResidual[ratioBuckets] = ratioEdge(ratioBuckets)
	for i := ratioBuckets - 1; i >= 0; i-- {
		tail += t.count[i]
		sum += t.count[i] * (ratioEdge(i) + ratioEdge(i+1)) / 2
		t.meanResidual[i] = math.Max(sum/tail-ratioEdge(i), 0.02)
		t.logSurvival[i] = math.Log(math.Max(tail/t.total*t.meanResidual[i], minRatioTail))
	}
	t.mean = sum / t.total
	t.logSurvival[ratioBuckets] = math.Log(minRatioTail)
	for i := range t.logSurvival {
		t.logSurvival[i] -= math.Log(t.mean)
	}
}

// interpolate returns the value of a table at ratio x, linear between the edges.
func interpolate(table *[ratioBuckets + 1]float64, x float64) float64 {
	p := ratioIndex(x)
	i := int(p)
	if i >= ratioBuckets {
		return table[ratioBuckets]
	}
	return table[i] + (p-float64(i))*(table[i+1]-table[i])
}

// meanResidualAfter returns the mean remaining run time, in units of the
// prediction, of a task that has run for x times its prediction.
func (t *ratioTable) meanResidualAfter(x float64) float64 {
	if x <= ratioEdge(0) {
		return t.mean
	}
	return interpolate(&t.meanResidual, x)
}

// negLogSurvival returns -ln of the share of the running tasks that have run for
// longer than x times their prediction. For tasks that run as predicted it is
// exponentially distributed with mean 1.
func (t *ratioTable) negLogSurvival(x float64) float64 {
	if x <= ratioEdge(0) {
		return 0
	}
	return -interpolate(&t.logSurvival, x)
}
