package scheduler

import (
	"cmp"
	"math"
	"slices"
)

const (
	// maxWaitCost is the maximum factor by which waiting counts more than running.
	// A lower one leaves more tasks queued at the gateway, a higher one sends them
	// to the slowest targets (docs/policy.md).
	maxWaitCost = 10
	// usedCapacityWindow is the time constant in seconds of the moving average of
	// the capacity in use.
	usedCapacityWindow = 3.0
)

// rankTargets sorts the targets by speed and sets each target's waitCost, the
// factor by which waiting for a faster target counts more than running on this
// one. A task that waits for a fast target, although a slow one is free, also
// delays the tasks that arrive until the fast targets have caught up. On average
// the total delay is 1/(1-load) times its own wait, where load is the utilization
// of the targets that are faster than the slow one. The utilization is computed
// from the tasks in service, of this and of other gateways.
func (s *service) rankTargets(now, elapsed float64) {
	s.ranked = s.ranked[:0]
	used := 0.0
	for _, t := range s.targets {
		t.refresh(now)
		s.ranked = append(s.ranked, t)
		if !t.usable(now) || t.health.ejected {
			continue
		}
		used += math.Min(float64(t.Slots), float64(t.active)+t.foreignExpected) / t.slowness
	}
	s.usedCapacity += (used - s.usedCapacity) * (1 - math.Exp(-elapsed/usedCapacityWindow))
	mean := s.meanWork()
	slices.SortStableFunc(s.ranked, func(a, b *target) int {
		return cmp.Compare(mean*a.slowness+2*a.delay, mean*b.slowness+2*b.delay)
	})
	fasterCapacity := 0.0
	for _, t := range s.ranked {
		t.waitCost = maxWaitCost
		if s.usedCapacity < fasterCapacity {
			t.waitCost = math.Min(maxWaitCost, 1/(1-s.usedCapacity/fasterCapacity))
		}
		if t.usable(now) && !t.health.ejected {
			fasterCapacity += float64(t.Slots) / t.slowness
		}
	}
}
