package scheduler

import (
	"cmp"
	"math"
	"slices"
)

const (
	// priceMax bounds the price of waiting: a small one leaves tasks waiting at the
	// owner, a large one sends them to the slowest targets (docs/policy.md).
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
