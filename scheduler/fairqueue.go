package scheduler

import (
	"cmp"
	"math"
	"slices"
)

// fairQueue holds the waiting tasks of one service. Jobs are ordered by rank,
// which is arrival plus expected makespan, several makespans for large jobs:
// this bounds the slowdown of small
// jobs behind large ones and starves none, since later jobs rank later.
// Clients that were served more than their share while others waited rank later
// by their lead. The lead is kept by tags as in start-time fair queueing (Goyal,
// Vin and Cheng 1996) with the expected work of a task as its cost, and a lead of
// up to leadAllowance counts for nothing, so that a short queue is served in the
// order of ranks.
type fairQueue struct {
	flows  map[flowKey]*flow
	active []*flow
	// vtime is the least tag of the active flows, or the greatest tag reached
	// when none is active; scale is the time in seconds for a tag of 1.
	vtime, maxTag, scale float64
	// rate is the work per second that the service can do.
	rate float64

	queued int
	work   float64
}

// leadAllowance is the service time in seconds by which a client may be ahead
// of its share before its jobs rank later.
const leadAllowance = 2.0

// flowKey names a flow. The large jobs of a client are a flow of their own, so
// that they do not use up the share of its small ones.
type flowKey struct {
	client *client
	large  bool
}

// flow is the queue of one client's small or large jobs in one service.
type flow struct {
	client *client
	tag    float64
	jobs   []*job
	queued int
	work   float64

	// State of a walk.
	walkTag float64
	walkJob int
	walkRun int
}

func newFairQueue() *fairQueue {
	return &fairQueue{flows: map[flowKey]*flow{}}
}

func (q *fairQueue) flowOf(c *client, large bool) *flow {
	key := flowKey{c, large}
	f := q.flows[key]
	if f == nil {
		f = &flow{client: c}
		q.flows[key] = f
	}
	return f
}

// add queues the tasks of j that wait.
func (q *fairQueue) add(j *job) {
	f := j.flow
	if f.queued == 0 && len(f.jobs) == 0 {
		if len(q.active) == 0 {
			q.vtime = q.maxTag
		}
		f.tag = max(f.tag, q.vtime)
		q.active = append(q.active, f)
	}
	at, _ := slices.BinarySearchFunc(f.jobs, j, compareJobs)
	f.jobs = slices.Insert(f.jobs, at, j)
	for _, i := range j.wait {
		q.count(j, int(i), 1)
	}
}

func compareJobs(a, b *job) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.handle, b.handle))
}

func (q *fairQueue) count(j *job, index, n int) {
	w := float64(n) * j.tasks[index].work
	q.queued += n
	q.work += w
	j.flow.queued += n
	j.flow.work += w
	j.waiting += w
	j.client.queued += n
}

// putBack queues a task that came back unstarted, before the job's others.
func (q *fairQueue) putBack(j *job, index int) {
	if len(j.wait) == 0 {
		j.wait = append(j.wait, int32(index))
		q.add(j)
		return
	}
	j.wait = slices.Insert(j.wait, 0, int32(index))
	q.count(j, index, 1)
}

// drop forgets the waiting tasks of j.
func (q *fairQueue) drop(j *job) {
	if len(j.wait) == 0 {
		return
	}
	for _, i := range j.wait {
		q.count(j, int(i), -1)
	}
	j.wait = nil
	q.unlist(j)
}

func (q *fairQueue) unlist(j *job) {
	f := j.flow
	if at := slices.Index(f.jobs, j); at >= 0 {
		f.jobs = slices.Delete(f.jobs, at, at+1)
	}
	if len(f.jobs) == 0 {
		if at := slices.Index(q.active, f); at >= 0 {
			q.active = slices.Delete(q.active, at, at+1)
		}
	}
}

// walk visits the waiting tasks in the order in which they would be served,
// until limit tasks were seen or visit returns stop. A task for which visit
// returns take leaves the queue.
func (q *fairQueue) walk(limit int, visit func(j *job, index int) (take, stop bool)) {
	q.advance()
	for _, f := range q.active {
		f.walkTag, f.walkRun = f.tag, f.client.running
		f.visitJob(0)
	}
	for stop := false; limit > 0 && !stop; limit-- {
		f := q.next()
		if f == nil {
			break
		}
		j := f.jobs[f.walkJob]
		index := int(j.wait[j.walkAt])
		var take bool
		take, stop = visit(j, index)
		cost := j.tasks[index].work / f.client.share
		f.walkTag += cost
		f.walkRun++
		j.walkAt++
		if take {
			f.tag += cost
			q.maxTag = max(q.maxTag, f.tag)
			q.count(j, index, -1)
		} else {
			j.wait[j.walkKept] = int32(index)
			j.walkKept++
		}
		if j.walkAt == len(j.wait) {
			f.visitJob(f.walkJob + 1)
		}
	}
	q.compact()
}

// advance moves vtime to the least tag of the active flows.
func (q *fairQueue) advance() {
	least, shares := math.Inf(1), 0.0
	for _, f := range q.active {
		least = min(least, f.tag)
		shares += f.client.share
	}
	q.vtime = max(q.vtime, least)
	if q.rate > 0 {
		q.scale = shares / q.rate
	}
}

func (f *flow) visitJob(at int) {
	f.walkJob = at
	if at < len(f.jobs) {
		f.jobs[at].walkAt, f.jobs[at].walkKept = 0, 0
	}
}

// next returns the flow to serve next in a walk.
func (q *fairQueue) next() *flow {
	var best *flow
	first := math.Inf(1)
	for _, f := range q.active {
		if f.walkJob >= len(f.jobs) || (f.client.maxRunning > 0 && f.walkRun >= f.client.maxRunning) {
			continue
		}
		lead := max(0, (f.walkTag-q.vtime)*q.scale-leadAllowance)
		if key := f.jobs[f.walkJob].rank + lead; key < first {
			best, first = f, key
		}
	}
	return best
}

// compact removes the tasks taken in a walk, and the jobs and flows that have
// none left.
func (q *fairQueue) compact() {
	for a := 0; a < len(q.active); {
		f := q.active[a]
		visited := min(f.walkJob+1, len(f.jobs))
		empty := 0
		for _, j := range f.jobs[:visited] {
			if taken := j.walkAt - j.walkKept; taken > 0 {
				copy(j.wait[taken:], j.wait[:j.walkKept])
				j.wait = j.wait[taken:]
			}
			if len(j.wait) == 0 {
				empty++
			}
		}
		if empty > 0 {
			f.jobs = slices.DeleteFunc(f.jobs, func(j *job) bool { return len(j.wait) == 0 })
		}
		if len(f.jobs) == 0 {
			q.active = slices.Delete(q.active, a, a+1)
			continue
		}
		a++
	}
}

// hasBatch reports whether a job at the head of a flow is sent in batches.
func (q *fairQueue) hasBatch(e *engine) bool {
	for _, f := range q.active {
		if f.jobs[0].batch(e) {
			return true
		}
	}
	return false
}
