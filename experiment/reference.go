package experiment

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Reference holds the response times that an omniscient dispatcher reaches.
//
// The schedule is list scheduling by earliest finish: the jobs in order of
// arrival, the tasks of a job longest first, and each task on the slot of any
// target on which it ends first. The run times, the speeds and the faults are
// known in advance, there is one scheduler, and messages take no time. A task
// is not preempted and a placed task is not moved. This is greedy and not a
// proven optimum: it serves jobs in order of arrival, so that a policy that
// serves short jobs first can be better for some jobs (a slowdown below 1).
type Reference struct {
	// Shared is the response time of each job in the schedule of all jobs.
	Shared []time.Duration
	// Idle is the response time of each job alone on an idle fleet.
	Idle []time.Duration
}

// NewReference schedules the jobs on the fleet.
func NewReference(fleet Fleet, jobs []JobSpec) Reference {
	r := Reference{Shared: make([]time.Duration, len(jobs)), Idle: make([]time.Duration, len(jobs))}
	shared := newTimetable(fleet)
	for i, j := range jobs {
		r.Shared[i] = shared.place(j)
		r.Idle[i] = newTimetable(fleet).place(j)
	}
	return r
}

// timetable holds the times at which the slots of the fleet become free.
type timetable struct {
	fleet Fleet
	free  [][]time.Duration
}

func newTimetable(f Fleet) *timetable {
	t := &timetable{fleet: f, free: make([][]time.Duration, len(f))}
	for i, n := range f {
		t.free[i] = make([]time.Duration, n.Slots)
	}
	return t
}

// place adds the job and returns its response time.
func (t *timetable) place(j JobSpec) time.Duration {
	tasks := slices.Clone(j.Tasks)
	slices.SortFunc(tasks, func(a, b TaskSpec) int { return cmp.Compare(b.Work, a.Work) })
	last := j.At
	for _, k := range tasks {
		last = max(last, t.placeTask(j.At, k.Work))
	}
	return last - j.At
}

func (t *timetable) placeTask(at, work time.Duration) time.Duration {
	bestEnd := time.Duration(math.MaxInt64)
	bestNode, bestSlot := -1, -1
	for i, n := range t.fleet {
		slot := 0
		for s, free := range t.free[i] {
			if free < t.free[i][slot] {
				slot = s
			}
		}
		start := max(at, t.free[i][slot])
		run, fails := n.runTime(start, work)
		if end := start + run; end < bestEnd && !fails && !n.lostAt(end) {
			bestEnd, bestNode, bestSlot = end, i, slot
		}
	}
	if bestNode >= 0 {
		t.free[bestNode][bestSlot] = bestEnd
	}
	return bestEnd
}
