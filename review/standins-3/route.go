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
	ackMS = 4000
	// dropRouteAfter is the time from the submission of the jobs to the configuration
	// without their route, cancelAfterDrop that from its acknowledgement to the
	// cancellations: by then it has long been in force, and all machines are in touch.
	dropRouteAfter  = 500 * time.Millisecond
	cancelAfterDrop = 4 * time.Second
	longChainSteps  = 21
	longDeadline    = 22 * time.Second
)

// cancelledWithoutRoute has clients cancel their jobs after the operator has removed the
// route to which they were submitted.
func cancelledWithoutRoute(d *deployment, trouble bool) ([]string, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	type client struct {
		job cancelledJob
		// askedAt is when the cancellation was first sent.
		askedAt time.Time
	}
	all := make([]*client, gatewayCount)
	var clients sync.WaitGroup
	for i := range all {
		c := &client{job: cancelledJob{id: fmt.Sprintf("5c0e7a21d94b36%02x", i)}}
		all[i] = c
		clients.Go(func() {
			d.record.line("POST %s at gateway-%d", c.job.id, i+1)
			status, answer := d.request(ctx, newClient(), i, http.MethodPost, c.job.id, chain(longChainSteps, chainRun), longDeadline)
			d.record.line("POST %s is answered %d %s", c.job.id, status, answer)
		})
		clients.Go(func() {
			time.Sleep(dropRouteAfter + cancelAfterDrop)
			c.askedAt = time.Now()
			for try := 0; try < 3 && c.job.ackedAt.IsZero(); try++ {
				c.job.cancelOn(ctx, d, newClient(), i)
				time.Sleep(retransmitMS * time.Millisecond)
			}
		})
	}
	time.Sleep(dropRouteAfter)
	if trouble {
		d.putConfig(2, drumLookupRoute)
		d.record.line("the route is removed")
	}
	clients.Wait()
	var broken []string
	for _, s := range d.starts() {
		for _, c := range all {
			if !strings.HasPrefix(s.key.task, c.job.id+".") {
				continue
			}
			from, what := c.askedAt.Add(ackMS*time.Millisecond), "has waited ack_ms for its acknowledgement"
			if !c.job.ackedAt.IsZero() {
				from, what = c.job.ackedAt, "was acknowledged"
			}
			if late := s.started.Sub(from); late > cancelMS*time.Millisecond {
				broken = append(broken, fmt.Sprintf("UNASKED: %s starts on %s at %s, %.3f s after the cancellation of its job %s",
					s.key.task, s.executor, d.record.at(s.started), late.Seconds(), what))
			}
		}
	}
	return broken, nil
}
