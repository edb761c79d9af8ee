package fairshare

import (
	"testing"
	"time"
)

const (
	service  = "s"
	capacity = 90_000.0
	ms       = time.Millisecond
)

// rig calls an Admission on a manual clock, at a gateway with reports of all agents.
type rig struct {
	t         *testing.T
	admission *Admission
	now       time.Duration
	usage     Usage
}

func newRig(t *testing.T, s Settings) *rig {
	r := &rig{t: t, admission: NewAdmission(), now: time.Minute}
	r.admission.Set(s)
	r.usage = Usage{Capacity: capacity, Queues: map[string]float64{}, Agents: 10, Reported: 10}
	return r
}

var equal = Settings{Enabled: true, DefaultWeight: 1}

// oneTask is a job of one task of three cores that runs for 200 ms.
var oneTask = Job{Needs: 3000, Work: 600}

// arrive records jobs of a queue.
func (r *rig) arrive(queue string, jobs int, met bool) {
	for range jobs {
		r.admission.Observe(r.now, service, queue, oneTask, met)
	}
}

// rejects reports whether a job of a queue is rejected that finds no spare capacity.
func (r *rig) rejects(queue string) bool {
	_, rejected, _ := r.admission.Reject(r.now, service, queue, r.usage)
	return rejected
}

func (r *rig) want(rejected map[string]bool) {
	r.t.Helper()
	for queue, want := range rejected {
		if got := r.rejects(queue); got != want {
			r.t.Errorf("a job of %s is rejected: %v, want %v; shares %+v", queue, got, want, r.admission.Shares(r.now, service, r.usage))
		}
	}
}

// burst is the state in which queue a has taken capacity from b and c, whose jobs are
// rejected or wait.
func burst(t *testing.T, s Settings) *rig {
	r := newRig(t, s)
	r.usage.Queues = map[string]float64{"a": 50_000, "b": 20_000, "c": 20_000}
	r.arrive("a", 50, true)
	r.arrive("a", 20, false)
	for _, queue := range []string{"b", "c"} {
		r.arrive(queue, 20, true)
		r.arrive(queue, 10, false)
	}
	return r
}

// A burst of one queue exceeds the capacity beside two steady ones. Guards against jobs
// of the steady queues that are rejected for it, and against a burst that is not limited.
func TestBurstIsPaidByItsQueue(t *testing.T) {
	r := burst(t, equal)
	r.want(map[string]bool{"a": true, "b": false, "c": false})
}

// One queue alone is offered three times the capacity. Guards against a limit of a queue
// from which no other one takes anything.
func TestQueueAloneUsesAllCapacity(t *testing.T) {
	r := newRig(t, equal)
	r.usage.Queues["a"] = 1.2 * capacity
	r.arrive("a", 50, true)
	r.arrive("a", 100, false)
	r.want(map[string]bool{"a": false})
}

// Two queues use little and have all they want while a third one is offered more than the
// capacity. Guards against capacity that is kept for queues that do not want it.
func TestUnusedShareIsLent(t *testing.T) {
	r := newRig(t, equal)
	r.usage.Queues = map[string]float64{"a": 80_000, "b": 5_000, "c": 5_000}
	r.arrive("a", 80, true)
	r.arrive("a", 30, false)
	r.arrive("b", 5, true)
	r.arrive("c", 5, true)
	r.want(map[string]bool{"a": false, "b": false, "c": false})
	// It is lent again when the second in which a queue has wanted it is over.
	r.arrive("b", 5, false)
	r.want(map[string]bool{"a": true})
	r.now += demandWindow
	r.arrive("b", 5, true)
	r.want(map[string]bool{"a": false})
}

// Guards against weights without effect, and against ones that are not read anew.
func TestWeightsDecideWhoIsAboveItsShare(t *testing.T) {
	r := burst(t, Settings{Enabled: true, DefaultWeight: 1, Weights: map[string]float64{"a": 8}})
	r.want(map[string]bool{"a": false})
	r.admission.Set(Settings{Enabled: true, DefaultWeight: 1, Weights: map[string]float64{"a": 2}})
	r.want(map[string]bool{"a": true, "b": false})
	r.admission.Set(Settings{DefaultWeight: 1})
	r.want(map[string]bool{"a": false})
}

// A queue has small jobs and one that needs a third of the service. Guards against
// decisions by the size of a job: the large one would be rejected more often.
func TestLargeJobsAreNotRejectedMoreOftenThanSmallOnes(t *testing.T) {
	large := Job{Needs: 30_000, Work: 30_000}
	for _, use := range []float64{20_000, 50_000} {
		r := burst(t, equal)
		r.usage.Queues["a"] = use
		small := r.rejects("a")
		r.admission.Observe(r.now, service, "a", large, !small)
		if got := r.rejects("a"); got != small {
			t.Errorf("with a use of %g, the queue is limited: %v before its large job and %v after it", use, small, got)
		}
	}
}

// The gateway is linked to a third of the agents. Guards against decisions that need the
// whole fleet: the parts that it sees are in the same proportion.
func TestGatewayThatSeesAPartOfTheAgentsDecidesByIt(t *testing.T) {
	r := burst(t, equal)
	r.usage.Capacity /= 3
	for queue := range r.usage.Queues {
		r.usage.Queues[queue] /= 3
	}
	r.want(map[string]bool{"a": true, "b": false, "c": false})
}

// A gateway has just started, or its agents are of an earlier release. Guards against
// rejections by what a few agents have reported.
func TestNothingIsRejectedBeforeHalfOfTheAgentsHaveReported(t *testing.T) {
	r := burst(t, equal)
	for reported, want := range map[int]bool{0: false, 4: false, 5: true} {
		r.usage.Reported = reported
		r.want(map[string]bool{"a": want})
	}
	r.usage.Agents, r.usage.Reported = 0, 0
	r.want(map[string]bool{"a": false})
}

// The reports do not change any more, and no job arrives. Guards against rejections by
// demand of long ago.
func TestDemandExpires(t *testing.T) {
	r := burst(t, equal)
	for range windowSlots {
		r.want(map[string]bool{"a": true})
		r.now += slotLength
	}
	r.want(map[string]bool{"a": false})
}

// Guards against capacity that is kept for a queue that has disappeared with its last
// jobs, and against records of it that stay.
func TestQueueThatDisappearsIsForgotten(t *testing.T) {
	r := burst(t, equal)
	r.want(map[string]bool{"a": true})
	usage := func(string) Usage { return r.usage }
	for _, queue := range []string{"b", "c"} {
		delete(r.usage.Queues, queue)
	}
	r.now += demandWindow + ms
	if ended := r.admission.Expire(r.now, usage); len(ended) != 1 || ended[0].Queue != "a" || ended[0].Limited {
		t.Errorf("limits that ended: %+v, want that of a", ended)
	}
	if len(r.admission.queues) != 0 {
		t.Errorf("%d queues are remembered", len(r.admission.queues))
	}
	if shares := r.admission.Shares(r.now, service, r.usage); len(shares) != 1 || shares[0].Queue != "a" {
		t.Errorf("shares %+v, want one of a", shares)
	}
}

// Guards against an event for each rejected job, and against limits that seem to last
// after the last rejection.
func TestEachLimitStartsAndEndsOnce(t *testing.T) {
	r := burst(t, equal)
	starts := 0
	for range 20 {
		share, rejected, change := r.admission.Reject(r.now, service, "a", r.usage)
		if !rejected || share.Use != 50_000 || share.Share >= share.Use || share.Demand <= share.Use {
			t.Fatalf("share %+v of a rejected job, rejected: %v", share, rejected)
		}
		if change != nil {
			starts++
		}
		r.now += 10 * ms
	}
	if starts != 1 {
		t.Errorf("the limit starts %d times", starts)
	}
	usage := func(string) Usage { return r.usage }
	if ended := r.admission.Expire(r.now, usage); len(ended) != 0 {
		t.Errorf("limits that end at once: %+v", ended)
	}
	r.now += demandWindow
	if ended := r.admission.Expire(r.now, usage); len(ended) != 1 {
		t.Errorf("limits that have ended: %+v, want one", ended)
	}
}

// Guards against callers that return together, too early, or at a time that the header
// cannot hold.
func TestRetryAfter(t *testing.T) {
	for _, c := range []struct {
		name        string
		use, share  float64
		work        float64 // of a job that needs 3000
		first, last time.Duration
	}{
		{"short tasks", 50_000, 30_000, 180, time.Second, 2 * time.Second},
		{"tasks of 20 s, of which a quarter has to end", 40_000, 30_000, 60_000, 5 * time.Second, 10 * time.Second},
		{"tasks of 14 s, of which a fifth has to end", 50_000, 40_000, 42_000, 3 * time.Second, 5 * time.Second},
	} {
		r := newRig(t, equal)
		r.admission.Observe(r.now, service, "a", Job{Needs: 3000, Work: c.work}, true)
		share := Share{Queue: "a", Use: c.use, Share: c.share}
		first := r.admission.RetryAfter(r.now, service, share, 0)
		last := r.admission.RetryAfter(r.now, service, share, 0.999)
		if first != c.first || last != c.last {
			t.Errorf("%s: %v to %v, want %v to %v", c.name, first, last, c.first, c.last)
		}
	}
}
