// Package virtualtime is the event queue of a discrete-event simulation.
package virtualtime

import (
	"container/heap"
	"time"
)

// Clock is a virtual clock with a queue of events. Events with the same time run
// in the order in which they were added. It is not safe for concurrent use.
type Clock struct {
	// Now is the time of the current event.
	Now     time.Duration
	nextSeq uint64
	queue   eventHeap
}

type event struct {
	at  time.Duration
	seq uint64
	run func()
}

// After schedules an event at Now + d.
func (c *Clock) After(d time.Duration, run func()) {
	c.nextSeq++
	heap.Push(&c.queue, event{c.Now + d, c.nextSeq, run})
}

// Step runs the next event, unless there is none or it is later than limit. It
// reports whether it ran an event.
func (c *Clock) Step(limit time.Duration) bool {
	if len(c.queue) == 0 || c.queue[0].at > limit {
		return false
	}
	e := heap.Pop(&c.queue).(event)
	c.Now = e.at
	e.run()
	return true
}

// RunUntil runs all events up to and including limit.
func (c *Clock) RunUntil(limit time.Duration) {
	for c.Step(limit) {
	}
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}
