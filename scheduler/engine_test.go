package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/model"
)

// harness drives a policy with a virtual clock.
type harness struct {
	Policy
	now  time.Time
	next JobHandle
}

func newHarness(targets int, opts Options) *harness {
	b := &harness{Policy: New(opts), now: time.Unix(0, 0)}
	b.setTargets(targets, nil)
	return b
}

func (b *harness) setTargets(n int, change func(i int, t *Target)) {
	var list []Target
	for i := range n {
		t := Target{ID: targetName(i), Service: "s", Slots: 2, Connections: 8, Delay: time.Millisecond, Connected: true}
		if change != nil {
			change(i, &t)
		}
		list = append(list, t)
	}
	b.SetTargets(b.now, list)
}

func targetName(i int) TargetID { return TargetID(fmt.Sprintf("t%d", i)) }

func (b *harness) submit(client string, tasks int, change func(*Job)) (JobHandle, Admission) {
	b.next++
	j := Job{Handle: b.next, Client: client, Service: "s", Deadline: b.now.Add(30 * time.Second), Tasks: make([]Task, tasks)}
	if change != nil {
		change(&j)
	}
	return b.next, b.Admit(b.now, j, nil)
}

func (b *harness) end(a Assignment, kind OutcomeKind, run time.Duration) {
	b.Finish(b.now, Outcome{Task: a.Task, Target: a.Target, Kind: kind, Run: run})
}

func (b *harness) advance(d time.Duration) { b.now = b.now.Add(d) }

// train runs the given number of jobs of 24 tasks to completion, so that the
// policy learns the speed of the targets. run returns the run time at a target.
func (b *harness) train(rounds int, run func(TargetID) time.Duration) {
	for range rounds {
		h, _ := b.submit("train", 24, nil)
		for left := 24; left > 0; {
			list := b.Decide(b.now).Assign
			left -= len(list)
			longest := time.Duration(0)
			for _, a := range list {
				longest = max(longest, run(a.Target))
			}
			b.advance(longest)
			for _, a := range list {
				b.end(a, OutcomeSucceeded, run(a.Target))
			}
		}
		b.Remove(b.now, h)
	}
}

func TestAdmitRefusesAtOnce(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Job)
		want   model.Reason
	}{
		{"unknown service would wait until its deadline", func(j *Job) { j.Service = "x" }, model.ReasonNoSuitable},
		{"no allowed target would wait until its deadline", func(j *Job) { j.Allowed = func(TargetID) bool { return false } }, model.ReasonNoSuitable},
		{"queue without bound would exhaust memory", func(j *Job) { j.Tasks = make([]Task, 101) }, model.ReasonQuota},
		{"work that cannot be answered would take slots from work that can", func(j *Job) { j.Deadline = time.Unix(0, 0) }, model.ReasonDeadline},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newHarness(3, Options{})
			b.SetLimits(b.now, []ClientLimit{{Client: "c", Share: 1, MaxQueued: 100}})
			b.train(3, func(TargetID) time.Duration { return 100 * time.Millisecond })
			_, got := b.submit("c", 1, c.change)
			if got.Admitted || got.Reason != c.want {
				t.Fatalf("got %+v, want reason %s", got, c.want)
			}
		})
	}
}

// Guards against a task being sent to a free target eight times slower than one
// that will be free soon.
func TestSlowTargetOnlyWhenItFinishesSooner(t *testing.T) {
	b := newHarness(2, Options{})
	b.train(20, func(id TargetID) time.Duration {
		if id == targetName(1) {
			return 800 * time.Millisecond
		}
		return 100 * time.Millisecond
	})
	got := map[TargetID]int{}
	for range 3 {
		b.submit("c", 1, nil)
	}
	for _, a := range b.Decide(b.now).Assign {
		got[a.Target]++
	}
	if got[targetName(1)] != 0 || got[targetName(0)] != 2 || b.Queued() != 1 {
		t.Fatalf("assigned %v, queued %d; want 2 on the fast target and 1 waiting", got, b.Queued())
	}
	for range 30 {
		b.submit("c", 1, nil)
	}
	for _, a := range b.Decide(b.now).Assign {
		got[a.Target]++
	}
	if got[targetName(1)] != 2 {
		t.Fatalf("assigned %v; a long queue makes the slow target worth using", got)
	}
}

// Guards against a target that fails all its tasks attracting work: it always has
// free slots.
func TestFailingTargetIsEjectedAndProbed(t *testing.T) {
	b := newHarness(4, Options{})
	b.train(10, func(TargetID) time.Duration { return 100 * time.Millisecond })
	bad, failures := targetName(2), 0
	serve := func(n int, bad TargetID) (onBad int) {
		for range n {
			b.submit("c", 1, nil)
			for _, a := range b.Decide(b.now).Assign {
				kind := OutcomeSucceeded
				if a.Target == bad {
					kind = OutcomeFailed
					failures++
				}
				if a.Target == targetName(2) {
					onBad++
				}
				b.advance(100 * time.Millisecond)
				b.end(a, kind, 100*time.Millisecond)
				b.Remove(b.now, a.Task.Job)
			}
		}
		return onBad
	}
	b.setTargets(4, func(i int, t *Target) { t.Draining = i != 2 })
	serve(4, bad)
	b.setTargets(4, nil)
	if failures > 4 || !statusOf(b, bad).Ejected {
		t.Fatalf("%d failures, status %+v", failures, statusOf(b, bad))
	}
	b.advance(5 * time.Second)
	b.setTargets(4, func(i int, t *Target) { t.Draining = i != 2 })
	serve(6, "")
	if statusOf(b, bad).Ejected {
		t.Fatal("not readmitted after successful probes")
	}
}

func statusOf(b *harness, id TargetID) TargetStatus {
	for _, s := range b.Status(b.now) {
		if s.ID == id {
			return s
		}
	}
	return TargetStatus{}
}

// Guards against the ejection of healthy targets by a client whose jobs fail
// wherever they run.
func TestJobFailingEverywhereEjectsNoTarget(t *testing.T) {
	b := newHarness(6, Options{})
	b.train(10, func(TargetID) time.Duration { return 100 * time.Millisecond })
	for round := range 20 {
		h, _ := b.submit("bad", 1+11*(round%2), nil)
		for _, a := range b.Decide(b.now).Assign {
			b.end(a, OutcomeFailed, time.Millisecond)
		}
		b.Remove(b.now, h)
		b.advance(50 * time.Millisecond)
	}
	for _, s := range b.Status(b.now) {
		if s.Ejected {
			t.Errorf("%s is ejected: %s", s.ID, s.EjectionReason)
		}
	}
}

// Guards against the ejection of all targets when tasks fail for a common cause
// outside the targets.
func TestEjectedShareIsBounded(t *testing.T) {
	b := newHarness(10, Options{EjectShare: 0.3})
	for i := range 200 {
		b.submit(fmt.Sprint("c", i), 1, nil)
		for _, a := range b.Decide(b.now).Assign {
			b.end(a, OutcomeFailed, time.Millisecond)
			b.Remove(b.now, a.Task.Job)
		}
	}
	n := 0
	for _, s := range b.Status(b.now) {
		if s.Ejected {
			n++
		}
	}
	if n == 0 || n > 3 {
		t.Fatalf("%d of 10 targets ejected, want 1 to 3", n)
	}
}

// Guards against sending work to a straggler whose tasks do not end: it reports no
// outcomes, so the overdue tasks alone must lower its estimated speed.
func TestOverdueTasksLowerSpeedBeforeTheyEnd(t *testing.T) {
	b := newHarness(3, Options{})
	b.train(20, func(TargetID) time.Duration { return 100 * time.Millisecond })
	for range 6 {
		b.submit("c", 1, nil)
	}
	slow := targetName(1)
	var onSlow int
	for _, a := range b.Decide(b.now).Assign {
		if a.Target == slow {
			onSlow++
		}
	}
	before := statusOf(b, slow).Speed
	b.advance(2 * time.Second)
	after := statusOf(b, slow).Speed
	if onSlow == 0 || after > before/4 {
		t.Fatalf("speed %.2f before and %.2f after 2 s without outcome", before, after)
	}
}

// Guards against placing tasks of a removed job, and against counting the slots of
// its sent tasks as free before their outcomes arrive.
func TestRemoveDropsQueuedTasksAndCountsSentOnes(t *testing.T) {
	b := newHarness(1, Options{Prefetch: 1})
	h, _ := b.submit("c", 10, nil)
	sent := b.Decide(b.now).Assign
	b.Remove(b.now, h)
	if b.Queued() != 0 {
		t.Fatalf("%d tasks still queued", b.Queued())
	}
	if o := statusOf(b, targetName(0)).Outstanding; o != len(sent) {
		t.Fatalf("%d outstanding, want %d", o, len(sent))
	}
	for _, a := range sent {
		b.end(a, OutcomeNotStarted, 0)
	}
	if o := statusOf(b, targetName(0)).Outstanding; o != 0 || b.Queued() != 0 {
		t.Fatalf("%d outstanding and %d queued after the end", o, b.Queued())
	}
}

// Guards against a single task waiting until a job of 1,300 tasks ends, whether
// the job belongs to another client or to the same one.
func TestLargeJobDoesNotStarveSmallOne(t *testing.T) {
	for _, same := range []bool{false, true} {
		b := newHarness(4, Options{})
		b.train(5, func(TargetID) time.Duration { return 100 * time.Millisecond })
		b.submit("large", 1300, nil)
		sent := b.Decide(b.now).Assign
		name := "small"
		if same {
			name = "large"
		}
		h, _ := b.submit(name, 1, nil)
		for step := 0; ; step++ {
			b.advance(100 * time.Millisecond)
			free := map[TargetID]int{}
			var rest []Assignment
			for _, a := range sent {
				if free[a.Target]++; free[a.Target] <= 2 {
					b.end(a, OutcomeSucceeded, 100*time.Millisecond)
				} else {
					rest = append(rest, a)
				}
			}
			list := b.Decide(b.now).Assign
			sent = append(rest, list...)
			if hasJob(list, h) {
				break
			}
			if step > 20 {
				t.Fatalf("same client %v: the small job was not placed in %d steps", same, step)
			}
		}
	}
}

func hasJob(list []Assignment, h JobHandle) bool {
	for _, a := range list {
		if a.Task.Job == h {
			return true
		}
	}
	return false
}

// Guards against one message per task: the gateway sends adjacent assignments of a
// target in one message.
func TestAssignmentsOfATargetAreAdjacent(t *testing.T) {
	b := newHarness(4, Options{})
	b.submit("c", 8, nil)
	seen := map[TargetID]bool{}
	last := TargetID("")
	for _, a := range b.Decide(b.now).Assign {
		if a.Target != last && seen[a.Target] {
			t.Fatalf("target %s appears twice", a.Target)
		}
		seen[a.Target], last = true, a.Target
	}
}

// Guards against decisions that depend on map iteration order or another source of
// randomness than the seed.
func TestSameSeedGivesSameDecisions(t *testing.T) {
	run := func() string {
		b := newHarness(7, Options{Seed: 3})
		b.train(5, func(id TargetID) time.Duration { return time.Duration(len(id)) * 50 * time.Millisecond })
		b.submit("c", 40, nil)
		return fmt.Sprint(b.Decide(b.now))
	}
	if a, c := run(), run(); a != c {
		t.Fatalf("decisions differ:\n%s\n%s", a, c)
	}
}

// Guards against misplaced tasks because of wrong declarations: once run times
// have been observed that do not depend on the declared ones, declarations must
// hardly change the prediction.
func TestObservedRunTimesOutweighDeclaredOnes(t *testing.T) {
	b := newHarness(2, Options{})
	for i := range 100 {
		declared := time.Duration(1+i%10) * 100 * time.Millisecond
		b.submit("c", 1, func(j *Job) { j.Tasks[0].Expected = declared })
		for _, a := range b.Decide(b.now).Assign {
			b.end(a, OutcomeSucceeded, 100*time.Millisecond)
			b.Remove(b.now, a.Task.Job)
		}
	}
	e := b.Policy.(*engine)
	s := e.services["s"]
	short := s.clientEstimate(e.client("c")).predictLog(&s.overallWork, 0.01, 1)
	long := s.clientEstimate(e.client("c")).predictLog(&s.overallWork, 10, 1)
	if long-short > 0.3 {
		t.Fatalf("a declaration 1000 times longer changes the prediction by a factor of exp(%.2f)", long-short)
	}
}

// Guards against tasks staying in the agent's queue of a target that has stopped
// answering while another target could run them.
func TestQueuedTaskIsRevokedFromSlowTarget(t *testing.T) {
	b := newHarness(2, Options{})
	b.train(10, func(TargetID) time.Duration { return 100 * time.Millisecond })
	for range 6 {
		b.submit("c", 1, nil)
	}
	e := b.Policy.(*engine)
	var first []Assignment
	slow := e.targets[targetName(0)]
	first = append(first, b.Decide(b.now).Assign...)
	// Send the tasks that are still queued to the agent of target 0, where they
	// wait.
	out := Decisions{}
	s := e.services["s"]
	for _, j := range waitingJobs(s) {
		s.queue.walk(1, func(*job, int) (bool, bool) { return true, true })
		e.send(e.seconds(b.now), slow, j, 0, "", &out)
	}
	b.advance(150 * time.Millisecond)
	for _, a := range first {
		if a.Target == targetName(1) {
			b.end(a, OutcomeSucceeded, 100*time.Millisecond)
		}
	}
	b.advance(time.Second)
	revoked := b.Decide(b.now).Revoke
	if len(revoked) == 0 {
		t.Fatal("no task was revoked from the target that stopped answering")
	}
	for _, r := range revoked {
		if r.Target != targetName(0) {
			t.Fatalf("revoked from %s", r.Target)
		}
	}
}

func waitingJobs(s *service) []*job {
	var list []*job
	for _, f := range s.queue.active {
		list = append(list, f.jobs...)
	}
	return list
}

// Guards against a client that floods the queue under overload taking the share of
// a client that submits little.
func TestFloodingClientDoesNotStarveOthers(t *testing.T) {
	b := newHarness(4, Options{})
	b.train(5, func(TargetID) time.Duration { return 100 * time.Millisecond })
	b.SetLimits(b.now, []ClientLimit{{Client: "flood", Share: 1, MaxQueued: 5000}, {Client: "light", Share: 1, MaxQueued: 5000}})
	// The 8 slots run 8 tasks in each step. The light client submits 3.
	client := map[JobHandle]string{}
	done := map[string]int{}
	var sent []Assignment
	const steps = 200
	for range steps {
		for i := range 23 {
			name := "flood"
			if i < 3 {
				name = "light"
			}
			if h, a := b.submit(name, 1, nil); a.Admitted {
				client[h] = name
			}
		}
		b.advance(100 * time.Millisecond)
		free := map[TargetID]int{}
		var rest []Assignment
		for _, a := range sent {
			if free[a.Target]++; free[a.Target] > 2 {
				rest = append(rest, a)
				continue
			}
			b.end(a, OutcomeSucceeded, 100*time.Millisecond)
			done[client[a.Task.Job]]++
			b.Remove(b.now, a.Task.Job)
		}
		sent = append(rest, b.Decide(b.now).Assign...)
	}
	if done["light"] < steps*3*8/10 {
		t.Fatalf("the light client got %d of %d tasks, the flooding one %d", done["light"], steps*3, done["flood"])
	}
}

// Guards against refusing a small job because of the queued tasks of a large one
// that ranks behind it.
func TestAdmissionCountsOnlyWorkThatRanksBefore(t *testing.T) {
	b := newHarness(4, Options{})
	b.train(5, func(TargetID) time.Duration { return 100 * time.Millisecond })
	b.submit("c", 1300, nil)
	if _, a := b.submit("c", 1, func(j *Job) { j.Deadline = b.now.Add(2 * time.Second) }); !a.Admitted {
		t.Fatalf("small job refused: %+v", a)
	}
	if _, a := b.submit("c", 1300, func(j *Job) { j.Deadline = b.now.Add(2 * time.Second) }); a.Admitted || a.RetryAfter < 0 {
		t.Fatalf("large job that cannot end in time: %+v", a)
	}
}

// Guards against refused callers retrying all at the same time.
func TestRetryAfterHasJitter(t *testing.T) {
	b := newHarness(1, Options{})
	b.train(5, func(TargetID) time.Duration { return 100 * time.Millisecond })
	seen := map[time.Duration]bool{}
	for range 200 {
		_, a := b.submit("c", 1, func(j *Job) { j.Deadline = b.now.Add(time.Second) })
		if !a.Admitted {
			seen[a.RetryAfter] = true
		}
	}
	if len(seen) < 50 {
		t.Fatalf("%d different retry times", len(seen))
	}
}

// Guards against sending the tasks of a large job one by one, which costs two
// messages per task.
func TestLargeJobIsSentInChunks(t *testing.T) {
	b := newHarness(4, Options{})
	b.train(5, func(TargetID) time.Duration { return 100 * time.Millisecond })
	b.submit("c", 100, nil)
	counts := map[TargetID]int{}
	for _, a := range b.Decide(b.now).Assign {
		if a.Report == ReportEach {
			t.Fatalf("report mode %d", a.Report)
		}
		counts[a.Target]++
	}
	for id, n := range counts {
		if n < 10 {
			t.Errorf("%s got %d tasks", id, n)
		}
	}
	if len(counts) == 0 {
		t.Fatal("nothing sent")
	}
}

// Guards against starvation of a gateway that never learns of a free slot because
// other gateways keep the agents' queues filled.
func TestTaskQueuesAtAgentWhenNoSlotIsFree(t *testing.T) {
	b := newHarness(3, Options{})
	b.train(5, func(TargetID) time.Duration { return 100 * time.Millisecond })
	for i := range 3 {
		b.Report(b.now, Load{Target: targetName(i), Slots: 2, Running: 2, Queued: 4 * i, Accepting: true})
	}
	b.submit("c", 1, nil)
	list := b.Decide(b.now).Assign
	if len(list) != 1 || list[0].Target != targetName(0) {
		t.Fatalf("assigned %v, want the target with the shortest queue", list)
	}
}

// Guards against starting a task that cannot finish before its deadline.
func TestTaskThatCannotMeetDeadlineIsDropped(t *testing.T) {
	b := newHarness(1, Options{})
	b.train(5, func(TargetID) time.Duration { return time.Second })
	h, _ := b.submit("c", 1, func(j *Job) { j.Deadline = b.now.Add(1500 * time.Millisecond) })
	b.advance(time.Second)
	d := b.Decide(b.now)
	if len(d.Assign) != 0 || len(d.Dropped) != 1 || d.Dropped[0] != (Drop{h, model.ReasonDeadline}) {
		t.Fatalf("decisions %+v", d)
	}
}

// Guards against sending tasks to a target that is draining, disconnected, leaving
// or not accepting.
func TestUnusableTargetsGetNoWork(t *testing.T) {
	cases := map[string]func(*harness){
		"draining":     func(b *harness) { b.setTargets(2, func(i int, t *Target) { t.Draining = i == 0 }) },
		"disconnected": func(b *harness) { b.setTargets(2, func(i int, t *Target) { t.Connected = i != 0 }) },
		"leaving":      func(b *harness) { b.Report(b.now, Load{Target: targetName(0), Leaving: true, Accepting: true}) },
		"rejecting":    func(b *harness) { b.Report(b.now, Load{Target: targetName(0)}) },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			b := newHarness(2, Options{})
			change(b)
			b.submit("c", 50, nil)
			for _, a := range b.Decide(b.now).Assign {
				if a.Target == targetName(0) {
					t.Fatal("work sent to a target that takes none")
				}
			}
		})
	}
}
