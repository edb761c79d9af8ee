package dispatch

import (
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// Guards against a cost of fast targets that is paid for nothing where all targets are
// fast enough for the jobs, and against none where only the fast ones are.
func TestSpeedGainTellsWhetherOnlyFastTargetsAreFastEnough(t *testing.T) {
	cases := map[string]struct {
		slowness map[string]float64
		estimate time.Duration
		min, max float64
	}{
		"slow targets miss the deadline":   {map[string]float64{"a": 0.7, "b": 1.7}, 900 * ms, 0.4, 1},
		"slow targets are fast enough":     {map[string]float64{"a": 0.55, "b": 1.2}, 200 * ms, 0, 0.15},
		"equal targets":                    {map[string]float64{"a": 1, "b": 1}, 900 * ms, 0, 0.01},
		"no target is fast enough":         {map[string]float64{"a": 5, "b": 9}, 1200 * ms, 0, 0.01},
		"a single target, nothing to gain": {map[string]float64{"a": 0.7}, 900 * ms, 0, 0},
	}
	for name, k := range cases {
		r := newRig(t)
		for agent, slowness := range k.slowness {
			r.addAgent(agent, 32_000)
			r.report(agent, func(l *Load) { l.Slowness = slowness })
		}
		for i := range 5 {
			r.submit(newSubmission(string(rune('a'+i)), 2, k.estimate))
		}
		if got := r.core.speedGains["s"].mean(); got < k.min || got > k.max {
			t.Errorf("%s: gain %.3f, want %.2f to %.2f", name, got, k.min, k.max)
		}
	}
}

// Guards against a gain that follows a broken target, which is only probed, and against
// a job that counts again and again while a starting gateway keeps it.
func TestSpeedGainCountsUsableTargetsAndEachJobOnce(t *testing.T) {
	r := newRig(t)
	r.core.SetStartTime(r.now)
	for _, agent := range []string{"a", "b", "hanging"} {
		r.addAgent(agent, 32_000)
	}
	r.advance(2 * time.Second)
	r.report("hanging", func(l *Load) { l.Anomaly = 9 })
	r.report("a", func(*Load) {})
	r.report("b", func(*Load) {})
	r.submit(newSubmission("first", 2, 900*ms))
	gain := r.core.speedGains["s"]
	if got := gain.mean(); got > 0.01 {
		t.Errorf("gain %.3f of two equal targets beside one that hangs", got)
	}
	r.core.SetStartTime(r.now)
	for _, agent := range []string{"a", "b", "hanging"} {
		r.report(agent, func(l *Load) { l.Committed, l.Backlog = task.Resources{CPUMillis: 320_000}, 20*time.Second })
	}
	before := gain.work
	r.submit(newSubmission("kept", 2, 900*ms))
	for range 5 {
		r.core.Tick(r.now)
	}
	if len(r.answers) != 0 || gain.work != before {
		t.Errorf("work %.0f, %.0f before a job that waits for more agents; answers %v", gain.work, before, r.answers)
	}
}

// Guards against a gain that is decided by many small jobs, which hardly use the
// targets, in place of a few large ones.
func TestSpeedGainIsWeightedByWork(t *testing.T) {
	var g speedGain
	for range 50 {
		g.observe(0, 1)
		g.observe(1, 9)
	}
	if got := g.mean(); got < 0.89 || got > 0.91 {
		t.Errorf("gain %.3f of jobs with a tenth and nine tenths of the work, want 0.9", got)
	}
	if got := (*speedGain)(nil).mean(); got != 0 {
		t.Errorf("gain %.3f before the first job", got)
	}
}

// Guards against short tasks that take the last places of fast targets while long ones
// need them: the emptier slow target is taken instead.
func TestLastPlacesOfFastTargetsAreLeftToTasksThatNeedThem(t *testing.T) {
	r := newRig(t)
	for agent, slowness := range map[string]float64{"fast": 0.7, "slow": 1.7} {
		r.addAgent(agent, 32_000)
		r.report(agent, func(l *Load) { l.Slowness = slowness })
	}
	for i := range 5 {
		r.submit(newSubmission(string(rune('a'+i)), 1, 900*ms))
	}
	r.report("fast", func(l *Load) {
		l.Slowness, l.Committed, l.Backlog = 0.7, task.Resources{CPUMillis: 28_000, MemoryMB: 10}, 300*ms
	})
	r.report("slow", func(l *Load) {
		l.Slowness, l.Committed, l.Backlog = 1.7, task.Resources{CPUMillis: 16_000, MemoryMB: 10}, 300*ms
	})
	r.orders = nil
	r.submit(newSubmission("short", 1, 60*ms))
	if got := r.placedTasks(); got["slow"] != 1 {
		t.Errorf("placed %v, want the short task on the slow target", got)
	}
	r.orders = nil
	r.submit(newSubmission("long", 1, 900*ms))
	if got := r.placedTasks(); got["fast"] != 1 {
		t.Errorf("placed %v, want the long task on the fast target", got)
	}
}
