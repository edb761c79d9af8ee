package runner

import (
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// Guards against a restarted agent that takes its slow target to be as fast as
// the others until some runs have ended: after a power failure of all VMs, each
// slow target got as many tasks as a fast one.
func TestRestartedAgentRestoresSpeed(t *testing.T) {
	target := Target{ID: "i-1", Incarnation: 1, Kind: "a", Capacity: task.Resources{CPUMillis: 4000}}
	stored := Record{}.Update(target, SpeedEstimate{Slowness: 1.7, Samples: 300})
	next := target
	next.ID, next.Incarnation = "i-2", 2
	cases := []struct {
		name   string
		target Target
		want   float64
	}{
		{"same incarnation", target, 1.7},
		{"next incarnation", next, 1.7},
		{"another kind", Target{ID: "i-3", Incarnation: 3, Kind: "b", Capacity: target.Capacity}, 1.7},
		{"another capacity", Target{ID: "i-3", Incarnation: 3, Kind: "a", Capacity: task.Resources{CPUMillis: 8000}}, 1},
	}
	for _, c := range cases {
		core := NewCore(DefaultCoreOptions())
		core.Heartbeat(time.Second, c.target)
		core.RestoreSpeed(stored)
		if got := core.Load(time.Second).Slowness; got < c.want-0.01 || got > c.want+0.01 {
			t.Errorf("%s: slowness %.2f, want %.2f", c.name, got, c.want)
		}
	}
}

// Guards against discarding the speed estimate of a VM when its target reports
// another kind: after a power failure, the slow targets of hmpteb-engrave came
// back with the label of the fast ones and got three times their usual tasks. The
// new label may still mean another speed, so a few runs have to outweigh the
// restored estimate.
func TestRestoredSpeedOfAnotherKindIsCorrectedByFewRuns(t *testing.T) {
	const runs = 15
	before := Target{ID: "i-1", Incarnation: 1, Kind: "a", Capacity: task.Resources{CPUMillis: 4000}}
	after := before
	after.ID, after.Incarnation, after.Kind = "i-2", 2, "b"
	stored := Record{}.Update(before, SpeedEstimate{Slowness: 1.7, Samples: 300})
	restarted := NewCore(DefaultCoreOptions())
	restarted.Heartbeat(time.Second, after)
	restarted.RestoreSpeed(stored)
	running := NewCore(DefaultCoreOptions())
	running.Heartbeat(time.Second, before)
	running.RestoreSpeed(stored)
	running.Heartbeat(2*time.Second, after)
	running.ConfirmCandidate(2*time.Second, after, Snapshot{RequestedAt: 2 * time.Second, Incarnation: after.Incarnation})
	for name, core := range map[string]*Core{"restarted agent": restarted, "running agent": running} {
		if got := core.Load(2 * time.Second).Slowness; got < 1.69 {
			t.Errorf("%s: restored slowness %.2f", name, got)
		}
		for range runs {
			core.stats.runEnded(2*time.Second, task.Done, time.Second, time.Second)
		}
		if got := core.Load(2 * time.Second).Slowness; got > 1.3 {
			t.Errorf("%s: slowness %.2f after %d runs of ratio one", name, got, runs)
		}
	}
}

// Guards against writing the record after every run, and against never updating
// it when the target's speed changes.
func TestRecordChangesOnlyWithSignificantSpeedChange(t *testing.T) {
	target := Target{ID: "i-1", Kind: "a"}
	few, usual, near, far := SpeedEstimate{3, 5}, SpeedEstimate{1, 50}, SpeedEstimate{1.2, 90}, SpeedEstimate{1.6, 90}
	stored := Record{}.Update(target, few)
	if stored.Speed != (SpeedEstimate{}) {
		t.Errorf("stored %+v after a few runs", stored.Speed)
	}
	for _, c := range []struct {
		target        Target
		learned, want SpeedEstimate
	}{
		{target, usual, usual}, {target, near, usual}, {target, far, far}, {target, few, far},
		{Target{ID: "i-2", Kind: "b"}, few, SpeedEstimate{1.6, maxSamplesOtherKind}},
		{Target{ID: "i-2", Kind: "b"}, SpeedEstimate{1.5, 90}, SpeedEstimate{1.5, 90}},
		{Target{ID: "i-3", Kind: "b", Capacity: task.Resources{CPUMillis: 1}}, few, SpeedEstimate{}},
	} {
		stored = stored.Update(c.target, c.learned)
		if stored.Speed != c.want {
			t.Errorf("stored %+v, want %+v", stored.Speed, c.want)
		}
	}
}
