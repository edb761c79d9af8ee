package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var benchSizes = []int{11, 128, 1700}

// steadyBench returns a bench with learned speeds and 80% of the slots taken.
func steadyBench(targets int) (*bench, []Assignment) {
	rng := rand.New(rand.NewPCG(1, 2))
	b := &bench{Policy: New(Options{}), now: time.Unix(0, 0)}
	b.setTargets(targets, func(_ int, t *Target) { t.Slots = 8 })
	var running []Assignment
	for i := 0; len(running) < targets*8*8/10 || i < targets*40; i++ {
		b.submit(fmt.Sprint("c", i%20), 1, nil)
		running = append(running, b.Decide(b.now).Assign...)
		if len(running) >= targets*8*8/10 {
			running = b.endOne(rng, running)
		}
	}
	return b, running
}

func (b *bench) endOne(rng *rand.Rand, running []Assignment) []Assignment {
	// As many tasks end in 200 ms as run.
	b.advance(200 * time.Millisecond / time.Duration(len(running)))
	i := rng.IntN(len(running))
	a := running[i]
	b.end(a, OutcomeSucceeded, time.Duration(50+rng.IntN(300))*time.Millisecond)
	b.Remove(b.now, a.Task.Job)
	running[i] = running[len(running)-1]
	return running[:len(running)-1]
}

// BenchmarkTask measures admission, decision and outcome of one single-task job
// at 80% load.
func BenchmarkTask(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p, running := steadyBench(n)
			rng := rand.New(rand.NewPCG(3, 4))
			b.ReportAllocs()
			for b.Loop() {
				p.submit("c1", 1, nil)
				running = append(running, p.Decide(p.now).Assign...)
				running = p.endOne(rng, running)
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
			rng := rand.New(rand.NewPCG(3, 4))
			for i := range 5000 + 2*n {
				p.submit(fmt.Sprint("c", i%20), 1, nil)
			}
			running = append(running, p.Decide(p.now).Assign...)
			b.ReportAllocs()
			for b.Loop() {
				p.submit("c1", 1, nil)
				running = p.endOne(rng, running)
				running = append(running, p.Decide(p.now).Assign...)
			}
		})
	}
}
