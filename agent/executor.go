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

// ledgerFullInterval is the time between two log lines about a full ledger.
const ledgerFullInterval = 10 * time.Second

// batch is one StartBatch of a gateway. Agent.mu guards it.
type batch struct {
	gateway string
	// each asks for a report of each outcome.
	each bool
	// early is set by the report before the end, which tells the gateway of free
	// slots, and from the start if the gateway wants none. A second one would cost
	// large jobs up to a message a task.
	early bool
	// open counts the tasks of the batch without an outcome.
	open int
}

// work is a queued task.
type work struct {
	attempt ledger.Attempt
	batch   *batch
	start   *pb.Start
}

// veto returns the agent's own reason against new starts, or 0. The caller holds
// a.mu.
func (a *Agent) veto(now time.Duration, service string) ledger.Reason {
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

// slots returns the number of requests that the target takes at a time. The
// caller holds a.mu.
func (a *Agent) slots() int { return min(a.target.slots, a.target.connections) }

// admit asks the ledger for a start and queues the task. The caller holds a.mu
// and calls dispatch.
func (a *Agent) admit(now time.Duration, s ledger.Start, b *batch, w *pb.Start) (ledger.Record, bool) {
	reason := a.veto(now, w.GetService())
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
	a.own(s.Partition, s.Epoch, b.gateway)
	if !ok {
		b.open--
		a.refused(now, rec)
		return rec, false
	}
	a.queue = append(a.queue, &work{attempt: s.Attempt, batch: b, start: w})
	a.queued[b.gateway]++
	a.queueBytes += size
	return rec, true
}

// refused counts and logs a refusal. The caller holds a.mu.
func (a *Agent) refused(now time.Duration, rec ledger.Record) {
	a.deps.Metrics.TaskRefused(rec.Refusal)
	events.StartRefused.Log(a.log).Stringer("task", rec.Task).Stringer("reason", rec.Refusal).Send()
	if rec.Refusal == ledger.LedgerFull && now >= a.ledgerFullLog {
		a.ledgerFullLog = now + ledgerFullInterval
		c := a.ledger.Counts(now)
		events.LedgerFull.Log(a.log).Int("entries", c.Entries).Int64("bytes", c.Bytes).Send()
	}
}

// own makes the gateway the receiver of the partition's outcomes unless a newer
// epoch is known. The caller holds a.mu.
func (a *Agent) own(p model.Partition, e model.Epoch, gateway string) {
	if e >= a.ledger.Epoch(p) {
		a.owners[p] = gateway
	}
}

// dispatch begins queued tasks while there are free slots. The caller holds a.mu.
func (a *Agent) dispatch(now time.Duration) {
	for len(a.queue) > 0 && len(a.running) < a.slots() && a.veto(now, a.target.service) == 0 {
		w := a.queue[0]
		a.queue[0] = nil
		a.queue = a.queue[1:]
		a.unqueue(w)
		rec, ok := a.ledger.Begin(now, w.attempt)
		if !ok {
			a.refused(now, rec)
			a.settle(w.batch, rec)
			continue
		}
		a.deps.Metrics.TaskBegan(rec.Wait)
		ctx, cancel := context.WithCancelCause(a.runCtx)
		a.running[w.attempt] = cancel
		a.tasks.Add(1)
		go a.run(ctx, cancel, w, a.target.client)
	}
}

// unqueue takes w out of the counts of the queue. The caller holds a.mu.
func (a *Agent) unqueue(w *work) {
	a.queueBytes -= len(w.start.GetPayload())
	if a.queued[w.batch.gateway]--; a.queued[w.batch.gateway] == 0 {
		delete(a.queued, w.batch.gateway)
	}
}

// run gives one task to the target and records its outcome.
func (a *Agent) run(ctx context.Context, cancel context.CancelCauseFunc, w *work, c *targetClient) {
	defer a.tasks.Done()
	defer cancel(nil)
	out := c.run(ctx, w)
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	delete(a.running, w.attempt)
	rec, ok := a.ledger.Finish(now, w.attempt, out)
	a.dispatch(now)
	if ok {
		a.deps.Metrics.TaskEnded(rec.State, rec.Run)
		a.settle(w.batch, rec)
	}
	a.changed()
}

// settle counts an outcome for its batch and reports it, or holds it until the
// batch is complete. The caller holds a.mu.
func (a *Agent) settle(b *batch, rec ledger.Record) {
	b.open--
	idle := a.queued[b.gateway] == 0 && len(a.running) < a.slots()
	if !b.each && rec.State == ledger.Succeeded && b.open > 0 && (!idle || b.early) {
		a.held[b.gateway] = append(a.held[b.gateway], rec)
		return
	}
	b.early = b.early || idle
	a.deliver(append(a.held[b.gateway], rec))
	delete(a.held, b.gateway)
}

// deliver sends records to the gateways that own their partitions. The caller
// holds a.mu and gives up the slice.
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
			a.undelivered.add(rs, a.kept)
		}
	}
}

// abandonStale removes the queued tasks that the ledger has dropped, whose
// records the caller reports. The caller holds a.mu.
func (a *Agent) abandonStale() {
	kept := a.queue[:0]
	for _, w := range a.queue {
		if a.ledger.IsQueued(w.attempt) {
			kept = append(kept, w)
			continue
		}
		a.unqueue(w)
		w.batch.open--
		if held := a.held[w.batch.gateway]; w.batch.open == 0 && len(held) > 0 {
			delete(a.held, w.batch.gateway)
			a.deliver(held)
		}
	}
	clear(a.queue[len(kept):])
	a.queue = kept
}

// giveBack drops the whole queue and reports the tasks as not started. The caller
// holds a.mu.
func (a *Agent) giveBack(now time.Duration, r ledger.Reason) {
	recs := a.ledger.DropQueued(now, r)
	a.abandonStale()
	if len(recs) > 0 {
		a.deliver(recs)
	}
}

// notifyLoad sends the load to all gateways. The caller holds a.mu.
func (a *Agent) notifyLoad() {
	for _, s := range a.sessions {
		a.push(s, message{kind: messageReport})
	}
	a.changed()
}
