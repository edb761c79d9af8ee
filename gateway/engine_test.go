package gateway

import (
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/model"
	rhubarbsailv1 "github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/v1"
)

const (
	succeeded  = rhubarbsailv1.TaskState_TASK_STATE_SUCCEEDED
	failed     = rhubarbsailv1.TaskState_TASK_STATE_FAILED
	running    = rhubarbsailv1.TaskState_TASK_STATE_RUNNING
	notStarted = rhubarbsailv1.TaskState_TASK_STATE_NOT_STARTED
)

// onlyStart fails the test unless exactly one start was sent, and returns it and its
// agent.
func onlyStart(t *testing.T, starts map[string][]*rhubarbsailv1.Start) (string, *rhubarbsailv1.Start) {
	t.Helper()
	if len(starts) != 1 {
		t.Fatalf("starts at %d agents, want 1", len(starts))
	}
	for agent, list := range starts {
		if len(list) != 1 {
			t.Fatalf("%d starts, want 1", len(list))
		}
		return agent, list[0]
	}
	return "", nil
}

// Guards against a resubmission that runs a job twice or gets another job's answer.
// Submissions under one key share one run and its answer, also after the job was
// answered. A different job under the key is refused, and the same key of another
// client is a different job.
func TestSubmissionsOfOneKeyShareOneRun(t *testing.T) {
	f := newFixture(t)
	f.becomeFirstOwner(1)
	j := f.job("k", 1)
	first, second := f.submit(j), f.submit(j)
	agent, s := onlyStart(t, f.takeStarts())
	conflict := f.job("k", 2)
	f.wantAnswer(f.submit(conflict), model.RunNotRun, model.ReasonConflict)
	foreign := f.job("k", 1)
	foreign.Key.Client = "d"
	third := f.submit(foreign)
	_, s2 := onlyStart(t, f.takeStarts())
	f.report(agent, outcomeRecord(s2, succeeded, "other"))
	f.report(agent, outcomeRecord(s, succeeded, "mine"))
	for _, to := range []<-chan reply{first, second, f.submit(j)} {
		if a := f.wantAnswer(to, model.RunComplete, ""); string(a.Results[0]) != "mine" {
			t.Errorf("result %q", a.Results[0])
		}
	}
	if a := f.wantAnswer(third, model.RunComplete, ""); string(a.Results[0]) != "other" {
		t.Errorf("result %q of the other client", a.Results[0])
	}
	if n := len(f.takeStarts()); n != 0 {
		t.Errorf("%d agents got a second start", n)
	}
}

// Guards against starting a task twice after the link to its agent broke. The task may
// be placed again only once that agent has reported it as not started. A late record of
// the first placement must not end the second.
func TestTaskIsPlacedAgainOnlyAfterAgentReportsNotStarted(t *testing.T) {
	f := newFixture(t)
	f.becomeFirstOwner(2)
	to := f.submit(f.job("k", 1))
	agent, s := onlyStart(t, f.takeStarts())
	f.unlink(agent)
	f.advance(time.Second)
	if len(f.takeStarts()) != 0 {
		t.Fatal("the task was placed again while its agent was out of reach")
	}
	f.link(agent, 1)
	var revoke *rhubarbsailv1.Revoke
	for _, m := range f.takeFrames(agent) {
		if r := m.GetRevoke(); r != nil {
			revoke = r
		}
	}
	if revoke == nil || len(revoke.Attempts) != 1 {
		t.Fatal("the agent was not asked about the task after the link came back")
	}
	f.deliver(agent, &rhubarbsailv1.AgentFrame{Frame: &rhubarbsailv1.AgentFrame_Revoked{Revoked: &rhubarbsailv1.RevokeReply{
		Request: revoke.Request, Records: []*rhubarbsailv1.TaskRecord{outcomeRecord(s, notStarted, "")},
	}}})
	f.advance(10 * time.Millisecond)
	f.answerProbes()
	again := f.takeStarts()
	next, s2 := onlyStart(t, again)
	if s2.Attempt <= s.Attempt {
		t.Errorf("attempt %d after %d", s2.Attempt, s.Attempt)
	}
	if next == agent {
		f.report(agent, outcomeRecord(s, notStarted, ""))
		if len(f.takeStarts()) != 0 {
			t.Fatal("a late record of the first placement moved the second")
		}
	}
	f.report(next, outcomeRecord(s2, succeeded, "x"))
	f.wantAnswer(to, model.RunComplete, "")
}

// Guards against answering not_run for a job whose tasks may have started; the caller
// might then run the work again. Whatever makes the job fail, the answer is not_run only
// if no start was sent.
func TestFailedAnswerIsNotRunOnlyIfNothingWasSent(t *testing.T) {
	for _, c := range []struct {
		name   string
		linked bool
		fault  func(f *fixture, agent string, s *rhubarbsailv1.Start)
		state  model.RunState
		reason model.Reason
	}{
		{"target fails", true, func(f *fixture, agent string, s *rhubarbsailv1.Start) { f.report(agent, outcomeRecord(s, failed, "")) }, model.RunMayHaveRun, model.ReasonTaskFailed},
		{"agent restarted", true, func(f *fixture, agent string, _ *rhubarbsailv1.Start) { f.unlink(agent); f.link(agent, 2) }, model.RunMayHaveRun, model.ReasonOutcomeLost},
		{"cancelled", true, func(f *fixture, _ string, _ *rhubarbsailv1.Start) {
			f.e.cancelJob(f.now, model.JobKey{Client: "c", Key: "k"})
		}, model.RunMayHaveRun, model.ReasonCancelled},
		{"deadline", true, func(f *fixture, _ string, _ *rhubarbsailv1.Start) { f.advance(time.Minute) }, model.RunMayHaveRun, model.ReasonDeadline},
		{"cancelled before a start", false, func(f *fixture, _ string, _ *rhubarbsailv1.Start) {
			f.e.cancelJob(f.now, model.JobKey{Client: "c", Key: "k"})
		}, model.RunNotRun, model.ReasonCancelled},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.becomeFirstOwner(1)
			if !c.linked {
				f.unlink("a1")
			}
			to := f.submit(f.job("k", 1))
			var agent string
			var s *rhubarbsailv1.Start
			if c.linked {
				agent, s = onlyStart(t, f.takeStarts())
			}
			f.wantNoReply(to)
			c.fault(f, agent, s)
			f.wantAnswer(to, c.state, c.reason)
		})
	}
}

// Guards against starts by a gateway that has lost its ownership, since the new owner
// may start the same tasks. If the gateway knows of a new owner, it refers its callers
// to that.
func TestNothingStartsWithoutConfirmedOwnership(t *testing.T) {
	for _, c := range []struct {
		name string
		lose func(f *fixture)
		// moved is set if waiting submissions are referred to the new owner.
		moved bool
	}{
		{"no confirmation within the validity time", func(f *fixture) { f.advance(3 * time.Second) }, false},
		{"an agent reports a newer epoch", func(f *fixture) {
			f.advance(600 * time.Millisecond)
			for _, m := range f.takeFrames("a1") {
				if p := m.GetProbe(); p != nil {
					f.deliver("a1", &rhubarbsailv1.AgentFrame{Frame: &rhubarbsailv1.AgentFrame_Probed{Probed: &rhubarbsailv1.ProbeReply{
						Sequence: p.Sequence, Newer: []*rhubarbsailv1.PartitionEpoch{{Partition: 0, Epoch: 1 << 40}},
					}}})
				}
			}
		}, true},
		{"the log shows another owner", func(f *fixture) { f.claim(other, 7, false) }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.becomeFirstOwner(1)
			for range 4 {
				f.submit(f.job("busy"+f.now.String(), 1))
				f.advance(time.Millisecond)
			}
			f.takeStarts()
			waiting := f.submit(f.job("waiting", 1))
			f.takeStarts()
			c.lose(f)
			f.advance(10 * time.Millisecond)
			if n := len(f.takeStarts()); n != 0 {
				t.Errorf("%d agents got starts", n)
			}
			if !c.moved {
				f.wantAnswer(f.submit(f.job("late", 1)), model.RunMayHaveRun, model.ReasonNoOwner)
				return
			}
			if r := <-waiting; !r.moved {
				t.Errorf("reply %+v, want moved", r)
			}
		})
	}
}

// Guards against answering not_run while the ownership is not confirmed. Another owner
// may then have run the job, even if this gateway sent none of its tasks.
func TestNotRunNeedsConfirmedOwnership(t *testing.T) {
	f := newFixture(t)
	f.becomeFirstOwner(1)
	f.unlink("a1")
	to := f.submit(f.job("k", 1))
	f.wantNoReply(to)
	f.advance(3 * time.Second)
	f.e.cancelJob(f.now, model.JobKey{Client: "c", Key: "k"})
	f.wantAnswer(to, model.RunMayHaveRun, model.ReasonCancelled)
}

// Guards against answering a resubmission with the stored not_run answer of the first
// attempt, which told the caller to submit again. Only a cancelled job stays cancelled.
func TestResubmissionAfterNotRun(t *testing.T) {
	for _, c := range []struct {
		name   string
		reason model.Reason
		runs   bool
	}{{"dropped because of overload", model.ReasonOverload, true}, {"cancelled", model.ReasonCancelled, false}} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.becomeFirstOwner(1)
			f.unlink("a1")
			j := f.job("k", 1)
			to := f.submit(j)
			f.e.fail(f.e.jobs[j.Key], f.now, c.reason, "")
			f.wantAnswer(to, model.RunNotRun, c.reason)
			again := f.submit(j)
			if c.runs {
				f.wantNoReply(again)
				return
			}
			f.wantAnswer(again, model.RunNotRun, c.reason)
		})
	}
}
