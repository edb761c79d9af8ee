package fleet

import (
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/dispatch"
	"github.com/rhubarbsail/rhubarbsail/restartable/runner"
)

const (
	// crashDelay is the time from the start of a task to the crash that it causes.
	crashDelay = 9 * time.Millisecond
	// refusedAfter is the time from a crash until a call of the agent is refused.
	refusedAfter = 3 * time.Millisecond
	// downtime is the time from a crash until the target has restarted.
	downtime = 3 * time.Second
)

// crashes decides whether the tasks of a new job of a kind crash their targets.
func (f *Fleet) crashes(k JobKind) bool {
	after := f.opts.OneCrashingJobAfter
	if after > 0 && k.Name == f.opts.Jobs[0].Name && f.Now >= startTime+linkSetupTime+after && !f.crashed {
		f.crashed = true
		return true
	}
	return k.CrashShare > 0 && f.rng.Float64() < k.CrashShare
}

// crash ends a target's process with all runs and restarts it after downtime.
func (f *Fleet) crash(t *target) {
	f.result.Crashes++
	t.down = true
	clear(t.running)
	f.atTarget(t, func(c *runner.Core) { c.CallFailed(f.Now) })
	f.After(refusedAfter, func() { f.atTarget(t, func(c *runner.Core) { c.TargetDown(f.Now, f.Now) }) })
	f.After(downtime, func() {
		t.down = false
		t.description.Incarnation++
		f.atTarget(t, func(c *runner.Core) {
			c.Heartbeat(f.Now, t.description)
			c.ConfirmCandidate(f.Now, t.description, runner.Snapshot{RequestedAt: f.Now, Incarnation: t.description.Incarnation})
		})
		for _, l := range t.links {
			f.scheduleLoad(l)
		}
	})
}

// toDispatch converts an agent's record of a crash to the gateways' one.
func toDispatch(c runner.Crash) dispatch.Crash {
	out := dispatch.Crash{Incarnation: c.Target.Incarnation, Certain: c.Certain()}
	for _, r := range c.Runs {
		out.Runs = append(out.Runs, dispatch.LostRun{Task: r.Attempt.Task, Attempt: r.Attempt.Number, Queue: r.Queue, Accepted: r.Accepted, Suspicion: r.Suspicion})
	}
	return out
}
