package runner

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// modelTarget simulates a target in virtual time. Like the users' targets it
// starts whatever it is told to, without checking its capacity, and it ends runs
// whose lease has expired.
type modelTarget struct {
	now      time.Duration
	deadline time.Duration
	running  map[Attempt]Start
	// refusedUpTo holds the highest attempt of each task that was ended or stopped.
	// Starts up to it are refused.
	refusedUpTo map[task.ID]int
	ends        []End
	violations  []string
}

func (m *modelTarget) expireLease() {
	if m.now <= m.deadline {
		return
	}
	for a := range m.running {
		m.end(a, task.Lost)
	}
}

func (m *modelTarget) end(a Attempt, o task.Outcome) {
	if _, found := m.running[a]; !found {
		return
	}
	delete(m.running, a)
	m.refusedUpTo[a.Task] = max(m.refusedUpTo[a.Task], a.Number)
	m.ends = append(m.ends, End{a, o})
}

// start handles a start request, which may be late. It returns whether it was
// accepted.
func (m *modelTarget) start(p pendingStart) bool {
	m.expireLease()
	s := p.start
	a := Attempt{s.Task, s.Attempt}
	if s.Attempt <= m.refusedUpTo[s.Task] || p.deadline <= m.now {
		return false
	}
	m.deadline = max(m.deadline, p.deadline)
	m.running[a] = s
	var used task.Resources
	for other, o := range m.running {
		used = used.Plus(o.Needs)
		if other.Task == a.Task && other != a {
			m.violations = append(m.violations, "two runs of "+a.Task.String())
		}
	}
	if !used.Within(p.capacity) {
		m.violations = append(m.violations, fmt.Sprintf("over capacity: %+v", used))
	}
	return true
}

func (m *modelTarget) stop(a Attempt) {
	m.expireLease()
	m.refusedUpTo[a.Task] = max(m.refusedUpTo[a.Task], a.Number)
	m.end(a, task.Stopped)
}

// simulation connects a core with a simulated target. Calls stay pending until
// the test delivers them, loses their answers or delays them.
type simulation struct {
	core   *Core
	target *modelTarget
	now    time.Duration
	// capacity is the target's current one.
	capacity    task.Resources
	starts      []pendingStart
	lateStarts  []pendingStart
	stops       []Attempt
	snapshots   []Snapshot
	reports     map[Attempt]task.Outcome
	lastAttempt map[task.ID]int
}

type pendingStart struct {
	start    Start
	deadline time.Duration
	// capacity is the target's largest capacity since the start was requested.
	capacity task.Resources
}

const modelLease = 900 * ms

func (w *simulation) collect() {
	a := w.core.Take()
	for _, s := range a.Starts {
		w.starts = append(w.starts, pendingStart{s, w.now + modelLease, w.capacity})
	}
	w.stops = append(w.stops, a.Stops...)
	for _, r := range a.Reports {
		if r.Outcome == task.Started {
			continue
		}
		w.reports[Attempt{r.Task, r.Attempt}] = r.Outcome
	}
}

func (w *simulation) advance(d time.Duration) {
	w.now += d
	w.target.now = w.now
	w.target.expireLease()
	w.core.RenewGatewayLease("g", w.now)
	w.heartbeat()
	w.core.Tick(w.now)
	w.collect()
}

func (w *simulation) heartbeat() {
	t := smallTarget
	t.Capacity = w.capacity
	w.core.Heartbeat(w.now, t)
}

// resize changes the target's capacity, which the next heartbeat reports at once.
func (w *simulation) resize(t *rapid.T) {
	w.capacity.CPUMillis = int64(rapid.SampledFrom([]int{3000, 5000, 10_000, 12_000}).Draw(t, "capacity"))
	for _, pending := range [][]pendingStart{w.starts, w.lateStarts} {
		for i := range pending {
			pending[i].capacity = pending[i].capacity.Max(w.capacity)
		}
	}
	w.heartbeat()
	w.collect()
}

func takeRandom[T any](t *rapid.T, label string, from *[]T) (T, bool) {
	var zero T
	if len(*from) == 0 {
		return zero, false
	}
	i := rapid.IntRange(0, len(*from)-1).Draw(t, label)
	out := (*from)[i]
	*from = slices.Delete(*from, i, i+1)
	return out, true
}

// submit requests a start of a task that has no attempt in progress, as gateways
// do.
func (w *simulation) submit(t *rapid.T) {
	id := taskID("j", rapid.IntRange(0, 5).Draw(t, "task"))
	if n := w.lastAttempt[id]; n > 0 {
		if _, over := w.reports[Attempt{id, n}]; !over {
			return
		}
	}
	w.lastAttempt[id]++
	s := newStart("j", id.Index, int64(rapid.SampledFrom([]int{2000, 4000, 7000}).Draw(t, "cpu")))
	s.Attempt = w.lastAttempt[id]
	w.core.Submit(w.now, "g", w.now, []Start{s})
	w.collect()
}

func (w *simulation) deliverStart(t *rapid.T) {
	p, ok := takeRandom(t, "start", &w.starts)
	if !ok {
		return
	}
	a := Attempt{p.start.Task, p.start.Attempt}
	delivery := rapid.SampledFrom([]string{"answered", "answered", "answer lost", "late", "lost"}).Draw(t, "fate")
	result := StartUnanswered
	switch delivery {
	case "answered", "answer lost":
		accepted := w.target.start(p)
		if delivery == "answered" {
			result = StartRefused
			if accepted {
				result = StartAccepted
			}
		}
	case "late":
		w.lateStarts = append(w.lateStarts, p)
	}
	w.core.StartAnswered(w.now, a, result)
	w.collect()
}

func (w *simulation) deliverStop(t *rapid.T) {
	a, ok := takeRandom(t, "stop", &w.stops)
	if !ok {
		return
	}
	carriedOut := rapid.IntRange(0, 3).Draw(t, "carried out") > 0
	answered := carriedOut && rapid.Bool().Draw(t, "answered")
	if carriedOut {
		w.target.stop(a)
	}
	w.core.StopAnswered(w.now, a, answered)
	w.collect()
}

// takeSnapshot takes a snapshot now; it may be delivered after a later one.
func (w *simulation) takeSnapshot() {
	s := Snapshot{RequestedAt: w.now, Incarnation: smallTarget.Incarnation, Ended: slices.Clone(w.target.ends)}
	w.target.deadline = max(w.target.deadline, w.now+modelLease)
	for a := range w.target.running {
		s.Running = append(s.Running, a)
	}
	w.snapshots = append(w.snapshots, s)
}

func (w *simulation) deliverSnapshot(t *rapid.T) {
	s, ok := takeRandom(t, "look", &w.snapshots)
	if !ok || rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
		return
	}
	w.core.ApplySnapshot(w.now, s)
	w.collect()
}

// Guards against exceeding the target's capacity, and against two concurrent runs
// of one task, under lost, delayed and reordered calls while the capacity changes.
func TestCapacityAndSingleRunsHoldUnderLostAndReorderedCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &simulation{
			core: NewCore(DefaultCoreOptions()), now: 10 * time.Second, capacity: smallTarget.Capacity, reports: map[Attempt]task.Outcome{}, lastAttempt: map[task.ID]int{},
			target: &modelTarget{running: map[Attempt]Start{}, refusedUpTo: map[task.ID]int{}},
		}
		w.advance(ms)
		t.Repeat(map[string]func(*rapid.T){
			"order":         w.submit,
			"resized":       w.resize,
			"start arrives": w.deliverStart,
			"stop arrives":  w.deliverStop,
			"look":          func(*rapid.T) { w.takeSnapshot() },
			"look answered": w.deliverSnapshot,
			"late start": func(t *rapid.T) {
				if p, ok := takeRandom(t, "late", &w.lateStarts); ok {
					w.target.start(p)
				}
			},
			"run ends": func(t *rapid.T) {
				for a := range w.target.running {
					w.target.end(a, rapid.SampledFrom([]task.Outcome{task.Done, task.Failed}).Draw(t, "outcome"))
					return
				}
			},
			"gateway stops the job": func(*rapid.T) {
				w.core.StopJobs(w.now, "g", []string{"j"})
				w.collect()
			},
			"time passes": func(t *rapid.T) {
				w.advance(time.Duration(rapid.SampledFrom([]int{1, 20, 300, 1300}).Draw(t, "ms")) * ms)
			},
			"": func(t *rapid.T) {
				if len(w.target.violations) > 0 {
					t.Fatal(w.target.violations)
				}
			},
		})
	})
}
