package modeltest

import (
	"fmt"
	"maps"
	"os"
	"regexp"
	"runtime"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rhubarbsail/rhubarbsail/common/model"
	"github.com/rhubarbsail/rhubarbsail/common/rapidflags"
)

// machine is the state machine for rapid. Its exported methods are the actions,
// which inject faults and submissions into the simulation. rapid draws actions by
// the sorted order of their names, so renaming one changes the runs of a seed.
type machine struct {
	w             *world
	firstRequests []*request // the first submission of each key
}

func newMachine(t *rapid.T, mut mutation) *machine {
	w := newWorld(rapid.Int64().Draw(t, "seed"), mut, 3, rapid.IntRange(1, 4).Draw(t, "agents"))
	if testing.Verbose() && os.Getenv("MODEL_TRACE") != "" {
		w.trace = func(f string, args ...any) { t.Logf("%v: "+f, append([]any{w.Now}, args...)...) }
	}
	m := &machine{w: w}
	w.advance(6 * s) // lets all processes join and one gateway claim
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

func (m *machine) gateway(t *rapid.T) *gateway { return pick(t, "gateway", m.w.gateways) }
func (m *machine) agent(t *rapid.T) *agent     { return pick(t, "agent", m.w.agents) }

func (m *machine) duration(t *rapid.T, lo, hi time.Duration) time.Duration {
	return time.Duration(rapid.IntRange(int(lo/ms), int(hi/ms)).Draw(t, "ms")) * ms
}

func (m *machine) run(d time.Duration) { m.w.advance(d) }

func (m *machine) AdvanceShort(t *rapid.T) { m.run(m.duration(t, 10*ms, 800*ms)) }
func (m *machine) AdvanceLong(t *rapid.T)  { m.run(m.duration(t, 800*ms, 8*s)) }

// submit sends a new request with the same key as the given one to a gateway.
func (m *machine) submit(g *gateway, like request) {
	r := &request{id: len(m.w.requests), key: like.key, tasks: like.tasks, submitted: like.submitted}
	m.w.requests = append(m.w.requests, r)
	m.w.trace("submit %d %v at %s", r.id, r.key, g.name)
	g.after(m.w.delay(callsPerLongDelay), func() { g.submit(r) })
}

// Submit sends requests with one new key to one or more gateways, as a client that
// retries early does.
func (m *machine) Submit(t *rapid.T) {
	skew := m.duration(t, -500*ms, settings().CallerSkew+200*ms)
	r := &request{
		key:       model.JobKey{Client: "c", Key: fmt.Sprintf("k%03d", len(m.firstRequests))},
		tasks:     rapid.IntRange(1, 3).Draw(t, "tasks"),
		submitted: simulationStart.Add(m.w.Now + skew),
	}
	m.firstRequests = append(m.firstRequests, r)
	for range rapid.IntRange(1, 3).Draw(t, "copies") {
		m.submit(m.gateway(t), *r)
	}
	m.run(m.duration(t, 0, 300*ms))
}

func (m *machine) Resubmit(t *rapid.T) {
	if len(m.firstRequests) == 0 {
		t.Skip()
	}
	m.submit(m.gateway(t), *pick(t, "key", m.firstRequests))
	m.run(m.duration(t, 0, 300*ms))
}

// ResubmitRecent sends a request with one of the last three keys, which may have a
// start in flight.
func (m *machine) ResubmitRecent(t *rapid.T) {
	if len(m.firstRequests) == 0 {
		t.Skip()
	}
	m.submit(m.gateway(t), *m.firstRequests[max(0, len(m.firstRequests)-1-rapid.IntRange(0, 2).Draw(t, "age"))])
}

// names returns the names of all parties whose connections can be cut.
func (m *machine) names() []string {
	out := []string{"log", "lease"}
	for _, g := range m.w.gateways {
		out = append(out, g.name)
	}
	for _, a := range m.w.agents {
		out = append(out, a.name)
	}
	return out
}

func (m *machine) Cut(t *rapid.T) {
	names := rapid.SampledFrom(m.names())
	a, b := names.Draw(t, "a"), names.Draw(t, "b")
	m.w.trace("cut %s %s", a, b)
	m.w.cuts[connectionKey(a, b)] = true
}

// Split partitions the network into two random sides.
func (m *machine) Split(t *rapid.T) {
	var sides [2][]string
	for _, n := range m.names() {
		i := rapid.IntRange(0, 1).Draw(t, n)
		sides[i] = append(sides[i], n)
	}
	m.w.trace("split %v", sides)
	for _, a := range sides[0] {
		for _, b := range sides[1] {
			m.w.cuts[connectionKey(a, b)] = true
		}
	}
}

// SplitOwner partitions the network so that the owner and random agents are on one
// side, the log and everything else on the other.
func (m *machine) SplitOwner(t *rapid.T) {
	for _, g := range m.w.gateways {
		if g.ownEpoch == 0 {
			continue
		}
		side := map[string]bool{g.name: true}
		for _, a := range m.w.agents {
			side[a.name] = rapid.Bool().Draw(t, a.name)
		}
		m.w.trace("split %v", side)
		for a, in := range side {
			for _, b := range m.names() {
				if in && !side[b] && b != "lease" {
					m.w.cuts[connectionKey(a, b)] = true
				}
			}
		}
		return
	}
}

// Heal ends all network partitions and log outages.
func (m *machine) Heal(*rapid.T) {
	m.w.trace("heal")
	clear(m.w.cuts)
	m.w.logDown = false
}

func (m *machine) LogOutage(*rapid.T) { m.w.logDown = !m.w.logDown }

func (m *machine) PauseGateway(t *rapid.T) {
	g := m.gateway(t)
	g.pausedUntil = m.w.Now + m.duration(t, 500*ms, 15*s)
	m.w.trace("pause %s until %v", g.name, g.pausedUntil)
}

// PauseOwner pauses the owner. Its pauses are the most likely to violate an
// invariant.
func (m *machine) PauseOwner(t *rapid.T) {
	for _, g := range m.w.gateways {
		if g.ownEpoch != 0 {
			g.pausedUntil = m.w.Now + m.duration(t, 500*ms, 12*s)
			m.w.trace("pause %s until %v", g.name, g.pausedUntil)
		}
	}
}

func (m *machine) PauseAgent(t *rapid.T) {
	m.agent(t).pausedUntil = m.w.Now + m.duration(t, 200*ms, 8*s)
}

func (m *machine) RestartAgent(t *rapid.T) {
	a := m.agent(t)
	m.w.trace("restart %s", a.name)
	a.start()
}

func (m *machine) LeaveAgent(t *rapid.T) {
	if a := m.agent(t); m.w.Now >= a.pausedUntil && !a.leaving {
		m.w.trace("leave %s", a.name)
		a.leave()
	}
}

// LapseLease cuts an agent off from its lease. A gateway then takes the lease for a
// second and records the agent as departed, and the agent can reach it again.
func (m *machine) LapseLease(t *rapid.T) {
	a, g, w := m.agent(t), m.gateway(t), m.w
	w.trace("lapse of %v", a.ref())
	w.cuts[connectionKey(a.name, "lease")] = true
	wait, pause := leaseTTL+m.duration(t, 0, 3*s), m.duration(t, 0, 5*s)
	g.after(wait, func() {
		if w.leases[a.name] < w.Now && !w.isCut(g.name, "lease") {
			w.takenUntil[a.name] = w.Now + s
			before := w.Now + s
			for _, ref := range g.view.listed() {
				if ref.ID == a.name {
					g.after(pause, func() { g.append(entry{kind: agentLeft, ag: ref, before: before}) })
				}
			}
		}
	})
	w.After(wait+m.duration(t, 0, 3*s), func() { delete(w.cuts, connectionKey(a.name, "lease")) })
}

func (m *machine) JoinAgents(t *rapid.T) {
	for range rapid.IntRange(1, 4).Draw(t, "n") {
		if len(m.w.agents) < 9 {
			m.w.addAgent(len(m.w.agents))
		}
	}
}

func (m *machine) RestartGateway(t *rapid.T) {
	g := m.gateway(t)
	m.w.trace("restart %s", g.name)
	g.start()
}

func (m *machine) BreakLink(t *rapid.T) {
	g, a := m.gateway(t), m.agent(t)
	if l := g.links[a.name]; l != nil && !l.closed {
		drop := rapid.Bool().Draw(t, "drop")
		l.breakLink(drop, m.duration(t, 0, 20*s))
	}
}

// StallLink delays the frames that the owner sends on a link and later closes the
// link, so that they arrive after frames of the next link.
func (m *machine) StallLink(t *rapid.T) {
	a, stall := m.agent(t), m.duration(t, s, 20*s)
	for _, g := range m.w.gateways {
		if l := g.links[a.name]; l != nil && g.ownEpoch != 0 {
			m.w.trace("stall %s %s for %v", g.name, a.name, stall)
			l.last[toAgent] = max(l.last[toAgent], m.w.Now+stall)
			m.w.After(m.duration(t, 100*ms, 4*s), func() { l.closed = true })
		}
	}
}

// RivalClaim makes a gateway claim the partition although Plan does not ask for it.
func (m *machine) RivalClaim(t *rapid.T) {
	if g := m.gateway(t); g.view.epoch != 0 && g.view.owner != g.ref() && m.w.Now >= g.pausedUntil {
		m.w.trace("claim by %s", g.name)
		g.claim(g.view.epoch)
	}
}

// RaceAfterSplit makes another gateway claim the partition while the owner is cut
// off but still valid.
func (m *machine) RaceAfterSplit(t *rapid.T) {
	m.SplitOwner(t)
	m.RivalClaim(t)
	m.run(m.duration(t, 500*ms, 1500*ms))
	m.Submit(t)
}

func (m *machine) Renew(t *rapid.T) {
	for _, g := range m.w.gateways {
		if g.ready() && m.w.Now >= g.pausedUntil {
			g.claim(g.ownEpoch)
		}
	}
}

func (m *machine) HandOver(t *rapid.T) {
	to := m.gateway(t)
	for _, g := range m.w.gateways {
		if g.ownEpoch != 0 && m.w.Now >= g.pausedUntil {
			g.handOver(to)
		}
	}
}

const (
	modelChecks = 80
	modelSteps  = 60
)

// Guards against two starts of a task, a start before or after the answer not_run,
// and an incomplete answer, under combinations of all faults.
func TestModel(t *testing.T) {
	rapidflags.Set(t, modelChecks, modelSteps, 1, "5s")
	stats := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t, noMutation)
		t.Repeat(rapid.StateMachineActions(m))
		m.checkRecovery(t)
		for k, n := range m.w.stats {
			stats[k] += n
		}
	})
	t.Log(stats)
	for _, k := range []string{"complete", "not_run", "may_have_run", "cut_off", "handover", "recovered"} {
		if stats[k] == 0 {
			t.Errorf("no run reaches %s, so the test does not cover it", k)
		}
	}
}

// checkRecovery ends all faults and checks liveness: a new key must then run to
// completion. Rules that refuse every request would satisfy the other invariants.
func (m *machine) checkRecovery(t *rapid.T) {
	m.Heal(t)
	m.w.noLongDelays = true
	for _, p := range m.w.gateways {
		p.pausedUntil = 0
	}
	for _, p := range m.w.agents {
		p.pausedUntil = 0
	}
	m.run(45 * s)
	for i := range 20 {
		r := request{key: model.JobKey{Client: "c", Key: fmt.Sprintf("last%d", i)}, tasks: 2, submitted: simulationStart.Add(m.w.Now)}
		m.submit(m.w.gateways[0], r)
		m.run(3 * s)
		m.Check(t)
		if m.w.requests[len(m.w.requests)-1].answered == complete {
			m.w.stats["recovered"]++
			return
		}
	}
	t.Fatal("no request completes after all faults ended")
}

// mutation disables one protection of the model, as in mutation testing.
type mutation string

const (
	noMutation            mutation = ""
	noPermitCheck         mutation = "permit check"
	noEpochFence          mutation = "epoch fence"
	noMajority            mutation = "majority validity"
	noWait                mutation = "waiting time after majority"
	noTombstone           mutation = "tombstone on revoke"
	sendToUnlistedAgents  mutation = "listed agents only"
	noCutOff              mutation = "cut-off rule"
	newestListOnly        mutation = "majority of each list version"
	resendLostTasks       mutation = "tasks of a restarted agent are lost"
	ignoreOpenCopies      mutation = "not_run only without open copies"
	resumeWithoutRenewal  mutation = "renewal after an uncertain handover"
	noListCheckAfterLapse mutation = "check of the list after a lapse of the lease"
)

// failureRecorder records a failure reported by rapid instead of failing the test.
type failureRecorder struct {
	*testing.T
	failed bool
	text   string
}

func (r *failureRecorder) Errorf(f string, args ...any) {
	r.failed, r.text = true, fmt.Sprintf(f, args...)
}
func (r *failureRecorder) Logf(string, ...any) {}
func (r *failureRecorder) Log(...any)          {}
func (r *failureRecorder) Fatal(args ...any)   { r.Errorf("%s", fmt.Sprint(args...)) }
func (r *failureRecorder) Failed() bool        { return r.failed }
func (r *failureRecorder) FailNow()            { r.failed = true; runtime.Goexit() }

var (
	seedInFailure      = regexp.MustCompile(`-rapid\.seed=(\d+)`)
	violationInFailure = regexp.MustCompile(`after \d+ tests: .*`)
)

// mutationTests lists the mutations, each of which must lead to a violation. focus
// limits the actions, for violations that need several particular faults in a row,
// which draws among all actions produce too rarely; nil stands for all actions.
var mutationTests = []struct {
	without mutation
	focus   []string
	// seed is the first seed of the search, one that leads to a violation. If a
	// change of the model or of the ledger moves the violation, the search
	// continues with other seeds.
	seed uint64
}{
	{noPermitCheck, []string{"StallLink", "Submit", "AdvanceShort", "AdvanceLong"}, 562},
	{noEpochFence, nil, 49142},
	{noMajority, nil, 163307},
	{noWait, []string{"RaceAfterSplit", "Heal", "AdvanceLong"}, 10441},
	{noTombstone, nil, 52976},
	{sendToUnlistedAgents, nil, 548629},
	{noCutOff, nil, 704},
	{newestListOnly, []string{"SplitOwner", "JoinAgents", "Submit", "AdvanceLong"}, 239087},
	{resendLostTasks, nil, 1},
	{ignoreOpenCopies, nil, 1},
	{resumeWithoutRenewal, []string{"HandOver", "Submit", "AdvanceShort", "AdvanceLong"}, 2081},
	{noListCheckAfterLapse, []string{"SplitOwner", "JoinAgents", "LapseLease", "Submit", "AdvanceLong"}, 680362},
}

// actions returns the actions in focus, or all if focus is nil.
func actions(m *machine, focus []string) map[string]func(*rapid.T) {
	all := rapid.StateMachineActions(m)
	maps.DeleteFunc(all, func(name string, _ func(*rapid.T)) bool {
		if focus == nil {
			return name == "RaceAfterSplit" // a combination of the others
		}
		return name != "" && !slices.Contains(focus, name)
	})
	return all
}

// Guards against a model that cannot detect a missing protection: without each of
// them, the model must find a violation.
func TestModelFindsEachMissingProtection(t *testing.T) {
	for _, p := range mutationTests {
		t.Run(string(p.without), func(t *testing.T) {
			steps := modelSteps
			if p.focus != nil {
				steps = focusSteps
			}
			rapidflags.Set(t, mutationChecks, steps, p.seed, "0s")
			r := &failureRecorder{T: t}
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

// Guards against violations that only draws among few actions produce.
func TestModelWithFocusedActions(t *testing.T) {
	for _, p := range mutationTests {
		if p.focus == nil {
			continue
		}
		t.Run(string(p.without), func(t *testing.T) {
			rapidflags.Set(t, focusChecks, focusSteps, 1, "5s")
			rapid.Check(t, func(t *rapid.T) { t.Repeat(actions(newMachine(t, noMutation), p.focus)) })
		})
	}
}

const (
	mutationChecks = 3000
	focusChecks    = 25
	// focusSteps is less than modelSteps, since each focused action is likely to
	// matter.
	focusSteps = 25
)
