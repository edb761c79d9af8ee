package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/model"
)

// bench drives a policy by hand with a virtual clock.
type bench struct {
	Policy
	now  time.Time
	next JobHandle
}

func newBench(targets int, opts Options) *bench {
	b := &bench{Policy: New(opts), now: time.Unix(0, 0)}
	b.setTargets(targets, nil)
	return b
}

func (b *bench) setTargets(n int, change func(i int, t *Target)) {
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

func (b *bench) submit(client string, tasks int, change func(*Job)) (JobHandle, Admission) {
	b.next++
	j := Job{Handle: b.next, Client: client, Service: "s", Deadline: b.now.Add(30 * time.Second), Tasks: make([]Task, tasks)}
	if change != nil {
		change(&j)
	}
	return b.next, b.Admit(b.now, j, nil)
}

func (b *bench) end(a Assignment, kind OutcomeKind, run time.Duration) {
	b.Finish(b.now, Outcome{Task: a.Task, Target: a.Target, Kind: kind, Run: run})
}

func (b *bench) advance(d time.Duration) { b.now = b.now.Add(d) }

// train runs single tasks one after the other until each target has seen
// several, with the run time that run gives.
func (b *bench) train(rounds int, run func(TargetID) time.Duration) {
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
			b := newBench(3, Options{})
			b.SetLimits(b.now, []ClientLimit{{Client: "c", Share: 1, MaxQueued: 100}})
			b.train(3, func(TargetID) time.Duration { return 100 * time.Millisecond })
			_, got := b.submit("c", 1, c.change)
			if got.Admitted || got.Reason != c.want {
				t.Fatalf("got %+v, want reason %s", got, c.want)
			}
		})
	}
}

// A policy that uses each free slot would put a task on a target eight times
// slower while the fast one is free in a moment.
func TestSlowTargetOnlyWhenItFinishesSooner(t *testing.T) {
	b := newBench(2, Options{})
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

// A target that fails all its tasks looks fast and attracts work unless it is
// judged by success.
func TestFailingTargetIsEjectedAndProbed(t *testing.T) {
	b := newBench(4, Options{})
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

func statusOf(b *bench, id TargetID) TargetStatus {
	for _, s := range b.Status(b.now) {
		if s.ID == id {
			return s
		}
	}
	return TargetStatus{}
}

// A job that fails wherever it runs must not take targets out of rotation.
func TestBadJobDoesNotEjectTargets(t *testing.T) {
	b := newBench(6, Options{})
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

// Without a bound, a common cause outside the targets would eject all.
func TestEjectedShareIsBounded(t *testing.T) {
	b := newBench(10, Options{EjectShare: 0.3})
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

// A straggler whose tasks do not end reports nothing; its overdue tasks alone
// have to reduce its work.
func TestOverdueTasksLowerSpeedBeforeTheyEnd(t *testing.T) {
	b := newBench(3, Options{})
	b.train(20, func(TargetID) time.Duration { return 100 * time.Millisecond })
	for range 6 {
		b.submit("c", 1, nil)
	}
	slow := targetName(1)
	var kept int
	for _, a := range b.Decide(b.now).Assign {
		if a.Target == slow {
			kept++
		}
	}
	before := statusOf(b, slow).Speed
	b.advance(2 * time.Second)
	after := statusOf(b, slow).Speed
	if kept == 0 || after > before/4 {
		t.Fatalf("speed %.2f before and %.2f after 2 s without outcome", before, after)
	}
}

// A removed job must not be placed, and its sent tasks must keep their slots.
func TestRemoveForgetsWaitingAndKeepsSentTasks(t *testing.T) {
	b := newBench(1, Options{Prefetch: 1})
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

// One job of 1,300 tasks must not make the single task of another client wait
// for its end.
func TestLargeJobDoesNotStarveSmallOne(t *testing.T) {
	for _, same := range []bool{false, true} {
		b := newBench(4, Options{})
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

// Interleaved targets in the list would force one message for each task.
func TestAssignmentsOfATargetAreAdjacent(t *testing.T) {
	b := newBench(4, Options{})
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

// Under two seeds the policies may differ; under one they must not.
func TestSameSeedGivesSameDecisions(t *testing.T) {
	run := func() string {
		b := newBench(7, Options{Seed: 3})
		b.train(5, func(id TargetID) time.Duration { return time.Duration(len(id)) * 50 * time.Millisecond })
		b.submit("c", 40, nil)
		return fmt.Sprint(b.Decide(b.now))
	}
	if a, c := run(), run(); a != c {
		t.Fatalf("decisions differ:\n%s\n%s", a, c)
	}
}

// Declared run times that are wrong by any factor must not move work to
// another target once run times were seen.
func TestDeclarationsLoseAgainstEvidence(t *testing.T) {
	b := newBench(2, Options{})
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
	short := s.class(e.client("c")).predictLog(&s.all, 0.01, 1)
	long := s.class(e.client("c")).predictLog(&s.all, 10, 1)
	if long-short > 0.3 {
		t.Fatalf("a declaration 1000 times longer changes the prediction by a factor of exp(%.2f)", long-short)
	}
}

// A task queued at a slow target must move once another would finish it sooner.
func TestQueuedTaskIsRevokedFromSlowTarget(t *testing.T) {
	b := newBench(2, Options{})
	b.train(10, func(TargetID) time.Duration { return 100 * time.Millisecond })
	for range 6 {
		b.submit("c", 1, nil)
	}
	e := b.Policy.(*engine)
	var first []Assignment
	slow := e.targets[targetName(0)]
	first = append(first, b.Decide(b.now).Assign...)
	// Two more tasks wait at the agent of target 0.
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

// Under overload a client that floods the queue must not take the share of one
// that sends little.
func TestSharesBoundAFloodingClient(t *testing.T) {
	b := newBench(4, Options{})
	b.train(5, func(TargetID) time.Duration { return 100 * time.Millisecond })
	b.SetLimits(b.now, []ClientLimit{{Client: "flood", Share: 1, MaxQueued: 5000}, {Client: "light", Share: 1, MaxQueued: 5000}})
	// 8 slots do 8 tasks in a step; the light client asks for 3 of them.
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

// A small job must not be refused for the queue of a large one that it passes.
func TestAdmissionCountsOnlyWorkThatRanksBefore(t *testing.T) {
	b := newBench(4, Options{})
	b.train(5, func(TargetID) time.Duration { return 100 * time.Millisecond })
	b.submit("c", 1300, nil)
	if _, a := b.submit("c", 1, func(j *Job) { j.Deadline = b.now.Add(2 * time.Second) }); !a.Admitted {
		t.Fatalf("small job refused: %+v", a)
	}
	if _, a := b.submit("c", 1300, func(j *Job) { j.Deadline = b.now.Add(2 * time.Second) }); a.Admitted || a.RetryAfter < 0 {
		t.Fatalf("large job that cannot end in time: %+v", a)
	}
}

// Jobs refused with one Retry-After would come back at the same time.
func TestRetryAfterHasJitter(t *testing.T) {
	b := newBench(1, Options{})
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

// Tasks of a large job that are sent one by one cost two messages each.
func TestLargeJobIsSentInChunks(t *testing.T) {
	b := newBench(4, Options{})
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

// A gateway that never hears of a free slot must not keep its tasks for ever.
func TestTaskQueuesAtAgentWhenNoSlotIsFree(t *testing.T) {
	b := newBench(3, Options{})
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

// A task must not start where it cannot end before its deadline.
func TestNoStartBeyondDeadline(t *testing.T) {
	b := newBench(1, Options{})
	b.train(5, func(TargetID) time.Duration { return time.Second })
	h, _ := b.submit("c", 1, func(j *Job) { j.Deadline = b.now.Add(1500 * time.Millisecond) })
	b.advance(time.Second)
	d := b.Decide(b.now)
	if len(d.Assign) != 0 || len(d.Dropped) != 1 || d.Dropped[0] != (Drop{h, model.ReasonDeadline}) {
		t.Fatalf("decisions %+v", d)
	}
}

// A target that leaves, drains or lost its link must get no work.
func TestUnusableTargetsGetNoWork(t *testing.T) {
	cases := map[string]func(*bench){
		"draining":     func(b *bench) { b.setTargets(2, func(i int, t *Target) { t.Draining = i == 0 }) },
		"disconnected": func(b *bench) { b.setTargets(2, func(i int, t *Target) { t.Connected = i != 0 }) },
		"leaving":      func(b *bench) { b.Report(b.now, Load{Target: targetName(0), Leaving: true, Accepting: true}) },
		"rejecting":    func(b *bench) { b.Report(b.now, Load{Target: targetName(0)}) },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBench(2, Options{})
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
