package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// benchmarkSizes are the numbers of targets.
var benchmarkSizes = []int{11, 128, 1700}

// sentTask is an assignment with the time at which it was sent.
type sentTask struct {
	Assignment
	at time.Time
}

// sendAll appends the assignments of one Decide to the running tasks.
func (b *harness) sendAll(running []sentTask) []sentTask {
	for _, a := range b.Decide(b.now).Assign {
		running = append(running, sentTask{a, b.now})
	}
	return running
}

// newSteadyHarness returns a harness with learned speeds and 80% of the slots in
// use, and its running tasks.
func newSteadyHarness(targets int) (*harness, []sentTask) {
	b := &harness{Policy: New(Options{}), now: time.Unix(0, 0)}
	b.setTargets(targets, func(_ int, t *Target) { t.Slots = 8 })
	var running []sentTask
	for i := 0; len(running) < targets*8*8/10 || i < targets*20; i++ {
		b.submit(fmt.Sprint("c", i%20), 1, nil)
		running = b.sendAll(running)
		if len(running) >= targets*8*8/10 {
			running = b.finishOldest(running)
		}
	}
	return b, running
}

// finishOldest ends the task that was sent first. It advances the clock so that as
// many tasks end in 200 ms as are running, which makes each run for about 200 ms.
func (b *harness) finishOldest(running []sentTask) []sentTask {
	b.advance(200 * time.Millisecond / time.Duration(len(running)))
	a := running[0]
	b.end(a.Assignment, OutcomeSucceeded, b.now.Sub(a.at))
	b.Remove(b.now, a.Task.Job)
	return running[1:]
}

// BenchmarkTask measures the admission, the decision and the outcome of a
// single-task job at 80% load.
func BenchmarkTask(b *testing.B) {
	for _, n := range benchmarkSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p, running := newSteadyHarness(n)
			b.ReportAllocs()
			for b.Loop() {
				p.submit("c1", 1, nil)
				running = p.sendAll(running)
				running = p.finishOldest(running)
			}
		})
	}
}

// BenchmarkAdmit measures the admission of a job of 100 tasks and its removal.
func BenchmarkAdmit(b *testing.B) {
	for _, n := range benchmarkSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p, _ := newSteadyHarness(n)
			b.ReportAllocs()
			for b.Loop() {
				h, _ := p.submit("c1", 100, nil)
				p.Remove(p.now, h)
			}
		})
	}
}

// BenchmarkDecideIdle measures a decision with an empty queue.
func BenchmarkDecideIdle(b *testing.B) {
	for _, n := range benchmarkSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p, _ := newSteadyHarness(n)
			b.ReportAllocs()
			for b.Loop() {
				p.advance(time.Millisecond)
				p.Decide(p.now)
			}
		})
	}
}

// BenchmarkDecideBacklog measures an admission, an outcome and a decision with
// about 5,000 queued tasks.
func BenchmarkDecideBacklog(b *testing.B) {
	for _, n := range benchmarkSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p, running := newSteadyHarness(n)
			for i := range 5000 + 2*n {
				p.submit(fmt.Sprint("c", i%20), 1, nil)
			}
			running = p.sendAll(running)
			b.ReportAllocs()
			for b.Loop() {
				p.submit("c1", 1, nil)
				running = p.finishOldest(running)
				running = p.sendAll(running)
			}
		})
	}
}
