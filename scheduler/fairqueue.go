package scheduler

import (
	"cmp"
	"slices"
)

// fairQueue holds the waiting tasks of one service. Clients share it by
// start-time fair queueing (Goyal, Vin and Cheng 1996) with the expected work
// of a task as its cost. Within a client, jobs are ordered by arrival plus
// expected makespan, which bounds the slowdown of small jobs behind large ones
// and starves none, since later jobs rank later.
type fairQueue struct {
	flows  map[*client]*flow
	active []*flow
	vtime  float64
	queued int
	work   float64
}

// flow is the queue of one client in one service.
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
	return &fairQueue{flows: map[*client]*flow{}}
}

func (q *fairQueue) flowOf(c *client) *flow {
	f := q.flows[c]
	if f == nil {
		f = &flow{client: c}
		q.flows[c] = f
	}
	return f
}

// add queues the tasks of j that wait.
func (q *fairQueue) add(j *job) {
	f := j.flow
	if f.queued == 0 && len(f.jobs) == 0 {
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
			q.vtime = max(q.vtime, f.tag)
			f.tag += cost
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

func (f *flow) visitJob(at int) {
	f.walkJob = at
	if at < len(f.jobs) {
		f.jobs[at].walkAt, f.jobs[at].walkKept = 0, 0
	}
}

// next returns the flow to serve next in a walk.
func (q *fairQueue) next() *flow {
	var best *flow
	for _, f := range q.active {
		if f.walkJob >= len(f.jobs) || (f.client.maxRunning > 0 && f.walkRun >= f.client.maxRunning) {
			continue
		}
		if best == nil || f.walkTag < best.walkTag {
			best = f
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
