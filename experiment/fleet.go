package experiment

import (
	"fmt"
	"math"
	"time"

	"github.com/rhubarbsail/rhubarbsail/scheduler"
)

// Fault is a change of a target during a run.
type Fault struct {
	Target int
	At     time.Duration
	// Slowdown divides the speed from At on; 0 leaves it.
	Slowdown float64
	// Fails makes each task fail after FailAfter from At on.
	Fails     bool
	FailAfter time.Duration
	// Lost takes the target away at At; its tasks are lost.
	Lost bool
	// Until ends the fault; 0 is the end of the run.
	Until time.Duration
}

// Node is a target of the modelled fleet.
type Node struct {
	ID     scheduler.TargetID
	Speed  float64
	Slots  int
	Zone   int
	Faults []Fault
}

// Fleet is a set of targets of one service.
type Fleet []Node

const (
	service = "work"
	zones   = 4
	// sameZoneDelay and crossZoneDelay are one-way delays (design section 1.6).
	sameZoneDelay  = 200 * time.Microsecond
	crossZoneDelay = 1500 * time.Microsecond
)

// NewFleet returns n targets with speeds spread geometrically from 1 down to
// 1/spread.
func NewFleet(n, slots int, spread float64, faults ...Fault) Fleet {
	f := make(Fleet, n)
	for i := range f {
		speed := math.Pow(spread, -float64(i)/math.Max(1, float64(n-1)))
		f[i] = Node{ID: scheduler.TargetID(fmt.Sprintf("target-%04d", i)), Speed: speed, Slots: slots, Zone: i % zones}
	}
	for _, x := range faults {
		f[x.Target].Faults = append(f[x.Target].Faults, x)
	}
	return f
}

// Capacity returns the work per second of the fleet without faults.
func (f Fleet) Capacity() float64 {
	sum := 0.0
	for _, n := range f {
		sum += n.Speed * float64(n.Slots)
	}
	return sum
}

func (x Fault) active(at time.Duration) bool {
	return at >= x.At && (x.Until == 0 || at < x.Until)
}

// runTime returns the time that work takes when it starts at a time, and
// whether the task fails.
func (n Node) runTime(at, work time.Duration) (run time.Duration, fails bool) {
	speed := n.Speed
	for _, x := range n.Faults {
		if !x.active(at) {
			continue
		}
		if x.Fails {
			return x.FailAfter, true
		}
		if x.Slowdown > 0 {
			speed /= x.Slowdown
		}
	}
	return time.Duration(float64(work) / speed), false
}

// lostAt reports whether the target is gone at a time.
func (n Node) lostAt(at time.Duration) bool {
	for _, x := range n.Faults {
		if x.Lost && x.active(at) {
			return true
		}
	}
	return false
}
