package experiment

import (
	"math"
	"reflect"
	"testing"
	"time"
)

const ms = time.Millisecond

// Guards against errors in the reference schedule, which would make every
// reported slowdown wrong.
func TestReferencePlacesTasksByEarliestFinish(t *testing.T) {
	task := func(at time.Duration, work ...time.Duration) JobSpec {
		j := JobSpec{At: at}
		for _, w := range work {
			j.Tasks = append(j.Tasks, TaskSpec{Work: w})
		}
		return j
	}
	cases := []struct {
		name  string
		fleet Fleet
		jobs  []JobSpec
		want  []time.Duration
	}{
		{"waits for the fast target when that ends sooner", NewFleet(2, 1, 4),
			[]JobSpec{task(0, 100*ms), task(0, 100*ms), task(0, 100*ms), task(0, 100*ms)},
			[]time.Duration{100 * ms, 200 * ms, 300 * ms, 400 * ms}},
		{"uses the slow target when the wait is longer", NewFleet(2, 1, 2),
			[]JobSpec{task(0, 200*ms), task(10*ms, 100*ms)},
			[]time.Duration{200 * ms, 200 * ms}},
		{"places the long task of a job first", NewFleet(2, 1, 1),
			[]JobSpec{task(0, 100*ms, 100*ms, 200*ms)},
			[]time.Duration{200 * ms}},
		{"avoids a target that fails", NewFleet(2, 1, 1, Fault{Target: 0, Fails: true}),
			[]JobSpec{task(0, 100*ms), task(0, 100*ms)},
			[]time.Duration{100 * ms, 200 * ms}},
		{"avoids a target that will be lost", NewFleet(2, 1, 1, Fault{Target: 0, At: 50 * ms, Lost: true}),
			[]JobSpec{task(0, 100*ms), task(0, 100*ms)},
			[]time.Duration{100 * ms, 200 * ms}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := NewReference(c.fleet, c.jobs).Shared; !reflect.DeepEqual(got, c.want) {
				t.Fatalf("got %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against a generator that offers more or less work than Workload.Load
// asks for: cases would not be comparable.
func TestGeneratedWorkMatchesLoad(t *testing.T) {
	for _, c := range Cases(time.Minute) {
		t.Run(c.Name, func(t *testing.T) {
			sum := 0.0
			jobs := c.Load.Generate(c.Fleet.Capacity(), 1)
			for i, j := range jobs {
				if i > 0 && j.At < jobs[i-1].At {
					t.Fatal("jobs are not in order of arrival")
				}
				for _, task := range j.Tasks {
					sum += task.Work.Seconds()
				}
			}
			got := sum / (c.Load.Duration.Seconds() * c.Fleet.Capacity())
			// The number of jobs has a Poisson distribution, and job sizes vary. The
			// tolerance is three standard deviations plus 5% for the mean run time,
			// which the generator estimates from a sample.
			square := 0.0
			for _, j := range jobs {
				square += float64(len(j.Tasks)) * float64(len(j.Tasks))
			}
			deviation := math.Sqrt(square) / (float64(len(jobs)) * c.Load.meanSize())
			if math.Abs(got/c.Load.Load-1) > 0.05+3*deviation {
				t.Errorf("load %.3f, want %.3f", got, c.Load.Load)
			}
		})
	}
}

// Guards against jobs that end twice or not at all, which would make the figures
// wrong, and against results that differ for equal seeds, which would make runs
// incomparable.
func TestEachJobEndsOnceAndRunsAreDeterministic(t *testing.T) {
	for _, c := range Cases(4 * time.Second) {
		t.Run(c.Name, func(t *testing.T) {
			jobs := c.Load.Generate(c.Fleet.Capacity(), 1)
			ref := NewReference(c.Fleet, jobs)
			p := Policies()[0]
			first := c.Run(p, jobs, ref, 1)
			failed := 0
			for _, n := range first.Failures {
				failed += n
			}
			if first.Done+failed != first.Jobs {
				t.Errorf("%d done and %d failed of %d jobs", first.Done, failed, first.Jobs)
			}
			if second := c.Run(p, jobs, ref, 1); !reflect.DeepEqual(first, second) {
				t.Errorf("same seed, different results:\n%+v\n%+v", first, second)
			}
		})
	}
}
