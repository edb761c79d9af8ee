package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// parallelSteps: jobs of three steps, of which the second and the third both follow the
// first. The third step has one task for each executor. One executor of eight crashes and
// is back 4.5 s later.
func parallelSteps(d *deployment, trouble bool) ([]string, error) {
	const executors = 8
	steps := []step{
		{Count: 1, CPU: 1000, MemMB: 64, EstimateMS: 60},
		{Count: 4, CPU: 1000, MemMB: 64, EstimateMS: 1800, DependsOn: []int{0}},
		{Count: executors, CPU: 500, MemMB: 64, EstimateMS: 200, DependsOn: []int{0}, MaxPerServer: 1},
	}
	work := func(task string) time.Duration {
		_, s := taskParts(task)
		return time.Duration(steps[max(s, 0)].EstimateMS) * time.Millisecond
	}
	d.configure(1, 4000)
	if err := d.add(4, executors, 32000, func(int) []string { return []string{"a", "r1"} }, work); err != nil {
		return nil, err
	}
	if err := d.start(); err != nil {
		return nil, err
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]int{}
	for i := range 20 {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 500 * time.Millisecond)
			status, state := d.submit(i, newID(), jobBody(steps), 4*time.Second, 6)
			mu.Lock()
			answers[fmt.Sprint(status, " ", state)]++
			mu.Unlock()
		})
	}
	time.Sleep(2 * time.Second)
	if trouble {
		d.executors[0].crash()
		time.Sleep(4500 * time.Millisecond)
		if err := d.executors[0].start(""); err != nil {
			return nil, err
		}
	}
	wg.Wait()
	d.rec.logf("last answers to the jobs: %v", answers)
	fmt.Println("last answers to the jobs:", answers)
	if answers[fmt.Sprint(http.StatusOK, " completed")] == 0 {
		return nil, fmt.Errorf("no job was completed: %v", answers)
	}
	return d.overlaps(), nil
}

// parallelPoison: for 3 s a twentieth of the jobs can never be done: of the two steps that
// follow their first one, the last takes longer than the job has time. Nothing else is
// disrupted.
func parallelPoison(d *deployment, trouble bool) ([]string, error) {
	steps := []step{
		{Count: 1, CPU: 1000, MemMB: 64, EstimateMS: 60},
		{Count: 4, CPU: 1000, MemMB: 64, EstimateMS: 1800, DependsOn: []int{0}},
		{Count: 1, CPU: 1000, MemMB: 64, EstimateMS: 200, DependsOn: []int{0}},
	}
	poison := append([]step(nil), steps...)
	poison[2].EstimateMS = 12_000
	var mu sync.Mutex
	poisoned := map[string]bool{} // by job
	work := func(task string) time.Duration {
		id, s := taskParts(task)
		mu.Lock()
		defer mu.Unlock()
		if poisoned[id] {
			return time.Duration(poison[max(s, 0)].EstimateMS) * time.Millisecond
		}
		return time.Duration(steps[max(s, 0)].EstimateMS) * time.Millisecond
	}
	d.configure(1, 4000)
	if err := d.add(4, 8, 32000, func(int) []string { return []string{"a", "r1"} }, work); err != nil {
		return nil, err
	}
	if err := d.start(); err != nil {
		return nil, err
	}
	var wg sync.WaitGroup
	answers := map[string]int{}
	for i := range 100 {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			id, body := newID(), jobBody(steps)
			if at := i * 50; trouble && at >= 1000 && at < 4000 && i%20 == 0 {
				body = jobBody(poison)
				mu.Lock()
				poisoned[id] = true
				mu.Unlock()
			}
			status, state := d.submit(i, id, body, 4*time.Second, 4)
			mu.Lock()
			defer mu.Unlock()
			answers[fmt.Sprint(status, " ", state)]++
		})
	}
	wg.Wait()
	d.rec.logf("last answers to the jobs: %v", answers)
	fmt.Println("last answers to the jobs:", answers)
	if answers[fmt.Sprint(http.StatusOK, " completed")] == 0 {
		return nil, fmt.Errorf("no job was completed: %v", answers)
	}
	return d.overlaps(), nil
}
