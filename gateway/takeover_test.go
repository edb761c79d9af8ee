package gateway

import (
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/model"
	"github.com/rhubarbsail/rhubarbsail/gateway/wire"
	rhubarbsailv1 "github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/v1"
	"github.com/rhubarbsail/rhubarbsail/ownership"
)

// takeOver makes this gateway the owner after another one, with linked agents
// that have not answered the fence.
func takeOver(t *testing.T, agents int, linked ...string) *fixture {
	f := newFixture(t)
	f.agents(agents)
	f.claim(other, 7, false)
	f.advance(time.Second)
	f.claim(self, selfIncarnation, false)
	for _, a := range linked {
		f.link(a, 1)
	}
	return f
}

func ledgerRecord(j *model.Job, index int, st rhubarbsailv1.TaskState, result string) *rhubarbsailv1.TaskRecord {
	d := j.Digest()
	return &rhubarbsailv1.TaskRecord{
		Task: wire.TaskIDToProto(model.TaskID{Job: j.Key, Index: index}), State: st, Result: []byte(result), JobDigest: d[:], Epoch: 5, Attempt: 1,
	}
}

// G1 to G3: a new owner that has every ledger runs only the tasks that no
// ledger shows as started and completes the job with the kept results.
func TestNewOwnerContinuesAJobFromTheLedgers(t *testing.T) {
	f := takeOver(t, 2, "a1", "a2")
	j := f.job("k", 4)
	to := f.submit(j)
	f.wantNone(to)
	f.fenced("a1", ledgerRecord(j, 0, succeeded, "r0"), ledgerRecord(j, 1, running, ""), ledgerRecord(j, 3, notStarted, ""))
	f.wantNone(to)
	f.fenced("a2", ledgerRecord(j, 3, running, ""))
	started := f.starts()
	agent, s := only(t, started)
	if s.Task.Index != 2 {
		t.Fatalf("task %d was started, only task 2 was not known", s.Task.Index)
	}
	f.report(agent, ended(s, succeeded, "r2"))
	f.report("a1", ledgerRecord(j, 1, succeeded, "r1"))
	f.wantNone(to)
	f.report("a2", ledgerRecord(j, 3, succeeded, "r3"))
	a := f.want(to, model.RunComplete, "")
	for i, want := range []string{"r0", "r1", "r2", "r3"} {
		if string(a.Results[i]) != want {
			t.Errorf("result %d is %q", i, a.Results[i])
		}
	}
}

// G1 and G4: while a ledger is missing, a key that the previous owner may have
// started is not run and not called not_run; later keys run.
func TestMissingLedgerBlocksKeysUpToTheCutOff(t *testing.T) {
	f := takeOver(t, 3, "a1", "a2")
	old := f.job("old", 1)
	to := f.submit(old)
	f.fenced("a1")
	f.fenced("a2")
	f.wantNone(to)
	for range 30 {
		f.advance(200 * time.Millisecond)
		f.confirm()
	}
	f.want(to, model.RunMayHaveRun, model.ReasonOwnerChanged)
	for range 50 {
		f.advance(200 * time.Millisecond)
		f.confirm()
	}
	later := f.submit(f.job("later", 1))
	agent, s := only(t, f.starts())
	f.report(agent, ended(s, succeeded, "x"))
	f.want(later, model.RunComplete, "")
}

// G1: the outcome of a task that the previous owner started is lost with its
// agent; the task must not run again.
func TestStartedTaskOfALostAgentIsNotRunAgain(t *testing.T) {
	f := takeOver(t, 2, "a1", "a2")
	j := f.job("k", 1)
	f.fenced("a1", ledgerRecord(j, 0, running, ""))
	f.fenced("a2")
	f.unlink("a1")
	f.link("a1", 2)
	f.confirm()
	f.want(f.submit(j), model.RunMayHaveRun, model.ReasonOutcomeLost)
	if len(f.starts()) != 0 {
		t.Error("the task was started again")
	}
}

// G7: a partition that is handed over keeps its answers and its tasks in
// progress, and the old owner starts nothing more.
func TestHandoverCarriesAnswersAndTasksInProgress(t *testing.T) {
	old := newFixture(t)
	old.own(2)
	done, open := old.job("done", 1), old.job("open", 1)
	answered := old.submit(done)
	agent, s := only(t, old.starts())
	old.report(agent, ended(s, succeeded, "kept"))
	old.want(answered, model.RunComplete, "")
	waiting := old.submit(open)
	agent, s = only(t, old.starts())
	table := old.e.stopPartition(old.now, planned(old))
	if table == nil {
		t.Fatal("the partition cannot be handed over")
	}
	if r := <-old.submit(old.job("late", 1)); !r.moved {
		t.Errorf("a stopped partition answered %+v", r)
	}
	old.wantNone(waiting)

	f := newFixture(t)
	f.agents(2)
	f.claim(other, 7, false)
	table.Partitions[0].Epoch = uint64(f.machine.Snapshot().Owners[0].Epoch)
	f.e.storeTable(table)
	f.claim(self, selfIncarnation, true)
	f.link("a1", 1)
	f.link("a2", 1)
	f.confirm()
	if a := f.want(f.submit(done), model.RunComplete, ""); string(a.Results[0]) != "kept" {
		t.Errorf("result %q", a.Results[0])
	}
	to := f.submit(open)
	f.wantNone(to)
	if len(f.starts()) != 0 {
		t.Fatal("a task in progress was started again")
	}
	f.report(agent, ended(s, succeeded, "late"))
	f.want(to, model.RunComplete, "")
}

func planned(f *fixture) ownership.PlannedHandover {
	return ownership.PlannedHandover{Epoch: f.e.partitions[0].epoch, To: ownership.GatewayRef{ID: other, Incarnation: 7}}
}

// A renewal must keep the jobs, and the start of a task that an agent refuses
// under the old epoch must go out again under the new one.
func TestRenewalKeepsJobsInProgress(t *testing.T) {
	f := newFixture(t)
	f.own(1)
	to := f.submit(f.job("k", 1))
	agent, s := only(t, f.starts())
	f.claim(self, selfIncarnation, false)
	f.wantNone(to)
	refused := ended(s, notStarted, "")
	refused.Refusal = rhubarbsailv1.RefusalReason_REFUSAL_REASON_STALE_EPOCH
	f.report(agent, refused)
	f.wantNone(to)
	_, again := only(t, f.starts())
	if again.Epoch <= s.Epoch {
		t.Errorf("epoch %d after %d", again.Epoch, s.Epoch)
	}
	f.report(agent, ended(again, succeeded, "x"))
	f.want(to, model.RunComplete, "")
}

// G1: after a failed handover the old owner goes on. Its first table, delayed in
// the network, must not replace the second, or the new owner would start again
// what was started in between.
func TestDelayedJobTableDoesNotReplaceANewerOne(t *testing.T) {
	old := newFixture(t)
	old.own(1)
	first := old.e.stopPartition(old.now, planned(old))
	old.e.resumePartition(old.now, planned(old))
	old.submit(old.job("between", 1))
	only(t, old.starts())
	second := old.e.stopPartition(old.now, planned(old))

	f := newFixture(t)
	if !f.e.storeTable(second) || f.e.storeTable(first) {
		t.Fatal("the older table was accepted after the newer one")
	}
	if n := len(f.e.tables[0].known); n != 1 {
		t.Errorf("the table has %d jobs, want 1", n)
	}
}

// A tombstone of an earlier placement says nothing about a later start on the
// same agent. Taking it for one would leave the job waiting until its deadline.
func TestAdoptedStartThatNeverArrivedIsPlacedAgain(t *testing.T) {
	f := takeOver(t, 1, "a1")
	j := f.job("k", 1)
	sent := ledgerRecord(j, 0, rhubarbsailv1.TaskState_TASK_STATE_UNSPECIFIED, "")
	sent.Attempt = 3
	p := f.e.partitions[0]
	p.takeover = ownership.NewHandover(f.e.opts.Ownership, time.Time{})
	p.known[j.Key] = &knownJob{digest: j.Digest(), tasks: map[int]knownTask{
		0: {agent: f.e.agents["a1"].ref(), record: sent},
	}}
	to := f.submit(j)
	frames := f.sent("a1")
	for _, m := range frames {
		if q := m.GetProbe(); q != nil {
			f.frame("a1", &rhubarbsailv1.AgentFrame{Frame: &rhubarbsailv1.AgentFrame_Probed{Probed: &rhubarbsailv1.ProbeReply{Sequence: q.Sequence}}})
		}
	}
	if len(f.starts()) != 0 {
		t.Fatal("the task was started before the ledger of its agent arrived")
	}
	for _, m := range frames {
		if q := m.GetFence(); q != nil {
			f.frame("a1", &rhubarbsailv1.AgentFrame{Frame: &rhubarbsailv1.AgentFrame_Fenced{Fenced: &rhubarbsailv1.FenceReply{
				Request: q.Request, Records: []*rhubarbsailv1.TaskRecord{ledgerRecord(j, 0, notStarted, "")}, Last: true,
			}}})
		}
	}
	f.wantNone(to)
	only(t, f.starts())
}
