package runner

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// sample feeds a run that took a ratio of its expected time.
func sample(s *statistics, now time.Duration, ratio float64) {
	s.ended(now, task.Done, time.Duration(ratio*100)*ms, 100*ms)
}

// Guards against a usual speed that follows the errors of single estimates: the
// two targets of quiet-1 that got no work again had seen a few long jobs.
func TestBaselineSettlesOnTheMean(t *testing.T) {
	s := newStatistics(50)
	rng := rand.New(rand.NewPCG(1, 2))
	now := time.Duration(0)
	for range 300 {
		now += 20 * ms
		sample(&s, now, 1.7*math.Exp(0.4*rng.NormFloat64()))
	}
	got := s.summary(now, nil)
	if got.slowness < 1.5 || got.slowness > 1.95 || got.anomaly != 1 {
		t.Fatalf("speed %+v, want a slowness of about 1.7 and no anomaly", got)
	}
}

// Guards against a target that turns slow and keeps getting work, and against
// one that is avoided for good after it has recovered.
func TestAnomalyShowsAndFades(t *testing.T) {
	s := newStatistics(50)
	now := time.Duration(0)
	for range 200 {
		now += 20 * ms
		sample(&s, now, 1)
	}
	for range 12 {
		now += 20 * ms
		sample(&s, now, 7)
	}
	slow := s.summary(now, nil)
	if slow.anomaly < 3 || slow.slowness > 1.3 {
		t.Fatalf("speed %+v after slow runs", slow)
	}
	if later := s.summary(now+4*time.Second, nil); later.anomaly != 1 {
		t.Fatalf("speed %+v after four idle seconds", later)
	}
}

// Guards against a target whose runs stand still and so never give a sample.
func TestOverdueRunsCountWhileTheyRun(t *testing.T) {
	s := newStatistics(50)
	for i := range 100 {
		sample(&s, time.Duration(i)*20*ms, 1)
	}
	got := s.summary(2*time.Second, []float64{6, 6, 6, 6, 6, 6, 6, 6})
	if got.anomaly < 2 {
		t.Fatalf("speed %+v with eight overdue runs", got)
	}
}

// Guards against a share of failures that keeps a target out for good.
func TestFailedShareRisesAndFades(t *testing.T) {
	s := newStatistics(50)
	now := time.Second
	for range 6 {
		now += 5 * ms
		s.ended(now, task.Failed, 5*ms, 100*ms)
	}
	if got := s.summary(now, nil).failed; got < 0.5 {
		t.Fatalf("share %.2f after six failures", got)
	}
	if got := s.summary(now+4*time.Second, nil).failed; got > 0.25 {
		t.Fatalf("share %.2f after four idle seconds", got)
	}
}

// Guards against a target on which everything stands still and whose overdue
// runs are recalled one by one, so that none of them ends: on bondline-th scale-2
// it got work for 5.8 s and 40 jobs were lost.
func TestRecalledOverdueRunsCount(t *testing.T) {
	s := newStatistics(50)
	now := time.Duration(0)
	for range 200 {
		now += 20 * ms
		sample(&s, now, 1)
	}
	for range 12 {
		now += 20 * ms
		s.ended(now, task.Stopped, 320*ms, 100*ms)
	}
	if got := s.summary(now, nil); got.anomaly < 2 {
		t.Fatalf("speed %+v after twelve recalled runs", got)
	}
	calm := newStatistics(50)
	for range 12 {
		calm.ended(now, task.Stopped, 60*ms, 100*ms)
	}
	if got := calm.summary(now, nil); got.anomaly != 1 || got.samples != 0 {
		t.Fatalf("speed %+v after cancelled runs", got)
	}
}
