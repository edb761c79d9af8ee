package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// balancer stands in for the platform's balancer: it checks the readiness of each gateway
// once a second, and leaves one out after two misses until it answers with 200 again.
type balancer struct {
	d *deployment

	mu     sync.Mutex // guards misses
	misses [gatewayCount]int
}

func newBalancer(d *deployment) *balancer {
	b := &balancer{d: d}
	for i := range gatewayCount {
		go func() {
			for tick := time.NewTicker(time.Second); ; {
				ready := d.ready(i)
				b.mu.Lock()
				b.misses[i]++
				if ready {
					b.misses[i] = 0
				}
				b.mu.Unlock()
				select {
				case <-d.stopped:
					return
				case <-tick.C:
				}
			}
		}()
	}
	return b
}

// choose returns the wanted gateway, or the next one in rotation.
func (b *balancer) choose(wanted int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	for k := range gatewayCount {
		if i := (wanted + k) % gatewayCount; b.misses[i] < 2 {
			return i
		}
	}
	return wanted % gatewayCount
}

// newClient returns a client that uses a new connection for each request.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
}

// request sends a request about a job to a gateway. The status is 0 without an answer.
func (d *deployment) request(ctx context.Context, c *http.Client, gateway int, method, job, body string, wait time.Duration) (status int, answer string) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+d.address(classGateway, gateway, frontendPort)+queuePrefix+job, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = queueHost
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	resp, err := c.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	text := make([]byte, 200)
	n, _ := resp.Body.Read(text)
	return resp.StatusCode, strings.TrimSpace(string(text[:n]))
}

// taskCPU is what a task needs, in thousandths of a core.
const taskCPU = 3100

// batchScan returns the body of a job of one step.
func batchScan(tasks int, run time.Duration) string {
	return fmt.Sprintf(`{"spec":"ms=%d","best_effort":true,"job_steps":[{"count":%d,"cpu":%d,"mem_mb":64,"estimate_ms":%d}]}`,
		run.Milliseconds(), tasks, taskCPU, run.Milliseconds())
}

// chain returns the body of a job of steps of one task, of which each depends on the one
// before.
func chain(steps int, run time.Duration) string {
	var all []string
	for i := range steps {
		depends := ""
		if i > 0 {
			depends = fmt.Sprintf(`,"depends_on":[%d]`, i-1)
		}
		all = append(all, fmt.Sprintf(`{"count":1,"cpu":%d,"mem_mb":64,"estimate_ms":%d%s}`, taskCPU, run.Milliseconds(), depends))
	}
	return fmt.Sprintf(`{"spec":"ms=%d","best_effort":true,"job_steps":[%s]}`, run.Milliseconds(), strings.Join(all, ","))
}
