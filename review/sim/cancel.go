package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// cancelElsewhere: a quarter of the clients cancel jobs that run. A gateway is added shortly before, so that
// the ingress gives the cancel, on a new connection, to another gateway than the job.
func cancelElsewhere(d *deployment, trouble bool) ([]string, error) {
	const (
		cancelBound = 3000 * time.Millisecond // cancel_ms
		killGrace   = 50 * time.Millisecond   // kill_grace_ms
		deadline    = 9 * time.Second
	)
	steps := []step{
		{Count: 2, CPU: 1000, MemMB: 64, EstimateMS: 900},
		{Count: 2, CPU: 1000, MemMB: 64, EstimateMS: 900, DependsOn: []int{0}},
		{Count: 2, CPU: 1000, MemMB: 64, EstimateMS: 900, DependsOn: []int{1}},
		{Count: 2, CPU: 1000, MemMB: 64, EstimateMS: 900, DependsOn: []int{2}},
		{Count: 2, CPU: 1000, MemMB: 64, EstimateMS: 900, DependsOn: []int{3}},
		{Count: 2, CPU: 1000, MemMB: 64, EstimateMS: 900, DependsOn: []int{4}},
		{Count: 2, CPU: 1000, MemMB: 64, EstimateMS: 900, DependsOn: []int{5}},
	}
	d.configure(1, int(deadline.Milliseconds()))
	err := d.add(4, 8, 32000, func(int) []string { return []string{"a", "r1"} }, func(string) time.Duration { return 900 * time.Millisecond })
	if err != nil {
		return nil, err
	}
	added := d.gateways[3]
	d.gateways = d.gateways[:3]
	if err := d.start(); err != nil {
		return nil, err
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	acknowledged := map[string]time.Time{} // by job
	answers, cancels := map[string]int{}, map[string]int{}
	for client := range 32 {
		wg.Go(func() {
			id := newID()
			wg.Go(func() {
				// A client that cancels its job does not send it again.
				status, state := d.submit(client, id, jobBody(steps), deadline, 1)
				mu.Lock()
				answers[fmt.Sprint(status, " ", state)]++
				mu.Unlock()
			})
			if client%4 != 0 {
				return
			}
			time.Sleep(2000 * time.Millisecond)
			for range 3 {
				status, _ := d.send(d.route(client, 0), http.MethodDelete, id, "", 4*time.Second)
				if status/100 == 2 || status == http.StatusGone {
					mu.Lock()
					acknowledged[id] = time.Now()
					cancels[fmt.Sprint(status)]++
					mu.Unlock()
					return
				}
				time.Sleep(retransmit)
			}
		})
	}
	defer added.kill()
	if trouble {
		time.Sleep(100 * time.Millisecond)
		if err := d.addGateway(added); err != nil {
			return nil, err
		}
	}
	wg.Wait()
	fmt.Println("answers to the jobs:", answers, "to the cancels:", cancels)
	d.rec.logf("answers to the jobs: %v, to the cancels: %v", answers, cancels)
	if len(acknowledged) == 0 {
		return nil, fmt.Errorf("no cancel was acknowledged")
	}
	var broken []string
	for _, r := range d.allRuns() {
		job, _ := taskParts(r.task)
		at, found := acknowledged[job]
		if !found {
			continue
		}
		if after := r.began.Sub(at); after > cancelBound {
			broken = append(broken, fmt.Sprintf("UNASKED: %s started on %s %d ms after the cancelling of its job was acknowledged", r.task, r.executor, after.Milliseconds()))
		}
		if after := r.ended.Sub(at); after > cancelBound+killGrace {
			broken = append(broken, fmt.Sprintf("UNASKED: %s ran on %s until %d ms after the cancelling of its job was acknowledged", r.task, r.executor, after.Milliseconds()))
		}
	}
	return broken, nil
}
