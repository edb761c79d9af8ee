package runner

import (
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// Guards against a restarted agent whose slow target looks as fast as the
// others until it has ended some runs: after the loss of all power each of them
// got as many tasks as the fast ones.
func TestRestartedAgentKnowsItsTargetsSpeed(t *testing.T) {
	target := Target{ID: "i-1", Born: 1, Kind: "a", Capacity: task.Resources{CPUMillis: 4000}}
	kept := Record{}.Update(target, Learned{Slowness: 1.7, Samples: 300})
	next := target
	next.ID, next.Born = "i-2", 2
	cases := []struct {
		name   string
		target Target
		want   float64
	}{
		{"same life", target, 1.7},
		{"next life", next, 1.7},
		{"of another kind", Target{ID: "i-3", Born: 3, Kind: "b", Capacity: target.Capacity}, 1},
		{"of another size", Target{ID: "i-3", Born: 3, Kind: "a", Capacity: task.Resources{CPUMillis: 8000}}, 1},
	}
	for _, c := range cases {
		core := NewCore(DefaultOptions())
		core.Heartbeat(time.Second, c.target)
		core.Adopt(kept)
		if got := core.Load(time.Second).Slowness; got < c.want-0.01 || got > c.want+0.01 {
			t.Errorf("%s: slowness %.2f, want %.2f", c.name, got, c.want)
		}
	}
}

// Guards against a record that is written for every run, and against one that
// never follows a target that has become another.
func TestRecordFollowsClearChangesOnly(t *testing.T) {
	target := Target{ID: "i-1", Kind: "a"}
	few, usual, near, far := Learned{3, 5}, Learned{1, 50}, Learned{1.2, 90}, Learned{1.6, 90}
	kept := Record{}.Update(target, few)
	if kept.Learned != (Learned{}) {
		t.Errorf("kept %+v of a few runs", kept.Learned)
	}
	for _, c := range []struct {
		target        Target
		learned, want Learned
	}{
		{target, usual, usual}, {target, near, usual}, {target, far, far}, {target, few, far},
		{Target{ID: "i-2", Kind: "b"}, few, Learned{}},
	} {
		kept = kept.Update(c.target, c.learned)
		if kept.Learned != c.want {
			t.Errorf("kept %+v, want %+v", kept.Learned, c.want)
		}
	}
}
