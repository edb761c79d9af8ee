package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// step is a step of a job.
type step struct {
	Count         int    `json:"count"`
	CPU           int64  `json:"cpu"`
	MemMB         int64  `json:"mem_mb"`
	EstimateMS    int64  `json:"estimate_ms"`
	RequiredLabel string `json:"required_label,omitempty"`
}

// job is a job that need not be stored, with the answers that its client got.
type job struct {
	id, prefix, spec string
	step             step
	sent             []string
	final            string // the state that it was shown with, or the last status
}

// client sends jobs as PROTOCOL.md says.
type client struct {
	d    *deployment
	http *http.Client
	mu   sync.Mutex
	jobs []*job
	wg   sync.WaitGroup
}

func newClient(d *deployment) *client {
	return &client{d: d, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// submit sends a job in the background, first to the gateway with this index.
func (c *client) submit(gateway int, j *job) {
	c.mu.Lock()
	c.jobs = append(c.jobs, j)
	c.mu.Unlock()
	c.wg.Go(func() {
		for try := range 3 {
			if try > 0 {
				time.Sleep(1300 * time.Millisecond) // retransmit_ms
			}
			if c.try(j, c.d.gateways[(gateway+try)%len(c.d.gateways)]) {
				return
			}
		}
	})
}

// try sends a job once. It returns whether the answer is final.
func (c *client) try(j *job, p *process) bool {
	body, _ := json.Marshal(map[string]any{"spec": j.spec, "best_effort": true, "job_steps": []step{j.step}})
	r, err := http.NewRequest(http.MethodPost, "http://"+p.listen["frontend"]+j.prefix+j.id, bytes.NewReader(body))
	check(err)
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Deadline-Ms", "1500")
	hc := *c.http
	hc.Timeout = 1500 * time.Millisecond
	began := time.Now()
	resp, err := hc.Do(r)
	result, final := "no answer", false
	if err == nil {
		var out struct {
			State string `json:"state"`
		}
		decodeErr := json.NewDecoder(resp.Body).Decode(&out)
		_ = resp.Body.Close()
		result = strings.TrimSpace(fmt.Sprintf("%d %s", resp.StatusCode, out.State))
		final = resp.StatusCode != http.StatusBadGateway && resp.StatusCode != http.StatusGatewayTimeout && (resp.StatusCode != http.StatusOK || decodeErr == nil)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	j.sent = append(j.sent, fmt.Sprintf("%s to %s, answered after %d ms: %s", began.Format(clockFormat), p.name, time.Since(began).Milliseconds(), result))
	j.final = result
	return final
}
