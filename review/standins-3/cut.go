package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// cutFor is the length of the cut.
	cutFor = 12 * time.Second
	// cancelAfterCut is the time from the start of the cut to the cancellations.
	cancelAfterCut = 3 * time.Second
	chainSteps     = 11
	chainRun       = 900 * time.Millisecond
	chainDeadline  = 15 * time.Second
)

// cancelledAtCutGateway has clients cancel their jobs over connections to a gateway that is
// cut off from all other machines of the system and from the store. The gateway has answered
// the submissions with 502, so that they were sent again, to other gateways.
func cancelledAtCutGateway(d *deployment, trouble bool) ([]string, error) {
	b := newBalancer(d)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	jobs := make([]*cancelledJob, cancelledJobs)
	var clients, cancellations sync.WaitGroup
	for i := range jobs {
		j := &cancelledJob{id: fmt.Sprintf("5c0e7a21d94b36%02x", i)}
		jobs[i] = j
		// The client has another open connection to its gateway, which stays with it.
		open := &http.Client{}
		status, _ := d.request(ctx, open, 0, http.MethodGet, "", "", clientAck)
		d.record.line("GET of the queue at gateway-1 is answered %d", status)
		clients.Go(func() { submitChain(ctx, d, b, j.id, i) })
		cancellations.Go(func() {
			time.Sleep(200*time.Millisecond + cancelAfterCut)
			j.cancelOn(ctx, d, open, 0)
		})
	}
	time.Sleep(200 * time.Millisecond)
	if trouble {
		d.record.line("gateway-1 is cut off")
		d.links.setCut("gateway-1", true)
	}
	time.Sleep(cutFor)
	if trouble {
		d.links.setCut("gateway-1", false)
		d.record.line("the cut has ended")
	}
	time.Sleep(chainDeadline - cutFor + 2*time.Second)
	cancellations.Wait()
	cancel()
	clients.Wait()
	return chainStartsAfterCancel(d, jobs), nil
}

// cancelOn cancels the job over a connection to a gateway.
func (j *cancelledJob) cancelOn(ctx context.Context, d *deployment, c *http.Client, gateway int) {
	d.record.line("DELETE %s at gateway-%d", j.id, gateway+1)
	status, text := d.request(ctx, c, gateway, http.MethodDelete, j.id, "", clientAck)
	d.record.line("DELETE %s is answered %d %s", j.id, status, text)
	if status/100 == 2 || status == http.StatusGone {
		j.ackedAt = time.Now()
	}
}

// submitChain submits a job of several steps at gateway-1, and again at the others after no
// response, a broken connection, 502 or 504.
func submitChain(ctx context.Context, d *deployment, b *balancer, id string, client int) {
	for try := 0; ctx.Err() == nil; try++ {
		g := 0
		if try > 0 {
			g = b.choose(1 + (client+try)%(gatewayCount-1))
		}
		d.record.line("POST %s at gateway-%d, try %d", id, g+1, try+1)
		status, answer := d.request(ctx, newClient(), g, http.MethodPost, id, chain(chainSteps, chainRun), chainDeadline)
		d.record.line("POST %s is answered %d %s", id, status, answer)
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(retransmitMS * time.Millisecond):
		}
	}
}

// chainStartsAfterCancel returns the starts that break UNASKED: later than cancelMS after the
// acknowledgement of the job's cancellation. All agents are in touch all the while.
func chainStartsAfterCancel(d *deployment, jobs []*cancelledJob) []string {
	var broken []string
	for _, s := range d.starts() {
		for _, j := range jobs {
			if !strings.HasPrefix(s.key.task, j.id+".") || j.ackedAt.IsZero() {
				continue
			}
			if late := s.started.Sub(j.ackedAt); late > cancelMS*time.Millisecond {
				broken = append(broken, fmt.Sprintf("UNASKED: %s starts on %s at %s, %.3f s after the cancellation of its job was acknowledged",
					s.key.task, s.executor, d.record.at(s.started), late.Seconds()))
			}
		}
	}
	return broken
}
