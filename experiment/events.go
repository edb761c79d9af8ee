package experiment

import (
	"container/heap"
	"time"
)

// clock is a queue of events in virtual time. Events of the same time run in
// the order in which they were added.
type clock struct {
	now   time.Duration
	added uint64
	queue eventHeap
}

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

func (c *clock) after(d time.Duration, run func()) {
	c.added++
	heap.Push(&c.queue, event{c.now + d, c.added, run})
}

// runAll runs the events until none is left or the limit is reached.
func (c *clock) runAll(limit time.Duration) {
	for len(c.queue) > 0 {
		e := heap.Pop(&c.queue).(event)
		if e.at > limit {
			return
		}
		c.now = e.at
		e.run()
	}
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].order < h[j].order)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}
