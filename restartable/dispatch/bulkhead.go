package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/rendezvous"
)

const (
	// confineJobs is the decayed number of jobs of a queue that have crashed their
	// targets from which the queue is confined: that of one job just found. Below
	// releaseJobs it is released.
	confineJobs = 0.9
	releaseJobs = 0.5
	// crashingJobHalfLife is the half-life of that number.
	crashingJobHalfLife = 5 * time.Second
	// workHalfLife is the half-life of the work that is counted for each queue.
	workHalfLife = 30 * time.Second
	// confinedShareSteps divides the share of the targets to which a queue is confined
	// into steps, so that gateways with slightly different figures agree.
	confinedShareSteps = 8
	// maxConfinedShare is the highest such share: enough has to be left to the other
	// queues.
	maxConfinedShare = 0.5
	// confinedPenalty is the cost of a target to which another queue is confined: tasks
	// there may be lost in a crash.
	confinedPenalty = 0.5
)

// queueKey identifies a queue among those that a service runs.
type queueKey struct{ service, queue string }

// bulkhead is what is known of one queue.
type bulkhead struct {
	queueKey
	// crashingJobs is the decaying number of jobs that have crashed their targets, work
	// the decaying sum of the work of all jobs, in cores times seconds.
	crashingJobs, work decayingSum
	confined           bool
}

// bulkheads keep queues whose jobs crash their targets from taking all of them down:
// such a queue is confined to a part of the targets. Gateways that see the same crashes
// and the same agents choose the same part.
type bulkheads struct {
	queues    map[queueKey]*bulkhead
	updatedAt time.Duration
}

func newBulkheads() bulkheads { return bulkheads{queues: map[queueKey]*bulkhead{}} }

// decayingSum is a sum whose summands lose half of their weight in each half-life.
type decayingSum struct {
	sum float64
	at  time.Duration
}

func (d *decayingSum) value(now, halfLife time.Duration) float64 {
	return d.sum * math.Exp2(-(now-d.at).Seconds()/halfLife.Seconds())
}

func (d *decayingSum) add(now, halfLife time.Duration, v float64) {
	d.sum, d.at = d.value(now, halfLife)+v, now
}

func (b *bulkheads) of(k queueKey) *bulkhead {
	q := b.queues[k]
	if q == nil {
		q = &bulkhead{queueKey: k}
		b.queues[k] = q
	}
	return q
}

// jobArrived counts the work of a job.
func (b *bulkheads) jobArrived(now time.Duration, j *job) {
	var work float64
	for i, s := range j.Steps {
		work += float64(s.Tasks) * float64(s.Needs.CPUMillis) / 1000 * j.expected[i].Seconds()
	}
	b.of(queueKey{j.Queue.Service, j.Queue.Name}).work.add(now, workHalfLife, work)
}

// jobCrashes counts a job that has crashed its targets.
func (b *bulkheads) jobCrashes(at time.Duration, k queueKey) {
	b.of(k).crashingJobs.add(at, crashingJobHalfLife, 1)
}

// sorted returns the queues in a deterministic order.
func (b *bulkheads) sorted() []*bulkhead {
	all := make([]*bulkhead, 0, len(b.queues))
	for _, q := range b.queues {
		all = append(all, q)
	}
	slices.SortFunc(all, func(x, y *bulkhead) int {
		return cmp.Or(cmp.Compare(x.service, y.service), cmp.Compare(x.queue, y.queue))
	})
	return all
}

// isConfined reports whether a queue is confined.
func (b *bulkheads) isConfined(service, queue string) bool {
	q := b.queues[queueKey{service, queue}]
	return q != nil && q.confined
}

// countConfined returns the number of confined queues.
func (b *bulkheads) countConfined() int {
	n := 0
	for _, q := range b.queues {
		if q.confined {
			n++
		}
	}
	return n
}

// share returns the share of the targets to which a queue is confined: about its share
// of the work of its service.
func (b *bulkheads) share(now time.Duration, q *bulkhead) float64 {
	var all float64
	for _, other := range b.queues {
		if other.service == q.service {
			all += other.work.value(now, workHalfLife)
		}
	}
	if all == 0 {
		return maxConfinedShare
	}
	share := q.work.value(now, workHalfLife) / all
	return min(math.Ceil(share*confinedShareSteps)/confinedShareSteps, maxConfinedShare)
}

// updateBulkheads decides which queues are confined, and to which targets.
func (c *Core) updateBulkheads(now time.Duration) {
	b := &c.bulkheads
	b.updatedAt = now
	for _, a := range c.agents {
		a.reservedFor = ""
	}
	for _, q := range b.sorted() {
		jobs := q.crashingJobs.value(now, crashingJobHalfLife)
		confine := jobs >= confineJobs || q.confined && jobs >= releaseJobs
		targets := 0
		if confine {
			targets = c.reserveTargets(q.queueKey, b.share(now, q))
		}
		if confine != q.confined {
			q.confined = confine
			c.out.ConfinementChanges = append(c.out.ConfinementChanges, ConfinementChange{q.service, q.queue, confine, jobs, targets})
		}
	}
}

// reserveTargets reserves a share of a service's targets for a queue, at least one: of
// those that are not reserved yet the ones that rank first for it. It returns their
// number.
func (c *Core) reserveTargets(k queueKey, share float64) int {
	var free []*agent
	all := 0
	for _, a := range c.agents {
		if a.target.Service != k.service {
			continue
		}
		all++
		if a.reservedFor == "" {
			free = append(free, a)
		}
	}
	slices.SortFunc(free, func(x, y *agent) int {
		return cmp.Compare(rendezvous.Weight(k.queue, y.Name), rendezvous.Weight(k.queue, x.Name))
	})
	n := min(max(int(math.Round(share*float64(all))), 1), len(free))
	for _, a := range free[:n] {
		a.reservedFor = k.queue
	}
	return n
}
