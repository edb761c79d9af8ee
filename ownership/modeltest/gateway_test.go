package modeltest

import (
	"slices"
	"time"

	"github.com/rhubarbsail/rhubarbsail/agent/ledger"
	"github.com/rhubarbsail/rhubarbsail/common/model"
	"github.com/rhubarbsail/rhubarbsail/ownership"
)

// answer is the answer to a request, or open while there is none.
type answer int

const (
	open answer = iota
	complete
	notRun
	mayHaveRun
	// moved and movedAfterSend are only used between gateways. The receiver is not
	// the owner, and has sent none of the job's tasks or may have sent some.
	moved
	movedAfterSend
)

// request is one submission of a caller. The gateway that handles it sends copies
// of it to owners.
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

// requestCopy is a copy of a request that was sent to an owner.
type requestCopy struct {
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
	state     taskState
	sentAgent ownership.AgentRef
	attempt   ledger.Attempt
	askedAt   time.Duration
	result    string
}

type job struct {
	key      model.JobKey
	tasks    []jobTask
	copies   []requestCopy
	requests map[*request]bool
	deadline time.Duration
	answer   answer
}

// knownRecord is the newest ledger record of a started task.
type knownRecord struct {
	agent ownership.AgentRef
	rec   ledger.Record
}

// jobTable is what a handover transfers: the jobs and the state of started tasks.
type jobTable struct {
	jobs   []*job
	known  map[model.TaskID]knownRecord
	cutOff time.Time
}

// gateway models a gateway process: the handler of client requests and, while it is
// the owner of the partition, the dispatcher of its jobs.
type gateway struct {
	process
	view          view
	validity      *ownership.Validity
	ownEpoch      model.Epoch // the epoch of its ownership, or 0
	takeover      *ownership.Takeover
	takeoverEpoch model.Epoch // the epoch at which the takeover began
	// stoppedAt is the time at which the handover in progress began, or 0.
	stoppedAt     time.Duration
	links         map[string]*link
	permits       map[ownership.AgentRef]ledger.Permit
	known         map[model.TaskID]knownRecord
	jobs          map[model.JobKey]*job
	heldCopies    []requestCopy
	pendingWrites []func()
	lastHeard     map[string]time.Duration
	lastClaimAt   time.Duration
	tables        map[model.Epoch]jobTable
	attempts      uint32
}

func (g *gateway) ref() ownership.GatewayRef {
	return ownership.GatewayRef{ID: g.name, Incarnation: g.incarnation}
}

func (g *gateway) start() {
	for _, l := range g.links {
		l.closed = true
	}
	g.restart()
	*g = gateway{
		process: g.process, view: newView(), validity: ownership.NewValidity(settings()), links: map[string]*link{},
		permits: map[ownership.AgentRef]ledger.Permit{}, known: map[model.TaskID]knownRecord{},
		jobs: map[model.JobKey]*job{}, lastHeard: map[string]time.Duration{}, tables: map[model.Epoch]jobTable{},
		lastClaimAt: -s,
	}
	g.every(s, func() {
		if g.view.gateways[g.name] != g.incarnation {
			g.append(entry{kind: gatewayJoined, gw: g.ref()})
		}
	})
	g.every(100*ms, g.step)
	g.every(250*ms, g.ping)
	g.every(500*ms, g.probe)
}

func (g *gateway) step() {
	// Starts decided in the last step are written without another check of the
	// ownership, since a process can be paused between check and write.
	for _, write := range g.pendingWrites {
		write()
	}
	g.pendingWrites = nil
	g.readLog()
	g.connect()
	g.plan()
	g.resumeAfterHandover()
	g.serve()
}

func (g *gateway) serve() {
	if g.ownEpoch == 0 || g.stoppedAt != 0 {
		return
	}
	held := g.heldCopies
	g.heldCopies = nil
	for _, c := range held {
		g.onSubmit(c)
	}
	for _, key := range sortedKeys(g.jobs) {
		g.advanceJob(g.jobs[key])
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
	if g.w.logDown || g.w.isCut(g.name, "log") {
		return
	}
	for _, e := range g.w.log[g.view.applied:] {
		from, replaced := g.view.owner, g.view.epoch
		if g.view.apply(e) {
			g.onClaim(e, from, replaced)
		}
		if g.ownEpoch != 0 {
			for _, m := range g.view.members {
				if m.Left == uint64(g.view.applied) {
					g.takeover.Left(g.clock(), m.Agent, m.Left, m.LeftAt)
				}
			}
		}
	}
	g.validity.SetListed(g.view.listed())
}

func (g *gateway) onClaim(e entry, from ownership.GatewayRef, replaced model.Epoch) {
	switch {
	case g.view.owner != g.ref():
		g.loseOwnership()
		return
	case from == g.ref():
		g.ownEpoch, g.stoppedAt = g.view.epoch, 0 // renewal
		return
	}
	g.loseOwnership()
	g.ownEpoch, g.takeoverEpoch = g.view.epoch, g.view.epoch
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
		if g.w.mutation == noWait {
			st.Validity, st.PermitLifetime = 0, 0
		}
		if g.w.mutation == newestListOnly {
			base = uint64(g.ownEpoch) - 1
		}
		g.takeover = ownership.NewTakeover(g.clock(), st, g.ownEpoch, base, g.view.members)
	}
}

// loseOwnership gives up the ownership and tells the handlers of all requests to
// go to the new owner.
func (g *gateway) loseOwnership() {
	handedOver := g.stoppedAt != 0
	g.ownEpoch, g.stoppedAt = 0, 0
	for _, c := range g.heldCopies {
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
	g.heldCopies, g.jobs = nil, map[model.JobKey]*job{}
}

// connect opens links to the listed agents at random moments, and as an owner sends
// them fences.
func (g *gateway) connect() {
	listed := g.view.listed()
	for _, a := range g.w.agents {
		l := g.links[a.name]
		if l != nil && (l.closed || !l.alive()) {
			delete(g.links, a.name)
			l = nil
		}
		ok := slices.Contains(listed, a.ref()) || g.w.mutation == sendToUnlistedAgents
		if l == nil && ok && !g.w.isCut(g.name, a.name) && g.w.chance(50) {
			l = &link{g: g, a: a, gatewayRun: g.run, agentRun: a.run, ref: a.ref()}
			g.links[a.name] = l
			a.links = append(a.links, l)
		}
		if l != nil && g.ownEpoch != 0 && g.w.chance(20) {
			epoch := g.ownEpoch
			l.send(toAgent, func() { l.a.onFence(l, epoch) })
		}
	}
}

func (g *gateway) onFenced(a ownership.AgentRef, epoch model.Epoch, recs []ledger.Record, newer []ownership.PartitionEpoch) {
	g.validity.Observe(newer)
	for _, r := range recs {
		g.onRecord(a, r)
	}
	if g.ownEpoch != 0 && epoch >= g.takeoverEpoch && len(newer) == 0 {
		g.takeover.Replied(g.clock(), a)
	}
}

func (g *gateway) probe() {
	for _, a := range g.w.agents {
		if l := g.links[a.name]; l != nil {
			seq, applied := g.validity.Probe(g.mono(), l.ref), uint64(g.view.applied)
			l.send(toAgent, func() { l.a.onProbe(l, seq, applied) })
		}
	}
}

func (g *gateway) ping() {
	for _, o := range g.w.gateways {
		if o != g {
			at := g.mono()
			g.rpc(&o.process, func() { o.rpc(&g.process, func() { g.lastHeard[o.name] = max(g.lastHeard[o.name], at) }) })
		}
	}
}

func (g *gateway) plan() {
	v := ownership.View{Self: g.ref(), Reachable: g.validity.Reachable(g.mono())}
	for _, o := range g.w.gateways {
		if inc := g.view.gateways[o.name]; inc != 0 {
			v.Gateways = append(v.Gateways, ownership.GatewayState{
				Ref: ownership.GatewayRef{ID: o.name, Incarnation: inc}, LastHeard: g.lastHeard[o.name]})
		}
	}
	v.Partitions = []ownership.PartitionState{{
		Partition: partition, Owner: g.view.owner, Epoch: g.view.epoch, Pending: g.mono()-g.lastClaimAt < s}}
	for _, c := range ownership.Plan(g.mono(), settings(), v).Claims {
		g.claim(c.Replaces)
	}
}

func (g *gateway) claim(replaces model.Epoch) {
	g.lastClaimAt = g.mono()
	g.append(entry{kind: claim, gw: g.ref(), replaces: replaces})
}

func (g *gateway) ready() bool {
	return g.ownEpoch != 0 && g.takeover.State(g.mono()) == ownership.Ready
}

func (g *gateway) valid() bool {
	return g.w.mutation == noMajority || g.validity.Valid(g.mono(), partition, g.ownEpoch)
}

// handOver stops serving, sends the job table to the other gateway and, after its
// reply, writes the claim that makes it the owner.
func (g *gateway) handOver(to *gateway) {
	inc, member := g.view.gateways[to.name]
	if !member || to == g || g.stoppedAt != 0 || !g.ready() || !g.valid() {
		return
	}
	g.stoppedAt = g.mono()
	epoch, run := g.ownEpoch, g.run
	t := jobTable{known: make(map[model.TaskID]knownRecord), cutOff: g.takeover.CutOff(g.clock())}
	for id, k := range g.known {
		t.known[id] = k
	}
	for _, key := range sortedKeys(g.jobs) {
		j := *g.jobs[key]
		j.tasks, j.copies = slices.Clone(j.tasks), nil
		t.jobs = append(t.jobs, &j)
	}
	ref := ownership.GatewayRef{ID: to.name, Incarnation: inc}
	g.rpc(&to.process, func() {
		if to.ref() != ref {
			return
		}
		to.tables[epoch] = t
		to.rpc(&g.process, func() {
			if g.run == run && g.ownEpoch == epoch && g.stoppedAt != 0 {
				g.append(entry{kind: claim, gw: ref, from: g.ref(), replaces: epoch, handover: true})
			}
		})
	})
}

// resumeAfterHandover ends a handover whose claim does not appear in the log. The
// claim may still reach the log later, so the owner serves again only after a
// renewal of its own epoch took effect.
func (g *gateway) resumeAfterHandover() {
	if g.ownEpoch == 0 || g.stoppedAt == 0 || g.mono()-g.stoppedAt < 2*s {
		return
	}
	if g.w.mutation == resumeWithoutRenewal {
		g.stoppedAt = 0
	} else if g.mono()-g.lastClaimAt > s {
		g.claim(g.ownEpoch)
	}
}

// submit handles a caller's request at this gateway.
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
		g.after(200*ms, try)
	}
	try()
}

// answer sends an answer to the caller. While copies are open, it replaces not_run
// by may_have_run.
func (g *gateway) answer(r *request, a answer, results []string) {
	if a == notRun && !r.sub.MayAnswerNotRun() && g.w.mutation != ignoreOpenCopies {
		a = mayHaveRun
	}
	g.w.answer(r, a, results)
}

// forward sends a copy of the request to the owner.
func (g *gateway) forward(r *request, owner ownership.GatewayRef) {
	r.sentTo, r.sentAt = owner, g.mono()
	r.sub.Sent()
	to := g.w.gateway(owner.ID)
	run := g.run
	g.rpc(&to.process, func() {
		to.onSubmit(requestCopy{r, func(a answer, results []string) {
			to.rpc(&g.process, func() {
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
	return w.gateways[slices.IndexFunc(w.gateways, func(g *gateway) bool { return g.name == id })]
}

// answer records the first answer to a request and checks the invariants on
// answers.
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

// onSubmit handles a copy of a request at the gateway that the sender believes to
// be the owner.
func (g *gateway) onSubmit(c requestCopy) {
	switch {
	case g.ownEpoch == 0:
		c.reply(moved, nil)
	case !g.ready() || g.stoppedAt != 0:
		g.heldCopies = append(g.heldCopies, c)
	default:
		j := g.jobs[c.req.key]
		if j == nil {
			j = g.newJob(c.req)
		}
		j.requests[c.req] = true
		j.copies = append(j.copies, c)
		g.answerJob(j)
	}
}

func (g *gateway) newJob(r *request) *job {
	j := &job{key: r.key, tasks: make([]jobTask, r.tasks), requests: map[*request]bool{}, deadline: g.mono() + 5*s}
	g.jobs[r.key] = j
	for i := range j.tasks {
		t := &j.tasks[i]
		if k, ok := g.known[model.TaskID{Job: r.key, Index: i}]; ok {
			t.adopt(k.agent, k.rec)
		} else if g.takeover.Decide(g.clock(), r.submitted) != ownership.Run && g.w.mutation != noCutOff {
			g.w.stats["cut_off"]++
			j.answer = mayHaveRun
		}
	}
	return j
}

// adopt takes over the state of the task from a ledger record.
func (t *jobTask) adopt(a ownership.AgentRef, r ledger.Record) {
	if t.state == done {
		return
	}
	t.sentAgent, t.attempt, t.state = a, r.Attempt, running
	if r.State != ledger.Running {
		t.state, t.result = done, string(r.Result)
	}
}

// onRecord handles an agent's report about a task.
func (g *gateway) onRecord(a ownership.AgentRef, r ledger.Record) {
	if r.State.Started() {
		g.known[r.Task] = knownRecord{a, r}
	}
	j := g.jobs[r.Task.Job]
	if j == nil {
		return
	}
	t := &j.tasks[r.Task.Index]
	switch {
	case r.State.Started():
		t.adopt(a, r)
	case r.State == ledger.NotStarted && t.state == sent && t.sentAgent == a && t.attempt == r.Attempt:
		t.state = unsent
	}
}

// advanceJob places unsent tasks, asks for the state of sent ones by revoking
// them, and answers the job if possible.
func (g *gateway) advanceJob(j *job) {
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
		l := g.links[t.sentAgent.ID]
		if g.isLost(t) {
			if g.w.mutation == resendLostTasks {
				t.state = unsent
				continue
			}
			j.answer = mayHaveRun
		} else if l != nil && l.ref == t.sentAgent && g.mono()-t.askedAt > s {
			t.askedAt = g.mono()
			at := t.attempt
			l.send(toAgent, func() { l.a.onRevoke(l, at) })
		}
	}
	g.answerJob(j)
}

func (g *gateway) isLost(t *jobTask) bool {
	var now ownership.AgentStatus
	for _, a := range g.view.listed() {
		if a.ID == t.sentAgent.ID {
			now.Listed = a.Incarnation
		}
	}
	if l := g.links[t.sentAgent.ID]; l != nil {
		now.Welcomed, now.LinkOpen = l.ref.Incarnation, l.ref == t.sentAgent
	}
	return ownership.Lost(t.sentAgent, now)
}

// place assigns a task to a random linked agent. The start is written in the next
// step.
func (g *gateway) place(j *job, i int) {
	var to []*link
	for _, a := range g.w.agents {
		if l := g.links[a.name]; l != nil && g.permits[l.ref].Incarnation == l.ref.Incarnation &&
			(g.w.mutation == sendToUnlistedAgents || slices.Contains(g.view.listed(), l.ref)) {
			to = append(to, l)
		}
	}
	if len(to) == 0 {
		return
	}
	l := to[g.w.rng.Intn(len(to))]
	g.attempts++
	t := &j.tasks[i]
	t.state, t.sentAgent, t.askedAt = sent, l.ref, g.mono()
	t.attempt = ledger.Attempt{Task: model.TaskID{Job: j.key, Index: i}, Partition: partition, Epoch: g.ownEpoch, Number: g.attempts}
	st := ledger.Start{Attempt: t.attempt, Permit: g.permits[l.ref]}
	g.pendingWrites = append(g.pendingWrites, func() { l.send(toAgent, func() { l.a.onStart(l, st, j) }) })
}

// answerJob answers the job once its result is known or its deadline has passed.
func (g *gateway) answerJob(j *job) {
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
		delete(g.jobs, j.key) // a later submission of the key may run
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
