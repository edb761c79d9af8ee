package agent

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/rhubarbsail/rhubarbsail/agent/ledger"
	"github.com/rhubarbsail/rhubarbsail/common/events"
	"github.com/rhubarbsail/rhubarbsail/common/model"
	pb "github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/v1"
)

var (
	errCancelled = errors.New("job cancelled")
	errStopped   = errors.New("agent stopped before the target answered")
)

// ledgerFullInterval is the minimum time between two log lines about a full ledger.
const ledgerFullInterval = 10 * time.Second

// batch is one StartBatch of a gateway. Agent.mu guards it.
type batch struct {
	gateway string
	// reportEach is set if the gateway wants a report for each outcome.
	reportEach bool
	// reportedEarly is set once a report was sent before the end of the batch, which
	// tells the gateway about free slots. It is set from the beginning if the
	// gateway wants no such report. There is at most one per batch, because more
	// would cost large jobs up to one message per task.
	reportedEarly bool
	// pending is the number of tasks in the batch that have no outcome yet.
	pending int
}

// queuedTask is a task in the agent's queue or at the target.
type queuedTask struct {
	attempt ledger.Attempt
	batch   *batch
	start   *pb.Start
}

// refusalReason returns the reason for which the agent itself refuses all starts
// for the service, or 0. The caller must hold a.mu.
func (a *Agent) refusalReason(now time.Duration, service string) ledger.Reason {
	switch {
	case a.stopping || a.target.left || a.drain.set:
		return ledger.Leaving
	case !a.target.present || service != a.target.service:
		return ledger.NoTarget
	case !a.lease.valid(now):
		return ledger.LeaseLapsed
	}
	return 0
}

// slots returns the number of tasks that the target runs concurrently. The caller
// must hold a.mu.
func (a *Agent) slots() int { return min(a.target.slots, a.target.connections) }

// admit queues the task if neither the agent nor the ledger refuses the start. The
// caller must hold a.mu and call dispatch afterwards.
func (a *Agent) admit(now time.Duration, s ledger.Start, b *batch, w *pb.Start) (ledger.Record, bool) {
	reason := a.refusalReason(now, w.GetService())
	size := len(w.GetPayload())
	if reason == 0 && (len(a.queue)+len(a.running) >= a.slots()+a.opts.QueueLimit || a.queueBytes+size > a.opts.QueueBytes) {
		reason = ledger.QueueFull
	}
	var rec ledger.Record
	ok := false
	if reason != 0 {
		rec = a.ledger.Refuse(now, s, reason)
	} else {
		rec, ok = a.ledger.Admit(now, s)
	}
	a.setOwner(s.Partition, s.Epoch, b.gateway)
	if !ok {
		b.pending--
		a.logRefusal(now, rec)
		return rec, false
	}
	a.queue = append(a.queue, &queuedTask{attempt: s.Attempt, batch: b, start: w})
	a.queuedByGateway[b.gateway]++
	a.queueBytes += size
	return rec, true
}

// logRefusal counts and logs a refusal. The caller must hold a.mu.
func (a *Agent) logRefusal(now time.Duration, rec ledger.Record) {
	a.deps.Metrics.TaskRefused(rec.Refusal)
	events.StartRefused.Log(a.log).Stringer("task", rec.Task).Stringer("reason", rec.Refusal).Send()
	if rec.Refusal == ledger.LedgerFull && now >= a.nextLedgerFullLog {
		a.nextLedgerFullLog = now + ledgerFullInterval
		c := a.ledger.Counts(now)
		events.LedgerFull.Log(a.log).Int("entries", c.Entries).Int64("bytes", c.Bytes).Send()
	}
}

// setOwner makes the gateway the owner of the partition, which receives its
// outcomes, unless a newer epoch is known. The caller must hold a.mu.
func (a *Agent) setOwner(p model.Partition, e model.Epoch, gateway string) {
	if e >= a.ledger.Epoch(p) {
		a.owners[p] = gateway
	}
}

// dispatch starts queued tasks while the target has free slots. The caller must
// hold a.mu.
func (a *Agent) dispatch(now time.Duration) {
	for len(a.queue) > 0 && len(a.running) < a.slots() && a.refusalReason(now, a.target.service) == 0 {
		q := a.queue[0]
		a.queue[0] = nil
		a.queue = a.queue[1:]
		a.subtractQueued(q)
		rec, ok := a.ledger.Begin(now, q.attempt)
		if !ok {
			a.logRefusal(now, rec)
			a.completeTask(q.batch, rec)
			continue
		}
		a.deps.Metrics.TaskBegan(rec.Wait)
		ctx, cancel := context.WithCancelCause(a.runCtx)
		a.running[q.attempt] = cancel
		a.tasks.Add(1)
		go a.run(ctx, cancel, q, a.target.client)
	}
}

// subtractQueued removes w from the totals of the queue. The caller must hold a.mu.
func (a *Agent) subtractQueued(q *queuedTask) {
	a.queueBytes -= len(q.start.GetPayload())
	if a.queuedByGateway[q.batch.gateway]--; a.queuedByGateway[q.batch.gateway] == 0 {
		delete(a.queuedByGateway, q.batch.gateway)
	}
}

// run sends one task to the target and records its outcome.
func (a *Agent) run(ctx context.Context, cancel context.CancelCauseFunc, q *queuedTask, c *targetClient) {
	defer a.tasks.Done()
	defer cancel(nil)
	out := c.run(ctx, q)
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	delete(a.running, q.attempt)
	rec, ok := a.ledger.Finish(now, q.attempt, out)
	a.dispatch(now)
	if ok {
		a.deps.Metrics.TaskEnded(rec.State, rec.Run)
		a.completeTask(q.batch, rec)
	}
	a.notifyWaiters()
}

// completeTask records that a task of the batch has an outcome. It reports the
// outcome together with those held back before. If the task succeeded and the
// gateway wants no separate report, it instead holds the outcome back until the
// batch is complete or, once per batch, until slots become free. The caller must
// hold a.mu.
func (a *Agent) completeTask(b *batch, rec ledger.Record) {
	b.pending--
	idle := a.queuedByGateway[b.gateway] == 0 && len(a.running) < a.slots()
	if !b.reportEach && rec.State == ledger.Succeeded && b.pending > 0 && (!idle || b.reportedEarly) {
		a.heldOutcomes[b.gateway] = append(a.heldOutcomes[b.gateway], rec)
		return
	}
	b.reportedEarly = b.reportedEarly || idle
	a.deliver(append(a.heldOutcomes[b.gateway], rec))
	delete(a.heldOutcomes, b.gateway)
}

// deliver sends records to the gateways that own their partitions, and notes those
// of gateways without a link as undelivered. The caller must hold a.mu and must not
// use the slice afterwards.
func (a *Agent) deliver(recs []ledger.Record) {
	byGateway := make(map[string][]ledger.Record, 1)
	for _, r := range recs {
		g := a.owners[r.Partition]
		byGateway[g] = append(byGateway[g], r)
	}
	for g, rs := range byGateway {
		if s := a.sessions[g]; s != nil {
			a.push(s, message{kind: messageReport, records: rs})
		} else {
			a.undelivered.add(rs, a.lookup)
		}
	}
}

// removeDropped removes the tasks from the queue that the ledger has dropped. The
// caller must report their records, and must hold a.mu.
func (a *Agent) removeDropped() {
	kept := a.queue[:0]
	for _, q := range a.queue {
		if a.ledger.IsQueued(q.attempt) {
			kept = append(kept, q)
			continue
		}
		a.subtractQueued(q)
		q.batch.pending--
		if held := a.heldOutcomes[q.batch.gateway]; q.batch.pending == 0 && len(held) > 0 {
			delete(a.heldOutcomes, q.batch.gateway)
			a.deliver(held)
		}
	}
	clear(a.queue[len(kept):])
	a.queue = kept
}

// dropQueue drops the whole queue and reports its tasks as not started, so that
// their owners can place them elsewhere. The caller must hold a.mu.
func (a *Agent) dropQueue(now time.Duration, r ledger.Reason) {
	recs := a.ledger.DropQueued(now, r)
	a.removeDropped()
	if len(recs) > 0 {
		a.deliver(recs)
	}
}

// notifyLoad sends the current load to all gateways. The caller must hold a.mu.
func (a *Agent) notifyLoad() {
	for _, s := range a.sessions {
		a.push(s, message{kind: messageReport})
	}
	a.notifyWaiters()
}
