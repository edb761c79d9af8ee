package modeltest

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"regexp"
	"runtime"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rhubarbsail/rhubarbsail/common/model"
)

// machine drives the world with faults and submissions that rapid draws.
type machine struct {
	w    *world
	keys []*request // the first submission of each key
}

func newMachine(t *rapid.T, mut mutation) *machine {
	w := newWorld(rapid.Int64().Draw(t, "seed"), mut, 3, rapid.IntRange(1, 4).Draw(t, "agents"))
	if testing.Verbose() && os.Getenv("MODEL_TRACE") != "" {
		w.trace = func(f string, args ...any) { t.Logf("%v: "+f, append([]any{w.Now}, args...)...) }
	}
	m := &machine{w: w}
	w.advance(6 * s) // joins and the first claim
	return m
}

func (m *machine) Check(t *rapid.T) {
	if m.w.violation != "" {
		t.Fatal(m.w.violation)
	}
}

func pick[T any](t *rapid.T, name string, from []T) T {
	return from[rapid.IntRange(0, len(from)-1).Draw(t, name)]
}

func (m *machine) gateway(t *rapid.T) *gateway { return pick(t, "gateway", m.w.gws) }
func (m *machine) agent(t *rapid.T) *agent     { return pick(t, "agent", m.w.ags) }

func (m *machine) duration(t *rapid.T, lo, hi time.Duration) time.Duration {
	return time.Duration(rapid.IntRange(int(lo/ms), int(hi/ms)).Draw(t, "ms")) * ms
}

func (m *machine) run(d time.Duration) { m.w.advance(d) }

func (m *machine) AdvanceShort(t *rapid.T) { m.run(m.duration(t, 10*ms, 800*ms)) }
func (m *machine) AdvanceLong(t *rapid.T)  { m.run(m.duration(t, 800*ms, 8*s)) }

// submit sends a request for the key to a gateway.
func (m *machine) submit(g *gateway, like request) {
	r := &request{id: len(m.w.reqs), key: like.key, tasks: like.tasks, submitted: like.submitted}
	m.w.reqs = append(m.w.reqs, r)
	m.w.trace("submit %d %v at %s", r.id, r.key, g.name)
	g.later(m.w.delay(longCall), func() { g.submit(r) })
}

// Submit sends a new key to one or more gateways, as an impatient client does.
func (m *machine) Submit(t *rapid.T) {
	skew := m.duration(t, -500*ms, settings().CallerSkew+200*ms)
	r := &request{
		key:       model.JobKey{Client: "c", Key: fmt.Sprintf("k%03d", len(m.keys))},
		tasks:     rapid.IntRange(1, 3).Draw(t, "tasks"),
		submitted: epochStart.Add(m.w.Now + skew),
	}
	m.keys = append(m.keys, r)
	for range rapid.IntRange(1, 3).Draw(t, "copies") {
		m.submit(m.gateway(t), *r)
	}
	m.run(m.duration(t, 0, 300*ms))
}

func (m *machine) Resubmit(t *rapid.T) {
	if len(m.keys) == 0 {
		t.Skip()
	}
	m.submit(m.gateway(t), *pick(t, "key", m.keys))
	m.run(m.duration(t, 0, 300*ms))
}

// ResubmitRecent is likelier to meet a start that is on its way.
func (m *machine) ResubmitRecent(t *rapid.T) {
	if len(m.keys) == 0 {
		t.Skip()
	}
	m.submit(m.gateway(t), *m.keys[max(0, len(m.keys)-1-rapid.IntRange(0, 2).Draw(t, "age"))])
}

func (m *machine) names() []string {
	out := []string{"log", "lease"}
	for _, g := range m.w.gws {
		out = append(out, g.name)
	}
	for _, a := range m.w.ags {
		out = append(out, a.name)
	}
	return out
}

func (m *machine) Cut(t *rapid.T) {
	names := rapid.SampledFrom(m.names())
	a, b := names.Draw(t, "a"), names.Draw(t, "b")
	m.w.trace("cut %s %s", a, b)
	m.w.cuts[pair(a, b)] = true
}

// Split cuts a random side, on which the log may be, off from the other.
func (m *machine) Split(t *rapid.T) {
	var sides [2][]string
	for _, n := range m.names() {
		i := rapid.IntRange(0, 1).Draw(t, n)
		sides[i] = append(sides[i], n)
	}
	m.w.trace("split %v", sides)
	for _, a := range sides[0] {
		for _, b := range sides[1] {
			m.w.cuts[pair(a, b)] = true
		}
	}
}

// SplitOwner cuts the owner and some agents off from the log and the others.
func (m *machine) SplitOwner(t *rapid.T) {
	for _, g := range m.w.gws {
		if g.own == 0 {
			continue
		}
		side := map[string]bool{g.name: true}
		for _, a := range m.w.ags {
			side[a.name] = rapid.Bool().Draw(t, a.name)
		}
		m.w.trace("split %v", side)
		for a, in := range side {
			for _, b := range m.names() {
				if in && !side[b] && b != "lease" {
					m.w.cuts[pair(a, b)] = true
				}
			}
		}
		return
	}
}

func (m *machine) Heal(*rapid.T) {
	m.w.trace("heal")
	clear(m.w.cuts)
	m.w.logDown = false
}

func (m *machine) LogOutage(*rapid.T) { m.w.logDown = !m.w.logDown }

func (m *machine) PauseGateway(t *rapid.T) {
	g := m.gateway(t)
	g.pause = m.w.Now + m.duration(t, 500*ms, 15*s)
	m.w.trace("pause %s until %v", g.name, g.pause)
}

// PauseOwner pauses the owner, on whose pauses most depends.
func (m *machine) PauseOwner(t *rapid.T) {
	for _, g := range m.w.gws {
		if g.own != 0 {
			g.pause = m.w.Now + m.duration(t, 500*ms, 12*s)
			m.w.trace("pause %s until %v", g.name, g.pause)
		}
	}
}

func (m *machine) PauseAgent(t *rapid.T) {
	m.agent(t).pause = m.w.Now + m.duration(t, 200*ms, 8*s)
}

func (m *machine) RestartAgent(t *rapid.T) {
	a := m.agent(t)
	m.w.trace("restart %s", a.name)
	a.boot()
}

func (m *machine) LeaveAgent(t *rapid.T) {
	if a := m.agent(t); m.w.Now >= a.pause && !a.leaving {
		m.w.trace("leave %s", a.name)
		a.leave()
	}
}

// LapseLease keeps an agent from renewing its lease; a gateway takes the lease
// for a second and records the agent as departed; then the agent is back.
func (m *machine) LapseLease(t *rapid.T) {
	a, g, w := m.agent(t), m.gateway(t), m.w
	w.trace("lapse of %v", a.ref())
	w.cuts[pair(a.name, "lease")] = true
	wait, pause := leaseTTL+m.duration(t, 0, 3*s), m.duration(t, 0, 5*s)
	g.later(wait, func() {
		if w.leases[a.name] < w.Now && !w.cut(g.name, "lease") {
			w.takenUntil[a.name] = w.Now + s
			before := w.Now + s
			for _, ref := range g.view.listed() {
				if ref.ID == a.name {
					g.later(pause, func() { g.append(entry{kind: agentLeft, ag: ref, before: before}) })
				}
			}
		}
	})
	w.After(wait+m.duration(t, 0, 3*s), func() { delete(w.cuts, pair(a.name, "lease")) })
}

func (m *machine) JoinAgents(t *rapid.T) {
	for range rapid.IntRange(1, 4).Draw(t, "n") {
		if len(m.w.ags) < 9 {
			m.w.addAgent(len(m.w.ags))
		}
	}
}

func (m *machine) RestartGateway(t *rapid.T) {
	g := m.gateway(t)
	m.w.trace("restart %s", g.name)
	g.boot()
}

func (m *machine) BreakLink(t *rapid.T) {
	g, a := m.gateway(t), m.agent(t)
	if l := g.links[a.name]; l != nil && !l.closed {
		drop := rapid.Bool().Draw(t, "drop")
		l.breakLink(drop, m.duration(t, 0, 20*s))
	}
}

// StallLink delays what the owner sends on a link, which it gives up later, so
// that its frames arrive after those of the next link.
func (m *machine) StallLink(t *rapid.T) {
	a, stall := m.agent(t), m.duration(t, s, 20*s)
	for _, g := range m.w.gws {
		if l := g.links[a.name]; l != nil && g.own != 0 {
			m.w.trace("stall %s %s for %v", g.name, a.name, stall)
			l.last[toAgent] = max(l.last[toAgent], m.w.Now+stall)
			m.w.After(m.duration(t, 100*ms, 4*s), func() { l.closed = true })
		}
	}
}

// RivalClaim has a gateway claim although Plan does not ask for it.
func (m *machine) RivalClaim(t *rapid.T) {
	if g := m.gateway(t); g.view.epoch != 0 && g.view.owner != g.ref() && m.w.Now >= g.pause {
		m.w.trace("claim by %s", g.name)
		g.claim(g.view.epoch)
	}
}

// RaceAfterSplit lets a rival claim while the cut-off owner is still valid.
func (m *machine) RaceAfterSplit(t *rapid.T) {
	m.SplitOwner(t)
	m.RivalClaim(t)
	m.run(m.duration(t, 500*ms, 1500*ms))
	m.Submit(t)
}

func (m *machine) Renew(t *rapid.T) {
	for _, g := range m.w.gws {
		if g.ready() && m.w.Now >= g.pause {
			g.claim(g.own)
		}
	}
}

func (m *machine) HandOver(t *rapid.T) {
	to := m.gateway(t)
	for _, g := range m.w.gws {
		if g.own != 0 && m.w.Now >= g.pause {
			g.handOver(to)
		}
	}
}

// setFlags sets rapid's bounds. A seed on the command line has priority.
func setFlags(t *testing.T, checks, steps int, seed uint64, shrink string) {
	set := func(name, value string) {
		f := flag.Lookup(name)
		if f.Value.String() == f.DefValue {
			old := f.Value.String()
			if err := f.Value.Set(value); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = f.Value.Set(old) })
		}
	}
	set("rapid.checks", strconv.Itoa(checks))
	set("rapid.steps", strconv.Itoa(steps))
	set("rapid.seed", strconv.FormatUint(seed, 10))
	set("rapid.nofailfile", "true")
	set("rapid.shrinktime", shrink)
}

const (
	modelChecks = 80
	modelSteps  = 60
)

// Guards against two starts of one task, a start after or before an answer
// not_run, and an incomplete answer, under all faults together.
func TestModel(t *testing.T) {
	setFlags(t, modelChecks, modelSteps, 1, "5s")
	stats := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t, none)
		t.Repeat(rapid.StateMachineActions(m))
		m.quiesce(t)
		for k, n := range m.w.stats {
			stats[k] += n
		}
	})
	t.Log(stats)
	for _, k := range []string{"complete", "not_run", "may_have_run", "cut_off", "handover", "recovered"} {
		if stats[k] == 0 {
			t.Errorf("the model never reaches %s, so it proves nothing about it", k)
		}
	}
}

// quiesce ends all faults. A new key must then run to completion: rules that
// refuse everything would keep every other invariant.
func (m *machine) quiesce(t *rapid.T) {
	m.Heal(t)
	m.w.calm = true
	for _, p := range m.w.gws {
		p.pause = 0
	}
	for _, p := range m.w.ags {
		p.pause = 0
	}
	m.run(45 * s)
	for i := range 20 {
		r := request{key: model.JobKey{Client: "c", Key: fmt.Sprintf("last%d", i)}, tasks: 2, submitted: epochStart.Add(m.w.Now)}
		m.submit(m.w.gws[0], r)
		m.run(3 * s)
		m.Check(t)
		if m.w.reqs[len(m.w.reqs)-1].answered == complete {
			m.w.stats["recovered"]++
			return
		}
	}
	t.Fatal("no request completes after all faults ended")
}

// mutation takes one protection out of the model.
type mutation string

const (
	none                 mutation = ""
	noPermitCheck        mutation = "permit check"
	noEpochFence         mutation = "epoch fence"
	noMajority           mutation = "majority validity"
	noWait               mutation = "waiting time after majority"
	noTombstone          mutation = "tombstone on revoke"
	unlistedAgents       mutation = "listed agents only"
	noCutOff             mutation = "cut-off rule"
	newestListOnly       mutation = "majority of each list version"
	lostMoves            mutation = "tasks of a restarted agent are lost"
	openCopies           mutation = "not_run only without open copies"
	resumeWithoutRenewal mutation = "renewal after an uncertain handover"
	lapseForgotten       mutation = "check of the list after a lapse of the lease"
)

// recorder takes a failure of rapid instead of the test.
type recorder struct {
	*testing.T
	failed bool
	text   string
}

func (r *recorder) Errorf(f string, args ...any) { r.failed, r.text = true, fmt.Sprintf(f, args...) }
func (r *recorder) Logf(string, ...any)          {}
func (r *recorder) Log(...any)                   {}
func (r *recorder) Fatal(args ...any)            { r.Errorf("%s", fmt.Sprint(args...)) }
func (r *recorder) Failed() bool                 { return r.failed }
func (r *recorder) FailNow()                     { r.failed = true; runtime.Goexit() }

var (
	seedInFailure      = regexp.MustCompile(`-rapid\.seed=(\d+)`)
	violationInFailure = regexp.MustCompile(`after \d+ tests: .*`)
)

// proofs lists each protection with the actions among which a violation without
// it is found; nil is all. Some violations need several faults in a row that all
// actions together produce too rarely.
var proofs = []struct {
	without mutation
	focus   []string
	// seed is where a violation was found last; the search goes on from there
	// if a change of the model or of the ledger has moved it.
	seed uint64
}{
	{noPermitCheck, []string{"StallLink", "Submit", "AdvanceShort", "AdvanceLong"}, 562},
	{noEpochFence, nil, 49142},
	{noMajority, nil, 163307},
	{noWait, []string{"RaceAfterSplit", "Heal", "AdvanceLong"}, 10441},
	{noTombstone, nil, 52976},
	{unlistedAgents, nil, 548629},
	{noCutOff, nil, 704},
	{newestListOnly, []string{"SplitOwner", "JoinAgents", "Submit", "AdvanceLong"}, 239087},
	{lostMoves, nil, 1},
	{openCopies, nil, 1},
	{resumeWithoutRenewal, []string{"HandOver", "Submit", "AdvanceShort", "AdvanceLong"}, 2081},
	{lapseForgotten, []string{"SplitOwner", "JoinAgents", "LapseLease", "Submit", "AdvanceLong"}, 680362},
}

func actions(m *machine, focus []string) map[string]func(*rapid.T) {
	all := rapid.StateMachineActions(m)
	maps.DeleteFunc(all, func(name string, _ func(*rapid.T)) bool {
		if focus == nil {
			return name == "RaceAfterSplit" // leaves the splits to the single actions
		}
		return name != "" && !slices.Contains(focus, name)
	})
	return all
}

// Guards against a model that is too weak to see the loss of a protection.
func TestModelFindsEachMissingProtection(t *testing.T) {
	for _, p := range proofs {
		t.Run(string(p.without), func(t *testing.T) {
			steps := modelSteps
			if p.focus != nil {
				steps = focusSteps
			}
			setFlags(t, mutationChecks, steps, p.seed, "0s")
			r := &recorder{T: t}
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				rapid.Check(r, func(t *rapid.T) {
					m := newMachine(t, p.without)
					t.Repeat(actions(m, p.focus))
				})
			}()
			<-ended
			seed := seedInFailure.FindStringSubmatch(r.text)
			if seed == nil {
				t.Fatalf("no violation without: %s", p.without)
			}
			t.Logf("violation found, seed %s: %s", seed[1], violationInFailure.FindString(r.text))
		})
	}
}

// Guards against a violation that only the focused actions reach.
func TestModelWithFocusedActions(t *testing.T) {
	for _, p := range proofs {
		if p.focus == nil {
			continue
		}
		t.Run(string(p.without), func(t *testing.T) {
			setFlags(t, focusChecks, focusSteps, 1, "5s")
			rapid.Check(t, func(t *rapid.T) { t.Repeat(actions(newMachine(t, none), p.focus)) })
		})
	}
}

const (
	mutationChecks = 3000
	focusChecks    = 25
	// focusSteps are fewer, since each action is likely to matter.
	focusSteps = 25
)
