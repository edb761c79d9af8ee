package fairshare

import (
	"cmp"
	"slices"
)

// Share is the part of a service's capacity that one queue uses, wants and is entitled
// to. Amounts are in thousandths of a core.
type Share struct {
	Queue  string
	Weight float64
	// Use is what the queue's tasks occupy, Demand what it would use if all its jobs were
	// accepted; Demand is at least Use.
	Use, Demand float64
	// Share is the queue's weighted max-min fair share of the capacity.
	Share float64
}

// Above reports whether the queue uses more than its share.
func (s Share) Above() bool { return s.Use > s.Share }

// below reports whether the queue wants more than it uses and is entitled to it.
func (s Share) below() bool { return s.Use < s.Share }

// divide sets the share of each queue: its demand if that is at most its part by weight
// of the capacity that queues with a lower demand for each unit of weight leave over, and
// otherwise that part.
func divide(capacity float64, queues []Share) {
	byDemand := make([]*Share, len(queues))
	weights := 0.0
	for i := range queues {
		byDemand[i] = &queues[i]
		weights += queues[i].Weight
	}
	slices.SortFunc(byDemand, func(a, b *Share) int {
		return cmp.Or(cmp.Compare(a.Demand/a.Weight, b.Demand/b.Weight), cmp.Compare(a.Queue, b.Queue))
	})
	left := capacity
	for _, q := range byDemand {
		// The remaining weight of the last queue may be rounded down, hence the bound.
		q.Share = min(q.Demand, left*q.Weight/weights, left)
		left -= q.Share
		weights -= q.Weight
	}
}
