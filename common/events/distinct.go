package events

import (
	"sync"
	"time"
)

const (
	// maxDistinct limits the lines and the memory for faults whose number others
	// control, such as malformed records.
	maxDistinct = 256
	// distinctPeriod is the time after which a fault that persists is logged again,
	// so that it shows in logs that are kept for hours only.
	distinctPeriod = time.Hour
)

// Distinct selects which log lines about a recurring fault are written: the first
// one for each key in distinctPeriod, and at most maxDistinct in all. The zero
// value is ready for use, by several goroutines at a time.
type Distinct struct {
	mu    sync.Mutex // guards the fields below
	keys  map[string]struct{}
	since time.Time
}

// First reports whether the line for a key is to be written.
func (d *Distinct) First(key string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now := time.Now(); d.keys == nil || now.Sub(d.since) >= distinctPeriod {
		d.keys, d.since = map[string]struct{}{}, now
	}
	if _, found := d.keys[key]; found || len(d.keys) >= maxDistinct {
		return false
	}
	d.keys[key] = struct{}{}
	return true
}
