// Package baseline implements simple load-balancing policies from the literature
// with which the policy of package scheduler is compared in experiments. They are
// not meant for production.
//
// Each of them sends a task as soon as it is admitted and a target is connected.
// They have no admission control and learn no estimates.
package baseline

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/model"
	"github.com/rhubarbsail/rhubarbsail/scheduler"
)

// chooser returns one of the suitable targets. There is at least one.
type chooser func(b *policy, suitable []*target) *target

type target struct {
	scheduler.Target
	outstanding int
	// foreign is the number of tasks of other gateways at the last report.
	foreign int
	leaving bool
}

type job struct {
	scheduler.Job
	queued []int
	sent   map[int]*target
}

type policy struct {
	reason     string
	choose     chooser
	rng        *rand.Rand
	turn       int
	targets    map[scheduler.TargetID]*target
	targetList []*target
	jobs       map[scheduler.JobHandle]*job
	waiting    []*job
}

func newPolicy(reason string, seed uint64, c chooser) scheduler.Policy {
	return &policy{
		reason: reason, choose: c, rng: rand.New(rand.NewPCG(seed, 1)),
		targets: map[scheduler.TargetID]*target{}, jobs: map[scheduler.JobHandle]*job{},
	}
}

// NewRandom returns a policy that picks a target uniformly at random.
func NewRandom(seed uint64) scheduler.Policy {
	return newPolicy("random", seed, func(b *policy, s []*target) *target { return s[b.rng.IntN(len(s))] })
}

// NewRoundRobin returns a policy that takes the targets in turn.
func NewRoundRobin(seed uint64) scheduler.Policy {
	return newPolicy("round robin", seed, func(b *policy, s []*target) *target {
		b.turn++
		return s[b.turn%len(s)]
	})
}

// NewLeastOutstanding returns a policy that picks the target with the fewest
// outstanding tasks per slot, starting the search at a random target so that ties
// are broken at random.
func NewLeastOutstanding(seed uint64) scheduler.Policy {
	return newPolicy("least outstanding", seed, func(b *policy, s []*target) *target {
		first := b.rng.IntN(len(s))
		best := s[first]
		for i := range s {
			if t := s[(first+i)%len(s)]; t.load() < best.load() {
				best = t
			}
		}
		return best
	})
}

// NewTwoChoices returns a policy that picks the less loaded of two random targets,
// the power of two choices (Mitzenmacher 2001).
func NewTwoChoices(seed uint64) scheduler.Policy {
	return newPolicy("two random choices", seed, func(b *policy, s []*target) *target {
		x, y := s[b.rng.IntN(len(s))], s[b.rng.IntN(len(s))]
		if y.load() < x.load() {
			return y
		}
		return x
	})
}

// load returns the outstanding tasks per slot, of this and of other gateways.
func (t *target) load() float64 {
	return float64(t.outstanding+t.foreign) / float64(max(1, t.Slots))
}

func (b *policy) SetTargets(_ time.Time, list []scheduler.Target) {
	old := b.targets
	b.targets, b.targetList = map[scheduler.TargetID]*target{}, nil
	for _, in := range list {
		t := &target{Target: in}
		if o := old[in.ID]; o != nil {
			t = o
			t.Target = in
		}
		b.targets[in.ID] = t
		b.targetList = append(b.targetList, t)
	}
}

func (b *policy) SetLimits(time.Time, []scheduler.ClientLimit) {}

func (b *policy) Admit(_ time.Time, in scheduler.Job, skip func(int) bool) scheduler.Admission {
	if !slices.ContainsFunc(b.targetList, func(t *target) bool { return t.canRun(&in) }) {
		return scheduler.Admission{Reason: model.ReasonNoSuitable}
	}
	j := &job{Job: in, sent: map[int]*target{}}
	for i := range in.Tasks {
		if skip == nil || !skip(i) {
			j.queued = append(j.queued, i)
		}
	}
	b.jobs[in.Handle] = j
	b.waiting = append(b.waiting, j)
	return scheduler.Admission{Admitted: true}
}

// canRun reports whether the target belongs to the job's service and is allowed.
func (t *target) canRun(j *scheduler.Job) bool {
	return t.Service == j.Service && (j.Allowed == nil || j.Allowed(t.ID))
}

func (b *policy) Remove(_ time.Time, h scheduler.JobHandle) {
	j := b.jobs[h]
	if j == nil {
		return
	}
	j.queued = nil
	if len(j.sent) == 0 {
		delete(b.jobs, h)
	}
}

func (b *policy) Report(_ time.Time, l scheduler.Load) {
	if t := b.targets[l.Target]; t != nil {
		t.foreign = max(0, l.Running+l.Queued-t.outstanding)
		t.leaving = l.Leaving || !l.Accepting
	}
}

func (b *policy) Finish(_ time.Time, o scheduler.Outcome) {
	j := b.jobs[o.Task.Job]
	if j == nil || o.Kind == scheduler.OutcomeStarted {
		return
	}
	t := j.sent[o.Task.Index]
	if t == nil {
		return
	}
	t.outstanding--
	delete(j.sent, o.Task.Index)
	if o.Kind == scheduler.OutcomeNotStarted {
		if len(j.queued) == 0 {
			b.waiting = append(b.waiting, j)
		}
		j.queued = append(j.queued, o.Task.Index)
	}
}

func (b *policy) Decide(now time.Time) scheduler.Decisions {
	var out scheduler.Decisions
	var left []*job
	for _, j := range b.waiting {
		var suitable []*target
		for _, t := range b.targetList {
			if t.Connected && !t.Draining && !t.leaving && t.canRun(&j.Job) {
				suitable = append(suitable, t)
			}
		}
		if len(suitable) == 0 {
			left = append(left, j)
			out.Wake = now.Add(10 * time.Millisecond)
			continue
		}
		for _, i := range j.queued {
			t := b.choose(b, suitable)
			t.outstanding++
			j.sent[i] = t
			out.Assign = append(out.Assign, scheduler.Assignment{
				Task:   scheduler.TaskRef{Job: j.Handle, Index: i},
				Target: t.ID, Report: scheduler.ReportEach, Reason: b.reason,
			})
		}
		j.queued = nil
	}
	b.waiting = left
	slices.SortStableFunc(out.Assign, func(x, y scheduler.Assignment) int {
		return strings.Compare(string(x.Target), string(y.Target))
	})
	return out
}

func (b *policy) Status(time.Time) []scheduler.TargetStatus {
	var list []scheduler.TargetStatus
	for _, t := range b.targetList {
		list = append(list, scheduler.TargetStatus{ID: t.ID, Slots: t.Slots, Outstanding: t.outstanding, Speed: 1})
	}
	return list
}

func (b *policy) Queued() int {
	n := 0
	for _, j := range b.waiting {
		n += len(j.queued)
	}
	return n
}
