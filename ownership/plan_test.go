package ownership

import (
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/model"
)

func gw(id string) GatewayRef { return GatewayRef{ID: id, Incarnation: 1} }

// Guards against needless takeovers: when a gateway goes away, only its own
// partitions may move.
func TestPreferredMovesOnlyPartitionsOfTheMissingGateway(t *testing.T) {
	all := []GatewayRef{gw("a"), gw("b"), gw("c")}
	moved := 0
	for p := model.Partition(0); p < 64; p++ {
		before, _ := Preferred(p, all)
		after, _ := Preferred(p, all[:2])
		if before.ID != "c" && before != after {
			t.Errorf("partition %d moved from %s to %s", p, before.ID, after.ID)
		}
		if before.ID == "c" {
			moved++
		}
		order := Order(p, all)
		if order[0] != before || before.ID == "c" && order[1] != after {
			t.Errorf("partition %d: order %v does not agree with Preferred", p, order)
		}
	}
	if moved < 10 || moved > 34 {
		t.Errorf("gateway c has %d of 64 partitions", moved)
	}
	if _, ok := Preferred(1, nil); ok {
		t.Error("an owner without live gateways")
	}
}

func viewOf(owner GatewayRef, epoch model.Epoch, gs ...GatewayState) View {
	v := View{Self: gw("a"), Gateways: append([]GatewayState{{Ref: gw("a")}}, gs...), Reachable: true}
	for p := model.Partition(0); p < 64; p++ {
		v.Partitions = append(v.Partitions, PartitionState{Partition: p, Owner: owner, Epoch: epoch})
	}
	return v
}

// Guards against claims of partitions whose owner is healthy, and against
// partitions that stay without an owner.
func TestPlanClaims(t *testing.T) {
	const now = 10 * time.Second
	s := DefaultSettings()
	b := GatewayState{Ref: gw("b"), LastHeard: now}
	silent := GatewayState{Ref: gw("b"), LastHeard: now - s.SuspectAfter}
	almost := GatewayState{Ref: gw("b"), LastHeard: now - s.SuspectAfter + 1}
	cases := []struct {
		name   string
		view   View
		reason ClaimReason
		all    bool // claims all partitions instead of only its preferred ones
	}{
		{"unowned", viewOf(GatewayRef{}, 0, b), ClaimUnowned, false},
		{"owner left", viewOf(gw("gone"), 7, b), ClaimOwnerLeft, false},
		{"owner restarted", viewOf(GatewayRef{"b", 9}, 7, b), ClaimOwnerLeft, false},
		{"own earlier incarnation", viewOf(GatewayRef{"a", 9}, 7, b), ClaimOwnerLeft, false},
		{"owner silent for 1.5 s", viewOf(gw("b"), 7, silent), ClaimOwnerSuspected, true},
		{"owner silent for less", viewOf(gw("b"), 7, almost), 0, false},
		{"owner alive", viewOf(gw("b"), 7, b), 0, false},
		{"already the owner", viewOf(gw("a"), 7, b), 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			want := 0
			for p := model.Partition(0); p < 64; p++ {
				if first, _ := Preferred(p, []GatewayRef{gw("a"), gw("b")}); c.reason != 0 && (c.all || first == gw("a")) {
					want++
				}
			}
			got := Plan(now, s, c.view).Claims
			if len(got) != want {
				t.Fatalf("%d claims, want %d", len(got), want)
			}
			for _, g := range got {
				if g.Reason != c.reason || g.Replaces != c.view.Partitions[0].Epoch {
					t.Errorf("claim %+v", g)
				}
			}
			c.view.Reachable = false
			if n := len(Plan(now, s, c.view).Claims); n != 0 {
				t.Errorf("%d claims without a reachable majority", n)
			}
		})
	}
	v := viewOf(GatewayRef{}, 0)
	for i := range v.Partitions {
		v.Partitions[i].Pending = true
	}
	if n := len(Plan(now, s, v).Claims); n != 0 {
		t.Errorf("%d claims repeated while pending", n)
	}
}

// Guards against many keys waiting at the same time because of too many handovers,
// and against handing partitions to a gateway that restarts again and again.
func TestPlanLimitsHandovers(t *testing.T) {
	const now = 60 * time.Second
	s := DefaultSettings()
	settled := GatewayState{Ref: gw("b"), LastHeard: now, HealthySince: now - s.SettleTime}
	fresh := GatewayState{Ref: gw("b"), LastHeard: now, HealthySince: now - s.SettleTime + 1}
	leaving := GatewayState{Ref: gw("b"), LastHeard: now, Leaving: true}
	v := viewOf(gw("a"), 7, settled)
	if n := len(Plan(now, s, v).Handovers); n != s.MaxHandovers {
		t.Errorf("%d handovers at once, want %d", n, s.MaxHandovers)
	}
	for _, g := range []GatewayState{fresh, leaving, {Ref: gw("b")}} {
		if n := len(Plan(now, s, viewOf(gw("a"), 7, g)).Handovers); n != 0 {
			t.Errorf("%d handovers to %+v", n, g)
		}
	}
	for range 64 { // must end, with a difference within Slack
		for _, h := range Plan(now, s, v).Handovers {
			v.Partitions[h.Partition].Owner = h.To
		}
	}
	if n := len(Plan(now, s, v).Handovers); n != 0 {
		t.Errorf("%d handovers after balance", n)
	}
	owned := map[string]int{}
	for _, p := range v.Partitions {
		owned[p.Owner.ID]++
	}
	if owned["a"] > 42 || owned["b"] > 42 {
		t.Errorf("unbalanced: %v", owned)
	}
	other := v
	other.Self = gw("b")
	if n := len(Plan(now, s, other).Handovers); n != 0 {
		t.Errorf("%d partitions move back", n)
	}
	v = viewOf(gw("a"), 7, settled)
	v.Gateways[0].Leaving = true
	if n := len(Plan(now, s, v).Handovers); n != 64 {
		t.Errorf("a stopping gateway hands over %d of 64", n)
	}
	v.Partitions[0].Pending = true
	if n := len(Plan(now, s, v).Handovers); n != 63 {
		t.Errorf("%d handovers with one pending", n)
	}
}
