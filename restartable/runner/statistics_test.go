package runner

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// addDoneRun adds a completed run that took the given multiple of its expected
// time.
func addDoneRun(s *statistics, now time.Duration, ratio float64) {
	s.runEnded(now, task.Done, time.Duration(ratio*100)*ms, 100*ms)
}

// Guards against a baseline that follows the errors of single estimates: two
// targets of quiet-1 never got work again after a few long jobs.
func TestBaselineConvergesToTheMean(t *testing.T) {
	s := newStatistics(50)
	rng := rand.New(rand.NewPCG(1, 2))
	now := time.Duration(0)
	for range 300 {
		now += 20 * ms
		addDoneRun(&s, now, 1.7*math.Exp(0.4*rng.NormFloat64()))
	}
	got := s.summary(now, nil)
	if got.slowness < 1.5 || got.slowness > 1.95 || got.anomaly != 1 {
		t.Fatalf("speed %+v, want a slowness of about 1.7 and no anomaly", got)
	}
}

// Guards against a target that becomes slow but keeps getting work, and against
// one that is avoided forever after it has recovered.
func TestAnomalyRisesAndDecays(t *testing.T) {
	s := newStatistics(50)
	now := time.Duration(0)
	for range 200 {
		now += 20 * ms
		addDoneRun(&s, now, 1)
	}
	for range 12 {
		now += 20 * ms
		addDoneRun(&s, now, 7)
	}
	slow := s.summary(now, nil)
	if slow.anomaly < 3 || slow.slowness > 1.3 {
		t.Fatalf("speed %+v after slow runs", slow)
	}
	if later := s.summary(now+4*time.Second, nil); later.anomaly != 1 {
		t.Fatalf("speed %+v after four idle seconds", later)
	}
}

// Guards against a target whose runs hang and therefore never produce a sample.
func TestOverdueRunsCountWhileTheyRun(t *testing.T) {
	s := newStatistics(50)
	for i := range 100 {
		addDoneRun(&s, time.Duration(i)*20*ms, 1)
	}
	got := s.summary(2*time.Second, []float64{6, 6, 6, 6, 6, 6, 6, 6})
	if got.anomaly < 2 {
		t.Fatalf("speed %+v with eight overdue runs", got)
	}
}

// Guards against a failure share that never falls again and excludes a target
// forever.
func TestFailedShareRisesAndDecays(t *testing.T) {
	s := newStatistics(50)
	now := time.Second
	for range 6 {
		now += 5 * ms
		s.runEnded(now, task.Failed, 5*ms, 100*ms)
	}
	if got := s.summary(now, nil).failedShare; got < 0.5 {
		t.Fatalf("share %.2f after six failures", got)
	}
	if got := s.summary(now+4*time.Second, nil).failedShare; got > 0.25 {
		t.Fatalf("share %.2f after four idle seconds", got)
	}
}

// Guards against a target on which everything hangs and whose overdue runs are
// stopped one by one, so that none of them completes: on bondline-th scale-2 such
// a target got work for 5.8 s, and 40 jobs were lost.
func TestStoppedOverdueRunsCount(t *testing.T) {
	s := newStatistics(50)
	now := time.Duration(0)
	for range 200 {
		now += 20 * ms
		addDoneRun(&s, now, 1)
	}
	for range 12 {
		now += 20 * ms
		s.runEnded(now, task.Stopped, 320*ms, 100*ms)
	}
	if got := s.summary(now, nil); got.anomaly < 2 {
		t.Fatalf("speed %+v after twelve stopped overdue runs", got)
	}
	unaffected := newStatistics(50)
	for range 12 {
		unaffected.runEnded(now, task.Stopped, 60*ms, 100*ms)
	}
	if got := unaffected.summary(now, nil); got.anomaly != 1 || got.samples != 0 {
		t.Fatalf("speed %+v after cancelled runs", got)
	}
}
