package scheduler

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// expiryInterval is the interval in seconds between scans for jobs that can
	// no longer meet their deadline, and between updates of a service's capacity.
	expiryInterval = 0.05
	// wakeInterval is how soon Decide asks to be called again while tasks are
	// queued here or at an agent, to check for overdue tasks and free slots. It
	// is also the interval between revocation passes.
	wakeInterval = 20 * time.Millisecond
)

// engine is the Policy used in production. All times inside it are in seconds
// since base, the time of the first call.
type engine struct {
	opts         Options
	rng          *rand.Rand
	base         time.Time
	targets      map[TargetID]*target
	services     map[string]*service
	serviceOrder []*service
	clients      map[string]*client
	jobs         map[JobHandle]*job
}

var _ Policy = (*engine)(nil)

// New returns a policy that learns the speed of targets and the run times of
// tasks, queues tasks fairly between clients and ejects failing targets.
func New(opts Options) Policy {
	return &engine{
		opts: opts.withDefaults(), rng: rand.New(rand.NewPCG(opts.Seed, 0x5eed)),
		targets: map[TargetID]*target{}, services: map[string]*service{},
		clients: map[string]*client{}, jobs: map[JobHandle]*job{},
	}
}

// service holds the targets, the queue and the estimates of one service.
type service struct {
	name    string
	targets []*target
	// ranked holds the targets, fastest first, as of the last updateCapacity.
	// usable holds those that may receive tasks in the current Decide.
	ranked, usable []*target
	queue          *fairQueue
	overallWork    workEstimate
	clientWork     map[*client]*workEstimate
	runRatio       *ratioTable
	// generation is incremented when the estimates have changed enough for
	// queued tasks to be predicted again.
	generation int
	// defaultRun is the run time in seconds assumed before any task has ended.
	defaultRun      float64
	meanLogSlowness float64
	ejected         int

	// capacity is the work per second that the targets can do for this gateway,
	// minSlowness the slowness of the fastest usable target. Both are recomputed
	// once the time nextCapacityUpdate is reached.
	capacity, minSlowness, nextCapacityUpdate float64
	// ownCompletionRate is the rate per second at which this gateway's tasks of
	// small jobs are expected to end, valid within one Decide. Tasks of large jobs
	// do not count, since their slots are refilled in chunks.
	ownCompletionRate float64
	// usedCapacity is the moving average of the work per second that the targets do
	// for all gateways.
	usedCapacity           float64
	nextExpiry, nextRevoke float64
	dropped                []*job
}

// client holds the limits, the task counts and the failure history of a client.
type client struct {
	share      float64
	maxQueued  int
	maxRunning int
	queued     int
	running    int
	// lastFailed records for each target whether the client's last task on it
	// failed.
	lastFailed map[*target]bool
}

// task holds the declared run time of a task in seconds, its predicted work in
// seconds at speed 1 with the service's generation at the prediction, and the
// target to which it was last sent.
type task struct {
	declaredRun float64
	work        float64
	generation  int
	target      *target
}

// attributedFailure is a failure of a job's task that was counted against a target
// with the given weight.
type attributedFailure struct {
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
	// queuedTasks holds the indexes of the tasks to send, longest first. Tasks that
	// an agent returned unstarted come before the others.
	queuedTasks []int32
	// queuedWork is the sum of the work of the tasks in queuedTasks.
	queuedWork float64
	// outstanding is the number of tasks that were sent and have not ended.
	outstanding        int
	removed            bool
	attributedFailures []attributedFailure
	// atFault is true when the job's tasks failed on more than one target.
	atFault bool

	// State of fairQueue.walk: the position in queuedTasks of the next task to
	// visit, and the number of visited tasks that stay queued.
	walkAt, walkKept int
}

// isLarge reports whether the job is large, so that its tasks are sent in batches.
func (j *job) isLarge(e *engine) bool { return len(j.tasks) >= e.opts.BatchTasks }

func (j *job) predict(i int) {
	t := &j.tasks[i]
	t.generation = j.svc.generation
	t.work = math.Exp(j.svc.clientEstimate(j.client).predictLog(&j.svc.overallWork, t.declaredRun, j.svc.defaultRun))
}

// refreshPrediction predicts the work of a queued task again if the service's
// estimates have moved to a new generation since the last prediction.
func (s *service) refreshPrediction(j *job, i int) {
	if j.tasks[i].generation != s.generation {
		s.queue.adjustCounts(j, i, -1)
		j.predict(i)
		s.queue.adjustCounts(j, i, 1)
	}
}

func (s *service) clientEstimate(c *client) *workEstimate {
	w := s.clientWork[c]
	if w == nil {
		w = &workEstimate{}
		s.clientWork[c] = w
	}
	return w
}

// meanWork returns the mean work of a task in seconds at speed 1.
func (s *service) meanWork() float64 {
	if s.overallWork.n == 0 {
		return s.defaultRun
	}
	return math.Exp(s.overallWork.mean) * s.runRatio.mean
}

// updateCapacity recomputes the ranking of the targets, the capacity and the least
// slowness, at most once every expiryInterval.
func (s *service) updateCapacity(now float64) {
	if now < s.nextCapacityUpdate {
		return
	}
	s.rankTargets(now, now-s.nextCapacityUpdate+expiryInterval)
	s.nextCapacityUpdate = now + expiryInterval
	s.capacity, s.minSlowness = 0, math.Inf(1)
	s.meanLogSlowness = s.meanLearnedLogSlowness()
	for _, t := range s.targets {
		if !t.usable(now) || t.health.ejected {
			continue
		}
		t.refresh(now)
		free := math.Max(0.1*float64(t.Slots), float64(t.Slots)-t.foreignExpected)
		s.capacity += free / t.slowness
		s.minSlowness = math.Min(s.minSlowness, t.slowness)
	}
	if s.capacity == 0 {
		s.minSlowness = 0
	}
}

// meanLearnedLogSlowness returns the mean of the learned logarithms of slowness,
// over the targets that have finished a task, or 0 if there are none.
func (s *service) meanLearnedLogSlowness() float64 {
	sum, seen := 0.0, 0.0
	for _, t := range s.targets {
		if t.speed.n > 0 {
			sum += t.speed.logSlowness
			seen++
		}
	}
	if seen == 0 {
		return 0
	}
	return sum / seen
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
		c = &client{share: 1, maxQueued: e.opts.DefaultMaxQueued, lastFailed: map[*target]bool{}}
		e.clients[name] = c
	}
	return c
}

func (e *engine) service(name string) *service {
	s := e.services[name]
	if s == nil {
		s = &service{
			name: name, queue: newFairQueue(), clientWork: map[*client]*workEstimate{},
			runRatio: newRatioTable(), defaultRun: e.opts.DefaultRun.Seconds(),
		}
		e.services[name] = s
		e.serviceOrder = append(e.serviceOrder, s)
	}
	return s
}

// SetTargets implements Policy. The state learned for a target is kept while its
// name stays in the list under the same service.
func (e *engine) SetTargets(_ time.Time, list []Target) {
	for _, t := range e.targets {
		t.listed = false
	}
	for _, in := range list {
		t := e.targets[in.ID]
		if t == nil || t.Service != in.Service {
			t = &target{}
			e.targets[in.ID] = t
		}
		t.Target, t.svc, t.listed = in, e.service(in.Service), true
		t.delay = in.Delay.Seconds()
		t.validUntil = 0
		if !in.Connected {
			// These flags come from the agent, whose first report after the
			// reconnect sets them again.
			t.leaving, t.rejecting = false, false
		}
	}
	for _, s := range e.serviceOrder {
		s.targets, s.ranked, s.ejected, s.nextCapacityUpdate = s.targets[:0], s.ranked[:0], 0, 0
	}
	for id, t := range e.targets {
		switch {
		case t.listed:
			t.svc.targets = append(t.svc.targets, t)
			if t.health.ejected {
				t.svc.ejected++
			}
		case len(t.outstanding) == 0:
			delete(e.targets, id)
			for _, c := range e.clients {
				delete(c.lastFailed, t)
			}
		}
	}
	for _, s := range e.serviceOrder {
		e.sortByHash(s.targets)
	}
}

// sortByHash sorts targets by a hash of the seed and their name. The order of
// equally fast targets then differs between gateways, so that they do not all
// prefer the same one, and stays the same between calls.
func (e *engine) sortByHash(list []*target) {
	for _, t := range list {
		h := e.opts.Seed ^ 0x9e3779b97f4a7c15
		for _, b := range []byte(t.ID) {
			h = (h ^ uint64(b)) * 0x100000001b3
			h ^= h >> 29
		}
		t.tieBreak = h
	}
	slices.SortFunc(list, func(a, b *target) int {
		return cmp.Or(cmp.Compare(a.tieBreak, b.tieBreak), cmp.Compare(a.ID, b.ID))
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
	if j.outstanding == 0 {
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
	n := slices.IndexFunc(t.outstanding, func(a *attempt) bool { return a.job == j && a.index == o.Task.Index })
	if n < 0 || o.Kind == OutcomeStarted {
		return
	}
	t.remove(n)
	j.outstanding--
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
			j.svc.queue.requeue(j, o.Task.Index)
		}
	}
	if j.removed && j.outstanding == 0 {
		delete(e.jobs, j.handle)
	}
}

// learn updates the estimates of work and speed from the run time of a task that
// succeeded.
func (e *engine) learn(now float64, t *target, j *job, o Outcome) {
	if o.Run <= 0 {
		return
	}
	s, k := j.svc, &j.tasks[o.Task.Index]
	run := math.Log(o.Run.Seconds())
	estimate := s.clientEstimate(j.client)
	predicted := estimate.predictLog(&s.overallWork, k.declaredRun, s.defaultRun)
	if s.overallWork.n > 0 {
		s.runRatio.observe(math.Exp(run - predicted - t.logSlowness(now)))
	}
	slow := t.logSlowness(now)
	if s.overallWork.n > 0 {
		t.speed.observe(now, run-predicted)
		t.usualSpeed.n = math.Min(t.usualSpeed.n+1, usualSpeedWindow)
		t.usualSpeed.logSlowness += (run - predicted - t.usualSpeed.logSlowness) / t.usualSpeed.n
		slow = t.logSlowness(now)
	}
	declared := k.declaredRun > 0
	var logDeclared float64
	if declared {
		logDeclared = math.Log(k.declaredRun)
	}
	s.overallWork.observe(run-slow, logDeclared, declared)
	estimate.observe(run-slow, logDeclared, declared)
	// Early outcomes change the estimates most: predict again after 1, 2, 4, 8, ...
	// outcomes until the window is full.
	if n := int(s.overallWork.n); n&(n-1) == 0 && n < workWindow {
		s.generation++
	}
}

// Decide implements Policy.
func (e *engine) Decide(at time.Time) Decisions {
	now := e.seconds(at)
	var out Decisions
	for _, s := range e.serviceOrder {
		s.updateCapacity(now)
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

// overcommitted reports whether any target holds more unfinished tasks of this
// gateway than it has slots, so that some wait in the agent's queue.
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
	for _, s := range e.serviceOrder {
		mean, n := 0.0, 0.0
		for _, t := range s.targets {
			mean += t.logSlowness(now)
			n++
		}
		for _, t := range s.targets {
			t.refresh(now)
			list = append(list, TargetStatus{
				ID: t.ID, Slots: t.Slots, Outstanding: len(t.outstanding),
				Speed:   math.Exp(mean/n) / t.slowness,
				Ejected: t.health.ejected, EjectionReason: t.health.reason,
			})
		}
	}
	slices.SortFunc(list, func(a, b TargetStatus) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Queued implements Policy.
func (e *engine) Queued() int {
	n := 0
	for _, s := range e.serviceOrder {
		n += s.queue.queued
	}
	return n
}
