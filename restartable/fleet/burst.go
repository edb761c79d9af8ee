package fleet

import (
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/dispatch"
	"github.com/rhubarbsail/rhubarbsail/restartable/runner"
)

// Burst raises the rate of one kind of jobs periodically. The zero value is none.
type Burst struct {
	// Kind is the name of the kind of jobs and Factor the ratio of their rate to the usual
	// one.
	Kind   string
	Factor float64
	// From is the time of the first burst, Length that of each burst and Every the time
	// from the start of one to that of the next.
	From, Length, Every time.Duration
}

// contains reports whether a time since the start of the arrivals is in a burst.
func (b Burst) contains(at time.Duration) bool {
	return b.Factor > 0 && at >= b.From && (at-b.From)%b.Every < b.Length
}

// rate returns the ratio of the rate of a kind of jobs to the usual one, at a time in
// seconds since the start of the arrivals.
func (b Burst) rate(kind string, at float64) float64 {
	if kind == b.Kind && b.contains(time.Duration(at*float64(time.Second))) {
		return b.Factor
	}
	return 1
}

// addQueueUse adds the use by queue to a load if the gateway asks for it.
func addQueueUse(m *dispatch.Load, l runner.Load, asked bool) {
	if !asked {
		return
	}
	m.QueueUseChanged = true
	for _, u := range l.QueueUse {
		m.QueueUse = append(m.QueueUse, dispatch.QueueUse{Queue: u.Queue, CPUMillis: u.CPUMillis})
	}
}
