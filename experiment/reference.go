package experiment

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Reference holds the response times of a schedule that is computed with full
// knowledge of the run.
//
// It is a list schedule by earliest finish time: jobs are placed in order of
// arrival, the tasks of a job longest first, and each task on the slot on which
// it finishes first. Run times, speeds and faults are known in advance, there
// is one scheduler, and messages take no time. Tasks are neither preempted nor
// moved. The schedule is greedy and not proven optimal: since it serves jobs in
// order of arrival, a policy that serves short jobs first can do better for
// some jobs (a slowdown below 1).
type Reference struct {
	// Shared is the response time of each job when the fleet serves all jobs.
	Shared []time.Duration
	// Idle is the response time of each job when it has the fleet to itself.
	Idle []time.Duration
}

// NewReference computes the reference schedule of the jobs on the fleet.
func NewReference(fleet Fleet, jobs []JobSpec) Reference {
	r := Reference{Shared: make([]time.Duration, len(jobs)), Idle: make([]time.Duration, len(jobs))}
	shared := newSlotSchedule(fleet)
	for i, j := range jobs {
		r.Shared[i] = shared.placeJob(j)
		r.Idle[i] = newSlotSchedule(fleet).placeJob(j)
	}
	return r
}

// slotSchedule holds the time at which each slot of the fleet becomes free, by
// target and slot.
type slotSchedule struct {
	fleet  Fleet
	freeAt [][]time.Duration
}

func newSlotSchedule(f Fleet) *slotSchedule {
	s := &slotSchedule{fleet: f, freeAt: make([][]time.Duration, len(f))}
	for i, t := range f {
		s.freeAt[i] = make([]time.Duration, t.Slots)
	}
	return s
}

// placeJob schedules the tasks of a job and returns its response time.
func (s *slotSchedule) placeJob(j JobSpec) time.Duration {
	tasks := slices.Clone(j.Tasks)
	slices.SortFunc(tasks, func(a, b TaskSpec) int { return cmp.Compare(b.Work, a.Work) })
	end := j.At
	for _, t := range tasks {
		end = max(end, s.placeTask(j.At, t.Work))
	}
	return end - j.At
}

func (s *slotSchedule) placeTask(at, work time.Duration) time.Duration {
	bestEnd := time.Duration(math.MaxInt64)
	bestTarget, bestSlot := -1, -1
	for i, t := range s.fleet {
		slot := 0
		for candidate, free := range s.freeAt[i] {
			if free < s.freeAt[i][slot] {
				slot = candidate
			}
		}
		start := max(at, s.freeAt[i][slot])
		run, fails := t.runTime(start, work)
		if end := start + run; end < bestEnd && !fails && !t.lostAt(end) {
			bestEnd, bestTarget, bestSlot = end, i, slot
		}
	}
	if bestTarget >= 0 {
		s.freeAt[bestTarget][bestSlot] = bestEnd
	}
	return bestEnd
}
