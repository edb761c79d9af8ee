package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// policyMachine checks the policy against a simple model of where each task is.
type policyMachine struct {
	harness
	targets map[TargetID]Target
	sent    map[TaskRef]Assignment
	jobs    map[JobHandle]int // tasks neither sent nor ended
}

// Guards against tasks that are assigned twice, lost or sent to an unusable target
// under any order of events.
func TestRandomEventsNeitherLoseNorDuplicateTasks(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &policyMachine{harness: harness{Policy: New(Options{BatchTasks: 4}), now: time.Unix(0, 0)}, sent: map[TaskRef]Assignment{}, jobs: map[JobHandle]int{}}
		m.changeTargets(rt)
		rt.Repeat(map[string]func(*rapid.T){
			"targets": m.changeTargets,
			"submit":  m.submitJob,
			"decide":  m.decide,
			"finish":  m.finish,
			"remove":  m.removeJob,
			"report":  m.report,
			"":        m.check,
		})
	})
}

func (m *policyMachine) changeTargets(t *rapid.T) {
	m.targets = map[TargetID]Target{}
	var list []Target
	for i := range rapid.IntRange(1, 4).Draw(t, "targets") {
		x := Target{
			ID: targetName(i), Service: "s", Slots: rapid.IntRange(0, 3).Draw(t, "slots"), Delay: time.Millisecond,
			Connected: rapid.Bool().Draw(t, "connected"), Draining: rapid.IntRange(0, 4).Draw(t, "draining") == 0,
		}
		list = append(list, x)
		m.targets[x.ID] = x
	}
	m.SetTargets(m.now, list)
}

func (m *policyMachine) submitJob(t *rapid.T) {
	n := rapid.IntRange(1, 12).Draw(t, "tasks")
	h, a := m.submit(fmt.Sprint("c", rapid.IntRange(0, 2).Draw(t, "client")), n, func(j *Job) {
		j.Deadline = m.now.Add(time.Duration(rapid.IntRange(0, 9000).Draw(t, "timeout")) * time.Millisecond)
		j.Tasks[0].Expected = time.Duration(rapid.IntRange(0, 3).Draw(t, "declared")) * time.Second
	})
	if a.Admitted {
		m.jobs[h] = n
	}
}

func (m *policyMachine) decide(t *rapid.T) {
	m.advance(time.Duration(rapid.IntRange(0, 500).Draw(t, "pass")) * time.Millisecond)
	d := m.Decide(m.now)
	for _, a := range d.Assign {
		if _, twice := m.sent[a.Task]; twice {
			t.Fatalf("task %v assigned twice", a.Task)
		}
		if _, known := m.jobs[a.Task.Job]; !known {
			t.Fatalf("task of an unknown job assigned: %v", a)
		}
		if x := m.targets[a.Target]; !x.Connected || x.Draining || x.Slots == 0 {
			t.Fatalf("assigned to an unusable target: %v", a)
		}
		m.sent[a.Task] = a
		m.jobs[a.Task.Job]--
	}
	for _, x := range d.Dropped {
		m.Remove(m.now, x.Job)
		delete(m.jobs, x.Job)
	}
	for _, r := range d.Revoke {
		if m.sent[r.Task].Target != r.Target {
			t.Fatalf("revoked from a target that does not have it: %v", r)
		}
	}
}

func (m *policyMachine) finish(t *rapid.T) {
	for ref, a := range m.sent {
		kind := OutcomeKind(rapid.IntRange(int(OutcomeSucceeded), int(OutcomeAborted)).Draw(t, "kind"))
		m.end(a, kind, time.Duration(rapid.IntRange(0, 2000).Draw(t, "run"))*time.Millisecond)
		if kind == OutcomeStarted {
			return
		}
		delete(m.sent, ref)
		if _, known := m.jobs[ref.Job]; known && kind == OutcomeNotStarted {
			m.jobs[ref.Job]++
		}
		return
	}
}

func (m *policyMachine) removeJob(*rapid.T) {
	for h := range m.jobs {
		m.Remove(m.now, h)
		delete(m.jobs, h)
		return
	}
}

func (m *policyMachine) report(t *rapid.T) {
	m.Report(m.now, Load{
		Target: targetName(rapid.IntRange(0, 4).Draw(t, "target")), Slots: 0, Accepting: true,
		Running: rapid.IntRange(0, 4).Draw(t, "running"), Queued: rapid.IntRange(0, 9).Draw(t, "queued"),
	})
}

func (m *policyMachine) check(t *rapid.T) {
	want := 0
	for _, n := range m.jobs {
		want += n
	}
	if got := m.Queued(); got != want {
		t.Fatalf("%d tasks queued, want %d", got, want)
	}
	total := 0
	for _, s := range m.Status(m.now) {
		total += s.Outstanding
	}
	if total > len(m.sent) {
		t.Fatalf("%d tasks outstanding, want at most %d", total, len(m.sent))
	}
}
