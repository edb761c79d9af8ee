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

// only returns the one start that was sent, and its agent.
func only(t *testing.T, starts map[string][]*rhubarbsailv1.Start) (string, *rhubarbsailv1.Start) {
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

// G3: each submission under a key gets the one answer, also when it comes after
// the answer, and another client's job under the same key is another job.
func TestSubmissionsOfOneKeyShareOneRun(t *testing.T) {
	f := newFixture(t)
	f.own(1)
	j := f.job("k", 1)
	first, second := f.submit(j), f.submit(j)
	agent, s := only(t, f.starts())
	conflict := f.job("k", 2)
	f.want(f.submit(conflict), model.RunNotRun, model.ReasonConflict)
	foreign := f.job("k", 1)
	foreign.Key.Client = "d"
	third := f.submit(foreign)
	_, s2 := only(t, f.starts())
	f.report(agent, ended(s2, succeeded, "other"))
	f.report(agent, ended(s, succeeded, "mine"))
	for _, to := range []<-chan reply{first, second, f.submit(j)} {
		if a := f.want(to, model.RunComplete, ""); string(a.Results[0]) != "mine" {
			t.Errorf("result %q", a.Results[0])
		}
	}
	if a := f.want(third, model.RunComplete, ""); string(a.Results[0]) != "other" {
		t.Errorf("result %q of the other client", a.Results[0])
	}
	if n := len(f.starts()); n != 0 {
		t.Errorf("%d agents got a second start", n)
	}
}

// G1: a task may be placed again only once its agent has said that it did not
// start it, and a late record of the earlier placement must change nothing.
func TestTaskMovesOnlyAfterItsAgentGaveItBack(t *testing.T) {
	f := newFixture(t)
	f.own(2)
	to := f.submit(f.job("k", 1))
	agent, s := only(t, f.starts())
	f.unlink(agent)
	f.advance(time.Second)
	if len(f.starts()) != 0 {
		t.Fatal("the task was placed again while its agent was out of reach")
	}
	f.link(agent, 1)
	var revoke *rhubarbsailv1.Revoke
	for _, m := range f.sent(agent) {
		if r := m.GetRevoke(); r != nil {
			revoke = r
		}
	}
	if revoke == nil || len(revoke.Attempts) != 1 {
		t.Fatal("the agent was not asked about the task after the link came back")
	}
	f.frame(agent, &rhubarbsailv1.AgentFrame{Frame: &rhubarbsailv1.AgentFrame_Revoked{Revoked: &rhubarbsailv1.RevokeReply{
		Request: revoke.Request, Records: []*rhubarbsailv1.TaskRecord{ended(s, notStarted, "")},
	}}})
	f.advance(10 * time.Millisecond)
	f.confirm()
	again := f.starts()
	next, s2 := only(t, again)
	if s2.Attempt <= s.Attempt {
		t.Errorf("attempt %d after %d", s2.Attempt, s.Attempt)
	}
	if next == agent {
		f.report(agent, ended(s, notStarted, ""))
		if len(f.starts()) != 0 {
			t.Fatal("a late record of the first placement moved the second")
		}
	}
	f.report(next, ended(s2, succeeded, "x"))
	f.want(to, model.RunComplete, "")
}

// G2 and G4: a job that fails, is cancelled or runs out of time has one failed
// answer, which is not_run only if no start was sent.
func TestFailedAnswersTellWhatRan(t *testing.T) {
	for _, c := range []struct {
		name   string
		linked bool
		fault  func(f *fixture, agent string, s *rhubarbsailv1.Start)
		state  model.RunState
		reason model.Reason
	}{
		{"target fails", true, func(f *fixture, agent string, s *rhubarbsailv1.Start) { f.report(agent, ended(s, failed, "")) }, model.RunMayHaveRun, model.ReasonTaskFailed},
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
			f.own(1)
			if !c.linked {
				f.unlink("a1")
			}
			to := f.submit(f.job("k", 1))
			var agent string
			var s *rhubarbsailv1.Start
			if c.linked {
				agent, s = only(t, f.starts())
			}
			f.wantNone(to)
			c.fault(f, agent, s)
			f.want(to, c.state, c.reason)
		})
	}
}

// G1: a gateway that has lost its ownership must not start anything more, and
// its callers have to ask the new owner.
func TestNothingStartsWithoutConfirmedOwnership(t *testing.T) {
	for _, c := range []struct {
		name string
		lose func(f *fixture)
		// moved is set if waiting submissions are sent to the next owner.
		moved bool
	}{
		{"no confirmation for longer than L", func(f *fixture) { f.advance(3 * time.Second) }, false},
		{"an agent reports a newer epoch", func(f *fixture) {
			f.advance(600 * time.Millisecond)
			for _, m := range f.sent("a1") {
				if p := m.GetProbe(); p != nil {
					f.frame("a1", &rhubarbsailv1.AgentFrame{Frame: &rhubarbsailv1.AgentFrame_Probed{Probed: &rhubarbsailv1.ProbeReply{
						Sequence: p.Sequence, Newer: []*rhubarbsailv1.PartitionEpoch{{Partition: 0, Epoch: 1 << 40}},
					}}})
				}
			}
		}, true},
		{"the log shows another owner", func(f *fixture) { f.claim(other, 7, false) }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.own(1)
			for range 4 {
				f.submit(f.job("busy"+f.now.String(), 1))
				f.advance(time.Millisecond)
			}
			f.starts()
			waiting := f.submit(f.job("waiting", 1))
			f.starts()
			c.lose(f)
			f.advance(10 * time.Millisecond)
			if n := len(f.starts()); n != 0 {
				t.Errorf("%d agents got starts", n)
			}
			if !c.moved {
				f.want(f.submit(f.job("late", 1)), model.RunMayHaveRun, model.ReasonNoOwner)
				return
			}
			if r := <-waiting; !r.moved {
				t.Errorf("reply %+v, want moved", r)
			}
		})
	}
}

// G4: without confirmed ownership another owner may have run the job, so a job
// whose tasks were never sent must not be called not_run.
func TestNotRunNeedsConfirmedOwnership(t *testing.T) {
	f := newFixture(t)
	f.own(1)
	f.unlink("a1")
	to := f.submit(f.job("k", 1))
	f.wantNone(to)
	f.advance(3 * time.Second)
	f.e.cancelJob(f.now, model.JobKey{Client: "c", Key: "k"})
	f.want(to, model.RunMayHaveRun, model.ReasonCancelled)
}

// A job that was given up before any start told its caller to come back; the
// resubmission must run. A cancelled job stays cancelled.
func TestResubmissionAfterNotRun(t *testing.T) {
	for _, c := range []struct {
		name   string
		reason model.Reason
		runs   bool
	}{{"given up", model.ReasonOverload, true}, {"cancelled", model.ReasonCancelled, false}} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.own(1)
			f.unlink("a1")
			j := f.job("k", 1)
			to := f.submit(j)
			f.e.fail(f.e.jobs[j.Key], f.now, c.reason, "")
			f.want(to, model.RunNotRun, c.reason)
			again := f.submit(j)
			if c.runs {
				f.wantNone(again)
				return
			}
			f.want(again, model.RunNotRun, c.reason)
		})
	}
}
