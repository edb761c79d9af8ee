package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	lateRounds = 8
	// lateJobs are the jobs of a round, each of lateTasks tasks of lateRun. That is longer
	// than their clients wait, but not longer than tasks of the site take at the most.
	lateJobs  = 3
	lateTasks = 4
	lateRun   = 2 * time.Second
	// clientDeadline is how long clients wait, as at the site.
	clientDeadline = 1500 * time.Millisecond
	// crashAfter is the time from the submission of the jobs of a round to the crash of one
	// executor, when the second tries run. darkFor is the length of the crash.
	crashAfter = 3300 * time.Millisecond
	darkFor    = 200 * time.Millisecond
	roundTime  = 8 * time.Second
	// stopTime is how long executors take for a stop; kill_grace_ms is 50.
	stopTime = 30 * time.Millisecond
)

// lateStartOfEarlierTry has each second start of the first tries of jobs left unanswered by
// the executors and carried out late. The agents repeat these starts, which are accepted, and
// stop the runs as the clients' time is over. While the second tries run elsewhere, one
// executor crashes for a moment and starts again under its id. It then carries out the late
// starts that it has, of which it knows nothing any more.
func lateStartOfEarlierTry(d *deployment, trouble bool) ([]string, error) {
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
	for round := range lateRounds {
		p.begin(true)
		for i := range lateJobs {
			id := fmt.Sprintf("5c0e7a21d94b%02x%02x", round, i)
			clients.Go(func() { submitTwice(ctx, d, b, id, round+i) })
		}
		time.Sleep(time.Second)
		p.begin(false)
		time.Sleep(crashAfter - time.Second)
		if x := mostLate(d); trouble {
			clients.Go(func() { x.crash(darkFor) })
		}
		time.Sleep(roundTime - crashAfter)
		for _, x := range d.executors {
			x.mu.Lock()
			// Those that no restart has carried out reach an executor that refuses them.
			x.postponed = nil
			x.mu.Unlock()
		}
	}
	clients.Wait()
	return overlaps(d), nil
}

// mostLate returns the executor with the most late starts of tasks that run elsewhere now.
func mostLate(d *deployment) *executor {
	runsOn := map[string]string{}
	for _, s := range d.starts() {
		if s.ended.IsZero() {
			runsOn[s.key.task] = s.executor
		}
	}
	best, most := d.executors[0], -1
	for _, x := range d.executors {
		x.mu.Lock()
		n := 0
		for _, b := range x.postponed {
			if on := runsOn[b.Task]; on != "" && on != x.id {
				n++
			}
		}
		x.mu.Unlock()
		if n > most {
			best, most = x, n
		}
	}
	return best
}

// postponer chooses each second start for late execution, and each attempt once.
type postponer struct {
	mu     sync.Mutex // guards the fields below
	active bool
	seen   map[runKey]bool
}

func (p *postponer) begin(active bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active = active
}

func (p *postponer) choose(b callBody) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := runKey{b.Task, b.Attempt}
	if !p.active || p.seen[key] {
		return false
	}
	p.seen[key] = true
	return len(p.seen)%2 == 0
}

// submitTwice submits a job and, if that is answered with 502 or 504 or not at all, sends it
// once more retransmitMS later, to the next gateway.
func submitTwice(ctx context.Context, d *deployment, b *balancer, id string, client int) {
	for try := range 2 {
		g := b.choose((client + try) % gatewayCount)
		d.record.line("POST %s at gateway-%d, try %d", id, g+1, try+1)
		status, answer := d.request(ctx, newClient(), g, http.MethodPost, id, batchScan(lateTasks, lateRun), clientDeadline)
		d.record.line("POST %s is answered %d %s", id, status, answer)
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
			return
		}
		time.Sleep(retransmitMS * time.Millisecond)
	}
}

// overlaps returns the pairs of runs of one task that went on at the same time.
func overlaps(d *deployment) []string {
	all := d.starts()
	var broken []string
	for i, x := range all {
		for _, y := range all[i+1:] {
			if x.key.task != y.key.task || !x.started.Before(y.end()) || !y.started.Before(x.end()) {
				continue
			}
			from, to := x.started, x.end()
			if y.started.After(from) {
				from = y.started
			}
			if y.end().Before(to) {
				to = y.end()
			}
			broken = append(broken, fmt.Sprintf("TWICE: %s runs as attempt %d on %s%s and as attempt %d on %s%s at the same time, from %s for %.1f ms",
				x.key.task, x.key.attempt, x.executor, lateNote(x), y.key.attempt, y.executor, lateNote(y), d.record.at(from), to.Sub(from).Seconds()*1000))
		}
	}
	return broken
}

func lateNote(s taskStart) string {
	if s.late {
		return " (carried out late)"
	}
	return ""
}

// end returns when the run has ended.
func (s *taskStart) end() time.Time {
	if s.ended.IsZero() {
		return time.Now()
	}
	return s.ended
}
