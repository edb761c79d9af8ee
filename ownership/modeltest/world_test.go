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
	// part is the only partition: a second one would dilute the conflicts.
	part = model.Partition(0)
	// maxDrift is the largest ratio of two monotonic clocks minus 1.
	maxDrift = 0.1
)

// settings are the defaults with small skews and retention, so that the
// cut-offs do not cover for missing rules and short runs reach the retention.
func settings() ownership.Settings {
	st := ownership.DefaultSettings()
	st.CallerSkew, st.WallSkew, st.Retention = 300*ms, 100*ms, 30*s
	return st
}

var epochStart = time.Unix(1_800_000_000, 0)

// world is the network, the log and the observer that checks the invariants.
type world struct {
	virtualtime.Clock
	rng  *rand.Rand
	mut  mutation
	cuts map[[2]string]bool
	// logDown refuses all reads and appends.
	logDown bool
	// calm ends the delays of the network.
	calm bool
	log  []entry
	// leases holds the end of each agent's lease, takenUntil that of a gateway's.
	leases, takenUntil map[string]time.Duration
	gws                []*gateway
	ags                []*agent
	reqs               []*request

	starts     map[model.TaskID]int
	startedFor map[*request]bool
	stats      map[string]int
	violation  string
	trace      func(string, ...any)
}

func newWorld(seed int64, mut mutation, gateways, agents int) *world {
	w := &world{
		rng: rand.New(rand.NewSource(seed)), mut: mut, cuts: map[[2]string]bool{},
		leases: map[string]time.Duration{}, takenUntil: map[string]time.Duration{},
		starts: map[model.TaskID]int{}, startedFor: map[*request]bool{}, stats: map[string]int{},
		trace: func(string, ...any) {},
	}
	for i := range agents {
		w.addAgent(i)
	}
	for i := range gateways {
		g := &gateway{proc: w.newProc(fmt.Sprintf("g%d", i))}
		w.gws = append(w.gws, g)
		g.boot()
	}
	return w
}

func (w *world) addAgent(i int) {
	a := &agent{proc: w.newProc(fmt.Sprintf("a%d", i))}
	w.ags = append(w.ags, a)
	a.boot()
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

func (w *world) upTo(d time.Duration) time.Duration { return time.Duration(w.rng.Int63n(int64(d) + 1)) }

func (w *world) chance(percent int) bool { return w.rng.Intn(100) < percent }

// delay is the time of a message in the network. One in long is delayed for
// seconds; a link carries tens of frames a second and stalls with each of them.
func (w *world) delay(long int) time.Duration {
	switch n := w.rng.Intn(long * 10); {
	case w.calm || n > long:
		return ms + w.upTo(4*ms)
	case n > 9:
		return w.upTo(500 * ms)
	}
	return w.upTo(12 * s)
}

const (
	longFrame = 400
	longCall  = 30
)

func pair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

func (w *world) cut(a, b string) bool { return w.cuts[pair(a, b)] }

// proc is a process with its own clocks. A pause delays everything it does.
type proc struct {
	w     *world
	name  string
	run   int // number of restarts
	inc   model.Incarnation
	pause time.Duration
	rate  float64
	skew  time.Duration
}

func (w *world) newProc(name string) proc {
	return proc{w: w, name: name, rate: 1 + maxDrift*w.rng.Float64(), skew: w.upTo(settings().WallSkew)}
}

func (p *proc) restart() {
	p.run++
	p.pause = 0
	p.inc = model.Incarnation(p.w.Now) + model.Incarnation(p.run)
}

func (p *proc) mono() time.Duration { return time.Duration(float64(p.w.Now) * p.rate) }
func (p *proc) wall() time.Time     { return epochStart.Add(p.w.Now + p.skew) }
func (p *proc) clock() ownership.Clock {
	return ownership.Clock{Mono: p.mono(), Wall: p.wall()}
}

// later runs fn in the process after d, unless it restarts before; while the
// process is paused, fn waits.
func (p *proc) later(d time.Duration, fn func()) {
	run := p.run
	p.w.After(d, func() { p.now(run, fn) })
}

func (p *proc) now(run int, fn func()) {
	switch {
	case p.run != run:
	case p.w.Now < p.pause:
		p.w.After(p.pause-p.w.Now, func() { p.now(run, fn) })
	default:
		fn()
	}
}

// every runs fn about each d until the process restarts.
func (p *proc) every(d time.Duration, fn func()) {
	p.later(d/2+p.w.upTo(d), func() {
		fn()
		p.every(d, fn)
	})
}

// rpc runs fn in the process that is at dst when the message arrives. The
// message is lost, or delayed until the cut ends.
func (p *proc) rpc(dst *proc, fn func()) {
	d := p.w.delay(longCall)
	if p == dst {
		d = 0
	}
	lost := p.w.chance(50)
	var arrive func()
	arrive = func() {
		switch {
		case !p.w.cut(p.name, dst.name):
			dst.later(0, fn)
		case !lost:
			p.w.After(200*ms, arrive)
		}
	}
	p.w.After(d, arrive)
}

// link is one connection of a gateway and an agent. Frames of one direction
// stay in order. A closed link takes no new frames; those on their way may still
// arrive, also after frames of a newer link.
type link struct {
	g          *gateway
	a          *agent
	grun, arun int
	ref        ownership.AgentRef
	closed     bool
	last       [2]time.Duration
	queue      [2][]frame
	retrying   [2]bool
}

type frame struct {
	ready time.Duration
	fn    func()
}

const (
	toAgent = iota
	toGateway
)

func (l *link) alive() bool { return l.grun == l.g.run && l.arun == l.a.run }

func (l *link) send(dir int, fn func()) {
	w := l.g.w
	if l.closed || !l.alive() {
		return
	}
	l.last[dir] = max(l.last[dir], w.Now+w.delay(longFrame))
	l.queue[dir] = append(l.queue[dir], frame{l.last[dir], fn})
	w.After(l.last[dir]-w.Now, func() { l.pump(dir) })
}

func (l *link) pump(dir int) {
	w, dst := l.g.w, &l.a.proc
	if dir == toGateway {
		dst = &l.g.proc
	}
	for len(l.queue[dir]) > 0 && l.queue[dir][0].ready <= w.Now && l.alive() {
		if w.cut(l.g.name, l.a.name) || w.Now < dst.pause {
			if !l.retrying[dir] {
				l.retrying[dir] = true
				w.After(50*ms, func() { l.retrying[dir] = false; l.pump(dir) })
			}
			return
		}
		f := l.queue[dir][0]
		l.queue[dir] = l.queue[dir][1:]
		f.fn()
	}
}

// breakLink closes the link; frames on their way are dropped or arrive up to
// stall later.
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
	l.g.w.After(stall, func() { l.pump(toAgent) })
	l.g.w.After(stall, func() { l.pump(toGateway) })
}

// Records of the log.

type recordKind int

const (
	gatewayJoined recordKind = iota
	agentJoined
	agentLeft
	claim
)

type entry struct {
	kind     recordKind
	gw       ownership.GatewayRef // joined, or the new owner
	from     ownership.GatewayRef // writer of a handover
	ag       ownership.AgentRef
	replaces model.Epoch
	handover bool
	at       time.Time
	// before is the time up to which the departure of an agent has an effect: the
	// end of the lease that proves it. Zero is any time.
	before time.Duration
}

// append sends a record to the log. The writer learns its fate only by reading,
// so each reply counts as lost.
func (g *gateway) append(e entry) {
	w := g.w
	w.After(w.delay(longCall), func() {
		late := e.before != 0 && w.Now > e.before
		if !w.logDown && !w.cut(g.name, "log") && !late {
			e.at = epochStart.Add(w.Now)
			w.log = append(w.log, e)
		}
	})
}

// view is the state machine over the log, as package state has it.
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

// apply returns whether a claim took effect.
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
