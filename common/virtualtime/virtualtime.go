// Package virtualtime runs events at the times of a simulated clock.
package virtualtime

import (
	"container/heap"
	"time"
)

// Clock is a queue of events. Events of the same time run in the order in which
// they were added. It is not safe for concurrent use.
type Clock struct {
	// Now is the time of the event that runs.
	Now   time.Duration
	added uint64
	queue eventHeap
}

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

// After adds an event that runs a time from now.
func (c *Clock) After(d time.Duration, run func()) {
	c.added++
	heap.Push(&c.queue, event{c.Now + d, c.added, run})
}

// Step runs the next event, unless it is later than the limit or there is none.
// It returns whether it ran one.
func (c *Clock) Step(limit time.Duration) bool {
	if len(c.queue) == 0 || c.queue[0].at > limit {
		return false
	}
	e := heap.Pop(&c.queue).(event)
	c.Now = e.at
	e.run()
	return true
}

// RunUntil runs all events up to the limit.
func (c *Clock) RunUntil(limit time.Duration) {
	for c.Step(limit) {
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
