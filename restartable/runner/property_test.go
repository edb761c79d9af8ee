package runner

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// modelTarget is a target in virtual time. It starts whatever it is told to,
// as the users' targets do, and keeps runs only under their lease.
type modelTarget struct {
	now      time.Duration
	deadline time.Duration
	running  map[Attempt]Start
	blocked  map[task.ID]int
	ends     []End
	breaches []string
}

func (m *modelTarget) lapse() {
	if m.now <= m.deadline {
		return
	}
	for a := range m.running {
		m.end(a, task.Lost)
	}
}

func (m *modelTarget) end(a Attempt, o task.Outcome) {
	if _, there := m.running[a]; !there {
		return
	}
	delete(m.running, a)
	m.blocked[a.Task] = max(m.blocked[a.Task], a.Number)
	m.ends = append(m.ends, End{a, o})
}

// start carries an order out, maybe late. It returns whether it was accepted.
func (m *modelTarget) start(s Start, deadline time.Duration) bool {
	m.lapse()
	a := Attempt{s.Task, s.Attempt}
	if s.Attempt <= m.blocked[s.Task] || deadline <= m.now {
		return false
	}
	m.deadline = max(m.deadline, deadline)
	m.running[a] = s
	var used task.Resources
	for other, o := range m.running {
		used = used.Plus(o.Needs)
		if other.Task == a.Task && other != a {
			m.breaches = append(m.breaches, "two runs of "+a.Task.String())
		}
	}
	if !used.Within(smallTarget.Capacity) {
		m.breaches = append(m.breaches, fmt.Sprintf("over capacity: %+v", used))
	}
	return true
}

func (m *modelTarget) stop(a Attempt) {
	m.lapse()
	m.blocked[a.Task] = max(m.blocked[a.Task], a.Number)
	m.end(a, task.Stopped)
}

// world connects a core with the target. Calls wait in it until the test lets
// them arrive, lose their answer or come late.
type world struct {
	core    *Core
	target  *modelTarget
	now     time.Duration
	starts  []pendingStart
	late    []pendingStart
	stops   []Attempt
	looks   []Snapshot
	reports map[Attempt]task.Outcome
	attempt map[task.ID]int
}

type pendingStart struct {
	start    Start
	deadline time.Duration
}

const modelLease = 900 * ms

func (w *world) collect() {
	a := w.core.Take()
	for _, s := range a.Starts {
		w.starts = append(w.starts, pendingStart{s, w.now + modelLease})
	}
	w.stops = append(w.stops, a.Stops...)
	for _, r := range a.Reports {
		if r.Outcome == task.Started {
			continue
		}
		w.reports[Attempt{r.Task, r.Attempt}] = r.Outcome
	}
}

func (w *world) advance(d time.Duration) {
	w.now += d
	w.target.now = w.now
	w.target.lapse()
	w.core.RenewGatewayLease("g", w.now)
	w.core.Tick(w.now)
	w.collect()
}

func pick[T any](t *rapid.T, label string, from *[]T) (T, bool) {
	var zero T
	if len(*from) == 0 {
		return zero, false
	}
	i := rapid.IntRange(0, len(*from)-1).Draw(t, label)
	out := (*from)[i]
	*from = slices.Delete(*from, i, i+1)
	return out, true
}

// order sends a task that has no attempt in progress, as gateways do.
func (w *world) order(t *rapid.T) {
	id := taskOf("j", rapid.IntRange(0, 5).Draw(t, "task"))
	if n := w.attempt[id]; n > 0 {
		if _, over := w.reports[Attempt{id, n}]; !over {
			return
		}
	}
	w.attempt[id]++
	s := start("j", id.Index, int64(rapid.SampledFrom([]int{2000, 4000, 7000}).Draw(t, "cpu")))
	s.Attempt = w.attempt[id]
	w.core.Submit(w.now, "g", w.now, []Start{s})
	w.collect()
}

func (w *world) startArrives(t *rapid.T) {
	p, ok := pick(t, "start", &w.starts)
	if !ok {
		return
	}
	a := Attempt{p.start.Task, p.start.Attempt}
	fate := rapid.SampledFrom([]string{"answered", "answered", "answer lost", "late", "lost"}).Draw(t, "fate")
	result := StartUnanswered
	switch fate {
	case "answered", "answer lost":
		accepted := w.target.start(p.start, p.deadline)
		if fate == "answered" {
			result = StartRefused
			if accepted {
				result = StartAccepted
			}
		}
	case "late":
		w.late = append(w.late, p)
	}
	w.core.StartAnswered(w.now, a, result)
	w.collect()
}

func (w *world) stopArrives(t *rapid.T) {
	a, ok := pick(t, "stop", &w.stops)
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

// look takes a list now; its answer may arrive after that of a later one.
func (w *world) look() {
	l := Snapshot{RequestedAt: w.now, Incarnation: smallTarget.Incarnation, Ended: slices.Clone(w.target.ends)}
	w.target.deadline = max(w.target.deadline, w.now+modelLease)
	for a := range w.target.running {
		l.Running = append(l.Running, a)
	}
	w.looks = append(w.looks, l)
}

func (w *world) lookAnswered(t *rapid.T) {
	l, ok := pick(t, "look", &w.looks)
	if !ok || rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
		return
	}
	w.core.ApplySnapshot(w.now, l)
	w.collect()
}

// Guards against every way in which lost, late and crossed calls could bring a
// target over its capacity, or run a task twice at a time.
func TestRandomCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{
			core: NewCore(DefaultCoreOptions()), now: 10 * time.Second, reports: map[Attempt]task.Outcome{}, attempt: map[task.ID]int{},
			target: &modelTarget{running: map[Attempt]Start{}, blocked: map[task.ID]int{}},
		}
		w.core.Heartbeat(w.now, smallTarget)
		w.advance(ms)
		t.Repeat(map[string]func(*rapid.T){
			"order":         w.order,
			"start arrives": w.startArrives,
			"stop arrives":  w.stopArrives,
			"look":          func(*rapid.T) { w.look() },
			"look answered": w.lookAnswered,
			"late start": func(t *rapid.T) {
				if p, ok := pick(t, "late", &w.late); ok {
					w.target.start(p.start, p.deadline)
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
				if len(w.target.breaches) > 0 {
					t.Fatal(w.target.breaches)
				}
			},
		})
	})
}
