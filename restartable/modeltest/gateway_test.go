package modeltest

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/dispatch"
	"github.com/rhubarbsail/rhubarbsail/restartable/queues"
	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

const (
	service = "svc"
	// callerWait is how long a caller usually waits for the answer, resubmitDelay the time after
	// a failure until it sends its job again.
	callerWait    = 1500 * ms
	resubmitDelay = 1300 * ms
	// keepAlive is the time without a segment after which a gateway probes a caller's
	// connection.
	keepAlive       = s
	gatewayTick     = 20 * ms
	maxSubmissions  = 8
	notRunRetryTime = s
)

var queue = queues.Queue{Name: "q", Service: service, MaxAttempts: 3, Timeout: callerWait, StretchFactor: 3, TargetLatency: 300 * ms}

// gateway drives a dispatch.Core as dispatch.Dispatcher does.
type gateway struct {
	process
	core       *dispatch.Core
	links      map[string]*link
	linkNumber int
	// inProgress holds the requests whose submission runs, by job.
	inProgress map[string]*request
}

func (g *gateway) boot() {
	g.run++
	g.up, g.pausedUntil = true, 0
	opts := dispatch.DefaultOptions("z")
	g.w.mutation.gatewayOptions(&opts)
	g.core = dispatch.NewCore(opts)
	g.core.SetStartTime(g.w.Now)
	g.links, g.inProgress = map[string]*link{}, map[string]*request{}
	g.w.trace("%s starts", g.name)
	g.every(gatewayTick, func() { g.apply(func(c *dispatch.Core) { c.Tick(g.w.Now) }) })
}

// kill ends the process. If silent is set, its connections are not reset, as after a
// loss of power.
func (g *gateway) kill(downFor time.Duration, silent bool) {
	if !g.up {
		return
	}
	g.w.trace("%s is killed for %v, silently: %v", g.name, downFor, silent)
	g.up = false
	g.run++
	for _, a := range g.w.agents {
		l := a.links[g]
		if l == nil || l.gwEnded {
			continue
		}
		l.gwEnded = true
		if !silent {
			l.endStream(&l.toAgent, l.closeByAgent)
		}
	}
	for _, q := range g.w.requests {
		if q.gateway == g && !silent {
			g.w.After(g.w.networkDelay(), func() { q.lose("the gateway's process has ended") })
		}
	}
	g.w.After(downFor, g.boot)
}

// apply mirrors dispatch.Dispatcher.apply.
func (g *gateway) apply(change func(c *dispatch.Core)) {
	change(g.core)
	acts := g.core.Take()
	for _, j := range acts.FinishedJobs {
		delete(g.inProgress, j.ID)
	}
	// The core lists the stops of a job in the order of a map.
	slices.SortStableFunc(acts.Stops, func(x, y dispatch.Stop) int { return cmp.Compare(x.Link, y.Link) })
	for _, st := range acts.Stops {
		if l := g.links[st.Link]; l != nil {
			l.sendStop(st)
		}
	}
	for _, o := range acts.Orders {
		if l := g.links[o.Link]; l != nil {
			l.sendOrder(o)
		}
	}
}

// forgetDoubts makes the gateway believe that nothing of an agent is in doubt.
func (g *gateway) forgetDoubts(a *agent) {
	link := a.name + "#fenced"
	g.apply(func(c *dispatch.Core) {
		c.AgentUp(g.w.Now, dispatch.AgentInfo{Link: link, Name: a.name, Zone: "z", Process: uint64(a.run)})
		c.Report(g.w.Now, link, &dispatch.Load{Fenced: true, FencingToken: 1 << 60}, nil)
		c.AgentDown(g.w.Now, link)
	})
}

// client is a caller with one job, which it sends again after failures.
type client struct {
	w       *world
	job     string
	steps   []dispatch.Step
	runTime []time.Duration
	sent    int
	ended   bool
	done    bool
	current *request
	// next is the gateway for the next submission; nil stands for any.
	next *gateway
}

// request is one request of a client at one gateway.
type request struct {
	client  *client
	spec    string
	gateway *gateway
	// gatewayRun is the run of the gateway's process that the request was sent to.
	gatewayRun int
	sentAt     time.Duration
	// caller is set once the gateway has read the request.
	caller *dispatch.Caller
	// answers counts the answers of the gateway. over is set once the client does not
	// wait any more.
	answers int
	over    bool
	// started and notRun concern the submission of this request, which the gateway may
	// also have run for later requests.
	started, notRun bool
	// twin is a second request that the client sent at once, if any. It is duplicate, and
	// no other follows it.
	twin      *request
	duplicate bool
}

func (w *world) bySpec(spec string) *request {
	for _, q := range w.requests {
		if q.spec == spec {
			return q
		}
	}
	return nil
}

// runTime returns the run time of a task.
func (w *world) runTime(id task.ID) time.Duration {
	for _, c := range w.clients {
		if c.job == id.Job {
			return c.runTime[id.Step]
		}
	}
	panic("unknown job " + id.Job)
}

// submit sends the job to a gateway, with a twin if set.
func (c *client) submit(g *gateway, twin bool) {
	w := c.w
	c.sent++
	q := c.newRequest(g)
	c.current = q
	if twin {
		q.twin = c.newRequest(g)
		q.twin.duplicate = true
	}
	w.trace("%s is sent to %s", q.spec, g.name)
	if !g.up {
		w.After(w.networkDelay(), func() { q.lose("the connection was refused") })
		return
	}
	delay := w.networkDelay()
	if w.chance(5) {
		delay = w.between(0, 250*ms)
		if *lateRequests {
			delay = w.between(0, s)
		}
	}
	w.After(delay, func() { g.after(0, q.read) })
	w.After(w.callerWait, func() { q.leave(c.w.between(0, 2*ms), "deadline") })
}

func (c *client) newRequest(g *gateway) *request {
	w := c.w
	q := &request{client: c, spec: fmt.Sprintf("%s-r%d", c.job, len(w.requests)), gateway: g, gatewayRun: g.run, sentAt: w.Now}
	w.requests = append(w.requests, q)
	return q
}

// read submits the request at its gateway.
func (q *request) read() {
	g, w := q.gateway, q.client.w
	if g.run != q.gatewayRun {
		return
	}
	if q.twin != nil {
		defer q.twin.read()
	}
	instance := g.inProgress[q.client.job]
	if instance == nil {
		instance = q
		g.inProgress[q.client.job] = q
	}
	q.caller = &dispatch.Caller{Answer: func(a dispatch.Answer) {
		q.answers++
		if q.answers > 1 {
			w.fail("%s is answered %d times", q.spec, q.answers)
		}
		if a.State == dispatch.NotRun {
			instance.notRun = true
			if instance.started {
				w.fail("%s is answered as not run (%s), but has run", q.spec, a.Cause)
			}
		}
		w.stats[a.State.String()]++
		w.trace("%s answers %s: %v %s", g.name, q.spec, a.State, a.Cause)
		w.After(w.networkDelay(), func() { q.receive(a) })
	}}
	g.apply(func(c *dispatch.Core) {
		c.Submit(w.Now, dispatch.Submission{ID: q.client.job, Queue: queue, Spec: q.spec, Steps: q.client.steps, Wait: w.callerWait}, q.caller)
	})
}

// receive handles an answer at the client.
func (q *request) receive(a dispatch.Answer) {
	if q.over {
		return
	}
	q.over = true
	if q.duplicate {
		return
	}
	c := q.client
	switch a.State {
	case dispatch.Completed:
		c.ended, c.done = true, true
	case dispatch.Failed:
		c.ended = true
	case dispatch.NotRun:
		if c.w.rng.Intn(2) == 0 {
			c.ended = true
			return
		}
		c.resubmitAfter(notRunRetryTime)
	case dispatch.Unfinished:
		c.resubmitAfter(resubmitDelay)
	}
}

func (c *client) resubmitAfter(d time.Duration) {
	c.w.After(d+c.w.between(0, 20*ms), func() {
		if c.ended || c.sent >= maxSubmissions {
			return
		}
		g := c.next
		if g == nil {
			g = c.w.gateways[c.w.rng.Intn(len(c.w.gateways))]
		}
		c.submit(g, false)
	})
}

// lose ends a request whose connection the client finds broken.
func (q *request) lose(why string) {
	if q.over {
		return
	}
	q.over = true
	q.client.w.trace("the client of %s: %s", q.spec, why)
	if !q.duplicate {
		q.client.resubmitAfter(resubmitDelay)
	}
}

// leave closes the client's connection. The gateway notices it after a while.
func (q *request) leave(noticed time.Duration, why string) {
	if q.over {
		return
	}
	if q.twin != nil {
		q.twin.leave(noticed, why)
	}
	q.lose(why)
	q.client.w.After(noticed, func() { q.gateway.after(0, q.callerLeft) })
}

// callerLeft mirrors the end of the context in Dispatcher.Submit.
func (q *request) callerLeft() {
	if q.gateway.run != q.gatewayRun {
		return
	}
	if q.caller == nil {
		// The request is still on its way.
		q.gateway.after(5*ms, q.callerLeft)
		return
	}
	if q.answers == 0 && q.client.w.mutation != keepJobsOfGoneCaller {
		q.gateway.apply(func(c *dispatch.Core) { c.RemoveCaller(q.client.w.Now, q.client.job, q.caller) })
	}
}
