package experiment

import "time"

const (
	fleetSize   = 11
	fleetSlots  = 8
	fleetSpread = 8
	// faultTarget is the target that is slow or failing; it has 9% of the capacity.
	faultTarget = 4
)

var (
	singleTaskJobs = []Size{{1, 1}}
	mixedJobSizes  = []Size{{1, 900}, {10, 80}, {100, 18}, {1300, 1}}
)

// Cases returns all cases. length is the virtual time during which jobs arrive;
// cases with large jobs multiply it.
func Cases(length time.Duration) []Case {
	load := func(share float64, sizes []Size, change ...func(*Workload)) Workload {
		w := Workload{Load: share, Duration: length, Clients: 12, Sizes: sizes, DeclaredError: 10, Timeout: 30 * time.Second}
		for _, c := range change {
			c(&w)
		}
		return w
	}
	fleet := func(faults ...Fault) Fleet { return NewFleet(fleetSize, fleetSlots, fleetSpread, faults...) }
	faultStart := length / 4
	cases := []Case{
		{Name: "steady-50", Fleet: fleet(), Load: load(0.5, singleTaskJobs)},
		{Name: "steady-80", Fleet: fleet(), Load: load(0.8, singleTaskJobs)},
		{Name: "steady-80-1gw", Fleet: fleet(), Load: load(0.8, singleTaskJobs), Gateways: 1},
		{Name: "steady-95", Fleet: fleet(), Load: load(0.95, singleTaskJobs)},
		{Name: "even-80", Fleet: NewFleet(fleetSize, fleetSlots, 1), Load: load(0.8, singleTaskJobs)},
		{Name: "even-80-1gw", Fleet: NewFleet(fleetSize, fleetSlots, 1), Load: load(0.8, singleTaskJobs), Gateways: 1},
		{Name: "declared-exact-80", Fleet: fleet(), Load: load(0.8, singleTaskJobs, declareExactly)},
		{Name: "declared-exact-80-1gw", Fleet: fleet(), Load: load(0.8, singleTaskJobs, declareExactly), Gateways: 1},
		{Name: "burst", Fleet: fleet(), Load: load(0.6, singleTaskJobs, func(w *Workload) {
			w.BurstFactor, w.BurstLength, w.BurstPeriod = 4, time.Second, 10*time.Second
		})},
		{Name: "straggler-80", Fleet: fleet(Fault{Target: faultTarget, At: faultStart, Slowdown: 10}), Load: load(0.8, singleTaskJobs)},
		{Name: "failing-80", Fleet: fleet(Fault{Target: faultTarget, At: faultStart, Fails: true, FailAfter: 5 * time.Millisecond}), Load: load(0.8, singleTaskJobs)},
		{Name: "poisoned-50", Fleet: fleet(), Load: load(0.5, singleTaskJobs, func(w *Workload) { w.Poisoned = 0.05 })},
		{Name: "overload-2x", Fleet: fleet(), Load: load(2, singleTaskJobs, func(w *Workload) { w.Timeout = 5 * time.Second })},
		{Name: "cancel-wave-80", Fleet: fleet(), Load: load(0.8, singleTaskJobs), CancelEvery: 10 * time.Second},
		{Name: "zone-loss-50", Fleet: fleet(
			Fault{Target: 1, At: length / 2, Lost: true}, Fault{Target: 5, At: length / 2, Lost: true},
			Fault{Target: 9, At: length / 2, Lost: true}), Load: load(0.5, singleTaskJobs)},
		{Name: "jobs-100", Fleet: fleet(), Load: load(0.6, []Size{{100, 1}}, extendForLargeJobs(4))},
		{Name: "jobs-1300", Fleet: fleet(), Load: load(0.6, []Size{{1300, 1}}, extendForLargeJobs(16))},
		{Name: "jobs-mixed", Fleet: fleet(), Load: load(0.7, mixedJobSizes, extendForLargeJobs(4))},
	}
	for i := range cases {
		if cases[i].Gateways == 0 {
			cases[i].Gateways = 3
		}
		cases[i].WarmUp = cases[i].Load.Duration / 10
	}
	return cases
}

// declareExactly makes the declared run times equal to the actual ones.
func declareExactly(w *Workload) { w.DeclaredError = 1 }

// extendForLargeJobs gives cases with large jobs a longer run, since few such
// jobs arrive in a given time, and a longer timeout.
func extendForLargeJobs(factor time.Duration) func(*Workload) {
	return func(w *Workload) {
		w.Duration *= factor
		w.Timeout = 2 * time.Minute
	}
}
