package baseline

import (
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/scheduler"
)

// Guards against a baseline that loses tasks or sends one twice, which would
// invalidate the comparison.
func TestBaselinesSendEachTaskOnce(t *testing.T) {
	now := time.Unix(0, 0)
	for name, newPolicy := range map[string]func(uint64) scheduler.Policy{
		"random": NewRandom, "round robin": NewRoundRobin,
		"least outstanding": NewLeastOutstanding, "two choices": NewTwoChoices,
	} {
		t.Run(name, func(t *testing.T) {
			p := newPolicy(1)
			p.SetTargets(now, []scheduler.Target{
				{ID: "a", Service: "s", Slots: 1, Connected: true}, {ID: "b", Service: "s", Slots: 1, Connected: true},
				{ID: "c", Service: "s", Slots: 1},
			})
			if a := p.Admit(now, scheduler.Job{Handle: 1, Service: "s", Tasks: []scheduler.Task{{}, {}, {}, {}}}, nil); !a.Admitted {
				t.Fatal("not admitted")
			}
			sent := map[int]int{}
			list := p.Decide(now).Assign
			p.Finish(now, scheduler.Outcome{Task: list[0].Task, Target: list[0].Target, Kind: scheduler.OutcomeNotStarted})
			for _, a := range append(list[1:], p.Decide(now).Assign...) {
				if a.Target == "c" {
					t.Error("sent to a disconnected target")
				}
				sent[a.Task.Index]++
			}
			if len(sent) != 4 || p.Queued() != 0 {
				t.Fatalf("sent %v, queued %d", sent, p.Queued())
			}
		})
	}
}
