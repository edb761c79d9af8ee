package experiment

import (
	"fmt"
	"math"
	"time"

	"github.com/rhubarbsail/rhubarbsail/scheduler"
)

// Fault changes the behaviour of a target during a run.
type Fault struct {
	// Target is the index of the target in the fleet.
	Target int
	At     time.Duration
	// Slowdown divides the speed from At on; 0 leaves the speed unchanged.
	Slowdown float64
	// Fails makes each task that starts at or after At fail after running for
	// FailAfter.
	Fails     bool
	FailAfter time.Duration
	// Lost removes the target at At; the outcomes of its tasks are lost.
	Lost bool
	// Until is the end of the fault; 0 means the end of the run.
	Until time.Duration
}

// Target is a simulated target.
type Target struct {
	ID     scheduler.TargetID
	Speed  float64
	Slots  int
	Zone   int
	Faults []Fault
}

// Fleet is a set of targets of one service.
type Fleet []Target

const (
	service   = "work"
	zoneCount = 4
	// sameZoneDelay and crossZoneDelay are one-way network delays
	// (docs/design.md, section 1.6).
	sameZoneDelay  = 200 * time.Microsecond
	crossZoneDelay = 1500 * time.Microsecond
)

// NewFleet returns n targets with speeds spread geometrically from 1 down to
// 1/spread.
func NewFleet(n, slots int, spread float64, faults ...Fault) Fleet {
	f := make(Fleet, n)
	for i := range f {
		speed := math.Pow(spread, -float64(i)/math.Max(1, float64(n-1)))
		f[i] = Target{ID: scheduler.TargetID(fmt.Sprintf("target-%04d", i)), Speed: speed, Slots: slots, Zone: i % zoneCount}
	}
	for _, fault := range faults {
		f[fault.Target].Faults = append(f[fault.Target].Faults, fault)
	}
	return f
}

// Capacity returns the work that the fleet without faults does in a second, in
// seconds of run time on a target of speed 1.
func (f Fleet) Capacity() float64 {
	sum := 0.0
	for _, t := range f {
		sum += t.Speed * float64(t.Slots)
	}
	return sum
}

func (f Fault) active(at time.Duration) bool {
	return at >= f.At && (f.Until == 0 || at < f.Until)
}

// runTime returns how long a task with the given work runs if it starts at the
// given time, and whether it fails.
func (t Target) runTime(at, work time.Duration) (run time.Duration, fails bool) {
	speed := t.Speed
	for _, f := range t.Faults {
		if !f.active(at) {
			continue
		}
		if f.Fails {
			return f.FailAfter, true
		}
		if f.Slowdown > 0 {
			speed /= f.Slowdown
		}
	}
	return time.Duration(float64(work) / speed), false
}

// lostAt reports whether the target is lost at the given time.
func (t Target) lostAt(at time.Duration) bool {
	for _, f := range t.Faults {
		if f.Lost && f.active(at) {
			return true
		}
	}
	return false
}
