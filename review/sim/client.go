package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

type step struct {
	Count         int    `json:"count"`
	CPU           int    `json:"cpu"`
	MemMB         int    `json:"mem_mb"`
	EstimateMS    int    `json:"estimate_ms"`
	DependsOn     []int  `json:"depends_on,omitempty"`
	RequiredLabel string `json:"required_label,omitempty"`
	MaxPerServer  int    `json:"max_per_server,omitempty"`
}

// newID returns an id of 16 hexadecimal digits.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func jobBody(steps []step) string {
	data, _ := json.Marshal(map[string]any{"spec": "glue", "best_effort": true, "job_steps": steps})
	return string(data)
}

// send sends one request of a client on a new connection and returns the status, 0 if
// there was no response, and the state in its body.
func (d *deployment) send(g *process, method, id, body string, deadline time.Duration) (int, string) {
	return d.sendPatiently(g, method, id, body, deadline, deadline)
}

// sendPatiently is send by a client whose connection breaks after patience.
func (d *deployment) sendPatiently(g *process, method, id, body string, deadline, patience time.Duration) (int, string) {
	client := &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(method, "http://"+g.frontend+queuePrefix+id, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	r.Host = queueHost
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	d.rec.logf("%s %s sent to %s %s", method, id, g.name, body)
	resp, err := client.Do(r)
	if err != nil {
		d.rec.logf("%s %s to %s: no response", method, id, g.name)
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	var b struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(data, &b)
	d.rec.logf("%s %s to %s: %d %s", method, id, g.name, resp.StatusCode, b.State)
	return resp.StatusCode, b.State
}

// retransmit is the time after which a client sends a job again.
const retransmit = 1300 * time.Millisecond

// submit submits a job as a client does: after no response, a broken connection, 502 or
// 504 it sends the job again, retransmit later, to any daemon.
func (d *deployment) submit(client int, id, body string, deadline time.Duration, tries int) (int, string) {
	for try := 0; ; try++ {
		status, state := d.send(d.route(client, try), http.MethodPost, id, body, deadline)
		again := status == 0 || status == http.StatusBadGateway || status == http.StatusGatewayTimeout
		if !again || try+1 == tries {
			return status, state
		}
		time.Sleep(retransmit)
	}
}
