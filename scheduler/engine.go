package scheduler

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// expiryInterval is the time in seconds between two searches for jobs whose
	// deadline cannot be met.
	expiryInterval = 0.05
	// wakeInterval is the time after which Decide looks again for overdue tasks
	// and free slots while tasks wait.
	wakeInterval = 20 * time.Millisecond
)

// engine is the policy of rhubarbsail. Times inside are seconds since base.
type engine struct {
	opts     Options
	rng      *rand.Rand
	base     time.Time
	targets  map[TargetID]*target
	services map[string]*service
	order    []*service
	clients  map[string]*client
	jobs     map[JobHandle]*job
}

var _ Policy = (*engine)(nil)

// New returns the policy.
func New(opts Options) Policy {
	return &engine{
		opts: opts.withDefaults(), rng: rand.New(rand.NewPCG(opts.Seed, 0x5eed)),
		targets: map[TargetID]*target{}, services: map[string]*service{},
		clients: map[string]*client{}, jobs: map[JobHandle]*job{},
	}
}

// service is what the policy knows of the targets and tasks of one service.
type service struct {
	name    string
	targets []*target
	// ranked are the targets in order of speed as of measured, usable those of
	// them that may receive work in the present Decide.
	ranked, usable []*target
	queue          *fairQueue
	all            workEstimate
	classes        map[*client]*workEstimate
	ratio          *ratioTable
	// generation counts the times at which predictions are worth renewing.
	generation int
	fallback   float64
	meanSlow   float64
	ejected    int

	// rate is the work per second that the targets can do for this gateway,
	// fastest the least slowness, both as of measured.
	rate, fastest, measured float64
	// ownEnds is the rate per second at which own tasks of small jobs end, valid
	// within one Decide. Slots of large jobs are refilled in chunks.
	ownEnds float64
	// served is the work per second in service, of all gateways.
	served                 float64
	nextExpiry, nextRevoke float64
	dropped                []*job
}

// client is the state of a client.
type client struct {
	share      float64
	maxQueued  int
	maxRunning int
	queued     int
	running    int
	// failing tells for each target whether the client's last task there failed.
	failing map[*target]bool
}

type task struct {
	declared   float64
	work       float64
	generation int
	target     *target
}

type charge struct {
	target *target
	weight float64
}

// job is an admitted job.
type job struct {
	handle   JobHandle
	client   *client
	svc      *service
	flow     *flow
	arrival  float64
	deadline float64
	rank     float64
	allowed  func(TargetID) bool
	tasks    []task
	// wait are the tasks to send, longest first.
	wait []int32
	// waiting is the work of the tasks in wait.
	waiting float64
	sent    int
	removed bool
	charges []charge
	// blamed is true when the job failed on several targets.
	blamed bool

	walkAt, walkKept int
}

func (j *job) batch(e *engine) bool { return len(j.tasks) >= e.opts.BatchTasks }

func (j *job) predict(i int) {
	t := &j.tasks[i]
	t.generation = j.svc.generation
	t.work = math.Exp(j.svc.class(j.client).predictLog(&j.svc.all, t.declared, j.svc.fallback))
}

// renew predicts the work of a waiting task again when much was learned since.
func (s *service) renew(j *job, i int) {
	if j.tasks[i].generation != s.generation {
		s.queue.count(j, i, -1)
		j.predict(i)
		s.queue.count(j, i, 1)
	}
}

func (s *service) class(c *client) *workEstimate {
	w := s.classes[c]
	if w == nil {
		w = &workEstimate{}
		s.classes[c] = w
	}
	return w
}

// meanWork returns the mean work of a task in seconds at speed 1.
func (s *service) meanWork() float64 {
	if s.all.n == 0 {
		return s.fallback
	}
	return math.Exp(s.all.mean) * s.ratio.mean
}

// measure renews rate and fastest.
func (s *service) measure(now float64) {
	if now < s.measured {
		return
	}
	s.rank(now, now-s.measured+expiryInterval)
	s.measured = now + expiryInterval
	s.rate, s.fastest = 0, math.Inf(1)
	s.meanSlow = s.seenSlow()
	for _, t := range s.targets {
		if !t.usable(now) || t.health.ejected {
			continue
		}
		t.refresh(now)
		free := math.Max(0.1*float64(t.Slots), float64(t.Slots)-t.foreignSeen)
		s.rate += free / t.slow
		s.fastest = math.Min(s.fastest, t.slow)
	}
	if s.rate == 0 {
		s.fastest = 0
	}
}

// seenSlow returns the mean logarithm of slowness of the targets seen so far.
func (s *service) seenSlow() float64 {
	sum, n := 0.0, 0.0
	for _, t := range s.targets {
		if t.speed.n > 0 {
			sum += t.speed.slow
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / n
}

func (e *engine) seconds(at time.Time) float64 {
	if e.base.IsZero() {
		e.base = at
	}
	return at.Sub(e.base).Seconds()
}

func (e *engine) client(name string) *client {
	c := e.clients[name]
	if c == nil {
		c = &client{share: 1, maxQueued: e.opts.DefaultMaxQueued, failing: map[*target]bool{}}
		e.clients[name] = c
	}
	return c
}

func (e *engine) service(name string) *service {
	s := e.services[name]
	if s == nil {
		s = &service{
			name: name, queue: newFairQueue(), classes: map[*client]*workEstimate{},
			ratio: newRatioTable(), fallback: e.opts.DefaultRun.Seconds(),
		}
		e.services[name] = s
		e.order = append(e.order, s)
	}
	return s
}

// SetTargets implements Policy. What was learned of a target is kept while its
// name stays in the list.
func (e *engine) SetTargets(_ time.Time, list []Target) {
	for _, t := range e.targets {
		t.present = false
	}
	for _, in := range list {
		t := e.targets[in.ID]
		if t == nil || t.Service != in.Service {
			t = &target{}
			e.targets[in.ID] = t
		}
		t.Target, t.svc, t.present = in, e.service(in.Service), true
		t.delay = in.Delay.Seconds()
		t.validUntil = 0
		if !in.Connected {
			// The next report after the reconnect tells the state.
			t.leaving, t.rejecting = false, false
		}
	}
	for _, s := range e.order {
		s.targets, s.ranked, s.ejected, s.measured = s.targets[:0], s.ranked[:0], 0, 0
	}
	for id, t := range e.targets {
		switch {
		case t.present:
			t.svc.targets = append(t.svc.targets, t)
			if t.health.ejected {
				t.svc.ejected++
			}
		case len(t.out) == 0:
			delete(e.targets, id)
			for _, c := range e.clients {
				delete(c.failing, t)
			}
		}
	}
	for _, s := range e.order {
		e.shuffle(s.targets)
	}
}

// shuffle orders targets by a hash of seed and name: equal targets are
// preferred in another order by each gateway, and in the same at each call.
func (e *engine) shuffle(list []*target) {
	for _, t := range list {
		h := e.opts.Seed ^ 0x9e3779b97f4a7c15
		for _, b := range []byte(t.ID) {
			h = (h ^ uint64(b)) * 0x100000001b3
			h ^= h >> 29
		}
		t.order = h
	}
	slices.SortFunc(list, func(a, b *target) int {
		return cmp.Or(cmp.Compare(a.order, b.order), cmp.Compare(a.ID, b.ID))
	})
}

// SetLimits implements Policy.
func (e *engine) SetLimits(_ time.Time, limits []ClientLimit) {
	for _, l := range limits {
		c := e.client(l.Client)
		c.share, c.maxQueued, c.maxRunning = l.Share, l.MaxQueued, l.MaxRunning
		if c.share <= 0 {
			c.share = 1
		}
		if c.maxQueued <= 0 {
			c.maxQueued = e.opts.DefaultMaxQueued
		}
	}
}

// Remove implements Policy.
func (e *engine) Remove(_ time.Time, h JobHandle) {
	j := e.jobs[h]
	if j == nil {
		return
	}
	j.removed = true
	j.svc.queue.drop(j)
	if j.sent == 0 {
		delete(e.jobs, h)
	}
}

// Report implements Policy.
func (e *engine) Report(at time.Time, load Load) {
	if t := e.targets[load.Target]; t != nil {
		t.report(e.seconds(at), load)
	}
}

// Finish implements Policy.
func (e *engine) Finish(at time.Time, o Outcome) {
	now := e.seconds(at)
	t, j := e.targets[o.Target], e.jobs[o.Task.Job]
	if t == nil || j == nil {
		return
	}
	n := slices.IndexFunc(t.out, func(a *attempt) bool { return a.job == j && a.index == o.Task.Index })
	if n < 0 || o.Kind == OutcomeStarted {
		return
	}
	t.remove(n)
	j.sent--
	j.client.running--
	switch o.Kind {
	case OutcomeSucceeded:
		e.learn(now, t, j, o)
		e.succeeded(t, j.client)
	case OutcomeFailed, OutcomeLost:
		if !j.removed || o.Kind == OutcomeFailed {
			e.failed(now, t, j)
		}
	case OutcomeNotStarted:
		if o.TargetFull {
			t.foreign = math.Max(t.foreign, float64(t.Slots))
			t.foreignAt = now
		}
		if !j.removed {
			j.svc.queue.putBack(j, o.Task.Index)
		}
	}
	if j.removed && j.sent == 0 {
		delete(e.jobs, j.handle)
	}
}

// learn updates the estimates of work and speed with a run time.
func (e *engine) learn(now float64, t *target, j *job, o Outcome) {
	if o.Run <= 0 {
		return
	}
	s, k := j.svc, &j.tasks[o.Task.Index]
	run := math.Log(o.Run.Seconds())
	class := s.class(j.client)
	predicted := class.predictLog(&s.all, k.declared, s.fallback)
	if s.all.n > 0 {
		s.ratio.observe(math.Exp(run - predicted - t.logSlow(now)))
	}
	slow := t.logSlow(now)
	if s.all.n > 0 {
		t.speed.observe(now, run-predicted)
		t.usual.n = math.Min(t.usual.n+1, usualWindow)
		t.usual.slow += (run - predicted - t.usual.slow) / t.usual.n
		slow = t.logSlow(now)
	}
	declared := k.declared > 0
	var d float64
	if declared {
		d = math.Log(k.declared)
	}
	s.all.observe(run-slow, d, declared)
	class.observe(run-slow, d, declared)
	if n := int(s.all.n); n&(n-1) == 0 && n < workWindow {
		s.generation++
	}
}

// Decide implements Policy.
func (e *engine) Decide(at time.Time) Decisions {
	now := e.seconds(at)
	var out Decisions
	for _, s := range e.order {
		s.measure(now)
		e.expire(now, s, &out)
		e.place(now, s, &out)
		e.revoke(now, s, &out)
		if s.queue.queued > 0 || s.overcommitted() {
			out.Wake = at.Add(wakeInterval)
		}
	}
	groupAssignments(out.Assign)
	return out
}

// overcommitted reports whether tasks wait at an agent.
func (s *service) overcommitted() bool {
	for _, t := range s.targets {
		if t.active > t.Slots {
			return true
		}
	}
	return false
}

// Status implements Policy.
func (e *engine) Status(at time.Time) []TargetStatus {
	now := e.seconds(at)
	var list []TargetStatus
	for _, s := range e.order {
		mean, n := 0.0, 0.0
		for _, t := range s.targets {
			mean += t.logSlow(now)
			n++
		}
		for _, t := range s.targets {
			t.refresh(now)
			list = append(list, TargetStatus{
				ID: t.ID, Slots: t.Slots, Outstanding: len(t.out),
				Speed:   math.Exp(mean/n) / t.slow,
				Ejected: t.health.ejected, EjectionReason: t.health.why,
			})
		}
	}
	slices.SortFunc(list, func(a, b TargetStatus) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Queued implements Policy.
func (e *engine) Queued() int {
	n := 0
	for _, s := range e.order {
		n += s.queue.queued
	}
	return n
}
