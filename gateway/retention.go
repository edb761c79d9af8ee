package gateway

import (
	"container/heap"
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/model"
)

// deadlineQueue orders jobs in progress by deadline. A job whose deadline moved
// is in it twice; pop skips entries that are out of date.
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

// pop returns a job whose deadline has passed, or nil.
func (q *deadlineQueue) pop(now time.Time) *job {
	for len(q.items) > 0 && !q.items[0].at.After(now) {
		it := heap.Pop(&q.items).(deadlineItem)
		if !it.job.answered() && !it.job.gone && !it.job.deadline.After(now) {
			return it.job
		}
	}
	return nil
}

// retention keeps answered jobs for a time and their results within a size.
// A job whose results were dropped is still known: a resubmission is told so
// and does not run again.
type retention struct {
	keep     time.Duration
	maxBytes int
	bytes    int
	jobs     []*job
	// withResults is the index in jobs from which results are still kept.
	withResults int
	traces      []*job
}

func (r *retention) add(j *job) {
	r.jobs = append(r.jobs, j)
	r.bytes += j.resultBytes
	for r.bytes > r.maxBytes && r.withResults < len(r.jobs) {
		r.dropResults(r.jobs[r.withResults])
		r.withResults++
	}
	r.traces = append(r.traces, j)
	if len(r.traces) > retainedTraces {
		r.traces[0].trace = decisionTrace{}
		r.traces = r.traces[1:]
	}
}

func (r *retention) dropResults(j *job) {
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

// remove takes out a job that this gateway no longer owns.
func (r *retention) remove(j *job) {
	r.bytes -= j.resultBytes
	j.resultBytes = 0
	j.gone = true
}

// expire drops the jobs that were answered more than the retention time ago.
func (r *retention) expire(now time.Time, forget func(*job)) {
	n := 0
	for n < len(r.jobs) && now.Sub(r.jobs[n].answeredAt) > r.keep {
		j := r.jobs[n]
		if !j.gone {
			r.bytes -= j.resultBytes
			forget(j)
		}
		r.jobs[n] = nil
		n++
	}
	r.jobs = r.jobs[n:]
	r.withResults = max(0, r.withResults-n)
}
