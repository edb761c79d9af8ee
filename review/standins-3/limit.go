package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	limitRounds = 5
	// In each round, jobs of limitTasks tasks of limitRun come for limitLoad, limitGap apart.
	limitTasks = 8
	limitRun   = 60 * time.Millisecond
	limitLoad  = 3 * time.Second
	limitGap   = 60 * time.Millisecond
	// limitQuiet is the time from the end of the load to the crash of one executor. All jobs
	// have been answered by then, and each late start is 2 to 12 s late.
	limitQuiet = 2200 * time.Millisecond
	limitRest  = 3 * time.Second
)

// lateStartsExceedCapacity has each second start left unanswered by the executors and carried
// out late. The agents repeat these starts, and all jobs end. Then one executor crashes for a
// moment, starts again under its id, and carries out the late starts that it has.
func lateStartsExceedCapacity(d *deployment, trouble bool) ([]string, error) {
	b := newBalancer(d)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := &postponer{seen: map[runKey]bool{}}
	for _, x := range d.executors {
		x.mu.Lock()
		x.stopTime = stopTime
		if trouble {
			x.late = p.choose
		}
		x.mu.Unlock()
	}
	var clients sync.WaitGroup
	for round := range limitRounds {
		p.begin(true)
		for i := range int(limitLoad / limitGap) {
			id := fmt.Sprintf("5c0e7a21d94b%02x%02x", round, i)
			clients.Go(func() {
				g := b.choose(i)
				status, answer := d.request(ctx, newClient(), g, http.MethodPost, id, batchScan(limitTasks, limitRun), clientDeadline)
				d.record.line("POST %s at gateway-%d is answered %d %s", id, g+1, status, answer)
			})
			time.Sleep(limitGap)
		}
		p.begin(false)
		time.Sleep(limitQuiet)
		x := mostPostponed(d)
		if trouble {
			x.crash(darkFor)
		}
		time.Sleep(limitRest)
		for _, x := range d.executors {
			x.mu.Lock()
			x.postponed = nil
			x.mu.Unlock()
		}
	}
	clients.Wait()
	return overCapacity(d), nil
}

// mostPostponed returns the executor with the most late starts.
func mostPostponed(d *deployment) *executor {
	return slices.MaxFunc(d.executors, func(a, b *executor) int { return a.countPostponed() - b.countPostponed() })
}

func (x *executor) countPostponed() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.postponed)
}

// overCapacity returns the starts that bring an executor over its capacity.
func overCapacity(d *deployment) []string {
	var broken []string
	for _, x := range d.executors {
		all := x.started()
		for _, s := range all {
			running := 0
			for _, o := range all {
				if !o.started.After(s.started) && o.end().After(s.started) {
					running++
				}
			}
			if used := running * taskCPU; used > executorCPU {
				broken = append(broken, fmt.Sprintf("LIMIT: the start of %s attempt %d%s brings %s to %d of %d thousandths of a core at %s",
					s.key.task, s.key.attempt, lateNote(s), x.id, used, executorCPU, d.record.at(s.started)))
			}
		}
	}
	return broken
}
