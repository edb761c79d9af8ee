package fairshare

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a division that leaves capacity unused while a queue wants it, and
// against one that gives a queue less than another one for the same weight.
func TestDivision(t *testing.T) {
	cases := map[string]struct {
		capacity float64
		queues   []Share
		want     []float64
	}{
		"one queue alone":              {100, []Share{{Weight: 1, Demand: 300}}, []float64{100}},
		"unused share is lent":         {90, []Share{{Weight: 1, Demand: 10}, {Weight: 1, Demand: 200}, {Weight: 1, Demand: 60}}, []float64{10, 40, 40}},
		"all demands are met":          {100, []Share{{Weight: 1, Demand: 70}, {Weight: 5, Demand: 10}}, []float64{70, 10}},
		"weights":                      {90, []Share{{Weight: 2, Demand: 90}, {Weight: 1, Demand: 90}}, []float64{60, 30}},
		"unused share goes by weight":  {100, []Share{{Weight: 1, Demand: 10}, {Weight: 2, Demand: 90}, {Weight: 1, Demand: 90}}, []float64{10, 60, 30}},
		"queue without demand":         {100, []Share{{Weight: 1}, {Weight: 1, Demand: 200}}, []float64{0, 100}},
		"service without capacity":     {0, []Share{{Weight: 1, Demand: 5}, {Weight: 1, Demand: 200}}, []float64{0, 0}},
		"weights of different extents": {100, []Share{{Weight: 1000, Demand: 200}, {Weight: 0.001, Demand: 200}}, []float64{99.9999, 0.0001}},
	}
	for name, c := range cases {
		divide(c.capacity, c.queues)
		for i, want := range c.want {
			if math.Abs(c.queues[i].Share-want) > 1e-4 {
				t.Errorf("%s: queue %d gets %g of %g, want %g", name, i, c.queues[i].Share, c.capacity, want)
			}
		}
	}
}

// Guards against divisions that are not max-min fair for any demands and weights: shares
// add up to the capacity or meet all demands, and a queue whose demand is not met has at
// least as much for its weight as any other.
func TestDivisionIsMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.Float64Range(1, 1e6).Draw(t, "capacity")
		queues := make([]Share, rapid.IntRange(1, 8).Draw(t, "queues"))
		wanted := 0.0
		for i := range queues {
			queues[i] = Share{Weight: rapid.Float64Range(0.001, 1000).Draw(t, "weight"), Demand: rapid.Float64Range(0, 1e6).Draw(t, "demand")}
			wanted += queues[i].Demand
		}
		divide(capacity, queues)
		const tolerance = 1e-6
		sum := 0.0
		for _, q := range queues {
			sum += q.Share
			if q.Share > q.Demand || q.Share < 0 {
				t.Fatalf("share %g of a demand of %g", q.Share, q.Demand)
			}
			for _, other := range queues {
				if q.Share < q.Demand*(1-tolerance) && other.Share/other.Weight > q.Share/q.Weight*(1+tolerance)+tolerance {
					t.Fatalf("%+v is not met, while %+v has more for its weight", q, other)
				}
			}
		}
		if want := min(capacity, wanted); math.Abs(sum-want) > tolerance*want {
			t.Fatalf("the shares add up to %g, want %g", sum, want)
		}
	})
}
