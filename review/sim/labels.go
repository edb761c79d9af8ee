package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

// changedKind: jobs need executors with a label. One executor of eight crashes, and its
// next incarnation at the same address is of a kind without that label; later it crashes
// and gets its kind back.
func changedKind(d *deployment, trouble bool) ([]string, error) {
	const executors, label, other = 8, "a", "b"
	steps := []step{{Count: 2, CPU: 8000, MemMB: 64, EstimateMS: 200, RequiredLabel: label}}
	d.configure(1, 1500)
	labels := func(i int) []string {
		if i < executors/2 {
			return []string{label, "r1"}
		}
		return []string{other, "r2"}
	}
	if err := d.add(4, executors, 16000, labels, func(string) time.Duration { return time.Duration(120+rand.IntN(160)) * time.Millisecond }); err != nil {
		return nil, err
	}
	if err := d.start(); err != nil {
		return nil, err
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]int{}
	done := make(chan struct{})
	wg.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-time.After(time.Duration(rand.ExpFloat64()*float64(time.Second)) / 24):
			}
			wg.Go(func() {
				status, state := d.submit(i, newID(), jobBody(steps), 1500*time.Millisecond, 2)
				mu.Lock()
				answers[fmt.Sprint(status, " ", state)]++
				mu.Unlock()
			})
		}
	})
	const down = 300 * time.Millisecond
	x := d.executors[0]
	for i := range 20 {
		time.Sleep(2500 * time.Millisecond)
		if !trouble {
			continue
		}
		kind := []string{other, "r1"}
		if i%2 == 1 {
			kind = []string{label, "r1"}
		}
		x.goDark()
		time.Sleep(down)
		x.wake(fmt.Sprintf("i-e1-%d", i+100), kind)
	}
	close(done)
	wg.Wait()
	d.rec.logf("last answers to the jobs: %v", answers)
	fmt.Println("last answers to the jobs:", answers)
	if answers[fmt.Sprint(http.StatusOK, " completed")] == 0 {
		return nil, fmt.Errorf("no job was completed: %v", answers)
	}
	var broken []string
	for _, r := range d.allRuns() {
		if !slices.Contains(r.labels, label) {
			broken = append(broken, fmt.Sprintf("ROUTE: %s attempt %d, which requires label %s, was started at %.3f s on %s, incarnation %s with labels %v, %d ms after its agent had acknowledged a heartbeat with them",
				r.task, r.attempt, label, d.rec.at(r.began), r.executor, r.life, r.labels, r.known.Milliseconds()))
		}
	}
	return broken, nil
}
