package runner

import (
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// resize sends a heartbeat of the same incarnation with another CPU capacity.
func (r *coreHarness) resize(cpu int64) {
	target, _ := r.core.Target()
	target.Seq++
	target.Capacity.CPUMillis = cpu
	r.core.Heartbeat(r.now, target)
	r.collect()
}

// Guards against queued tasks that wait in vain: a task that needs more than the whole
// target since its capacity shrank stayed until the job's deadline.
func TestTasksThatNoLongerFitOnAShrunkTargetAreReturned(t *testing.T) {
	r := newCoreHarness(t)
	r.submit(newStart("runs", 0, 6000), newStart("large", 0, 8000), newStart("small", 0, 4500))
	r.wantStarted("runs")
	r.resize(5000)
	r.wantReport("large", task.NotStarted, task.ReasonTooLarge)
	r.submit(newStart("later", 0, 5001))
	r.wantReport("later", task.NotStarted, task.ReasonTooLarge)
	r.applyEnd(firstAttempt("runs", 0), task.Done)
	r.wantStarted("runs", "small")
}

// Guards against starts on a target whose runs already need more than it has left, and
// against a run that is being stopped and no longer counts.
func TestNothingStartsUntilEnoughHasEndedOnAShrunkTarget(t *testing.T) {
	r := newCoreHarness(t)
	first, second := newStart("first", 0, 6000), newStart("second", 0, 4000)
	r.submit(first, second)
	r.answerStart(firstAttempt("first", 0), StartAccepted)
	r.answerStart(firstAttempt("second", 0), StartAccepted)
	r.resize(5500)
	atOnce := newStart("at-once", 0, 1000)
	atOnce.AtOnce = true
	r.submit(newStart("waits", 0, 1000), atOnce)
	r.wantReport("at-once", task.NotStarted, task.ReasonBusy)
	r.advance(ms)
	r.core.ApplySnapshot(r.now, Snapshot{
		RequestedAt: r.now, Incarnation: smallTarget.Incarnation, Running: []Attempt{firstAttempt("first", 0)}, Ended: []End{{firstAttempt("second", 0), task.Done}},
	})
	r.core.StopJobs(r.now, "g", []string{"first"})
	r.core.StopAnswered(r.now, firstAttempt("first", 0), true)
	r.collect()
	r.wantStarted("first", "second")
	r.applyEnd(firstAttempt("first", 0), task.Stopped)
	r.wantStarted("first", "second", "waits")
}

// Guards against queued tasks that wait for the end of a run although the target's
// capacity has grown back.
func TestQueuedTasksStartWhenTheTargetGrowsBack(t *testing.T) {
	r := newCoreHarness(t)
	r.resize(5000)
	r.submit(newStart("runs", 0, 4000), newStart("waits", 0, 5000))
	r.wantStarted("runs")
	r.resize(smallTarget.Capacity.CPUMillis)
	r.wantStarted("runs", "waits")
}

// Guards against gateways that take a shrunk target for as quick as before: the backlog
// has to grow with what is lost, and the speed of single runs stays what was learned.
func TestLoadOfAShrunkTargetCountsItsNewCapacity(t *testing.T) {
	r := newCoreHarness(t)
	r.core.RestoreSpeed(Record{Target: smallTarget, Speed: SpeedEstimate{Slowness: 1.7, Samples: 40}})
	r.submit(newStart("runs", 0, 4000))
	before := r.core.Load(r.now)
	r.resize(smallTarget.Capacity.CPUMillis / 2)
	after := r.core.Load(r.now)
	if after.Backlog != 2*before.Backlog {
		t.Errorf("backlog %v after half of the capacity is gone, %v before", after.Backlog, before.Backlog)
	}
	if after.Committed != before.Committed || after.Slowness != before.Slowness || after.Samples != before.Samples {
		t.Errorf("load %+v, was %+v", after, before)
	}
}

// Guards against a restarted agent that fills its target by a stored capacity: the target
// may have shrunk while the agent was down, or while the record could not be written.
func TestRestartedAgentStartsNothingBeforeTheNextHeartbeat(t *testing.T) {
	r := &coreHarness{t: t, core: NewCore(DefaultCoreOptions()), now: 10 * time.Second}
	r.core.RestoreTarget(smallTarget)
	r.core.RenewGatewayLease("g", r.now)
	r.applyRunning()
	r.submit(newStart("early", 0, 8000))
	r.wantReport("early", task.NotStarted, task.ReasonNoTarget)
	r.resize(5000)
	r.submit(newStart("small", 0, 5000), newStart("large", 0, 8000))
	r.wantStarted("small")
	r.wantReport("large", task.NotStarted, task.ReasonTooLarge)
}

// Guards against starts by the capacity of an old heartbeat: an agent whose VM was
// suspended, or that gets no heartbeats, does not see that its target shrinks.
func TestNothingStartsByTheCapacityOfAnOldHeartbeat(t *testing.T) {
	r := newCoreHarness(t)
	r.advance(DefaultCoreOptions().HeartbeatTimeout - ms)
	r.core.RenewGatewayLease("g", r.now)
	r.submit(newStart("recent", 0, 1000))
	r.wantStarted("recent")
	r.advance(ms)
	r.submit(newStart("late", 0, 1000))
	r.wantReport("late", task.NotStarted, task.ReasonNoTarget)
	if l := r.core.Load(r.now); l.Accepting {
		t.Error("the gateways are told that the target accepts tasks")
	}
	r.resize(5000)
	r.submit(newStart("known", 0, 1000))
	r.wantStarted("recent", "known")
}

// Guards against a slow target that is taken to be as fast as the others after it has
// crashed, or its agent has restarted, while it had shrunk: the estimate counted as one of
// a target of another size.
func TestSpeedOfAShrunkTargetIsKept(t *testing.T) {
	const slowness = 1.7
	record := Record{Target: smallTarget, Speed: SpeedEstimate{Slowness: slowness, Samples: 40}}
	shrunk, next := smallTarget, smallTarget
	shrunk.Seq, shrunk.Capacity.CPUMillis = 1, smallTarget.Capacity.CPUMillis/2
	next.Incarnation++
	cases := map[string]func(r *coreHarness){
		"the target restarts": func(r *coreHarness) {
			r.core.RestoreSpeed(record)
			r.core.Heartbeat(r.now, shrunk)
			r.core.Heartbeat(r.now, next)
		},
		"the agent restarts": func(r *coreHarness) {
			r.core = NewCore(DefaultCoreOptions())
			r.core.Heartbeat(r.now, shrunk)
			r.core.RestoreSpeed(record)
		},
		"both restart": func(r *coreHarness) {
			r.core.RestoreSpeed(record)
			r.core.Heartbeat(r.now, shrunk)
			stored := record.Update(r.core.FullTarget(), r.core.Speed(r.now))
			r.core = NewCore(DefaultCoreOptions())
			r.core.RestoreTarget(stored.Target)
			r.core.RestoreSpeed(stored)
			r.core.Heartbeat(r.now, next)
		},
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) {
			r := newCoreHarness(t)
			run(r)
			if got := r.core.Load(r.now).Slowness; got < slowness-0.01 {
				t.Errorf("slowness %.2f, want %.2f", got, slowness)
			}
		})
	}
}
