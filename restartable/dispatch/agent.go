package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// AgentInfo identifies an agent and its connection.
type AgentInfo struct {
	// Link identifies this connection; each connection of an agent has its own.
	Link string
	Name string
	// Zone is the agent's availability zone.
	Zone string
	// Process identifies the process of the agent among those of its name.
	Process uint64
}

// TargetInfo describes an agent's target.
type TargetInfo struct {
	Target  string
	Service string
	// Kind is the kind of machine that the target says it is.
	Kind     string
	Labels   []string
	Capacity task.Resources
}

// Load is an agent's load as it reports it.
type Load struct {
	Accepting bool
	Committed task.Resources
	// Backlog is the time that the target would need at full use for what is
	// committed.
	Backlog time.Duration
	// Slowness is the usual ratio of measured to expected run times, learned from
	// Samples runs. Anomaly is the ratio of the recent to the usual slowness.
	Slowness, Anomaly float64
	Samples           int
	// FailedShare is the moving average of the share of failed runs.
	FailedShare float64
	// OrdersSeen is the highest order number that the load includes.
	OrdersSeen uint64
	// FencingToken is the token of the agent's calls to its target.
	FencingToken int64
	// Fenced is set once the target refuses the calls of earlier processes of the agent.
	// TasksInDoubt are the tasks with a start that the target has not answered and may still
	// carry out.
	Fenced       bool
	TasksInDoubt []task.ID
	// DoubtsChanged is set if TasksInDoubt replaces the list that the agent sent before.
	DoubtsChanged bool
	// QueueUse is the use by queue, which is reported at the gateway's request. It replaces
	// the one reported before if QueueUseChanged is set.
	QueueUse        []QueueUse
	QueueUseChanged bool
}

// unackedOrder is an order that the agent's last reported load does not include.
type unackedOrder struct {
	number uint64
	needs  task.Resources
	// work is the expected work in thousandths of a core times milliseconds.
	work  float64
	queue string
}

// agent is the gateway's view of one agent. It belongs to a Core.
type agent struct {
	AgentInfo
	target TargetInfo
	load   Load
	// reportedAt is when the agent connected or last sent a report.
	reportedAt time.Duration
	// lastOrder is the number of the last order sent to the agent. unacked are the
	// orders that its last load does not include.
	lastOrder uint64
	unacked   []unackedOrder
	// placed holds the tasks that were sent to the agent and have not ended, jobs
	// the unanswered jobs that had any task there.
	placed map[task.ID]*taskRecord
	jobs   map[string]*job
	// givenUp holds the attempts of jobs that were given up, until their ends are reported.
	givenUp givenUpAttempts
	// lastPlacedAt is when a task was last placed on the agent.
	lastPlacedAt time.Duration
	// avoided is set while the target looks broken or slow and gets only probes.
	avoided bool
	// inDoubt are the tasks that the agent says are in doubt.
	inDoubt []task.ID
	// late are the tasks with a start that the agent's target may carry out late. They come
	// into doubt once the agent or its target is out of contact.
	late []task.ID
	// relayed are the tasks in doubt that the agent relays from other gateways, by the agent
	// that has started them.
	relayed map[string]taskDoubts
	// reservedFor is the queue that is confined to this target and some others, if any.
	reservedFor string
	// queueUse is the use by queue that the agent has reported, reportsQueueUse is set once
	// it has.
	queueUse        []QueueUse
	reportsQueueUse bool
	// doneSinceAvoided counts the successful runs since the target became avoided.
	doneSinceAvoided int
	// newestOnTime is the start of the newest run here that has ended about as soon as
	// predicted: the target has worked at its usual speed since then.
	newestOnTime time.Duration
	// kindContribution is the target's contribution to the current statistics of its
	// kind.
	kindContribution slownessStats
}

// applyLoad applies a reported load.
func (a *agent) applyLoad(now time.Duration, l Load) {
	a.reportedAt, a.load = now, l
	a.applyQueueUse(&l)
	a.unacked = slices.DeleteFunc(a.unacked, func(o unackedOrder) bool { return o.number <= l.OrdersSeen })
}

// committed returns the resources and the work that the agent is committed to:
// its reported load plus the orders that the load does not include yet.
func (a *agent) committed() (task.Resources, float64) {
	sum := a.load.Committed
	work := a.load.Backlog.Seconds() * 1000 * float64(a.target.Capacity.CPUMillis)
	for _, o := range a.unacked {
		sum = sum.Plus(o.needs)
		work += o.work
	}
	return sum, work
}

// hasLabel reports whether the target has a label. Every target has the empty one.
func (a *agent) hasLabel(label string) bool {
	return label == "" || slices.Contains(a.target.Labels, label)
}

// givenUpAttempts holds the last attempt of each task whose job was given up before the
// agent has reported its end. A later submission of the job continues its numbers, so that
// the report is not taken for one of its own attempts.
type givenUpAttempts map[task.ID]givenUpAttempt

type givenUpAttempt struct {
	number int
	at     time.Duration
}

func (g givenUpAttempts) add(now time.Duration, t *taskRecord) {
	g[t.id] = givenUpAttempt{t.attempt, now}
}

// ended forgets an attempt whose end is reported.
func (g givenUpAttempts) ended(id task.ID, number int) {
	if g[id].number == number {
		delete(g, id)
	}
}

// prune forgets attempts whose end was not reported within doubtRetention: an order that was
// withdrawn before it was sent has none.
func (g givenUpAttempts) prune(now time.Duration) {
	maps.DeleteFunc(g, func(_ task.ID, a givenUpAttempt) bool { return now-a.at > doubtRetention })
}
