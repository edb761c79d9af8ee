package modeltest

import (
	"strconv"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/dispatch"
	"github.com/rhubarbsail/rhubarbsail/restartable/runner"
	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// The intervals of package link.
const (
	reportInterval  = 150 * ms
	echoInterval    = 200 * ms
	minLoadInterval = 50 * ms
	receiveTimeout  = 700 * ms
)

// link is a stream between an agent and a gateway with the state of both ends.
type link struct {
	w     *world
	agent *agent
	gate  *gateway
	// name is the agent's name of the link, gateName the gateway's.
	name, gateName       string
	toGateway, toAgent   stream
	agentEnded, gwEnded  bool
	agentRun, gatewayRun int

	// The agent's end: link.agentLink.
	attached       bool
	pendingEvents  []dispatch.AttemptEvent
	pendingCrashes []dispatch.Crash
	ordersSeen     uint64
	saidHello      bool
	sentTarget     runner.Target
	sentAt         time.Duration
	sendScheduled  bool
	loadScheduled  bool
	sendTimer      int
	agentReceived  int
	retirement     retirement
	// specs holds the submission of each attempt that has not ended.
	specs map[runner.Attempt]string

	// The gateway's end: link.gatewayLink.
	up          bool
	next        order
	stamp       time.Duration
	wakePending bool
	echoTimer   int
	received    int
}

// meanRunTime is the run time that the reported backlog assumes.
const meanRunTime = 200 * ms

// retirement mirrors link.retirement.
type retirement struct {
	started             bool
	announcedAt, idleAt time.Duration
}

// report is a frame from an agent.
type report struct {
	stamp   time.Duration
	hello   bool
	target  *dispatch.TargetInfo
	load    dispatch.Load
	events  []dispatch.AttemptEvent
	crashes []dispatch.Crash
	relayed []dispatch.TaskInDoubt
}

// order is a frame from a gateway.
type order struct {
	stamp     time.Duration
	starts    []dispatch.Order
	stopJobs  []string
	stopTasks []runner.Attempt
	inDoubt   []dispatch.TaskInDoubt
	minToken  int64
}

// stream is one direction of a link. Frames arrive in the order in which they were sent.
type stream struct {
	w        *world
	from, to string
	receiver *process
	frames   []func()
	// arrived holds the frames that the receiver has not read yet.
	arrived []func()
	// arriving is set while the arrival of the first frame is scheduled.
	arriving bool
	// stalledUntil is the end of a time in which nothing arrives.
	stalledUntil time.Duration
	// dead streams deliver nothing any more.
	dead bool
}

func (st *stream) send(deliver func()) {
	st.frames = append(st.frames, deliver)
	st.schedule()
}

func (st *stream) schedule() {
	if st.arriving || len(st.frames) == 0 || st.dead {
		return
	}
	st.arriving = true
	delay := st.w.networkDelay()
	if st.w.chance(1) {
		delay = st.w.between(0, 400*ms)
	}
	st.w.After(delay, st.arrive)
}

// retransmitDelay is the longest time from the end of a cut to the next
// retransmission.
const retransmitDelay = 200 * ms

func (st *stream) arrive() {
	if st.dead {
		return
	}
	if wait := max(st.w.cuts[cut{st.from, st.to}], st.stalledUntil) - st.w.Now; wait > 0 {
		st.w.After(wait+st.w.between(0, retransmitDelay), st.arrive)
		return
	}
	st.arriving = false
	st.arrived = append(st.arrived, st.frames...)
	frames := len(st.frames)
	st.frames = nil
	for range frames {
		st.receiver.after(0, func() {
			first := st.arrived[0]
			st.arrived = st.arrived[1:]
			first()
		})
	}
}

// dial mirrors link.Client.serve.
func (a *agent) dial(g *gateway) {
	a.linkNumber++
	l := &link{
		w: a.w, agent: a, gate: g, name: g.name + "#" + a.name + "-" + strconv.Itoa(a.linkNumber), specs: map[runner.Attempt]string{},
		agentRun: a.run, gatewayRun: g.run,
	}
	l.toGateway = stream{w: a.w, from: a.name, to: g.name, receiver: &g.process}
	l.toAgent = stream{w: a.w, from: g.name, to: a.name, receiver: &a.process}
	a.links[g] = l
	l.restartAgentWatchdog()
	l.resetSendTimer(a.w.networkDelay())
}

func (l *link) restartAgentWatchdog() {
	l.agentReceived++
	n := l.agentReceived
	l.agent.after(receiveTimeout, func() {
		if l.agentReceived == n && !l.agentEnded {
			l.w.trace("%s: receive timeout on %s", l.agent.name, l.name)
			l.closeByAgent()
		}
	})
}

// report mirrors link.agentLink.Report.
func (l *link) report(r runner.Report) {
	if l.w.mutation == moveRecalled && r.Reason == task.ReasonUnanswered || l.w.mutation == forgetRepeated && r.Reason == task.ReasonRepeated {
		r.Reason = ""
	}
	l.pendingEvents = append(l.pendingEvents, dispatch.AttemptEvent{
		Task: r.Task, Attempt: r.Attempt, Outcome: r.Outcome, Reason: r.Reason, RunTime: r.RunTime.Truncate(ms),
	})
	l.retirement.idleAt = 0
	if r.Outcome != task.Started {
		l.sendSoon()
	}
}

// crashed mirrors link.agentLink.Crashed.
func (l *link) crashed(c runner.Crash) {
	m := dispatch.Crash{Incarnation: c.Target.Incarnation, Certain: c.Certain(), Age: l.w.Now - c.At}
	for _, r := range c.Runs {
		m.Runs = append(m.Runs, dispatch.LostRun{
			Task: r.Attempt.Task, Attempt: r.Attempt.Number, Queue: r.Queue, Accepted: r.Accepted, Suspicion: permille(r.Suspicion),
		})
	}
	l.pendingCrashes = append(l.pendingCrashes, m)
	l.sendSoon()
}

// sendSoon mirrors a notification of eventsReady.
func (l *link) sendSoon() {
	if !l.sendScheduled {
		l.sendScheduled = true
		l.agent.scheduled(func() {
			l.sendScheduled = false
			l.sendReport()
		})
	}
}

// loadChanged mirrors a notification of loadReady.
func (l *link) loadChanged() {
	if !l.loadScheduled && l.saidHello {
		l.loadScheduled = true
		l.resetSendTimer(max(0, minLoadInterval-(l.w.Now-l.sentAt)))
	}
}

func (l *link) resetSendTimer(d time.Duration) {
	l.sendTimer++
	n := l.sendTimer
	l.agent.after(d, func() {
		if l.sendTimer == n {
			l.sendReport()
		}
	})
}

// sendReport mirrors link.agentLink.write and nextFrame.
func (l *link) sendReport() {
	if l.agentEnded {
		return
	}
	now := l.w.Now
	t, _ := l.agent.core.Target()
	load := l.agent.core.Load(now)
	f := report{stamp: now, hello: !l.saidHello, events: l.pendingEvents, crashes: l.pendingCrashes, relayed: l.agent.relayedTasks(l.gate)}
	l.pendingEvents, l.pendingCrashes = nil, nil
	if l.retirement.started && l.retirement.announcedAt == 0 {
		l.retirement.announcedAt = now
	}
	if l.retirement.started {
		load.Accepting = false
	}
	// Core.Load estimates the speed and the backlog in the order of a map, so that they
	// differ between runs of a seed. They matter only for placement.
	f.load = dispatch.Load{
		Accepting: load.Accepting, Committed: load.Committed, Slowness: 1, Anomaly: 1, OrdersSeen: l.ordersSeen,
		Backlog:      time.Duration(load.Committed.CPUMillis) * meanRunTime / 4000,
		FencingToken: l.agent.token, Fenced: load.Fenced, TasksInDoubt: load.TasksInDoubt, DoubtsChanged: true,
	}
	t.Draining = false
	if !t.Equal(l.sentTarget) {
		l.sentTarget = t
		f.target = &dispatch.TargetInfo{Target: t.ID, Service: t.Service, Kind: t.Kind, Labels: t.Labels, Capacity: t.Capacity}
	}
	l.saidHello, l.sentAt, l.loadScheduled = true, now, false
	l.toGateway.send(func() { l.receiveReport(f) })
	l.resetSendTimer(reportInterval)
}

// permille returns a share as links carry it. The small addend hides rounding errors of
// sums in the order of a map.
func permille(share float64) float64 { return float64(uint32(share*1000+1e-6)) / 1000 }

// receiveReport mirrors link.Server.Attach, read and handleFrame.
func (l *link) receiveReport(f report) {
	g := l.gate
	if l.gwEnded || g.run != l.gatewayRun {
		return
	}
	if f.hello {
		g.linkNumber++
		l.gateName = l.agent.name + "#" + strconv.Itoa(g.linkNumber)
		l.up, l.stamp = true, f.stamp
		g.links[l.gateName] = l
		g.apply(func(c *dispatch.Core) {
			c.AgentUp(l.w.Now, dispatch.AgentInfo{Link: l.gateName, Name: l.agent.name, Zone: "z", Process: uint64(l.agent.run)})
		})
		l.resetEcho(0)
	}
	l.restartGatewayWatchdog()
	l.stamp = f.stamp
	if f.target != nil {
		g.apply(func(c *dispatch.Core) { c.AgentTarget(l.gateName, *f.target) })
	}
	g.apply(func(c *dispatch.Core) { c.TasksRelayed(l.w.Now, l.gateName, f.relayed) })
	for _, m := range f.crashes {
		g.apply(func(c *dispatch.Core) { c.TargetCrashed(l.w.Now, l.gateName, m) })
	}
	switch l.w.mutation {
	case ignoreDoubts:
		f.load.TasksInDoubt, f.load.Fenced = nil, true
	case forgetLostAgents:
		f.load.Fenced = true
	case noTokenFloor:
		f.load.FencingToken = int64(l.agentRun) << 40
	}
	g.apply(func(c *dispatch.Core) { c.Report(l.w.Now, l.gateName, &f.load, f.events) })
}

func (l *link) restartGatewayWatchdog() {
	l.received++
	n := l.received
	l.gate.after(receiveTimeout, func() {
		if l.received == n && !l.gwEnded {
			l.w.trace("%s: receive timeout on the link of %s", l.gate.name, l.agent.name)
			l.closeByGateway()
		}
	})
}

// sendOrder mirrors link.gatewayLink.Order.
func (l *link) sendOrder(o dispatch.Order) {
	l.next.starts = append(l.next.starts, o)
	l.wake()
}

// sendStop mirrors link.gatewayLink.Stop.
func (l *link) sendStop(st dispatch.Stop) {
	if st.Attempt == 0 {
		l.next.stopJobs = append(l.next.stopJobs, st.Job)
		var kept []dispatch.Order
		for _, o := range l.next.starts {
			if o.Step.Job != st.Job {
				kept = append(kept, o)
			}
		}
		l.next.starts = kept
	} else {
		l.next.stopTasks = append(l.next.stopTasks, runner.Attempt{Task: st.Task, Number: st.Attempt})
	}
	l.wake()
}

func (l *link) wake() {
	if !l.wakePending {
		l.wakePending = true
		l.gate.scheduled(func() {
			l.wakePending = false
			l.sendFrame()
		})
	}
}

func (l *link) resetEcho(d time.Duration) {
	l.echoTimer++
	n := l.echoTimer
	l.gate.after(d, func() {
		if l.echoTimer == n {
			l.sendFrame()
		}
	})
}

// sendFrame mirrors link.Server.write.
func (l *link) sendFrame() {
	if l.gwEnded || !l.up {
		return
	}
	f := l.next
	f.stamp = l.stamp
	f.inDoubt = l.gate.core.TasksInDoubt(l.w.Now)
	if l.w.mutation != noTokenFloor {
		f.minToken = l.gate.core.MinFencingToken(l.agent.name)
	}
	l.next = order{}
	l.toAgent.send(func() { l.receiveOrder(f) })
	l.resetEcho(echoInterval)
}

// receiveOrder mirrors link.Client.serve and handleFrame.
func (l *link) receiveOrder(f order) {
	a := l.agent
	if l.agentEnded || a.run != l.agentRun {
		return
	}
	l.restartAgentWatchdog()
	if !l.attached {
		l.attached = true
		l.w.trace("%s attaches %s, stamp %v", a.name, l.name, f.stamp)
		a.attach(l)
	}
	a.raiseToken(f.minToken)
	a.relayReceived(l, f.inDoubt)
	var starts []runner.Start
	for _, o := range f.starts {
		for _, t := range o.Tasks {
			starts = append(starts, runner.Start{
				Task: task.ID{StepID: o.Step, Index: t.Index}, Attempt: t.Number, Queue: o.Queue, Spec: o.Spec, Needs: o.Needs,
				Expected: o.Expected.Truncate(ms), StartWithin: o.StartWithin.Truncate(ms), DueWithin: o.DueWithin.Truncate(ms), AtOnce: o.AtOnce,
				Priority: o.Priority, MaxPerTarget: o.MaxPerTarget, Suspicion: permille(o.Suspicion),
				Service: o.Service, RequiredLabel: o.RequiredLabel,
			})
			if a.w.mutation == omitLabels {
				starts[len(starts)-1].RequiredLabel = ""
			}
		}
	}
	for _, st := range starts {
		if at := (runner.Attempt{Task: st.Task, Number: st.Attempt}); l.specs[at] == "" {
			l.specs[at] = st.Spec
		}
	}
	if len(starts)+len(f.stopJobs)+len(f.stopTasks) > 0 {
		l.w.trace("%s receives from %s, stamp %v: %d starts %s, stops %v %v", a.name, l.name, f.stamp, len(starts), startNames(starts), f.stopJobs, f.stopTasks)
	}
	a.handleOrder(l.name, f.stamp, starts, f.stopJobs, f.stopTasks)
	for _, o := range f.starts {
		l.ordersSeen = max(l.ordersSeen, o.Number)
	}
	if len(starts) > 0 {
		l.loadChanged()
	}
	if l.mayClose(f.stamp) {
		l.w.stats["retired"]++
		l.w.trace("%s closes the retired link %s", a.name, l.name)
		l.closeByAgent()
	}
}

func startNames(starts []runner.Start) string {
	out := ""
	for _, st := range starts {
		out += st.Task.String() + "/" + strconv.Itoa(st.Attempt) + " (" + st.Spec + ") "
	}
	return out
}

// retire mirrors link.agentLink.retire.
func (l *link) retire() {
	if l.agentEnded || !l.attached {
		return
	}
	l.w.trace("%s retires %s", l.agent.name, l.name)
	l.agent.core.Retire(l.name)
	l.retirement.started = true
	l.loadChanged()
}

// mayClose mirrors link.agentLink.mayClose and link.retirement.mayClose.
func (l *link) mayClose(stamp time.Duration) bool {
	r := &l.retirement
	idle := r.started && l.agent.core.GatewayIdle(l.name) && len(l.pendingEvents) == 0
	if !r.started || r.announcedAt == 0 || stamp < r.announcedAt || !idle {
		return false
	}
	if r.idleAt == 0 {
		r.idleAt = l.w.Now
	}
	return stamp > r.idleAt
}

// closeByAgent mirrors the end of link.Client.serve.
func (l *link) closeByAgent() {
	if l.agentEnded {
		return
	}
	l.agentEnded = true
	l.endStream(&l.toGateway, l.closeByGateway)
	if l.attached {
		l.agent.detach(l)
	}
	l.agent.after(l.w.between(20*ms, 2*s), func() {
		if l.agent.links[l.gate] == l {
			delete(l.agent.links, l.gate)
		}
	})
}

// agentProcessEnds ends the link with the agent's process.
func (l *link) agentProcessEnds() {
	if !l.agentEnded {
		l.agentEnded = true
		l.endStream(&l.toGateway, l.closeByGateway)
	}
}

// closeByGateway mirrors the end of link.Server.Attach.
func (l *link) closeByGateway() {
	if l.gwEnded {
		return
	}
	l.gwEnded = true
	l.endStream(&l.toAgent, l.closeByAgent)
	if l.up && l.gate.run == l.gatewayRun {
		delete(l.gate.links, l.gateName)
		l.w.trace("%s loses the link %s", l.gate.name, l.gateName)
		l.gate.apply(func(c *dispatch.Core) { c.AgentDown(l.w.Now, l.gateName) })
		if l.w.mutation == forgetLostAgents {
			l.gate.forgetDoubts(l.agent)
		}
	}
}

// endStream lets the receiver notice the sender's end after the frames in flight. A
// reset discards those frames instead.
func (l *link) endStream(st *stream, closed func()) {
	if l.w.chance(30) {
		st.frames = nil
	}
	st.send(closed)
}
