package scheduler

import "math"

// Run times are modelled as work / speed. Work is learned per service and
// client, speed per target, both as means of logarithms, since declared and
// real run times differ by factors rather than by amounts.

const (
	// workWindow is the number of outcomes over which a work estimate averages.
	workWindow = 200
	// speedWindow is the number of outcomes over which a speed averages. With
	// run times that vary by a factor of 2.4 (one sigma of the logarithm 0.86) it
	// leaves about 8% of noise.
	speedWindow = 64
	// recentWindow detects a change of speed; its noise is about 22%.
	recentWindow = 8
	// speedChange is the difference of recent and long-term log speed that is
	// taken as a change rather than as noise (a factor of 2).
	speedChange = 0.7
	// shrinkCount is the weight of the service's mean in a client's estimate.
	shrinkCount = 5
	// slopePrior is added to the variance of declarations, so that few outcomes
	// do not give a declaration much weight.
	slopePrior = 0.5
)

// workEstimate learns the logarithm of the work of a class of tasks, and how
// far declared run times predict it.
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

// declaredPart returns the correction that a declaration makes to the mean. A
// slope of 0 ignores declarations, a slope of 1 trusts them up to a factor.
func (w *workEstimate) declaredPart(logDeclared float64) float64 {
	if w.nDeclared < 2 {
		return 0
	}
	slope := w.cov / (w.varDeclared + slopePrior/w.nDeclared)
	return math.Max(0, math.Min(1, slope)) * (logDeclared - w.meanDeclared)
}

// predictLog returns the logarithm of the expected work of a task in seconds
// at speed 1. all is the estimate of the whole service.
func (w *workEstimate) predictLog(all *workEstimate, declared, fallback float64) float64 {
	if all.n == 0 {
		// Nothing was seen: the declaration only orders the tasks of a job.
		if declared > 0 {
			return math.Log(declared)
		}
		return math.Log(fallback)
	}
	base := (w.n*w.mean + shrinkCount*all.mean) / (w.n + shrinkCount)
	if declared > 0 {
		if w.nDeclared >= shrinkCount {
			base += w.declaredPart(math.Log(declared))
		} else {
			base += all.declaredPart(math.Log(declared))
		}
	}
	return base
}

// speedEstimate learns the logarithm of a target's slowness (run time per
// unit of work).
type speedEstimate struct {
	n      float64
	slow   float64
	recent float64
	// seen is the time of the last outcome in seconds.
	seen float64
}

func (s *speedEstimate) observe(now, logSlow float64) {
	s.seen = now
	s.n = math.Min(s.n+1, speedWindow)
	if s.n <= 1 {
		s.slow, s.recent = logSlow, logSlow
		return
	}
	s.slow += (logSlow - s.slow) / s.n
	s.recent += (logSlow - s.recent) / math.Min(s.n, recentWindow)
	if s.n > 2*recentWindow && math.Abs(s.recent-s.slow) > speedChange {
		s.slow, s.n = s.recent, recentWindow
	}
}

const (
	ratioPerOctave = 4
	ratioOctaves   = 6 // on each side of ratio 1
	ratioBuckets   = 2 * ratioOctaves * ratioPerOctave
	ratioPrior     = 20
	ratioRefresh   = 64
	ratioWindow    = 2000
	ratioLeast     = 1e-6
)

// ratioTable is the distribution of run time / predicted run time of a
// service. It gives the expected rest of a running task and tells how unusual
// a long one is.
type ratioTable struct {
	count  [ratioBuckets]float64
	total  float64
	unread int
	// mean is the mean ratio; rest[i] the expected rest of a task that has run
	// for the lower edge of bucket i, and logTail[i] the logarithm of the share
	// of running tasks that have run longer. That share is larger than the share
	// of all tasks that run longer, since long tasks are seen running more often.
	mean    float64
	rest    [ratioBuckets + 1]float64
	logTail [ratioBuckets + 1]float64
}

func newRatioTable() *ratioTable {
	t := &ratioTable{}
	for i := range t.count {
		// Prior: log-normal with a sigma of 0.8 (a factor of 2.2).
		x := (float64(i) + 0.5 - ratioBuckets/2) / ratioPerOctave * math.Ln2 / 0.8
		t.count[i] = math.Exp(-x * x / 2)
		t.total += t.count[i]
	}
	for i := range t.count {
		t.count[i] *= ratioPrior / t.total
	}
	t.total = ratioPrior
	t.rebuild()
	return t
}

func ratioEdge(i int) float64 {
	return math.Exp2(float64(i-ratioBuckets/2) / ratioPerOctave)
}

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
	if t.unread++; t.unread >= ratioRefresh {
		t.rebuild()
	}
}

func (t *ratioTable) rebuild() {
	t.unread = 0
	tail, sum := 0.0, 0.0
	t.rest[ratioBuckets] = ratioEdge(ratioBuckets)
	for i := ratioBuckets - 1; i >= 0; i-- {
		tail += t.count[i]
		sum += t.count[i] * (ratioEdge(i) + ratioEdge(i+1)) / 2
		t.rest[i] = math.Max(sum/tail-ratioEdge(i), 0.02)
		t.logTail[i] = math.Log(math.Max(tail/t.total*t.rest[i], ratioLeast))
	}
	t.mean = sum / t.total
	t.logTail[ratioBuckets] = math.Log(ratioLeast)
	for i := range t.logTail {
		t.logTail[i] -= math.Log(t.mean)
	}
}

func interpolate(table *[ratioBuckets + 1]float64, x float64) float64 {
	p := ratioIndex(x)
	i := int(p)
	if i >= ratioBuckets {
		return table[ratioBuckets]
	}
	return table[i] + (p-float64(i))*(table[i+1]-table[i])
}

// restAfter returns the expected rest, in units of the prediction, of a task
// that has run for x predictions.
func (t *ratioTable) restAfter(x float64) float64 {
	if x <= ratioEdge(0) {
		return t.mean
	}
	return interpolate(&t.rest, x)
}

// surprise returns -ln of the share of running tasks that have run for longer
// than x predictions; for ordinary tasks it is distributed as Exp(1).
func (t *ratioTable) surprise(x float64) float64 {
	if x <= ratioEdge(0) {
		return 0
	}
	return -interpolate(&t.logTail, x)
}
