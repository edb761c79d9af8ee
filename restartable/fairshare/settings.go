// Package fairshare divides the capacity of a service among the queues that want it and
// decides which queue has to wait: weighted max-min fairness. It does no I/O, and the
// clock is passed in.
package fairshare

// Settings are the operator's settings of fair shares. The zero value switches them off.
type Settings struct {
	Enabled bool
	// DefaultWeight is the weight of queues that Weights does not name.
	DefaultWeight float64
	Weights       map[string]float64
}

// weight returns the weight of a queue, 1 if the settings give none.
func (s Settings) weight(queue string) float64 {
	w, ok := s.Weights[queue]
	if !ok {
		w = s.DefaultWeight
	}
	if w <= 0 {
		return 1
	}
	return w
}
