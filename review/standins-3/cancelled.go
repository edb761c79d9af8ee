package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// cancelledJob is a job whose client cancels it while it waits for the answer.
type cancelledJob struct {
	id string
	// ackedAt is when the cancellation was acknowledged; zero if it was not.
	ackedAt time.Time
}

const (
	cancelledJobs = 8
	jobInterval   = 500 * time.Millisecond
	// cancelAfter is the time from the submission of a job to its cancellation.
	cancelAfter = 400 * time.Millisecond
	// watchFor is the time for which clients go on after the last cancellation.
	watchFor  = 24 * time.Second
	clientAck = 4 * time.Second
)

// cancelledBeforeRestart has clients cancel their jobs, and then one gateway stopped and
// started again as planned. A client whose submission is answered with 502 sends it again
// retransmitMS later, to the next gateway, as PROTOCOL.md says.
func cancelledBeforeRestart(d *deployment, trouble bool) ([]string, error) {
	b := newBalancer(d)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	jobs := make([]*cancelledJob, cancelledJobs)
	var clients, cancellations sync.WaitGroup
	for i := range jobs {
		j := &cancelledJob{id: fmt.Sprintf("5c0e7a21d94b36%02x", i)}
		jobs[i] = j
		clients.Go(func() { submitUntilAnswered(ctx, d, b, j.id) })
		time.Sleep(cancelAfter)
		cancellations.Go(func() { j.cancel(ctx, d, b) })
		time.Sleep(jobInterval - cancelAfter)
	}
	cancellations.Wait()
	if trouble {
		d.gateways[0].terminate()
	}
	time.Sleep(watchFor)
	cancel()
	clients.Wait()
	_, restartedAt := d.gateways[0].present()
	return startsAfterCancel(d, jobs, restartedAt), nil
}

// cancel cancels the job at the gateway that its client is forwarded to.
func (j *cancelledJob) cancel(ctx context.Context, d *deployment, b *balancer) {
	g := b.choose(0)
	d.record.line("DELETE %s at gateway-%d", j.id, g+1)
	status, _ := d.request(ctx, newClient(), g, http.MethodDelete, j.id, "", clientAck)
	d.record.line("DELETE %s is answered %d", j.id, status)
	if status/100 == 2 || status == http.StatusGone {
		j.ackedAt = time.Now()
	}
}

// submitUntilAnswered submits a job, and again after no response, a broken connection, 502
// or 504. A client is forwarded to the first gateway, its retries reach the others in turn.
func submitUntilAnswered(ctx context.Context, d *deployment, b *balancer, id string) {
	const deadline = 1500 * time.Millisecond
	for try := 0; ctx.Err() == nil; try++ {
		g := b.choose(try % gatewayCount)
		d.record.line("POST %s at gateway-%d, try %d", id, g+1, try+1)
		status, answer := d.request(ctx, newClient(), g, http.MethodPost, id, batchScan(4, 900*time.Millisecond), deadline)
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

// startsAfterCancel returns the starts that break UNASKED: later than cancelMS after the
// acknowledgement of the job's cancellation, and by machines that are all in touch, since
// the only disruption has ended more than contactMS before.
func startsAfterCancel(d *deployment, jobs []*cancelledJob, calmSince time.Time) []string {
	var broken []string
	for _, s := range d.starts() {
		for _, j := range jobs {
			if !strings.HasPrefix(s.key.task, j.id+".") || j.ackedAt.IsZero() {
				continue
			}
			late, calm := s.started.Sub(j.ackedAt), s.started.Sub(calmSince)
			if late <= cancelMS*time.Millisecond {
				continue
			}
			if calm <= contactMS*time.Millisecond {
				d.record.line("not counted: %s starts %.3f s after the cancellation, but %.3f s after the restart", s.key.task, late.Seconds(), calm.Seconds())
				continue
			}
			broken = append(broken, fmt.Sprintf("UNASKED: %s starts on %s at %s, %.3f s after the cancellation of its job was acknowledged",
				s.key.task, s.executor, d.record.at(s.started), late.Seconds()))
		}
	}
	return broken
}
