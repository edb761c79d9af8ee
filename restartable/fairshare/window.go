package fairshare

import "time"

const (
	// demandWindow is the time over which the demand of a queue is observed.
	demandWindow = time.Second
	// windowSlots is the number of parts of the window that expire one by one.
	windowSlots = 10
)

// Job is what a job asks of a service.
type Job struct {
	// Needs is the sum of the needs of its tasks in thousandths of a core.
	Needs float64
	// Work is the sum of the expected work of its tasks, in thousandths of a core times
	// seconds.
	Work float64
}

// arrivals are sums over the jobs that have arrived in a part of the window.
type arrivals struct {
	needs, work float64
	// unmet is the work of those that were rejected or have to wait for capacity.
	unmet float64
}

// window holds the jobs of a queue that have arrived within the demandWindow.
type window struct {
	slots [windowSlots]arrivals
	// slot is the number of the newest slot, counted from the start of the clock.
	slot int64
}

const slotLength = demandWindow / windowSlots

// advance clears the slots that have expired.
func (w *window) advance(now time.Duration) {
	slot := int64(now / slotLength)
	for n := max(w.slot+1, slot-windowSlots+1); n <= slot; n++ {
		w.slots[n%windowSlots] = arrivals{}
	}
	w.slot = max(w.slot, slot)
}

func (w *window) add(now time.Duration, j Job, met bool) {
	w.advance(now)
	s := &w.slots[w.slot%windowSlots]
	s.needs += j.Needs
	s.work += j.Work
	if !met {
		s.unmet += j.Work
	}
}

func (w *window) sum(now time.Duration) arrivals {
	w.advance(now)
	var all arrivals
	for _, s := range w.slots {
		all.needs += s.needs
		all.work += s.work
		all.unmet += s.unmet
	}
	return all
}
