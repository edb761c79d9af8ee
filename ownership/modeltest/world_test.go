package modeltest

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/model"
	"github.com/rhubarbsail/rhubarbsail/common/virtualtime"
	"github.com/rhubarbsail/rhubarbsail/ownership"
)

const (
	ms = time.Millisecond
	s  = time.Second
	// partition is the only partition. With a second one, conflicts would be rarer.
	partition = model.Partition(0)
	// maxDrift is the maximum ratio of the rates of two monotonic clocks, minus 1.
	maxDrift = 0.1
)

// settings returns the defaults with smaller skews and retention. With large skews
// the cut-offs would hide missing rules, and with a long retention no short run
// would reach its end.
func settings() ownership.Settings {
	st := ownership.DefaultSettings()
	st.CallerSkew, st.WallSkew, st.Retention = 300*ms, 100*ms, 30*s
	return st
}

// simulationStart is the wall-clock time at virtual time 0.
var simulationStart = time.Unix(1_800_000_000, 0)

// world simulates the network, the log and the processes, and checks the
// invariants.
type world struct {
	virtualtime.Clock
	rng      *rand.Rand
	mutation mutation
	cuts     map[[2]string]bool
	// logDown makes all reads and appends of the log fail.
	logDown bool
	// noLongDelays disables the long network delays.
	noLongDelays bool
	log          []entry
	// leases holds the end of each agent's lease. takenUntil holds the time until
	// which a gateway holds the lease of the agent instead.
	leases, takenUntil map[string]time.Duration
	gateways           []*gateway
	agents             []*agent
	requests           []*request

	starts     map[model.TaskID]int
	startedFor map[*request]bool
	stats      map[string]int
	violation  string
	trace      func(string, ...any)
}

func newWorld(seed int64, mut mutation, gateways, agents int) *world {
	w := &world{
		rng: rand.New(rand.NewSource(seed)), mutation: mut, cuts: map[[2]string]bool{},
		leases: map[string]time.Duration{}, takenUntil: map[string]time.Duration{},
		starts: map[model.TaskID]int{}, startedFor: map[*request]bool{}, stats: map[string]int{},
		trace: func(string, ...any) {},
	}
	for i := range agents {
		w.addAgent(i)
	}
	for i := range gateways {
		g := &gateway{process: w.newProcess(fmt.Sprintf("g%d", i))}
		w.gateways = append(w.gateways, g)
		g.start()
	}
	return w
}

func (w *world) addAgent(i int) {
	a := &agent{process: w.newProcess(fmt.Sprintf("a%d", i))}
	w.agents = append(w.agents, a)
	a.start()
}

func (w *world) advance(d time.Duration) {
	end := w.Now + d
	for w.violation == "" && w.Step(end) {
	}
	w.Now = end
}

func (w *world) fail(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf("%v: ", w.Now) + fmt.Sprintf(format, args...)
	}
}

func (w *world) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(w.rng.Int63n(int64(d) + 1))
}

func (w *world) chance(percent int) bool { return w.rng.Intn(100) < percent }

// delay returns a random network delay of a message: a few milliseconds, for about
// one message in ten up to 500 ms and for one in perLongDelay up to 12 s.
func (w *world) delay(perLongDelay int) time.Duration {
	switch n := w.rng.Intn(perLongDelay * 10); {
	case w.noLongDelays || n > perLongDelay:
		return ms + w.randomUpTo(4*ms)
	case n > 9:
		return w.randomUpTo(500 * ms)
	}
	return w.randomUpTo(12 * s)
}

// Values of perLongDelay. Long delays are rarer for frames than for calls: a link
// carries tens of frames a second, and a delayed frame delays all that follow it.
const (
	framesPerLongDelay = 400
	callsPerLongDelay  = 30
)

// connectionKey returns the key of the connection between two parties.
func connectionKey(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

func (w *world) isCut(a, b string) bool { return w.cuts[connectionKey(a, b)] }

// process is a process with its own clocks. A pause delays all its actions.
type process struct {
	w           *world
	name        string
	run         int // number of starts
	incarnation model.Incarnation
	pausedUntil time.Duration
	rate        float64
	skew        time.Duration
}

func (w *world) newProcess(name string) process {
	return process{w: w, name: name, rate: 1 + maxDrift*w.rng.Float64(), skew: w.randomUpTo(settings().WallSkew)}
}

func (p *process) restart() {
	p.run++
	p.pausedUntil = 0
	p.incarnation = model.Incarnation(p.w.Now) + model.Incarnation(p.run)
}

func (p *process) mono() time.Duration { return time.Duration(float64(p.w.Now) * p.rate) }
func (p *process) wall() time.Time     { return simulationStart.Add(p.w.Now + p.skew) }
func (p *process) clock() ownership.Clock {
	return ownership.Clock{Mono: p.mono(), Wall: p.wall()}
}

// after runs fn in the process after d, or when its pause ends. If the process
// restarts before, fn does not run.
func (p *process) after(d time.Duration, fn func()) {
	run := p.run
	p.w.After(d, func() { p.runUnlessPaused(run, fn) })
}

// runUnlessPaused runs fn at once or when the pause ends, unless the process has
// been restarted since the given run.
func (p *process) runUnlessPaused(run int, fn func()) {
	switch {
	case p.run != run:
	case p.w.Now < p.pausedUntil:
		p.w.After(p.pausedUntil-p.w.Now, func() { p.runUnlessPaused(run, fn) })
	default:
		fn()
	}
}

// every runs fn about every d until the process restarts.
func (p *process) every(d time.Duration, fn func()) {
	p.after(d/2+p.w.randomUpTo(d), func() {
		fn()
		p.every(d, fn)
	})
}

// rpc sends a message that runs fn in dst, in whatever incarnation is running when
// it arrives. If the connection is cut then, the message is lost or arrives after
// the cut has ended.
func (p *process) rpc(dst *process, fn func()) {
	d := p.w.delay(callsPerLongDelay)
	if p == dst {
		d = 0
	}
	lost := p.w.chance(50)
	var arrive func()
	arrive = func() {
		switch {
		case !p.w.isCut(p.name, dst.name):
			dst.after(0, fn)
		case !lost:
			p.w.After(200*ms, arrive)
		}
	}
	p.w.After(d, arrive)
}

// link is a connection between a gateway and an agent. Frames of one direction
// arrive in order. A closed link accepts no new frames, but frames in flight may
// still arrive, even after frames of a newer link.
type link struct {
	g                    *gateway
	a                    *agent
	gatewayRun, agentRun int
	ref                  ownership.AgentRef
	closed               bool
	last                 [2]time.Duration
	queue                [2][]frame
	retrying             [2]bool
}

type frame struct {
	ready time.Duration
	fn    func()
}

const (
	toAgent = iota
	toGateway
)

func (l *link) alive() bool { return l.gatewayRun == l.g.run && l.agentRun == l.a.run }

func (l *link) send(dir int, fn func()) {
	w := l.g.w
	if l.closed || !l.alive() {
		return
	}
	l.last[dir] = max(l.last[dir], w.Now+w.delay(framesPerLongDelay))
	l.queue[dir] = append(l.queue[dir], frame{l.last[dir], fn})
	w.After(l.last[dir]-w.Now, func() { l.deliver(dir) })
}

// deliver delivers the frames of a direction that are due, or retries later while
// the connection is cut or the receiver is paused.
func (l *link) deliver(dir int) {
	w, dst := l.g.w, &l.a.process
	if dir == toGateway {
		dst = &l.g.process
	}
	for len(l.queue[dir]) > 0 && l.queue[dir][0].ready <= w.Now && l.alive() {
		if w.isCut(l.g.name, l.a.name) || w.Now < dst.pausedUntil {
			if !l.retrying[dir] {
				l.retrying[dir] = true
				w.After(50*ms, func() { l.retrying[dir] = false; l.deliver(dir) })
			}
			return
		}
		f := l.queue[dir][0]
		l.queue[dir] = l.queue[dir][1:]
		f.fn()
	}
}

// breakLink closes the link. Frames in flight are dropped, or arrive later by
// stall.
func (l *link) breakLink(drop bool, stall time.Duration) {
	l.closed = true
	for dir := range l.queue {
		if drop {
			l.queue[dir] = nil
		}
		for i := range l.queue[dir] {
			l.queue[dir][i].ready += stall
		}
	}
	l.g.w.After(stall, func() { l.deliver(toAgent) })
	l.g.w.After(stall, func() { l.deliver(toGateway) })
}

// recordKind is the kind of a log record.
type recordKind int

const (
	gatewayJoined recordKind = iota
	agentJoined
	agentLeft
	claim
)

// entry is a log record.
type entry struct {
	kind     recordKind
	gw       ownership.GatewayRef // the gateway that joined, or the new owner
	from     ownership.GatewayRef // the writer of a handover
	ag       ownership.AgentRef
	replaces model.Epoch
	handover bool
	at       time.Time
	// before is the time after which the log rejects the departure of an agent: the
	// end of the lease by which the writer proves it. Zero is no limit.
	before time.Duration
}

// append sends a record to the log without a reply. The writer learns only by
// reading the log whether the record was appended.
func (g *gateway) append(e entry) {
	w := g.w
	w.After(w.delay(callsPerLongDelay), func() {
		late := e.before != 0 && w.Now > e.before
		if !w.logDown && !w.isCut(g.name, "log") && !late {
			e.at = simulationStart.Add(w.Now)
			w.log = append(w.log, e)
		}
	})
}

// view is the state machine that applies the log, a model of package state.
type view struct {
	applied  int
	gateways map[string]model.Incarnation
	newest   map[string]model.Incarnation
	members  []ownership.Member
	owner    ownership.GatewayRef
	epoch    model.Epoch
	base     uint64
}

func newView() view {
	return view{gateways: map[string]model.Incarnation{}, newest: map[string]model.Incarnation{}}
}

func (v *view) listed() (out []ownership.AgentRef) {
	for _, m := range v.members {
		if m.Left == 0 {
			out = append(out, m.Agent)
		}
	}
	return out
}

func (v *view) leave(match func(ownership.AgentRef) bool, offset uint64, at time.Time) {
	for i, m := range v.members {
		if m.Left == 0 && match(m.Agent) {
			v.members[i].Left, v.members[i].LeftAt = offset, at
		}
	}
}

// apply applies the next record and reports whether it is a claim that took effect.
func (v *view) apply(e entry) bool {
	v.applied++
	offset := uint64(v.applied)
	switch e.kind {
	case gatewayJoined:
		v.gateways[e.gw.ID] = max(v.gateways[e.gw.ID], e.gw.Incarnation)
	case agentJoined:
		if e.ag.Incarnation <= v.newest[e.ag.ID] {
			return false
		}
		v.newest[e.ag.ID] = e.ag.Incarnation
		v.leave(func(a ownership.AgentRef) bool { return a.ID == e.ag.ID }, offset, e.at)
		v.members = append(v.members, ownership.Member{Agent: e.ag, Joined: offset})
	case agentLeft:
		v.leave(func(a ownership.AgentRef) bool { return a == e.ag }, offset, e.at)
	case claim:
		if e.replaces != v.epoch || v.gateways[e.gw.ID] != e.gw.Incarnation || e.handover && e.from != v.owner {
			return false
		}
		v.base = ownership.NextBase(v.base, ownership.ClaimRecord{
			Offset: model.Epoch(offset), Replaces: e.replaces, From: v.owner, To: e.gw, Handover: e.handover})
		v.owner, v.epoch = e.gw, model.Epoch(offset)
		return true
	}
	return false
}
