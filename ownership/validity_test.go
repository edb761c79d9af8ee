package ownership

import (
	"testing"
	"time"
)

func ag(id string) AgentRef { return AgentRef{ID: id, Incarnation: 1} }

func refs(ids ...string) []AgentRef {
	var out []AgentRef
	for _, id := range ids {
		out = append(out, ag(id))
	}
	return out
}

// Guards against an owner that is valid for too long and starts tasks that its
// successor starts too.
func TestValidity(t *testing.T) {
	const s = time.Second
	type step func(v *Validity)
	confirm := func(sent time.Duration, ids ...string) step {
		return func(v *Validity) {
			for _, id := range ids {
				v.Confirm(Confirmation{Agent: ag(id), Sequence: v.Probe(sent, ag(id))})
			}
		}
	}
	with := func(c Confirmation) step {
		return func(v *Validity) {
			c.Sequence = v.Probe(s, c.Agent)
			v.Confirm(c)
		}
	}
	list := func(ids ...string) step { return func(v *Validity) { v.SetListed(refs(ids...)) } }
	newer := []PartitionEpoch{{Partition: 1, Epoch: 9}}
	cases := []struct {
		name  string
		steps []step
		until time.Duration // 0: not valid
	}{
		{"no agents", nil, 0},
		{"one of two", []step{list("a", "b"), confirm(s, "a")}, 0},
		{"two of two", []step{list("a", "b"), confirm(s, "a", "b")}, 3 * s},
		{"two of three", []step{list("a", "b", "c"), confirm(s, "a", "b")}, 3 * s},
		{"two of four", []step{list("a", "b", "c", "d"), confirm(s, "a", "b")}, 0},
		{"the oldest of the majority counts", []step{list("a", "b", "c"), confirm(s, "a"), confirm(2*s, "b")}, 3 * s},
		{"the newest majority counts", []step{list("a", "b", "c"), confirm(s, "a"), confirm(2*s, "b", "c")}, 4 * s},
		{"agent not listed", []step{list("a", "b", "c"), confirm(s, "a", "x")}, 0},
		{"another incarnation", []step{list("a", "b", "c"), confirm(s, "a"), with(Confirmation{Agent: AgentRef{"b", 2}})}, 0},
		{"stopped agent", []step{list("a", "b", "c"), confirm(s, "a"), with(Confirmation{Agent: ag("b"), Stopped: true})}, 0},
		{"list grows", []step{list("a", "b", "c"), confirm(s, "a", "b"), list("a", "b", "c", "d")}, 0},
		{"list shrinks", []step{list("a", "b", "c", "d"), confirm(s, "a", "b"), list("a", "b", "c")}, 3 * s},
		{"agent removed and listed again", []step{list("a", "b"), confirm(s, "a", "b"), list("b"), list("a", "b")}, 0},
		{"newer epoch", []step{list("a", "b", "c"), confirm(s, "a", "b"), with(Confirmation{Agent: ag("c"), Newer: newer})}, 0},
		{"newer epoch from a stopped agent", []step{list("a", "b", "c"), confirm(s, "a", "b"),
			with(Confirmation{Agent: ag("x"), Newer: newer, Stopped: true})}, 0},
		{"own epoch", []step{list("a"), with(Confirmation{Agent: ag("a"), Newer: []PartitionEpoch{{1, 8}}})}, 3 * s},
		{"newer epoch of another partition", []step{list("a"),
			with(Confirmation{Agent: ag("a"), Newer: []PartitionEpoch{{2, 9}}})}, 3 * s},
		{"unknown sequence", []step{list("a"), func(v *Validity) { v.Confirm(Confirmation{Agent: ag("a"), Sequence: 5}) }}, 0},
		{"reply of one agent under another's sequence", []step{list("a"), func(v *Validity) {
			v.Confirm(Confirmation{Agent: ag("a"), Sequence: v.Probe(s, ag("b"))})
		}}, 0},
		{"late reply to an older probe", []step{list("a"), func(v *Validity) {
			old := v.Probe(s, ag("a"))
			v.Confirm(Confirmation{Agent: ag("a"), Sequence: v.Probe(2*s, ag("a"))})
			v.Confirm(Confirmation{Agent: ag("a"), Sequence: old})
		}}, 4 * s},
		{"forgotten probe", []step{list("a"), func(v *Validity) {
			first := v.Probe(s, ag("a"))
			for range maxUnansweredProbes {
				v.Probe(2*s, ag("a"))
			}
			v.Confirm(Confirmation{Agent: ag("a"), Sequence: first})
		}}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			v := NewValidity(DefaultSettings())
			for _, do := range c.steps {
				do(v)
			}
			until, ok := v.ValidUntil(1, 8)
			if ok != (c.until != 0) || until != c.until {
				t.Fatalf("valid until %v, %v; want %v", until, ok, c.until)
			}
			if c.until != 0 && (!v.Valid(c.until-1, 1, 8) || v.Valid(c.until, 1, 8) || !v.Reachable(c.until-1)) {
				t.Error("Valid does not agree with ValidUntil")
			}
		})
	}
}

// Guards against a job that never ends because a task was sent to an incarnation
// that is gone, and against losing the result of a task that is still running.
func TestLostOnlyIfNoOutcomeCanArrive(t *testing.T) {
	cases := []struct {
		name string
		now  AgentStatus
		want bool
	}{
		{"listed, link open", AgentStatus{Listed: 5, Welcomed: 5, LinkOpen: true}, false},
		{"listed, link broken", AgentStatus{Listed: 5, Welcomed: 5}, false},
		{"new incarnation answered", AgentStatus{Listed: 5, Welcomed: 6}, true},
		{"new incarnation in the log", AgentStatus{Listed: 6, Welcomed: 5, LinkOpen: true}, true},
		{"leaving, finishes its tasks", AgentStatus{Welcomed: 5, LinkOpen: true}, false},
		{"left", AgentStatus{Welcomed: 5}, true},
		{"log lags behind the link", AgentStatus{Listed: 4, Welcomed: 5, LinkOpen: true}, false},
	}
	for _, c := range cases {
		if got := Lost(AgentRef{"a", 5}, c.now); got != c.want {
			t.Errorf("%s: lost = %v", c.name, got)
		}
	}
}

// Guards against the answer not_run while an open copy can still cause a start.
func TestSubmission(t *testing.T) {
	var s Submission
	if !s.MayAnswerNotRun() {
		t.Error("a request that was never sent did not run")
	}
	s.Sent()
	s.Sent()
	s.Closed()
	if s.MayAnswerNotRun() {
		t.Error("one of two copies is open")
	}
	s.Closed()
	if !s.MayAnswerNotRun() {
		t.Error("both copies are closed")
	}
}
