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
	// recoveryTimeout is the users' bound on the time until all is served again.
	recoveryTimeout = 15 * time.Second
	// configTimeout is the users' bound for a configuration after an outage.
	configTimeout = 6 * time.Second
	// quietTimeout bounds how long tasks run after the last caller has left.
	quietTimeout = 2 * time.Second
	// drainMax is the users' bound for starts at a target whose leave is known.
	drainMax = 2 * time.Second
	// contact is the time for which a process must have run undisturbed before a
	// bound holds for it.
	contact     = 4 * time.Second
	findingsMax = 20
)

// judge checks the promises to callers and targets by what they see.
type judge struct {
	site *site

	mu       sync.Mutex // owns the fields below
	jobs     []*job
	reported map[string]bool
}

func newJudge(s *site) *judge { return &judge{site: s, reported: map[string]bool{}} }

func (j *judge) add(done *job) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.jobs = append(j.jobs, done)
}

// report adds a finding, with the time at which it was first made.
func (j *judge) report(format string, args ...any) {
	finding := fmt.Sprintf(format, args...)
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.reported[finding] {
		return
	}
	j.reported[finding] = true
	if len(j.reported) <= findingsMax {
		j.site.t.Errorf("%s %s", time.Now().Format("15:04:05.000"), finding)
	}
}

// recovered requires that everything works within the users' bounds after the
// last fault.
func (j *judge) recovered() {
	s := j.site
	ctx := context.Background()
	newest := s.newestVersion()
	var wg sync.WaitGroup
	for _, g := range s.gateways {
		wg.Go(func() {
			s.await(configTimeout+slack, fmt.Sprintf("%s has configuration %d", g.Name, newest), func() bool {
				ok, err := s.serves(ctx, g, newest)
				return ok && err == nil
			})
		})
		wg.Go(func() {
			n := 0
			s.await(recoveryTimeout, g.Name+" completes jobs", func() bool {
				n++
				call, cancel := context.WithTimeout(ctx, patience+slack)
				defer cancel()
				id := fmt.Sprintf("%s-%d", g.Name, n)
				a, err := s.caller(g, jobQueue).Send(call, standin.Job{ID: id, Spec: "ms=20", Tasks: 2})
				return err == nil && a.State == "completed"
			})
		})
	}
	wg.Wait()
}

// quiet requires that no task goes on when no caller is left.
func (j *judge) quiet() {
	for _, a := range j.site.agents {
		j.site.await(quietTimeout, "nothing runs at "+a.Name, func() bool { return a.target.Running() == 0 })
	}
}

// taskRun is a run of a task with its target.
type taskRun struct {
	standin.Run
	agent *node
}

func (r taskRun) String() string {
	return fmt.Sprintf("%s attempt %d at %s from %s to %s (%s)", r.Task, r.Attempt, r.agent.Name,
		r.Started.Format("15:04:05.000"), r.Ended.Format("15:04:05.000"), r.Ending)
}

// checkRuns requires of all runs so far that no two of a task were at work at a
// time, that no target was over its capacity, and that none was given work after
// its leave was known. It returns the runs by job. Unless all is at rest, a run
// that goes on while the targets are asked one after another may have ended
// before the next one began elsewhere; it is left to a later check.
func (j *judge) checkRuns(atRest bool) map[string][]taskRun {
	byJob := map[string][]taskRun{}
	for _, a := range j.site.agents {
		for _, b := range a.target.Violations() {
			j.report("%s: %s", a.Name, b)
		}
		for _, r := range a.target.Runs() {
			id, _, _ := strings.Cut(r.Task, ".")
			byJob[id] = append(byJob[id], taskRun{r, a})
			if r.AfterDrainAck > drainMax+lateAfter && !a.wasDisturbed(r.Started.Add(-contact), r.Started) {
				j.report("%s: start of %s %v after the leave of its target was known", a.Name, r.Task, r.AfterDrainAck)
			}
		}
	}
	for _, runs := range byJob {
		j.checkOverlaps(runs, atRest)
	}
	return byJob
}

// checkOverlaps checks the runs of one job.
func (j *judge) checkOverlaps(runs []taskRun, atRest bool) {
	sort.Slice(runs, func(a, b int) bool { return runs[a].Started.Before(runs[b].Started) })
	last := map[string]taskRun{}
	for _, r := range runs {
		before, ok := last[r.Task]
		last[r.Task] = r
		if goesOn := before.Ended.IsZero(); ok && (goesOn && atRest || r.Started.Before(before.Ended)) {
			j.report("two runs at a time: %v and attempt %d at %s from %s", before, r.Attempt, r.agent.Name, r.Started.Format("15:04:05.000"))
		}
	}
}

// judge checks all jobs against all runs, none of which goes on any more.
func (j *judge) judge() {
	byJob := j.checkRuns(true)
	counts := map[string]int{}
	for _, done := range j.jobs {
		for _, s := range done.sends {
			j.judgeSend(s, done, byJob[done.ID])
			counts[s.outcome()]++
		}
	}
	j.site.t.Logf("%d jobs; submissions by outcome: %v", len(j.jobs), counts)
}

func (s *send) outcome() string {
	switch {
	case s.refusedConnection():
		return "no connection"
	case s.err != nil:
		return "no answer"
	case s.answer.State != "":
		return s.answer.State
	}
	return http.StatusText(s.answer.Status)
}

// judgeSend checks one answer of a job.
func (j *judge) judgeSend(s *send, of *job, runs []taskRun) {
	if s.err != nil {
		j.judgeMissing(s, of)
		return
	}
	if late := s.ended.Sub(s.at) - patience; late > slack/2 && !s.gateway.wasDisturbed(s.at, s.ended) {
		j.report("job %s: %s answered %v after the deadline", of.ID, s.gateway.Name, late)
	}
	switch {
	case s.answer.State == "completed":
		j.judgeCompleted(s, of, runs)
	case s.answer.State == "failed":
		j.judgeFailed(s, of, runs)
	case s.answer.Status == http.StatusServiceUnavailable:
		j.judgeRefused(s, of, runs)
	case s.answer.Status == http.StatusBadGateway, s.answer.Status == http.StatusGatewayTimeout:
	default:
		j.report("job %s: %s answered %d %q", of.ID, s.gateway.Name, s.answer.Status, s.answer.State)
	}
	if s.answer.State != "completed" {
		j.judgeExplained(s, of)
	}
}

func (j *judge) judgeCompleted(s *send, of *job, runs []taskRun) {
	done := map[string]bool{}
	for _, r := range runs {
		if r.Ending == "done" && r.Ended.Before(s.ended) {
			done[r.Task] = true
		}
	}
	if len(done) < of.Tasks {
		j.report("job %s: completed with %d of %d tasks done", of.ID, len(done), of.Tasks)
	}
}

func (j *judge) judgeFailed(s *send, of *job, runs []taskRun) {
	failures := map[string]int{}
	most := 0
	for _, r := range runs {
		if r.Ending == "failed" && r.Ended.Before(s.ended) {
			failures[r.Task]++
			most = max(most, failures[r.Task])
		}
	}
	if most < jobQueue.MaxAttempts {
		j.report("job %s: failed after %d failures of a task", of.ID, most)
	}
}

// judgeRefused requires that nothing of a refused job starts. A task of an
// earlier submission that had no answer may have run before.
func (j *judge) judgeRefused(s *send, of *job, runs []taskRun) {
	if s.answer.RetryAfter == "" {
		j.report("job %s: refused without Retry-After", of.ID)
	}
	from := s.ended
	if of.sends[0] == s {
		from = time.Time{}
	}
	for _, r := range runs {
		if r.Started.After(from) {
			j.report("job %s: refused by %s at %s, but ran: %v", of.ID, s.gateway.Name, s.ended.Format("15:04:05.000"), r)
		}
	}
}

// judgeMissing requires a fault behind each missing answer.
func (j *judge) judgeMissing(s *send, of *job) {
	if s.gateway.wasDisturbed(s.at, s.ended) || s.refusedConnection() {
		return
	}
	j.report("job %s: no answer of %s from %s to %s: %v", of.ID, s.gateway.Name,
		s.at.Format("15:04:05.000"), s.ended.Format("15:04:05.000"), s.err)
}

// judgeExplained requires a log line with the job's id for each answer that is
// not a success, unless lines were dropped and counted or the process was killed.
func (j *judge) judgeExplained(s *send, of *job) {
	out, _ := s.gateway.Output()
	if !strings.Contains(out, of.ID) && !strings.Contains(out, "lines_dropped") && !s.gateway.wasDisturbed(s.at, s.ended.Add(slack)) {
		j.report("job %s: %s has no log line for its answer %s", of.ID, s.gateway.Name, s.outcome())
	}
}
