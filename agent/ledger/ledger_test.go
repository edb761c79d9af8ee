package ledger

import (
	"fmt"
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/model"
)

const (
	incarnation = model.Incarnation(7)
	sec         = time.Second
)

func newLedger() *Ledger { return New(Options{Incarnation: incarnation}) }

func task(index int) model.TaskID {
	return model.TaskID{Job: model.JobKey{Client: "c", Key: "k"}, Index: index}
}

func attempt(index int, epoch model.Epoch, n uint32) Attempt {
	return Attempt{Task: task(index), Partition: 1, Epoch: epoch, Number: n}
}

// startAt returns a start with a permit issued at the given time.
func startAt(issued time.Duration, a Attempt) Start {
	return Start{Attempt: a, Permit: Permit{Incarnation: incarnation, Issued: issued}}
}

func begin(t *testing.T, l *Ledger, now time.Duration, a Attempt) {
	t.Helper()
	if rec, ok := l.Admit(now, startAt(now, a)); !ok {
		t.Fatalf("start %v refused: %v", a, rec.Refusal)
	}
	if rec, ok := l.Begin(now, a); !ok {
		t.Fatalf("begin %v refused: %v", a, rec.Refusal)
	}
}

func finish(t *testing.T, l *Ledger, now time.Duration, a Attempt, s State) {
	t.Helper()
	if _, ok := l.Finish(now, a, Outcome{State: s, Reason: NoTarget}); !ok {
		t.Fatalf("finish %v refused", a)
	}
}

// Guards against a second start of a task and against a start that its owner has
// given up; both violate at-most-once execution. Each case prepares a ledger and
// states the expected decision on the attempt with epoch 5 and number 2, which
// arrives at 10 s with a permit issued at 9 s.
func TestAdmitRefusesDuplicateAndInvalidStarts(t *testing.T) {
	const accepted = Reason(0)
	at := 10 * sec
	cases := []struct {
		name    string
		prepare func(t *testing.T, l *Ledger, s *Start)
		want    Reason
		state   State
	}{
		{"unknown task", func(*testing.T, *Ledger, *Start) {}, accepted, Queued},
		{"queued already", func(t *testing.T, l *Ledger, _ *Start) {
			l.Admit(at, startAt(at, attempt(0, 5, 2)))
		}, Duplicate, Queued},
		{"queued as an earlier attempt of the epoch", func(t *testing.T, l *Ledger, _ *Start) {
			l.Admit(at, startAt(at, attempt(0, 5, 1)))
		}, Duplicate, Queued},
		{"queued under an older epoch", func(t *testing.T, l *Ledger, _ *Start) {
			l.Admit(at, startAt(at, attempt(0, 4, 9)))
		}, accepted, Queued},
		{"running under an older epoch", func(t *testing.T, l *Ledger, _ *Start) {
			begin(t, l, at, attempt(0, 4, 1))
		}, Duplicate, Running},
		{"succeeded under an older epoch", func(t *testing.T, l *Ledger, _ *Start) {
			begin(t, l, sec, attempt(0, 4, 1))
			finish(t, l, sec, attempt(0, 4, 1), Succeeded)
		}, Duplicate, Succeeded},
		{"failed", func(t *testing.T, l *Ledger, _ *Start) {
			begin(t, l, sec, attempt(0, 5, 1))
			finish(t, l, sec, attempt(0, 5, 1), Failed)
		}, Duplicate, Failed},
		{"began and did not reach the target", func(t *testing.T, l *Ledger, _ *Start) {
			begin(t, l, at, attempt(0, 5, 1))
			finish(t, l, at, attempt(0, 5, 1), NotStarted)
		}, accepted, Queued},
		{"same attempt did not reach the target", func(t *testing.T, l *Ledger, _ *Start) {
			begin(t, l, at, attempt(0, 5, 2))
			finish(t, l, at, attempt(0, 5, 2), NotStarted)
		}, Revoked, NotStarted},
		{"running under another partition number", func(t *testing.T, l *Ledger, _ *Start) {
			a := attempt(0, 5, 1)
			a.Partition = 2
			begin(t, l, at, a)
		}, Duplicate, Running},
		{"fenced to a newer epoch", func(t *testing.T, l *Ledger, _ *Start) {
			l.Fence(at, []PartitionEpoch{{Partition: 1, Epoch: 6}})
		}, StaleEpoch, NotStarted},
		{"newer epoch seen in a start of another task", func(t *testing.T, l *Ledger, _ *Start) {
			l.Admit(at, startAt(at, attempt(1, 6, 1)))
		}, StaleEpoch, NotStarted},
		{"fenced to its own epoch", func(t *testing.T, l *Ledger, _ *Start) {
			l.Fence(at, []PartitionEpoch{{Partition: 1, Epoch: 5}})
		}, accepted, Queued},
		{"permit exactly at its lifetime", func(_ *testing.T, _ *Ledger, s *Start) {
			s.Permit.Issued = at - DefaultPermitLifetime
		}, accepted, Queued},
		{"permit beyond its lifetime", func(_ *testing.T, _ *Ledger, s *Start) {
			s.Permit.Issued = at - DefaultPermitLifetime - 1
		}, PermitExpired, NotStarted},
		{"permit of another incarnation", func(_ *testing.T, _ *Ledger, s *Start) {
			s.Permit.Incarnation++
		}, PermitExpired, NotStarted},
		{"permit from the future", func(_ *testing.T, _ *Ledger, s *Start) {
			s.Permit.Issued = at + 1
		}, PermitExpired, NotStarted},
		{"revoked before it arrived", func(t *testing.T, l *Ledger, _ *Start) {
			l.Revoke(at, []Attempt{attempt(0, 5, 2)})
		}, Revoked, NotStarted},
		{"later attempt revoked", func(t *testing.T, l *Ledger, _ *Start) {
			l.Revoke(at, []Attempt{attempt(0, 5, 3)})
		}, Revoked, NotStarted},
		{"earlier attempt revoked", func(t *testing.T, l *Ledger, _ *Start) {
			l.Revoke(at, []Attempt{attempt(0, 5, 1)})
		}, accepted, Queued},
		{"higher attempt of an older epoch revoked", func(t *testing.T, l *Ledger, _ *Start) {
			l.Revoke(at, []Attempt{attempt(0, 4, 9)})
		}, accepted, Queued},
		{"refused by the agent before", func(t *testing.T, l *Ledger, s *Start) {
			l.Refuse(at, *s, QueueFull)
		}, Revoked, NotStarted},
		{"job cancelled", func(t *testing.T, l *Ledger, s *Start) {
			l.Cancel(at, []Cancellation{{Job: s.Task.Job}})
		}, Cancelled, NotStarted},
		{"job cancelled by an older owner", func(t *testing.T, l *Ledger, s *Start) {
			l.Fence(at, []PartitionEpoch{{Partition: 1, Epoch: 5}})
			l.Cancel(at, []Cancellation{{Job: s.Task.Job, Partition: 1, Epoch: 4}})
		}, accepted, Queued},
		{"deadline reached", func(_ *testing.T, _ *Ledger, s *Start) { s.Deadline = at }, Deadline, NotStarted},
		{"deadline ahead", func(_ *testing.T, _ *Ledger, s *Start) { s.Deadline = at + 1 }, accepted, Queued},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l, s := newLedger(), startAt(at-sec, attempt(0, 5, 2))
			c.prepare(t, l, &s)
			rec, ok := l.Admit(at, s)
			if ok != (c.want == accepted) || rec.Refusal != c.want || rec.State != c.state {
				t.Fatalf("accepted %v, reason %v, state %v; want reason %v, state %v", ok, rec.Refusal, rec.State, c.want, c.state)
			}
			if rec.Refusal != Duplicate && rec.Attempt != s.Attempt {
				t.Fatalf("record is about %v, want %v", rec.Attempt, s.Attempt)
			}
		})
	}
}

// Begin must check a queued task again. If its owner, deadline or placement has
// changed, it must not begin: the owner may have placed it on another agent.
func TestBeginRefusesAttemptThatIsNoLongerValid(t *testing.T) {
	cases := []struct {
		name   string
		change func(l *Ledger)
		want   Reason
	}{
		{"fence", func(l *Ledger) { l.Fence(sec, []PartitionEpoch{{1, 6}}) }, Revoked},
		{"newer epoch in a start", func(l *Ledger) { l.Admit(sec, startAt(sec, attempt(1, 6, 1))) }, StaleEpoch},
		{"same task placed under a newer epoch", func(l *Ledger) { l.Admit(sec, startAt(sec, attempt(0, 6, 1))) }, Revoked},
		{"revoke", func(l *Ledger) { l.Revoke(sec, []Attempt{attempt(0, 5, 1)}) }, Revoked},
		{"cancel", func(l *Ledger) { l.Cancel(sec, []Cancellation{{Job: task(0).Job}}) }, Revoked},
		{"leaving", func(l *Ledger) { l.DropQueued(sec, Leaving) }, Revoked},
		{"deadline", func(l *Ledger) { l.Counts(2 * sec) }, Deadline},
		{"second begin", func(l *Ledger) { l.Begin(sec, attempt(0, 5, 1)) }, Revoked},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l, s := newLedger(), startAt(sec, attempt(0, 5, 1))
			s.Deadline = 2 * sec
			if _, ok := l.Admit(sec, s); !ok {
				t.Fatal("start refused")
			}
			c.change(l)
			if rec, ok := l.Begin(sec, s.Attempt); ok || rec.Refusal != c.want {
				t.Fatalf("began %v, reason %v, want %v", ok, rec.Refusal, c.want)
			}
		})
	}
}

// The owner places a task elsewhere when the reply to a revoke says that it was
// not started. If the reply said so about a task that was started or placed here
// again, the task would start twice.
func TestRevokeReportsTaskState(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(t *testing.T, l *Ledger)
		want    State
	}{
		{"never seen", func(*testing.T, *Ledger) {}, NotStarted},
		{"queued", func(_ *testing.T, l *Ledger) { l.Admit(0, startAt(0, attempt(0, 5, 1))) }, NotStarted},
		{"queued as a later attempt", func(_ *testing.T, l *Ledger) { l.Admit(0, startAt(0, attempt(0, 5, 2))) }, Queued},
		{"queued under a newer epoch", func(_ *testing.T, l *Ledger) { l.Admit(0, startAt(0, attempt(0, 6, 1))) }, Queued},
		{"running", func(t *testing.T, l *Ledger) { begin(t, l, 0, attempt(0, 5, 1)) }, Running},
		{"succeeded", func(t *testing.T, l *Ledger) {
			begin(t, l, 0, attempt(0, 5, 1))
			finish(t, l, 0, attempt(0, 5, 1), Succeeded)
		}, Succeeded},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := newLedger()
			c.prepare(t, l)
			recs := l.Revoke(0, []Attempt{attempt(0, 5, 1)})
			if len(recs) != 1 || recs[0].State != c.want {
				t.Fatalf("got %+v, want state %v", recs, c.want)
			}
		})
	}
}

// A new owner rebuilds its jobs from the result of a fence. A missing record would
// make it start a task again. Tasks that the old owner had queued must be reported
// as dropped.
func TestFenceReturnsRecordsAndDropsQueuedTasks(t *testing.T) {
	l := newLedger()
	begin(t, l, 0, attempt(0, 5, 1))
	begin(t, l, 0, attempt(1, 5, 1))
	finish(t, l, 0, attempt(1, 5, 1), Succeeded)
	l.Admit(0, startAt(0, attempt(2, 5, 1)))
	l.Admit(0, startAt(0, attempt(3, 6, 1)))
	other := attempt(4, 5, 1)
	other.Partition = 2
	begin(t, l, 0, other)

	r := l.Fence(0, []PartitionEpoch{{Partition: 1, Epoch: 6}, {Partition: 2, Epoch: 4}})
	got := map[int]State{}
	for _, rec := range r.Records {
		got[rec.Task.Index] = rec.State
	}
	want := map[int]State{0: Running, 1: Succeeded, 2: NotStarted, 3: Queued}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Fatalf("records %v, want %v", got, want)
	}
	if len(r.Dropped) != 1 || r.Dropped[0] != attempt(2, 5, 1) {
		t.Fatalf("dropped %v", r.Dropped)
	}
	if len(r.Newer) != 1 || r.Newer[0] != (PartitionEpoch{Partition: 2, Epoch: 5}) {
		t.Fatalf("newer %v", r.Newer)
	}
	if n := l.EpochsAbove(5); len(n) != 1 || n[0].Epoch != 6 {
		t.Fatalf("newer than offset 5: %v", n)
	}
	if rec, ok := l.Finish(0, attempt(0, 5, 1), Outcome{State: Succeeded}); !ok || rec.State != Succeeded {
		t.Fatal("the outcome of a task that ran during the fence was lost")
	}
}

// Outcomes must be kept for the retention time, and tombstones for as long as a
// permit issued before them is valid. After that they must be removed, or they
// would fill the memory.
func TestEntriesExpireAfterRetention(t *testing.T) {
	l := newLedger()
	begin(t, l, 0, attempt(0, 5, 1))
	finish(t, l, 0, attempt(0, 5, 1), Succeeded)
	l.Cancel(0, []Cancellation{{Job: model.JobKey{Client: "c", Key: "other"}}})
	l.Revoke(0, []Attempt{attempt(1, 5, 1)})
	begin(t, l, 0, attempt(2, 5, 1))
	for _, c := range []struct {
		now  time.Duration
		want int
	}{
		{2*DefaultPermitLifetime - 1, 4},
		{2 * DefaultPermitLifetime, 3},
		{DefaultRetention - 1, 3},
		{DefaultRetention, 1},
		{100 * DefaultRetention, 1},
	} {
		if got := l.Counts(c.now).Entries; got != c.want {
			t.Fatalf("%v: %d entries, want %d", c.now, got, c.want)
		}
	}
	finish(t, l, 100*DefaultRetention, attempt(2, 5, 1), Failed)
	if got := l.Counts(101 * DefaultRetention); got != (Counts{}) {
		t.Fatalf("left after everything expired: %+v", got)
	}
}

// A full ledger must refuse starts and keep its entries. Starts that it refused,
// or that were revoked while there was no room for a tombstone, must not be
// accepted later.
func TestFullLedgerRefusesStarts(t *testing.T) {
	for _, c := range []struct {
		name string
		opts Options
	}{
		{"entries", Options{Incarnation: incarnation, MaxEntries: 1}},
		{"bytes", Options{Incarnation: incarnation, MaxBytes: 2000, ResultLimit: 400}},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := New(c.opts)
			begin(t, l, 0, attempt(0, 5, 1))
			l.Revoke(1, []Attempt{attempt(1, 5, 1)})
			l.Cancel(1, []Cancellation{{Job: model.JobKey{Client: "c", Key: "other"}}})
			if rec, ok := l.Admit(2, startAt(2, attempt(1, 5, 2))); ok || rec.Refusal != LedgerFull {
				t.Fatalf("accepted %v, reason %v", ok, rec.Refusal)
			}
			if n := l.Counts(2); n.Entries != 1 || n.Running != 1 || n.Bytes > l.opts.MaxBytes {
				t.Fatalf("counts at the bound: %+v", n)
			}
			finish(t, l, 3, attempt(0, 5, 1), NotStarted)
			// There is room again when copies arrive that were sent before.
			if rec, ok := l.Admit(4, startAt(2, attempt(0, 5, 2))); ok || rec.Refusal != PermitExpired {
				t.Fatalf("permit from before the refusal: accepted %v, reason %v", ok, rec.Refusal)
			}
			if rec, ok := l.Admit(4, startAt(3, attempt(0, 5, 3))); !ok {
				t.Fatalf("permit from after the refusal: %v", rec.Refusal)
			}
		})
	}
}

// An agent that was recorded as departed rejoins with a new incarnation. Permits
// of the old incarnation must be refused, and started tasks must not start again.
func TestNewIncarnationKeepsEntries(t *testing.T) {
	l := newLedger()
	begin(t, l, 0, attempt(0, 5, 1))
	old := startAt(0, attempt(1, 5, 1))
	l.SetIncarnation(incarnation + 1)
	if rec, ok := l.Admit(0, old); ok || rec.Refusal != PermitExpired {
		t.Fatalf("old permit: accepted %v, %v", ok, rec.Refusal)
	}
	again := Start{Attempt: attempt(0, 6, 1), Permit: l.Issue(0)}
	if rec, ok := l.Admit(0, again); ok || rec.Refusal != Duplicate || rec.State != Running {
		t.Fatalf("started task: accepted %v, %v", ok, rec.Refusal)
	}
}

// Queued tasks must not reserve memory for results, which only running tasks can
// have. A task must not begin if its outcome could not be stored.
func TestBeginReservesMemoryForOutcome(t *testing.T) {
	l := New(Options{Incarnation: incarnation, MaxBytes: 3000, ResultLimit: 400})
	for i := range 2 {
		if rec, ok := l.Admit(0, startAt(0, attempt(i, 5, 1))); !ok {
			t.Fatalf("start %d: %v", i, rec.Refusal)
		}
	}
	if rec, ok := l.Begin(0, attempt(0, 5, 1)); !ok {
		t.Fatalf("first begin: %v", rec.Refusal)
	}
	if rec, ok := l.Begin(0, attempt(1, 5, 1)); ok || rec.Refusal != LedgerFull {
		t.Fatalf("second begin: %v, %v", ok, rec.Refusal)
	}
}

// A result larger than the limit must be discarded, and the task must count as
// failed.
func TestOversizedResultFails(t *testing.T) {
	l := New(Options{Incarnation: incarnation, ResultLimit: 10})
	begin(t, l, 0, attempt(0, 5, 1))
	rec, ok := l.Finish(0, attempt(0, 5, 1), Outcome{State: Succeeded, Result: make([]byte, 11)})
	if !ok || rec.State != Failed || rec.Result != nil || rec.Error == "" {
		t.Fatalf("got %+v", rec)
	}
	if _, again := l.Finish(0, attempt(0, 5, 1), Outcome{State: Succeeded}); again {
		t.Fatal("a second outcome replaced the first")
	}
}

// Cancel must drop the queued tasks of a job and return its running attempts, so
// that the caller can abort their requests. Later starts must be refused.
func TestCancelSplitsQueuedAndRunning(t *testing.T) {
	l := newLedger()
	begin(t, l, 0, attempt(0, 5, 1))
	l.Admit(0, startAt(0, attempt(1, 5, 1)))
	dropped, running := l.Cancel(0, []Cancellation{{Job: task(0).Job, Partition: 1, Epoch: 5}})
	if len(dropped) != 1 || dropped[0].Attempt != attempt(1, 5, 1) || dropped[0].Refusal != Cancelled {
		t.Fatalf("dropped %+v", dropped)
	}
	if len(running) != 1 || running[0] != attempt(0, 5, 1) {
		t.Fatalf("running %+v", running)
	}
	if n := l.Counts(0); n.Queued != 0 || n.Running != 1 {
		t.Fatalf("counts %+v", n)
	}
	if _, ok := l.Admit(DefaultRetention-1, startAt(DefaultRetention-1, attempt(2, 9, 1))); ok {
		t.Fatal("a task of the cancelled job was accepted under a newer epoch")
	}
}
