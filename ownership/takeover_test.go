package ownership

import (
	"testing"
	"time"
)

func member(id string, joined, left uint64) Member {
	m := Member{Agent: ag(id), Joined: joined, Left: left}
	if left != 0 {
		m.LeftAt = wall(0)
	}
	return m
}

func wall(after time.Duration) time.Time { return time.Unix(1_000_000, 0).Add(after) }

func clock(after time.Duration) Clock { return Clock{Mono: after, Wall: wall(after)} }

// Guards against a takeover that is ready while an earlier owner is still valid, so
// that both start the same task. The cases are list changes between the version
// that the earlier owner uses and the claim.
func TestMajorityOfEachListVersion(t *testing.T) {
	cases := []struct {
		name    string
		base    uint64
		members []Member
		replied []string
		want    bool
	}{
		{"no agents", 5, nil, nil, true},
		{"half is no majority", 5, []Member{member("a", 1, 0), member("b", 2, 0)}, []string{"a"}, false},
		{"majority", 5, []Member{member("a", 1, 0), member("b", 2, 0), member("c", 3, 0)}, []string{"a", "b"}, true},
		{"majority of the grown list only", 3, []Member{member("a", 1, 0), member("b", 2, 0), member("c", 3, 0),
			member("d", 4, 0), member("e", 5, 0), member("f", 6, 0), member("g", 7, 0)}, []string{"d", "e", "f", "g"}, false},
		{"majority of the first list only", 3, []Member{member("a", 1, 0), member("b", 2, 0), member("c", 3, 0),
			member("d", 4, 0), member("e", 5, 0), member("f", 6, 0)}, []string{"a", "b", "c"}, false},
		{"majority of the short list in between is missing", 1, []Member{member("a", 1, 4), member("b", 1, 5), member("c", 1, 6),
			member("d", 2, 0), member("e", 7, 0), member("f", 8, 0)}, []string{"e", "f"}, false},
		{"departed agents count as ended", 1, []Member{member("a", 1, 4), member("b", 1, 5), member("c", 1, 0)}, nil, false},
		{"departed agents and the last", 1, []Member{member("a", 1, 4), member("b", 1, 5), member("c", 1, 0)}, []string{"c"}, true},
		{"versions before the base do not count", 7, []Member{member("a", 1, 7), member("b", 1, 0)}, []string{"b"}, true},
		{"agents after the claim do not count", 1, []Member{member("a", 1, 0), member("b", 11, 0), member("c", 12, 0)},
			[]string{"a"}, true},
		{"replies of unlisted agents do not count", 1, []Member{member("a", 1, 0), member("b", 1, 0)}, []string{"a", "x"}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tk := NewTakeover(clock(0), DefaultSettings(), 10, c.base, c.members)
			for _, id := range c.replied {
				tk.Replied(clock(0), ag(id))
			}
			if _, ok := tk.ReadyAt(); ok != c.want {
				t.Fatalf("majority = %v, want %v", ok, c.want)
			}
		})
	}
}

// Guards against starting a task again that an unreachable agent has started, by a
// waiting time that is too short or a cut-off that is too early.
func TestTakeover(t *testing.T) {
	const s = time.Second
	abc := []Member{member("a", 1, 0), member("b", 2, 0), member("c", 3, 0)}
	leftEarly := member("c", 3, 5) // left at wall(0)
	leftLongAgo := leftEarly
	leftLongAgo.LeftAt = wall(-10*time.Minute - 10*s)
	left := func(id string, at time.Duration) func(*Takeover) {
		return func(tk *Takeover) { tk.Left(clock(at), ag(id), 12, wall(at)) }
	}
	replied := func(at time.Duration, ids ...string) func(*Takeover) {
		return func(tk *Takeover) {
			for _, id := range ids {
				tk.Replied(clock(at), ag(id))
			}
		}
	}
	const noCutOff = time.Duration(-1 << 62)
	const skews = 6 * s
	cases := []struct {
		name    string
		members []Member
		steps   []func(*Takeover)
		at      time.Duration
		state   TakeoverState
		cutOff  time.Duration
	}{
		{"nobody", nil, nil, 0, Ready, noCutOff},
		{"collecting", abc, []func(*Takeover){replied(s, "a")}, 99 * s, Collecting, noCutOff},
		{"all replied", abc, []func(*Takeover){replied(s, "a", "b", "c")}, s, Ready, noCutOff},
		{"before the end of waiting", abc, []func(*Takeover){replied(s, "a", "b")}, 6500*time.Millisecond - 1, Waiting, noCutOff},
		{"end of waiting", abc, []func(*Takeover){replied(s, "a", "b")}, 6500 * time.Millisecond, Ready, 6500*time.Millisecond + skews},
		{"last reply ends waiting", abc, []func(*Takeover){replied(s, "a", "b"), replied(2*s, "c")}, 2 * s, Ready, noCutOff},
		{"late reply removes the cut-off", abc, []func(*Takeover){replied(s, "a", "b"), replied(20*s, "c")}, 20 * s, Ready, noCutOff},
		{"reply of another incarnation does not remove it", abc, []func(*Takeover){replied(s, "a", "b"),
			func(tk *Takeover) { tk.Replied(clock(7*s), AgentRef{"c", 2}) }}, 7 * s, Ready, 6500*time.Millisecond + skews},
		{"missing agent departs while waiting", abc, []func(*Takeover){replied(s, "a", "b"), left("c", 2*s)}, 2 * s, Ready, 2*s + skews},
		{"missing agent departs after waiting", abc, []func(*Takeover){replied(s, "a", "b"), left("c", 30*s)}, 30 * s, Ready, 6500*time.Millisecond + skews},
		{"departure makes the majority", abc, []func(*Takeover){replied(s, "a"), left("c", 2*s)}, 2 * s, Waiting, noCutOff},
		{"replied agent departs", abc, []func(*Takeover){replied(s, "a", "b", "c"), left("c", 2*s)}, 2 * s, Ready, noCutOff},
		{"departed before the claim", []Member{abc[0], abc[1], leftEarly}, []func(*Takeover){replied(s, "a", "b")}, s, Ready, skews},
		{"departed beyond retention", []Member{abc[0], abc[1], leftLongAgo}, []func(*Takeover){replied(s, "a", "b")}, s, Ready, noCutOff},
		{"departed agent still answers", []Member{abc[0], abc[1], leftEarly}, []func(*Takeover){replied(s, "a", "b", "c")}, s, Ready, noCutOff},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tk := NewTakeover(clock(0), DefaultSettings(), 10, 3, c.members)
			for _, do := range c.steps {
				do(tk)
			}
			now := clock(c.at)
			if got := tk.State(now.Mono); got != c.state {
				t.Fatalf("state %d, want %d", got, c.state)
			}
			if c.state != Ready {
				if tk.Decide(now, wall(time.Hour)) != Hold {
					t.Error("does not hold")
				}
				return
			}
			if c.cutOff == noCutOff {
				oldest := now.Wall.Add(-DefaultSettings().AcceptAge())
				if !tk.CutOff(now).IsZero() || tk.Decide(now, oldest) != Run {
					t.Fatalf("cut-off %v, want none", tk.CutOff(now))
				}
				if tk.Decide(now, oldest.Add(-1)) != MayHaveRun {
					t.Error("runs a key whose ledger entries may have expired")
				}
				return
			}
			cut := wall(c.cutOff)
			if !tk.CutOff(now).Equal(cut) || tk.Decide(now, cut) != MayHaveRun || tk.Decide(now, cut.Add(1)) != Run {
				t.Errorf("cut-off %v, want %v", tk.CutOff(now).Sub(wall(0)), c.cutOff)
			}
		})
	}
}

// Guards against needless waits of seconds after these claims, and against running
// tasks that may have run because the inherited cut-off was lost.
func TestFirstClaimAndHandoverAreReadyAtOnce(t *testing.T) {
	s := DefaultSettings()
	if d := NewFirstClaim(s).Decide(clock(0), wall(0)); d != Run {
		t.Errorf("first claim: %d", d)
	}
	if d := NewHandover(s, time.Time{}).Decide(clock(0), wall(0)); d != Run {
		t.Errorf("handover: %d", d)
	}
	tk := NewHandover(s, wall(1))
	tk.Replied(clock(0), ag("a"))
	if tk.Decide(clock(0), wall(1)) != MayHaveRun || tk.Decide(clock(0), wall(2)) != Run {
		t.Error("the inherited cut-off is not kept")
	}
}

// Guards against a base that is too high: a takeover would then ignore list
// versions that an earlier owner may use.
func TestNextBase(t *testing.T) {
	a, b := gw("a"), gw("b")
	cases := []struct {
		name string
		base uint64
		c    ClaimRecord
		want uint64
	}{
		{"first claim", 0, ClaimRecord{Offset: 10, To: a}, 10},
		{"takeover", 10, ClaimRecord{Offset: 20, Replaces: 10, From: a, To: b}, 10},
		{"second takeover before the first is ready", 10, ClaimRecord{Offset: 30, Replaces: 20, From: b, To: a}, 10},
		{"renewal", 10, ClaimRecord{Offset: 30, Replaces: 20, From: b, To: b}, 20},
		{"restarted owner is not a renewal", 10, ClaimRecord{Offset: 30, Replaces: 20, From: b, To: GatewayRef{"b", 2}}, 10},
		{"handover", 10, ClaimRecord{Offset: 30, Replaces: 20, From: a, To: b, Handover: true}, 30},
	}
	for _, c := range cases {
		if got := NextBase(c.base, c.c); got != c.want {
			t.Errorf("%s: base %d, want %d", c.name, got, c.want)
		}
	}
}

// Guards against members that are discarded although a takeover needs them, and
// against members that are never discarded and fill the memory.
func TestKeepMemberAndShouldRenew(t *testing.T) {
	s := DefaultSettings()
	m := member("a", 3, 5)
	end := wall(s.Retention + s.CallerSkew + s.WallSkew)
	if !KeepMember(end, s, m, 9) || !KeepMember(end.Add(1), s, m, 4) || KeepMember(end.Add(1), s, m, 5) {
		t.Error("KeepMember is wrong at its bounds")
	}
	if !KeepMember(end.Add(time.Hour), s, member("a", 3, 0), 9) {
		t.Error("a listed member is dropped")
	}
	var ms []Member
	for i := range uint64(renewAfterVersions) {
		ms = append(ms, member("x", 10+i, 0))
	}
	if ShouldRenew(9, 10+renewAfterVersions-1, ms) || !ShouldRenew(9, 10+renewAfterVersions, ms) {
		t.Error("ShouldRenew is wrong at its bound")
	}
}
