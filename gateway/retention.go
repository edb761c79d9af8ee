package gateway

import (
	"container/heap"
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/model"
)

// deadlineQueue orders jobs in progress by deadline. A job whose deadline was
// extended has an entry for each deadline; pop skips outdated entries.
type deadlineQueue struct{ items deadlineHeap }

type deadlineItem struct {
	at  time.Time
	job *job
}

type deadlineHeap []deadlineItem

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h deadlineHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *deadlineHeap) Push(x any)        { *h = append(*h, x.(deadlineItem)) }
func (h *deadlineHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = deadlineItem{}
	*h = old[:len(old)-1]
	return last
}

func (q *deadlineQueue) push(j *job) {
	heap.Push(&q.items, deadlineItem{at: j.deadline, job: j})
}

// pop removes and returns a job in progress whose deadline has passed, or returns
// nil.
func (q *deadlineQueue) pop(now time.Time) *job {
	for len(q.items) > 0 && !q.items[0].at.After(now) {
		it := heap.Pop(&q.items).(deadlineItem)
		if !it.job.answered() && !it.job.ownerChanged && !it.job.deadline.After(now) {
			return it.job
		}
	}
	return nil
}

// retainedJobs holds answered jobs for the retention time, in the order of their
// answers, and bounds the total size of their results. A job whose results were
// dropped stays in it: a resubmission does not run the job again and is answered that
// the results are no longer kept.
type retainedJobs struct {
	maxAge   time.Duration
	maxBytes int
	// bytes is the total size of the results that are kept.
	bytes int
	jobs  []*job
	// firstWithResults is the index in jobs from which on results are kept.
	firstWithResults int
	// traced are the newest answered jobs, whose decision traces are kept.
	traced []*job
}

// add adds a job and drops the oldest results and decision traces above the limits.
func (r *retainedJobs) add(j *job) {
	r.jobs = append(r.jobs, j)
	r.bytes += j.resultBytes
	for r.bytes > r.maxBytes && r.firstWithResults < len(r.jobs) {
		r.dropResults(r.jobs[r.firstWithResults])
		r.firstWithResults++
	}
	r.traced = append(r.traced, j)
	if len(r.traced) > maxRetainedTraces {
		r.traced[0].trace = decisionTrace{}
		r.traced = r.traced[1:]
	}
}

// dropResults frees the results of a job and replaces its answer by one that says so.
func (r *retainedJobs) dropResults(j *job) {
	if j.resultBytes == 0 {
		return
	}
	r.bytes -= j.resultBytes
	j.resultBytes = 0
	j.answer = &model.Answer{
		State: model.RunMayHaveRun, Reason: model.ReasonAnswerForgotten,
		Message: "the job ran and was answered; its results are no longer kept",
	}
}

// remove marks a job as moved to another gateway. Its entry is removed when it
// expires.
func (r *retainedJobs) remove(j *job) {
	r.bytes -= j.resultBytes
	j.resultBytes = 0
	j.ownerChanged = true
}

// expire removes the jobs that were answered longer ago than the retention time. It
// calls forget for those that have not moved.
func (r *retainedJobs) expire(now time.Time, forget func(*job)) {
	n := 0
	for n < len(r.jobs) && now.Sub(r.jobs[n].answeredAt) > r.maxAge {
		j := r.jobs[n]
		if !j.ownerChanged {
			r.bytes -= j.resultBytes
			forget(j)
		}
		r.jobs[n] = nil
		n++
	}
	r.jobs = r.jobs[n:]
	r.firstWithResults = max(0, r.firstWithResults-n)
}
