package scheduler

import (
	"cmp"
	"math"
	"slices"
)

// fairQueue holds the queued tasks of one service. Jobs are served in the order
// of rank: arrival plus expected makespan, several makespans for large jobs. This
// bounds the slowdown of small jobs behind large ones and starves no job, since
// later jobs rank later.
//
// A client that has been served more than its share while others waited ranks
// later by its lead. The lead is the difference between its tag and the virtual
// time, as in start-time fair queueing (Goyal, Vin and Cheng 1996), with the
// expected work of a task as its cost. A lead of up to leadAllowance is ignored,
// so that a short queue is served in the order of ranks.
type fairQueue struct {
	flows  map[flowKey]*flow
	active []*flow
	// virtualTime is the least tag of the active flows, or the greatest tag reached
	// when none is active. secondsPerTag converts a difference of tags to seconds
	// of service time.
	virtualTime, maxTag, secondsPerTag float64
	// capacity is the predicted work per second that the service can do.
	capacity float64

	queued     int
	queuedWork float64
}

// leadAllowance is the service time in seconds by which a client may exceed its
// share before its jobs rank later.
const leadAllowance = 2.0

// flowKey identifies a flow. The large jobs of a client have a flow of their own,
// so that they do not use up the share of its small ones.
type flowKey struct {
	client *client
	large  bool
}

// flow is the queue of one client's small or large jobs in one service.
type flow struct {
	client     *client
	tag        float64
	jobs       []*job
	queued     int
	queuedWork float64

	// State of walk: the tag and the number of running tasks of the client as if
	// all visited tasks had been taken, and the position in jobs.
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

// add queues j with the tasks that it has to send.
func (q *fairQueue) add(j *job) {
	f := j.flow
	if f.queued == 0 && len(f.jobs) == 0 {
		if len(q.active) == 0 {
			q.virtualTime = q.maxTag
		}
		f.tag = max(f.tag, q.virtualTime)
		q.active = append(q.active, f)
	}
	at, _ := slices.BinarySearchFunc(f.jobs, j, compareJobs)
	f.jobs = slices.Insert(f.jobs, at, j)
	for _, i := range j.queuedTasks {
		q.adjustCounts(j, int(i), 1)
	}
}

func compareJobs(a, b *job) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.handle, b.handle))
}

// adjustCounts adds n times the given task to the task counts and sums of work.
func (q *fairQueue) adjustCounts(j *job, index, n int) {
	w := float64(n) * j.tasks[index].work
	q.queued += n
	q.queuedWork += w
	j.flow.queued += n
	j.flow.queuedWork += w
	j.queuedWork += w
	j.client.queued += n
}

// requeue queues a task that came back unstarted, ahead of the job's other tasks.
func (q *fairQueue) requeue(j *job, index int) {
	if len(j.queuedTasks) == 0 {
		j.queuedTasks = append(j.queuedTasks, int32(index))
		q.add(j)
		return
	}
	j.queuedTasks = slices.Insert(j.queuedTasks, 0, int32(index))
	q.adjustCounts(j, index, 1)
}

// drop removes j with all its queued tasks.
func (q *fairQueue) drop(j *job) {
	if len(j.queuedTasks) == 0 {
		return
	}
	for _, i := range j.queuedTasks {
		q.adjustCounts(j, int(i), -1)
	}
	j.queuedTasks = nil
	q.removeJob(j)
}

// removeJob removes j from its flow, and the flow from active when it is empty.
func (q *fairQueue) removeJob(j *job) {
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

// walk visits queued tasks in the order in which they would be served, until
// limit tasks were visited or visit returns stop. A task for which visit returns
// take leaves the queue.
func (q *fairQueue) walk(limit int, visit func(j *job, index int) (take, stop bool)) {
	q.updateVirtualTime()
	for _, f := range q.active {
		f.walkTag, f.walkRun = f.tag, f.client.running
		f.walkTo(0)
	}
	for stop := false; limit > 0 && !stop; limit-- {
		f := q.next()
		if f == nil {
			break
		}
		j := f.jobs[f.walkJob]
		index := int(j.queuedTasks[j.walkAt])
		var take bool
		take, stop = visit(j, index)
		cost := j.tasks[index].work / f.client.share
		f.walkTag += cost
		f.walkRun++
		j.walkAt++
		if take {
			f.tag += cost
			q.maxTag = max(q.maxTag, f.tag)
			q.adjustCounts(j, index, -1)
		} else {
			j.queuedTasks[j.walkKept] = int32(index)
			j.walkKept++
		}
		if j.walkAt == len(j.queuedTasks) {
			f.walkTo(f.walkJob + 1)
		}
	}
	q.compact()
}

// updateVirtualTime moves the virtual time forward to the least tag of the active
// flows, and updates the conversion of tags to seconds.
func (q *fairQueue) updateVirtualTime() {
	least, shares := math.Inf(1), 0.0
	for _, f := range q.active {
		least = min(least, f.tag)
		shares += f.client.share
	}
	q.virtualTime = max(q.virtualTime, least)
	if q.capacity > 0 {
		q.secondsPerTag = shares / q.capacity
	}
}

// walkTo moves the walk to the first task of the job at the given position.
func (f *flow) walkTo(at int) {
	f.walkJob = at
	if at < len(f.jobs) {
		f.jobs[at].walkAt, f.jobs[at].walkKept = 0, 0
	}
}

// next returns the flow whose job is to be visited next: the one with the lowest
// rank plus lead among the clients that may run more tasks. It returns nil if
// there is none.
func (q *fairQueue) next() *flow {
	var best *flow
	first := math.Inf(1)
	for _, f := range q.active {
		if f.walkJob >= len(f.jobs) || (f.client.maxRunning > 0 && f.walkRun >= f.client.maxRunning) {
			continue
		}
		lead := max(0, (f.walkTag-q.virtualTime)*q.secondsPerTag-leadAllowance)
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
				copy(j.queuedTasks[taken:], j.queuedTasks[:j.walkKept])
				j.queuedTasks = j.queuedTasks[taken:]
			}
			if len(j.queuedTasks) == 0 {
				empty++
			}
		}
		if empty > 0 {
			f.jobs = slices.DeleteFunc(f.jobs, func(j *job) bool { return len(j.queuedTasks) == 0 })
		}
		if len(f.jobs) == 0 {
			q.active = slices.Delete(q.active, a, a+1)
			continue
		}
		a++
	}
}

// hasLargeJob reports whether the first job of any flow is large.
func (q *fairQueue) hasLargeJob(e *engine) bool {
	for _, f := range q.active {
		if f.jobs[0].isLarge(e) {
			return true
		}
	}
	return false
}
