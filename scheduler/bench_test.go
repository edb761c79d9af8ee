package scheduler

import (
	"fmt"
	"testing"
	"time"
)

var benchSizes = []int{11, 128, 1700}

// sentTask is a running task with the time at which it was sent.
type sentTask struct {
	Assignment
	at time.Time
}

// sendAll adds what Decide assigns to the running tasks.
func (b *bench) sendAll(running []sentTask) []sentTask {
	for _, a := range b.Decide(b.now).Assign {
		running = append(running, sentTask{a, b.now})
	}
	return running
}

// steadyBench returns a bench with learned speeds and 80% of the slots taken.
func steadyBench(targets int) (*bench, []sentTask) {
	b := &bench{Policy: New(Options{}), now: time.Unix(0, 0)}
	b.setTargets(targets, func(_ int, t *Target) { t.Slots = 8 })
	var running []sentTask
	for i := 0; len(running) < targets*8*8/10 || i < targets*20; i++ {
		b.submit(fmt.Sprint("c", i%20), 1, nil)
		running = b.sendAll(running)
		if len(running) >= targets*8*8/10 {
			running = b.endOne(running)
		}
	}
	return b, running
}

// endOne ends the task that was sent first. With as many tasks ending in 200 ms
// as run, each takes about that long.
func (b *bench) endOne(running []sentTask) []sentTask {
	b.advance(200 * time.Millisecond / time.Duration(len(running)))
	a := running[0]
	b.end(a.Assignment, OutcomeSucceeded, b.now.Sub(a.at))
	b.Remove(b.now, a.Task.Job)
	return running[1:]
}

// BenchmarkTask measures admission, decision and outcome of one single-task job
// at 80% load.
func BenchmarkTask(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p, running := steadyBench(n)
			b.ReportAllocs()
			for b.Loop() {
				p.submit("c1", 1, nil)
				running = p.sendAll(running)
				running = p.endOne(running)
			}
		})
	}
}

// BenchmarkAdmit measures the admission of a job of 100 tasks and its removal.
func BenchmarkAdmit(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p, _ := steadyBench(n)
			b.ReportAllocs()
			for b.Loop() {
				h, _ := p.submit("c1", 100, nil)
				p.Remove(p.now, h)
			}
		})
	}
}

// BenchmarkDecideIdle measures a decision when nothing waits.
func BenchmarkDecideIdle(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p, _ := steadyBench(n)
			b.ReportAllocs()
			for b.Loop() {
				p.advance(time.Millisecond)
				p.Decide(p.now)
			}
		})
	}
}

// BenchmarkDecideBacklog measures a decision with 5,000 waiting tasks and one
// outcome.
func BenchmarkDecideBacklog(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p, running := steadyBench(n)
			for i := range 5000 + 2*n {
				p.submit(fmt.Sprint("c", i%20), 1, nil)
			}
			running = p.sendAll(running)
			b.ReportAllocs()
			for b.Loop() {
				p.submit("c1", 1, nil)
				running = p.endOne(running)
				running = p.sendAll(running)
			}
		})
	}
}
