package modeltest

import (
	"slices"
	"time"

	"github.com/rhubarbsail/rhubarbsail/agent/ledger"
	"github.com/rhubarbsail/rhubarbsail/common/model"
	"github.com/rhubarbsail/rhubarbsail/ownership"
)

const (
	slots    = 2
	leaseTTL = 3 * s
)

// agent is the model of the process beside a target, around the real ledger.
type agent struct {
	proc
	led     *ledger.Ledger
	links   []*link
	queue   []queued
	running int
	leaving bool
	lease   time.Duration // end, on the agent's clock
	// epochs are the fences, kept here for the mutation without epoch checks.
	epochs map[model.Partition]model.Epoch
}

type queued struct {
	attempt ledger.Attempt
	job     *job
	from    *link
}

func (a *agent) ref() ownership.AgentRef {
	return ownership.AgentRef{ID: a.name, Incarnation: a.inc}
}

func (a *agent) boot() {
	for _, l := range a.links {
		l.closed = true
	}
	a.restart()
	a.led = ledger.New(ledger.Options{Incarnation: a.inc, Retention: settings().Retention})
	a.links, a.queue, a.running, a.leaving, a.lease = nil, nil, 0, false, 0
	a.epochs = map[model.Partition]model.Epoch{}
	a.renew()
	a.every(s, a.renew)
	a.every(s, a.announce)
}

// renew renews the lease. After a lapse a gateway may have taken the lease and
// recorded the departure, so the agent goes on only if a read of the log that
// follows the renewal still lists it, and otherwise as a new incarnation.
func (a *agent) renew() {
	if a.w.cut(a.name, "lease") || a.w.Now < a.w.takenUntil[a.name] {
		return
	}
	a.w.leases[a.name] = a.w.Now + leaseTTL
	if a.lease != 0 && !a.leased() && a.w.mut != lapseForgotten {
		if a.w.logDown || a.w.cut(a.name, "log") {
			return
		}
		v := newView()
		for _, e := range a.w.log {
			v.apply(e)
		}
		if !slices.Contains(v.listed(), a.ref()) {
			a.boot()
			return
		}
	}
	a.lease = a.mono() + leaseTTL
}

func (a *agent) leased() bool  { return a.mono() < a.lease }
func (a *agent) stopped() bool { return a.leaving || !a.leased() }

// announce tells one gateway that the agent is there or leaves. An agent that had
// no lease yet does not announce itself: it could be recorded as departed before
// its first lease.
func (a *agent) announce() {
	if a.lease == 0 {
		return
	}
	g := a.w.gws[a.w.rng.Intn(len(a.w.gws))]
	ref, kind := a.ref(), agentJoined
	if a.leaving {
		kind = agentLeft
	}
	a.rpc(&g.proc, func() {
		if slices.Contains(g.view.listed(), ref) != (kind == agentJoined) {
			g.append(entry{kind: kind, ag: ref})
		}
	})
}

// reply sends a frame to the gateway; each carries a permit and the load.
func (a *agent) reply(l *link, fn func(*gateway)) {
	permit, g := a.led.Issue(a.mono()), l.g
	l.send(toGateway, func() {
		if old, ok := g.permits[l.ref]; !ok || permit.Issued > old.Issued {
			g.permits[l.ref] = permit
		}
		fn(g)
	})
}

func (a *agent) report(l *link, rec ledger.Record) {
	a.reply(l, func(g *gateway) { g.onRecord(l.ref, rec) })
}

// inLedger returns the attempt as the ledger sees it: without the epoch fence,
// all attempts have one epoch.
func (a *agent) inLedger(at ledger.Attempt) ledger.Attempt {
	if a.w.mut == noEpochFence {
		at.Number += uint32(at.Epoch) * 1000
		at.Epoch = 1
	}
	return at
}

func (a *agent) fromLedger(r ledger.Record) ledger.Record {
	if a.w.mut == noEpochFence {
		r.Epoch, r.Number = model.Epoch(r.Number/1000), r.Number%1000
	}
	return r
}

func (a *agent) onStart(l *link, st ledger.Start, j *job) {
	a.epochs[part] = max(a.epochs[part], st.Epoch)
	st.Attempt = a.inLedger(st.Attempt)
	if a.w.mut == noPermitCheck {
		st.Permit = a.led.Issue(a.mono())
	}
	if a.leaving {
		a.report(l, a.fromLedger(a.led.Refuse(a.mono(), st, ledger.Leaving)))
		return
	}
	rec, ok := a.led.Admit(a.mono(), st)
	if !ok {
		a.report(l, a.fromLedger(rec))
		return
	}
	a.queue = append(a.queue, queued{st.Attempt, j, l})
	a.later(0, a.work)
}

func (a *agent) work() {
	for len(a.queue) > 0 && a.running < slots {
		if !a.leased() {
			a.later(500*ms, a.work)
			return
		}
		q := a.queue[0]
		a.queue = a.queue[1:]
		rec, ok := a.led.Begin(a.mono(), q.attempt)
		if !ok {
			a.report(q.from, a.fromLedger(rec))
			continue
		}
		a.running++
		a.w.started(a, q)
		a.later(20*ms+a.w.upTo(2*s), func() {
			a.running--
			out := ledger.Outcome{State: ledger.Succeeded, Result: []byte(q.attempt.Task.String())}
			if rec, ok := a.led.Finish(a.mono(), q.attempt, out); ok {
				for _, l := range a.links {
					a.report(l, a.fromLedger(rec))
				}
			}
			a.work()
		})
	}
}

// started observes a start and checks the invariants about starts.
func (w *world) started(a *agent, q queued) {
	task := q.attempt.Task
	w.trace("start %v at %v epoch %d", task, a.ref(), q.attempt.Epoch)
	if w.starts[task]++; w.starts[task] > 1 {
		w.fail("task %v started twice, now at %s", task, a.name)
	}
	for r := range q.job.reqs {
		w.startedFor[r] = true
		if r.answered == notRun {
			w.fail("task %v of request %d started after not_run", task, r.id)
		}
	}
}

func (a *agent) onFence(l *link, epoch model.Epoch) {
	a.epochs[part] = max(a.epochs[part], epoch)
	inLedger := epoch
	if a.w.mut == noEpochFence {
		inLedger = 1
	}
	res := a.led.Fence(a.mono(), []ledger.PartitionEpoch{{Partition: part, Epoch: inLedger}})
	for i, r := range res.Records {
		res.Records[i] = a.fromLedger(r)
	}
	newer := a.newer(uint64(epoch))
	a.reply(l, func(g *gateway) { g.onFenced(l.ref, epoch, res.Records, newer) })
}

func (a *agent) newer(offset uint64) []ownership.PartitionEpoch {
	if uint64(a.epochs[part]) > offset {
		return []ownership.PartitionEpoch{{Partition: part, Epoch: a.epochs[part]}}
	}
	return nil
}

func (a *agent) onProbe(l *link, sequence, applied uint64) {
	c := ownership.Confirmation{Agent: l.ref, Sequence: sequence, Newer: a.newer(applied), Stopped: a.stopped()}
	a.reply(l, func(g *gateway) { g.val.Confirm(c) })
}

func (a *agent) onRevoke(l *link, at ledger.Attempt) {
	in := a.inLedger(at)
	rec := ledger.Record{Attempt: at, State: ledger.NotStarted, Refusal: ledger.Revoked}
	if _, known := a.led.Lookup(a.mono(), in.Task); known || a.w.mut != noTombstone {
		rec = a.fromLedger(a.led.Revoke(a.mono(), []ledger.Attempt{in})[0])
	}
	a.report(l, rec)
}

// leave is a planned stop: the agent refuses starts and drops its queue.
func (a *agent) leave() {
	a.leaving = true
	for _, r := range a.led.DropQueued(a.mono(), ledger.Leaving) {
		for _, l := range a.links {
			a.report(l, a.fromLedger(r))
		}
	}
	a.queue = nil
	a.later(3*s+a.w.upTo(5*s), a.boot)
}
