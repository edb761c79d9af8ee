package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// A few jobs take many times as long as their callers estimate, on all targets. Guards
// against throwing their work away as if the targets were at fault.
func TestJobThatTakesLongOnAllTargetsIsNotRecalled(t *testing.T) {
	r := newRig(t)
	for i := range 8 {
		r.addAgent(fmt.Sprintf("t%d", i), 4_000)
	}
	r.submit(newLongSubmission("j", 4, 300*ms))
	r.startAll()
	r.tickSilently(2 * time.Second)
	if len(r.stops) != 0 {
		t.Fatalf("stops %v of a job whose tasks all take long, want none", r.stops)
	}
	for i, o := range r.orders[:3] {
		e := newEvent("j", o.Tasks[0].Index, 1, task.Done, "")
		e.RunTime = time.Duration(2000+20*i) * ms
		r.reportEvent(o.Link, e)
	}
	r.tickSilently(2 * time.Second)
	if len(r.stops) != 0 {
		t.Fatalf("stops %v of a task that takes twice as long as the others of its job, want none", r.stops)
	}
	r.tickSilently(2 * time.Second)
	if len(r.stops) != 1 {
		t.Fatalf("stops %v of a task that takes three times as long as the others of its job, want one", r.stops)
	}
}

// Some runs of a target stand still while others end. Guards against a hanging run that is
// taken for a long task although the other tasks of its job were done in time.
func TestHangingTaskIsRecalledOnceTheOthersOfItsJobAreDone(t *testing.T) {
	r := newRig(t)
	for i := range 6 {
		r.addAgent(fmt.Sprintf("t%d", i), 4_000)
	}
	r.submit(newLongSubmission("j", 4, 300*ms))
	r.startAll()
	r.tickSilently(300 * ms)
	for _, o := range r.orders[:3] {
		e := newEvent("j", o.Tasks[0].Index, 1, task.Done, "")
		e.RunTime = 310 * ms
		r.reportEvent(o.Link, e)
	}
	hung := r.orders[3].Link
	r.core.byLink[hung].newestOnTime = r.now
	r.tickSilently(600 * ms)
	if len(r.stops) != 1 || r.stops[0].Link != hung {
		t.Fatalf("stops %v, want that of the hanging run on %s", r.stops, hung)
	}
}

// A target is busy with many jobs of one task, of which some take long. Guards against
// recalling a long one from a target on which later runs have ended in time, and against
// never recalling it.
func TestSingleLongTaskOnAHealthyTargetIsRecalledLate(t *testing.T) {
	r := newRig(t)
	r.addAgent("a", 32_000)
	r.submit(newLongSubmission("long", 1, 100*ms))
	r.startAll()
	r.advance(50 * ms)
	r.submit(newLongSubmission("short", 1, 100*ms))
	r.reportEvent("a", newEvent("short", 0, 1, task.Started, ""))
	r.advance(100 * ms)
	r.reportEvent("a", newEvent("short", 0, 1, task.Done, ""))
	r.addAgent("b", 32_000)
	r.tickSilently(500 * ms)
	if len(r.stops) != 0 {
		t.Fatalf("stops %v of a run on a healthy target, want none", r.stops)
	}
	r.tickSilently(300 * ms)
	if len(r.stops) != 1 {
		t.Fatalf("stops %v of a run that takes eight times as long as predicted, want one", r.stops)
	}
}

// A target has become five times slower. Guards against long runs that stay there since
// their callers wait long enough, although they would be done far sooner elsewhere, and
// against throwing away runs that are about to end.
func TestRunsLeaveASlowTargetIfTheyEndFarSoonerElsewhere(t *testing.T) {
	for name, c := range map[string]struct {
		anomaly float64
		recalls int
	}{"much sooner elsewhere": {6, 1}, "about to end": {2.6, 0}} {
		r := newRig(t)
		r.addAgent("slow", 32_000)
		r.submit(newLongSubmission("j", 1, 800*ms))
		r.startAll()
		r.addAgent("ok", 32_000)
		r.advance(1200 * ms)
		r.report("ok", func(*Load) {})
		r.report("slow", func(l *Load) { l.Anomaly = c.anomaly })
		r.core.Tick(r.now)
		r.collect()
		if len(r.stops) != c.recalls {
			t.Errorf("%s: stops %v, want %d", name, r.stops, c.recalls)
		}
	}
}
