package soak

import (
	"context"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/rhubarbsail/rhubarbsail/platform/standin"
)

const (
	// recoveryTimeout is the bound that users require on the time from the end of
	// the last fault until each gateway completes jobs again.
	recoveryTimeout = 15 * time.Second
	// configTimeout is the bound that users require on the time from the end of an
	// outage until each gateway has the newest configuration.
	configTimeout = 6 * time.Second
	// configApplyMax is the bound that users require on the time after the acknowledgment
	// of a change until each gateway that runs and has a path to the store has it.
	configApplyMax = 2 * time.Second
	// idleTimeout bounds how long tasks may run after the last caller is gone.
	idleTimeout = 2 * time.Second
	// drainMax is the bound that users require on the time after the acknowledgment
	// of a target's drain in which tasks may still start there.
	drainMax = 2 * time.Second
	// zoneDrainMax is the bound that users require on the time after the acknowledgment
	// of a zone's drain in which tasks may still start there.
	zoneDrainMax = 5 * time.Second
	// faultFreeTime is how long an agent must have been free of faults before
	// drainMax applies to it.
	faultFreeTime = 4 * time.Second
	findingsMax   = 20
)

// checker checks the guarantees to callers and targets against what they observe.
type checker struct {
	system *system

	mu        sync.Mutex // owns the fields below
	jobs      []*job
	cancelled []*cancelledJob
	reported  map[string]bool
}

func newChecker(s *system) *checker { return &checker{system: s, reported: map[string]bool{}} }

func (c *checker) add(j *job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs = append(c.jobs, j)
}

// report reports a finding as a test failure, with the current time. It omits
// repetitions, and findings after the first findingsMax.
func (c *checker) report(format string, args ...any) {
	finding := fmt.Sprintf(format, args...)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reported[finding] {
		return
	}
	c.reported[finding] = true
	if len(c.reported) <= findingsMax {
		c.system.t.Errorf("%s %s", time.Now().Format("15:04:05.000"), finding)
	}
}

// checkRecovery requires that each gateway has the newest configuration and
// completes jobs within the required bounds after the last fault.
func (c *checker) checkRecovery() {
	s := c.system
	ctx := context.Background()
	newest := s.newestVersion()
	var wg sync.WaitGroup
	for _, g := range s.gateways {
		wg.Go(func() {
			s.await(configTimeout+slack, fmt.Sprintf("%s has configuration %d", g.Name, newest), func() bool {
				ok, err := s.servesVersion(ctx, g, newest)
				return ok && err == nil
			})
		})
		wg.Go(func() {
			n := 0
			s.await(recoveryTimeout, g.Name+" completes jobs", func() bool {
				n++
				call, cancel := context.WithTimeout(ctx, answerTimeout+slack)
				defer cancel()
				id := fmt.Sprintf("%s-%d", g.Name, n)
				a, err := s.caller(g, jobQueue).Send(call, standin.Job{ID: id, Spec: "ms=20", Tasks: 2})
				return err == nil && a.State == "completed"
			})
		})
	}
	wg.Wait()
}

// checkIdle requires that no task keeps running after all callers are gone.
func (c *checker) checkIdle() {
	for _, a := range c.system.agents {
		c.system.await(idleTimeout, "no task runs at "+a.Name, func() bool { return a.target.Running() == 0 })
	}
}

// taskRun is a run of a task with the agent of its target.
type taskRun struct {
	standin.Run
	agent *node
}

func (r taskRun) String() string {
	return fmt.Sprintf("%s attempt %d at %s from %s to %s (%s)", r.Task, r.Attempt, r.agent.Name,
		r.Started.Format("15:04:05.000"), r.Ended.Format("15:04:05.000"), r.Ending)
}

// checkRuns checks all runs so far and returns them by job id. No two runs of a
// task may overlap, no target may exceed its capacity, and no target may get a
// task later than drainMax after its drain was acknowledged. Unless the
// deployment is idle, overlaps with a run that has not ended are left to a later
// check: the targets are read one after another, and the run may have ended
// before the next one started at another target.
func (c *checker) checkRuns(idle bool) map[string][]taskRun {
	byJob := map[string][]taskRun{}
	for _, a := range c.system.agents {
		for _, v := range a.target.Violations() {
			c.report("%s: %s", a.Name, v)
		}
		for _, r := range a.target.Runs() {
			id, _, _ := strings.Cut(r.Task, ".")
			byJob[id] = append(byJob[id], taskRun{r, a})
			if r.Late {
				// The bounds on starts do not apply to calls that a target executes late.
				continue
			}
			if r.AfterDrainAck > drainMax+lateCallDelay && !a.hadFault(r.Started.Add(-faultFreeTime), r.Started) {
				c.report("%s: task %s started %v after the drain of its target was acknowledged", a.Name, r.Task, r.AfterDrainAck)
			}
			if c.system.inDrainedZone(a.zone, r.Started) && !a.hadFault(r.Started.Add(-faultFreeTime), r.Started) {
				c.report("%s: task %s started in the drained zone %s", a.Name, r.Task, a.zone)
			}
		}
	}
	for _, runs := range byJob {
		c.checkOverlaps(runs, idle)
	}
	return byJob
}

// checkOverlaps requires that no two runs of a task of one job overlap.
func (c *checker) checkOverlaps(runs []taskRun, idle bool) {
	sort.Slice(runs, func(a, b int) bool { return runs[a].Started.Before(runs[b].Started) })
	last := map[string]taskRun{}
	for _, r := range runs {
		before, ok := last[r.Task]
		last[r.Task] = r
		if running := before.Ended.IsZero(); ok && (running && idle || r.Started.Before(before.Ended)) {
			c.report("two runs at a time: %v and attempt %d at %s from %s", before, r.Attempt, r.agent.Name, r.Started.Format("15:04:05.000"))
		}
	}
}

// checkJobs checks the answers to all jobs against all runs, after the last run
// has ended.
func (c *checker) checkJobs() {
	byJob := c.checkRuns(true)
	counts := map[string]int{}
	for _, j := range c.jobs {
		if j.Spec == crashSpec {
			c.checkCrashes(j, byJob[j.ID])
		}
		for _, s := range j.sends {
			c.checkSend(s, j, byJob[j.ID])
			counts[s.outcome()]++
		}
	}
	c.checkCancelled(byJob)
	c.system.t.Logf("%d jobs; submissions by outcome: %v", len(c.jobs), counts)
}

// refused reports whether the answer says that no task of the job has run.
func (s *send) refused() bool {
	return s.err == nil && s.answer.Status == http.StatusServiceUnavailable
}

func (s *send) outcome() string {
	switch {
	case s.refusedConnection():
		return "no connection"
	case s.err != nil && s.wasUnread():
		return "not read"
	case s.err != nil:
		return "no answer"
	case s.answer.State != "":
		return s.answer.State
	}
	return http.StatusText(s.answer.Status)
}

// checkSend checks the result of one submission against the runs of its job.
func (c *checker) checkSend(s *send, j *job, runs []taskRun) {
	if s.err != nil {
		c.checkMissingAnswer(s, j)
		return
	}
	if late := s.ended.Sub(s.at) - j.Timeout; late > slack/2 && !s.gateway.hadFault(s.at, s.ended) {
		c.report("job %s: %s answered %v after the deadline", j.ID, s.gateway.Name, late)
	}
	switch {
	case s.answer.State == "completed":
		c.checkCompleted(s, j, runs)
	case s.answer.State == "failed":
		c.checkFailed(s, j, runs)
	case s.refused():
		c.checkRefused(s, j, runs)
	case s.answer.Status == http.StatusBadGateway, s.answer.Status == http.StatusGatewayTimeout:
	default:
		c.report("job %s: %s answered %d %q", j.ID, s.gateway.Name, s.answer.Status, s.answer.State)
	}
	if s.answer.State != "completed" {
		c.checkLogged(s, j)
	}
}

func (c *checker) checkCompleted(s *send, j *job, runs []taskRun) {
	done := map[string]bool{}
	for _, r := range runs {
		if r.Ending == "done" && r.Ended.Before(s.ended) {
			done[r.Task] = true
		}
	}
	if tasks := j.TaskCount(); len(done) < tasks {
		c.report("job %s: completed with %d of %d tasks done", j.ID, len(done), tasks)
	}
}

// checkFailed requires that a task of a failed job has failed as often as its queue
// allows, or that several targets have crashed under it.
func (c *checker) checkFailed(s *send, j *job, runs []taskRun) {
	failures := mostRuns(runs, "failed", s.ended)
	crashes := mostRuns(runs, crashedEnding, s.ended)
	if failures < jobQueue.MaxAttempts && crashes < minCrashes {
		c.report("job %s: answered failed after only %d failures of a task and %d crashes under one", j.ID, failures, crashes)
	}
}

// mostRuns returns the highest number of runs of one task with an ending before a time.
func mostRuns(runs []taskRun, ending string, before time.Time) int {
	counts := map[string]int{}
	most := 0
	for _, r := range runs {
		if r.Ending == ending && r.Ended.Before(before) {
			counts[r.Task]++
			most = max(most, counts[r.Task])
		}
	}
	return most
}

const (
	// crashedEnding is the ending of runs whose target has crashed.
	crashedEnding = "crashed"
	// minCrashes is the number of crashes under a task after which its job may be given
	// up. After crashLimit crashes it is started fewer than startsAfterLimit times more.
	minCrashes       = 2
	crashLimit       = 3
	startsAfterLimit = 3
)

// checkCrashes requires that a task that crashes its targets is not started time after
// time, at whichever gateway.
func (c *checker) checkCrashes(j *job, runs []taskRun) {
	crashes, later := map[string]int{}, map[string]int{}
	for _, r := range runs {
		if crashes[r.Task] >= crashLimit {
			later[r.Task]++
		}
		if r.Ending == crashedEnding {
			crashes[r.Task]++
		}
	}
	for t, n := range later {
		if n >= startsAfterLimit {
			c.report("job %s: task %s was started %d times after %d targets had crashed under it", j.ID, t, n, crashLimit)
		}
	}
}

// checkRefused requires that no task of a refused job starts. Tasks of an earlier
// submission that was not answered may have run before the refusal, and calls for it
// that a target executes seconds later may start them after it.
func (c *checker) checkRefused(s *send, j *job, runs []taskRun) {
	if s.answer.RetryAfter == "" {
		c.report("job %s: refused without Retry-After", j.ID)
	}
	from := s.ended
	if j.sends[0] == s {
		from = time.Time{}
	}
	for _, r := range runs {
		if r.Late && !j.sends[0].refused() {
			continue
		}
		if r.Started.After(from) {
			c.report("job %s: refused by %s at %s, but ran: %v", j.ID, s.gateway.Name, s.ended.Format("15:04:05.000"), r)
		}
	}
}

// checkMissingAnswer requires that a fault explains a missing answer. A gateway that
// stops as planned closes idle connections, so that it may leave a request unread.
func (c *checker) checkMissingAnswer(s *send, j *job) {
	if s.gateway.hadFault(s.at, s.ended) || s.refusedConnection() || s.wasUnread() && s.gateway.wasStopping(s.at, s.ended) {
		return
	}
	c.report("job %s: no answer from %s between %s and %s: %v", j.ID, s.gateway.Name,
		s.at.Format("15:04:05.000"), s.ended.Format("15:04:05.000"), s.err)
}

// checkLogged requires that the gateway logged the job's id for each answer other
// than success, unless it counted dropped log lines or a fault affected it.
func (c *checker) checkLogged(s *send, j *job) {
	out, _ := s.gateway.Output()
	if !strings.Contains(out, j.ID) && !strings.Contains(out, "lines_dropped") && !s.gateway.hadFault(s.at, s.ended.Add(slack)) {
		c.report("job %s: %s logged nothing for its answer %s", j.ID, s.gateway.Name, s.outcome())
	}
}
