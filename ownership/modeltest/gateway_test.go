package modeltest

import (
	"slices"
	"time"

	"github.com/rhubarbsail/rhubarbsail/agent/ledger"
	"github.com/rhubarbsail/rhubarbsail/common/model"
	"github.com/rhubarbsail/rhubarbsail/ownership"
)

type answer int

const (
	open answer = iota
	complete
	notRun
	mayHaveRun
	// Between gateways only: not the owner, and whether the job was left alone.
	moved
	movedAfterSend
)

// request is one submission of a caller. Its handler sends copies to owners.
type request struct {
	id        int
	key       model.JobKey
	tasks     int
	submitted time.Time
	sub       ownership.Submission
	sentTo    ownership.GatewayRef
	sentAt    time.Duration
	answered  answer
}

// copied is a copy of a request at an owner.
type copied struct {
	req   *request
	reply func(answer, []string)
}

type taskState int

const (
	unsent taskState = iota
	sent
	running
	done
)

type jobTask struct {
	state   taskState
	at      ownership.AgentRef
	attempt ledger.Attempt
	asked   time.Duration
	result  string
}

type job struct {
	key      model.JobKey
	tasks    []jobTask
	copies   []copied
	reqs     map[*request]bool
	deadline time.Duration
	answer   answer
}

type known struct {
	agent ownership.AgentRef
	rec   ledger.Record
}

// table is what a handover carries.
type table struct {
	jobs   []*job
	known  map[model.TaskID]known
	cutOff time.Time
}

type gateway struct {
	proc
	view     view
	val      *ownership.Validity
	own      model.Epoch // 0: not the owner
	takeover *ownership.Takeover
	claimed  model.Epoch // epoch of the takeover
	// stopped is the time of a handover that is under way.
	stopped  time.Duration
	links    map[string]*link
	permits  map[ownership.AgentRef]ledger.Permit
	known    map[model.TaskID]known
	jobs     map[model.JobKey]*job
	held     []copied
	outbox   []func()
	heard    map[string]time.Duration
	claimAt  time.Duration
	tables   map[model.Epoch]table
	attempts uint32
}

func (g *gateway) ref() ownership.GatewayRef {
	return ownership.GatewayRef{ID: g.name, Incarnation: g.inc}
}

func (g *gateway) boot() {
	for _, l := range g.links {
		l.closed = true
	}
	g.restart()
	*g = gateway{
		proc: g.proc, view: newView(), val: ownership.NewValidity(settings()), links: map[string]*link{},
		permits: map[ownership.AgentRef]ledger.Permit{}, known: map[model.TaskID]known{},
		jobs: map[model.JobKey]*job{}, heard: map[string]time.Duration{}, tables: map[model.Epoch]table{},
		claimAt: -s,
	}
	g.every(s, func() {
		if g.view.gateways[g.name] != g.inc {
			g.append(entry{kind: gatewayJoined, gw: g.ref()})
		}
	})
	g.every(100*ms, g.step)
	g.every(250*ms, g.ping)
	g.every(500*ms, g.probe)
}

func (g *gateway) step() {
	// Writes what was decided before, without a new check: the process may
	// have been paused in between.
	for _, write := range g.outbox {
		write()
	}
	g.outbox = nil
	g.readLog()
	g.connect()
	g.plan()
	g.resume()
	g.serve()
}

func (g *gateway) serve() {
	if g.own == 0 || g.stopped != 0 {
		return
	}
	held := g.held
	g.held = nil
	for _, c := range held {
		g.onSubmit(c)
	}
	for _, key := range sortedKeys(g.jobs) {
		g.work(g.jobs[key])
	}
}

func sortedKeys(m map[model.JobKey]*job) []model.JobKey {
	out := make([]model.JobKey, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.SortFunc(out, func(a, b model.JobKey) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	return out
}

func (g *gateway) readLog() {
	if g.w.logDown || g.w.cut(g.name, "log") {
		return
	}
	for _, e := range g.w.log[g.view.applied:] {
		from, replaced := g.view.owner, g.view.epoch
		if g.view.apply(e) {
			g.onClaim(e, from, replaced)
		}
		if g.own != 0 {
			for _, m := range g.view.members {
				if m.Left == uint64(g.view.applied) {
					g.takeover.Left(g.clock(), m.Agent, m.Left, m.LeftAt)
				}
			}
		}
	}
	g.val.SetListed(g.view.listed())
}

func (g *gateway) onClaim(e entry, from ownership.GatewayRef, replaced model.Epoch) {
	switch {
	case g.view.owner != g.ref():
		g.lose()
		return
	case from == g.ref():
		g.own, g.stopped = g.view.epoch, 0 // renewal
		return
	}
	g.lose()
	g.own, g.claimed = g.view.epoch, g.view.epoch
	t, received := g.tables[replaced]
	switch {
	case replaced == 0:
		g.takeover = ownership.NewFirstClaim(settings())
	case e.handover && received:
		g.w.stats["handover"]++
		g.takeover = ownership.NewHandover(settings(), t.cutOff)
		for id, k := range t.known {
			g.known[id] = k
		}
		for _, j := range t.jobs {
			j.deadline = g.mono() + 5*s
			g.jobs[j.key] = j
		}
	default:
		st, base := settings(), g.view.base
		if g.w.mut == noWait {
			st.Validity, st.PermitLifetime = 0, 0
		}
		if g.w.mut == newestListOnly {
			base = uint64(g.own) - 1
		}
		g.takeover = ownership.NewTakeover(g.clock(), st, g.own, base, g.view.members)
	}
}

// lose gives up the ownership; the handlers go to the new owner.
func (g *gateway) lose() {
	handedOver := g.stopped != 0
	g.own, g.stopped = 0, 0
	for _, c := range g.held {
		c.reply(moved, nil)
	}
	for _, key := range sortedKeys(g.jobs) {
		j, reply := g.jobs[key], moved
		if handedOver || slices.ContainsFunc(j.tasks, func(t jobTask) bool { return t.state != unsent }) {
			reply = movedAfterSend
		}
		for _, c := range j.copies {
			c.reply(reply, nil)
		}
	}
	g.held, g.jobs = nil, map[model.JobKey]*job{}
}

// connect keeps links to the listed agents and fences those that are missing.
func (g *gateway) connect() {
	listed := g.view.listed()
	for _, a := range g.w.ags {
		l := g.links[a.name]
		if l != nil && (l.closed || !l.alive()) {
			delete(g.links, a.name)
			l = nil
		}
		ok := slices.Contains(listed, a.ref()) || g.w.mut == unlistedAgents
		if l == nil && ok && !g.w.cut(g.name, a.name) && g.w.chance(50) {
			l = &link{g: g, a: a, grun: g.run, arun: a.run, ref: a.ref()}
			g.links[a.name] = l
			a.links = append(a.links, l)
		}
		if l != nil && g.own != 0 && g.w.chance(20) {
			epoch := g.own
			l.send(toAgent, func() { l.a.onFence(l, epoch) })
		}
	}
}

func (g *gateway) onFenced(a ownership.AgentRef, epoch model.Epoch, recs []ledger.Record, newer []ownership.PartitionEpoch) {
	g.val.Observe(newer)
	for _, r := range recs {
		g.onRecord(a, r)
	}
	if g.own != 0 && epoch >= g.claimed && len(newer) == 0 {
		g.takeover.Replied(g.clock(), a)
	}
}

func (g *gateway) probe() {
	for _, a := range g.w.ags {
		if l := g.links[a.name]; l != nil {
			seq, applied := g.val.Probe(g.mono(), l.ref), uint64(g.view.applied)
			l.send(toAgent, func() { l.a.onProbe(l, seq, applied) })
		}
	}
}

func (g *gateway) ping() {
	for _, o := range g.w.gws {
		if o != g {
			at := g.mono()
			g.rpc(&o.proc, func() { o.rpc(&g.proc, func() { g.heard[o.name] = max(g.heard[o.name], at) }) })
		}
	}
}

func (g *gateway) plan() {
	v := ownership.View{Self: g.ref(), Reachable: g.val.Reachable(g.mono())}
	for _, o := range g.w.gws {
		if inc := g.view.gateways[o.name]; inc != 0 {
			v.Gateways = append(v.Gateways, ownership.GatewayState{
				Ref: ownership.GatewayRef{ID: o.name, Incarnation: inc}, LastHeard: g.heard[o.name]})
		}
	}
	v.Partitions = []ownership.PartitionState{{
		Partition: part, Owner: g.view.owner, Epoch: g.view.epoch, Pending: g.mono()-g.claimAt < s}}
	for _, c := range ownership.Plan(g.mono(), settings(), v).Claims {
		g.claim(c.Replaces)
	}
}

func (g *gateway) claim(replaces model.Epoch) {
	g.claimAt = g.mono()
	g.append(entry{kind: claim, gw: g.ref(), replaces: replaces})
}

func (g *gateway) ready() bool {
	return g.own != 0 && g.takeover.State(g.mono()) == ownership.Ready
}

func (g *gateway) valid() bool {
	return g.w.mut == noMajority || g.val.Valid(g.mono(), part, g.own)
}

// handOver stops this owner, sends its table and then claims for the other.
func (g *gateway) handOver(to *gateway) {
	inc, member := g.view.gateways[to.name]
	if !member || to == g || g.stopped != 0 || !g.ready() || !g.valid() {
		return
	}
	g.stopped = g.mono()
	epoch, run := g.own, g.run
	t := table{known: make(map[model.TaskID]known), cutOff: g.takeover.CutOff(g.clock())}
	for id, k := range g.known {
		t.known[id] = k
	}
	for _, key := range sortedKeys(g.jobs) {
		j := *g.jobs[key]
		j.tasks, j.copies = slices.Clone(j.tasks), nil
		t.jobs = append(t.jobs, &j)
	}
	ref := ownership.GatewayRef{ID: to.name, Incarnation: inc}
	g.rpc(&to.proc, func() {
		if to.ref() != ref {
			return
		}
		to.tables[epoch] = t
		to.rpc(&g.proc, func() {
			if g.run == run && g.own == epoch && g.stopped != 0 {
				g.append(entry{kind: claim, gw: ref, from: g.ref(), replaces: epoch, handover: true})
			}
		})
	})
}

// resume ends a handover that does not show in the log. The claim may still
// arrive there, so only a renewal that takes effect makes the owner start again.
func (g *gateway) resume() {
	if g.own == 0 || g.stopped == 0 || g.mono()-g.stopped < 2*s {
		return
	}
	if g.w.mut == resumeWithoutRenewal {
		g.stopped = 0
	} else if g.mono()-g.claimAt > s {
		g.claim(g.own)
	}
}

// submit is the handler of a caller's request at this gateway.
func (g *gateway) submit(r *request) {
	if r.submitted.After(g.wall().Add(settings().CallerSkew)) {
		g.w.answer(r, notRun, nil)
		return
	}
	if settings().TooOld(g.wall(), r.submitted) {
		g.w.answer(r, mayHaveRun, nil)
		return
	}
	deadline := g.mono() + 12*s
	r.sentAt = -time.Hour
	var try func()
	try = func() {
		owner := g.view.owner
		switch {
		case r.answered != open:
			return
		case g.mono() > deadline:
			g.answer(r, notRun, nil)
			return
		case owner.ID != "" && (owner != r.sentTo || g.mono()-r.sentAt > 3*s):
			g.forward(r, owner)
		}
		g.later(200*ms, try)
	}
	try()
}

// answer passes an answer on to the caller; not_run only without open copies.
func (g *gateway) answer(r *request, a answer, results []string) {
	if a == notRun && !r.sub.MayAnswerNotRun() && g.w.mut != openCopies {
		a = mayHaveRun
	}
	g.w.answer(r, a, results)
}

func (g *gateway) forward(r *request, owner ownership.GatewayRef) {
	r.sentTo, r.sentAt = owner, g.mono()
	r.sub.Sent()
	to := g.w.gateway(owner.ID)
	run := g.run
	g.rpc(&to.proc, func() {
		to.onSubmit(copied{r, func(a answer, results []string) {
			to.rpc(&g.proc, func() {
				if g.run != run {
					return
				}
				if a != movedAfterSend {
					r.sub.Closed()
				}
				if a == moved || a == movedAfterSend {
					r.sentTo = ownership.GatewayRef{}
				} else if r.answered == open {
					g.answer(r, a, results)
				}
			})
		}})
	})
}

func (w *world) gateway(id string) *gateway {
	return w.gws[slices.IndexFunc(w.gws, func(g *gateway) bool { return g.name == id })]
}

// answer checks the invariants about answers.
func (w *world) answer(r *request, a answer, results []string) {
	if r.answered != open {
		return
	}
	r.answered = a
	w.stats[[]string{"open", "complete", "not_run", "may_have_run"}[a]]++
	w.trace("answer %d %v: %d", r.id, r.key, a)
	if a == notRun && w.startedFor[r] {
		w.fail("request %d of %v answered not_run after a start", r.id, r.key)
	}
	for i := range r.tasks {
		id := model.TaskID{Job: r.key, Index: i}
		if a == complete && (i >= len(results) || results[i] != id.String() || w.starts[id] != 1) {
			w.fail("request %d: wrong complete answer %v", r.id, results)
		}
	}
}

// onSubmit is a copy of a request at the gateway that its handler takes for the
// owner.
func (g *gateway) onSubmit(c copied) {
	switch {
	case g.own == 0:
		c.reply(moved, nil)
	case !g.ready() || g.stopped != 0:
		g.held = append(g.held, c)
	default:
		j := g.jobs[c.req.key]
		if j == nil {
			j = g.newJob(c.req)
		}
		j.reqs[c.req] = true
		j.copies = append(j.copies, c)
		g.settle(j)
	}
}

func (g *gateway) newJob(r *request) *job {
	j := &job{key: r.key, tasks: make([]jobTask, r.tasks), reqs: map[*request]bool{}, deadline: g.mono() + 5*s}
	g.jobs[r.key] = j
	for i := range j.tasks {
		t := &j.tasks[i]
		if k, ok := g.known[model.TaskID{Job: r.key, Index: i}]; ok {
			t.adopt(k.agent, k.rec)
		} else if g.takeover.Decide(g.clock(), r.submitted) != ownership.Run && g.w.mut != noCutOff {
			g.w.stats["cut_off"]++
			j.answer = mayHaveRun
		}
	}
	return j
}

func (t *jobTask) adopt(a ownership.AgentRef, r ledger.Record) {
	if t.state == done {
		return
	}
	t.at, t.attempt, t.state = a, r.Attempt, running
	if r.State != ledger.Running {
		t.state, t.result = done, string(r.Result)
	}
}

// onRecord takes what an agent reports about a task.
func (g *gateway) onRecord(a ownership.AgentRef, r ledger.Record) {
	if r.State.Started() {
		g.known[r.Task] = known{a, r}
	}
	j := g.jobs[r.Task.Job]
	if j == nil {
		return
	}
	t := &j.tasks[r.Task.Index]
	switch {
	case r.State.Started():
		t.adopt(a, r)
	case r.State == ledger.NotStarted && t.state == sent && t.at == a && t.attempt == r.Attempt:
		t.state = unsent
	}
}

// work moves a job on: places tasks, asks for outcomes, ends it.
func (g *gateway) work(j *job) {
	late := g.mono() > j.deadline
	for i := range j.tasks {
		t := &j.tasks[i]
		if j.answer != open || t.state == done {
			continue
		}
		if t.state == unsent {
			if !late && g.valid() {
				g.place(j, i)
			}
			continue
		}
		l := g.links[t.at.ID]
		if g.lost(t) {
			if g.w.mut == lostMoves {
				t.state = unsent
				continue
			}
			j.answer = mayHaveRun
		} else if l != nil && l.ref == t.at && g.mono()-t.asked > s {
			t.asked = g.mono()
			at := t.attempt
			l.send(toAgent, func() { l.a.onRevoke(l, at) })
		}
	}
	g.settle(j)
}

func (g *gateway) lost(t *jobTask) bool {
	var now ownership.AgentStatus
	for _, a := range g.view.listed() {
		if a.ID == t.at.ID {
			now.Listed = a.Incarnation
		}
	}
	if l := g.links[t.at.ID]; l != nil {
		now.Welcomed, now.LinkOpen = l.ref.Incarnation, l.ref == t.at
	}
	return ownership.Lost(t.at, now)
}

// place sends a task to a random agent; the write happens in the next step.
func (g *gateway) place(j *job, i int) {
	var to []*link
	for _, a := range g.w.ags {
		if l := g.links[a.name]; l != nil && g.permits[l.ref].Incarnation == l.ref.Incarnation &&
			(g.w.mut == unlistedAgents || slices.Contains(g.view.listed(), l.ref)) {
			to = append(to, l)
		}
	}
	if len(to) == 0 {
		return
	}
	l := to[g.w.rng.Intn(len(to))]
	g.attempts++
	t := &j.tasks[i]
	t.state, t.at, t.asked = sent, l.ref, g.mono()
	t.attempt = ledger.Attempt{Task: model.TaskID{Job: j.key, Index: i}, Partition: part, Epoch: g.own, Number: g.attempts}
	st := ledger.Start{Attempt: t.attempt, Permit: g.permits[l.ref]}
	g.outbox = append(g.outbox, func() { l.send(toAgent, func() { l.a.onStart(l, st, j) }) })
}

// settle answers the job when its result is known.
func (g *gateway) settle(j *job) {
	var count [done + 1]int
	var results []string
	for _, t := range j.tasks {
		count[t.state]++
		results = append(results, t.result)
	}
	late := g.mono() - j.deadline
	switch {
	case j.answer != open:
	case count[done] == len(j.tasks):
		j.answer = complete
	case late > 0 && count[unsent] == len(j.tasks):
		if !g.valid() {
			return
		}
		j.answer = notRun
		for i := range j.tasks {
			if g.w.starts[model.TaskID{Job: j.key, Index: i}] > 0 {
				g.w.fail("valid owner %s answers not_run for %v, which was started", g.name, j.key)
			}
		}
		delete(g.jobs, j.key) // a later submission may run
	case late > 10*s:
		j.answer = mayHaveRun
	default:
		return
	}
	for _, c := range j.copies {
		c.reply(j.answer, results)
	}
	j.copies = nil
}
