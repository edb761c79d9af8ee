package gateway

import (
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/model"
	"github.com/rhubarbsail/rhubarbsail/gateway/wire"
	rhubarbsailv1 "github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/v1"
	"github.com/rhubarbsail/rhubarbsail/ownership"
)

// newTakeoverFixture makes this gateway the owner after another one, which left no job
// table. The linked agents have not replied to the fence.
func newTakeoverFixture(t *testing.T, agents int, linked ...string) *fixture {
	f := newFixture(t)
	f.joinAgents(agents)
	f.claim(other, 7, false)
	f.advance(time.Second)
	f.claim(self, selfIncarnation, false)
	for _, a := range linked {
		f.link(a, 1)
	}
	return f
}

// ledgerRecord returns an agent's record of a task that the previous owner sent.
func ledgerRecord(j *model.Job, index int, st rhubarbsailv1.TaskState, result string) *rhubarbsailv1.TaskRecord {
	d := j.Digest()
	return &rhubarbsailv1.TaskRecord{
		Task: wire.TaskIDToProto(model.TaskID{Job: j.Key, Index: index}), State: st, Result: []byte(result), JobDigest: d[:], Epoch: 5, Attempt: 1,
	}
}

// Guards against a new owner that starts tasks again or loses their results. Once it has
// all ledgers, it starts only the tasks that no ledger shows as started, and completes
// the job with the results from the ledgers.
func TestNewOwnerContinuesAJobFromTheLedgers(t *testing.T) {
	f := newTakeoverFixture(t, 2, "a1", "a2")
	j := f.job("k", 4)
	to := f.submit(j)
	f.wantNoReply(to)
	f.answerFence("a1", ledgerRecord(j, 0, succeeded, "r0"), ledgerRecord(j, 1, running, ""), ledgerRecord(j, 3, notStarted, ""))
	f.wantNoReply(to)
	f.answerFence("a2", ledgerRecord(j, 3, running, ""))
	started := f.takeStarts()
	agent, s := onlyStart(t, started)
	if s.Task.Index != 2 {
		t.Fatalf("task %d was started, only task 2 was not known", s.Task.Index)
	}
	f.report(agent, outcomeRecord(s, succeeded, "r2"))
	f.report("a1", ledgerRecord(j, 1, succeeded, "r1"))
	f.wantNoReply(to)
	f.report("a2", ledgerRecord(j, 3, succeeded, "r3"))
	a := f.wantAnswer(to, model.RunComplete, "")
	for i, want := range []string{"r0", "r1", "r2", "r3"} {
		if string(a.Results[i]) != want {
			t.Errorf("result %d is %q", i, a.Results[i])
		}
	}
}

// Guards against starting a task again that an agent with a missing ledger may have
// started for the previous owner. A key submitted up to the cut-off is answered
// may_have_run; later keys run.
func TestMissingLedgerBlocksKeysUpToTheCutOff(t *testing.T) {
	f := newTakeoverFixture(t, 3, "a1", "a2")
	old := f.job("old", 1)
	to := f.submit(old)
	f.answerFence("a1")
	f.answerFence("a2")
	f.wantNoReply(to)
	for range 30 {
		f.advance(200 * time.Millisecond)
		f.answerProbes()
	}
	f.wantAnswer(to, model.RunMayHaveRun, model.ReasonOwnerChanged)
	for range 50 {
		f.advance(200 * time.Millisecond)
		f.answerProbes()
	}
	later := f.submit(f.job("later", 1))
	agent, s := onlyStart(t, f.takeStarts())
	f.report(agent, outcomeRecord(s, succeeded, "x"))
	f.wantAnswer(later, model.RunComplete, "")
}

// Guards against starting a task again whose agent restarted. The ledger showed that the
// previous owner had started it, so its outcome is lost.
func TestStartedTaskOfALostAgentIsNotRunAgain(t *testing.T) {
	f := newTakeoverFixture(t, 2, "a1", "a2")
	j := f.job("k", 1)
	f.answerFence("a1", ledgerRecord(j, 0, running, ""))
	f.answerFence("a2")
	f.unlink("a1")
	f.link("a1", 2)
	f.answerProbes()
	f.wantAnswer(f.submit(j), model.RunMayHaveRun, model.ReasonOutcomeLost)
	if len(f.takeStarts()) != 0 {
		t.Error("the task was started again")
	}
}

// Guards against a handover that loses answers or starts tasks in progress again. The
// old owner must refer new submissions to the new owner once it has sent the job table.
func TestHandoverCarriesAnswersAndTasksInProgress(t *testing.T) {
	old := newFixture(t)
	old.becomeFirstOwner(2)
	done, open := old.job("done", 1), old.job("open", 1)
	answered := old.submit(done)
	agent, s := onlyStart(t, old.takeStarts())
	old.report(agent, outcomeRecord(s, succeeded, "kept"))
	old.wantAnswer(answered, model.RunComplete, "")
	waiting := old.submit(open)
	agent, s = onlyStart(t, old.takeStarts())
	table := old.e.beginHandover(old.now, plannedHandover(old))
	if table == nil {
		t.Fatal("the partition cannot be handed over")
	}
	if r := <-old.submit(old.job("late", 1)); !r.moved {
		t.Errorf("a partition that is being handed over replied %+v, want moved", r)
	}
	old.wantNoReply(waiting)

	f := newFixture(t)
	f.joinAgents(2)
	f.claim(other, 7, false)
	table.Partitions[0].Epoch = uint64(f.machine.Snapshot().Owners[0].Epoch)
	f.e.storeTable(table)
	f.claim(self, selfIncarnation, true)
	f.link("a1", 1)
	f.link("a2", 1)
	f.answerProbes()
	if a := f.wantAnswer(f.submit(done), model.RunComplete, ""); string(a.Results[0]) != "kept" {
		t.Errorf("result %q", a.Results[0])
	}
	to := f.submit(open)
	f.wantNoReply(to)
	if len(f.takeStarts()) != 0 {
		t.Fatal("a task in progress was started again")
	}
	f.report(agent, outcomeRecord(s, succeeded, "late"))
	f.wantAnswer(to, model.RunComplete, "")
}

// plannedHandover returns the plan to hand the fixture's partition over to the other
// gateway.
func plannedHandover(f *fixture) ownership.PlannedHandover {
	return ownership.PlannedHandover{Epoch: f.e.partitions[0].epoch, To: ownership.GatewayRef{ID: other, Incarnation: 7}}
}

// Guards against a renewal that drops the jobs in progress. A start that an agent
// refuses because of the old epoch must be sent again under the new one.
func TestRenewalKeepsJobsInProgress(t *testing.T) {
	f := newFixture(t)
	f.becomeFirstOwner(1)
	to := f.submit(f.job("k", 1))
	agent, s := onlyStart(t, f.takeStarts())
	f.claim(self, selfIncarnation, false)
	f.wantNoReply(to)
	refused := outcomeRecord(s, notStarted, "")
	refused.Refusal = rhubarbsailv1.RefusalReason_REFUSAL_REASON_STALE_EPOCH
	f.report(agent, refused)
	f.wantNoReply(to)
	_, again := onlyStart(t, f.takeStarts())
	if again.Epoch <= s.Epoch {
		t.Errorf("epoch %d after %d", again.Epoch, s.Epoch)
	}
	f.report(agent, outcomeRecord(again, succeeded, "x"))
	f.wantAnswer(to, model.RunComplete, "")
}

// Guards against a delayed job table that replaces a newer one. After a failed handover
// the old owner continues to start tasks, and then sends a second table. With the first
// table, which is delayed in the network, the new owner would start those tasks again.
func TestDelayedJobTableDoesNotReplaceANewerOne(t *testing.T) {
	old := newFixture(t)
	old.becomeFirstOwner(1)
	first := old.e.beginHandover(old.now, plannedHandover(old))
	old.e.abortHandover(old.now, plannedHandover(old))
	old.submit(old.job("between", 1))
	onlyStart(t, old.takeStarts())
	second := old.e.beginHandover(old.now, plannedHandover(old))

	f := newFixture(t)
	if !f.e.storeTable(second) || f.e.storeTable(first) {
		t.Fatal("the older table was accepted after the newer one")
	}
	if n := len(f.e.handoverTables[0].inherited); n != 1 {
		t.Errorf("the table has %d jobs, want 1", n)
	}
}

// Guards against taking a tombstone of an earlier placement as proof that a later start
// arrived at the same agent. The job would then wait until its deadline for a task that
// never arrived.
func TestAdoptedStartThatNeverArrivedIsPlacedAgain(t *testing.T) {
	f := newTakeoverFixture(t, 1, "a1")
	j := f.job("k", 1)
	sent := ledgerRecord(j, 0, rhubarbsailv1.TaskState_TASK_STATE_UNSPECIFIED, "")
	sent.Attempt = 3
	p := f.e.partitions[0]
	p.takeover = ownership.NewHandover(f.e.opts.Ownership, time.Time{})
	p.inherited[j.Key] = &inheritedJob{digest: j.Digest(), tasks: map[int]inheritedTask{
		0: {agent: f.e.agents["a1"].ref(), record: sent},
	}}
	to := f.submit(j)
	frames := f.takeFrames("a1")
	for _, m := range frames {
		if q := m.GetProbe(); q != nil {
			f.deliver("a1", &rhubarbsailv1.AgentFrame{Frame: &rhubarbsailv1.AgentFrame_Probed{Probed: &rhubarbsailv1.ProbeReply{Sequence: q.Sequence}}})
		}
	}
	if len(f.takeStarts()) != 0 {
		t.Fatal("the task was started before the ledger of its agent arrived")
	}
	for _, m := range frames {
		if q := m.GetFence(); q != nil {
			f.deliver("a1", &rhubarbsailv1.AgentFrame{Frame: &rhubarbsailv1.AgentFrame_Fenced{Fenced: &rhubarbsailv1.FenceReply{
				Request: q.Request, Records: []*rhubarbsailv1.TaskRecord{ledgerRecord(j, 0, notStarted, "")}, Last: true,
			}}})
		}
	}
	f.wantNoReply(to)
	onlyStart(t, f.takeStarts())
}
