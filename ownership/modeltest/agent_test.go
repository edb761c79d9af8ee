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

// agent models an agent process. It uses the ledger of package agent/ledger.
type agent struct {
	process
	ledger   *ledger.Ledger
	links    []*link
	queue    []queuedAttempt
	running  int
	leaving  bool
	leaseEnd time.Duration // its end on the agent's monotonic clock
	// epochs holds the newest epoch by partition. The ledger does not know it under
	// the mutation noEpochFence.
	epochs map[model.Partition]model.Epoch
}

// queuedAttempt is an attempt in the agent's queue.
type queuedAttempt struct {
	attempt ledger.Attempt
	job     *job
	from    *link
}

func (a *agent) ref() ownership.AgentRef {
	return ownership.AgentRef{ID: a.name, Incarnation: a.incarnation}
}

func (a *agent) start() {
	for _, l := range a.links {
		l.closed = true
	}
	a.restart()
	a.ledger = ledger.New(ledger.Options{Incarnation: a.incarnation, Retention: settings().Retention})
	a.links, a.queue, a.running, a.leaving, a.leaseEnd = nil, nil, 0, false, 0
	a.epochs = map[model.Partition]model.Epoch{}
	a.renew()
	a.every(s, a.renew)
	a.every(s, a.announce)
}

// renew renews the lease. If the lease had lapsed, a gateway may have taken it and
// recorded the departure. The agent then continues only if it reads the log after
// the renewal and is still listed; if it is not, it restarts as a new incarnation.
func (a *agent) renew() {
	if a.w.isCut(a.name, "lease") || a.w.Now < a.w.takenUntil[a.name] {
		return
	}
	a.w.leases[a.name] = a.w.Now + leaseTTL
	if a.leaseEnd != 0 && !a.hasLease() && a.w.mutation != noListCheckAfterLapse {
		if a.w.logDown || a.w.isCut(a.name, "log") {
			return
		}
		v := newView()
		for _, e := range a.w.log {
			v.apply(e)
		}
		if !slices.Contains(v.listed(), a.ref()) {
			a.start()
			return
		}
	}
	a.leaseEnd = a.mono() + leaseTTL
}

func (a *agent) hasLease() bool { return a.mono() < a.leaseEnd }
func (a *agent) stopped() bool  { return a.leaving || !a.hasLease() }

// announce tells a random gateway that the agent has joined or is leaving. An agent
// announces itself only after it has had a lease, since it could otherwise be
// recorded as departed before its first lease.
func (a *agent) announce() {
	if a.leaseEnd == 0 {
		return
	}
	g := a.w.gateways[a.w.rng.Intn(len(a.w.gateways))]
	ref, kind := a.ref(), agentJoined
	if a.leaving {
		kind = agentLeft
	}
	a.rpc(&g.process, func() {
		if slices.Contains(g.view.listed(), ref) != (kind == agentJoined) {
			g.append(entry{kind: kind, ag: ref})
		}
	})
}

// reply sends a frame to the gateway. Each frame carries a new permit.
func (a *agent) reply(l *link, fn func(*gateway)) {
	permit, g := a.ledger.Issue(a.mono()), l.g
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

// toLedger returns the attempt as the ledger gets it. Under noEpochFence all
// attempts have epoch 1, and the real epoch is encoded in the attempt number.
func (a *agent) toLedger(at ledger.Attempt) ledger.Attempt {
	if a.w.mutation == noEpochFence {
		at.Number += uint32(at.Epoch) * 1000
		at.Epoch = 1
	}
	return at
}

// fromLedger reverses toLedger.
func (a *agent) fromLedger(r ledger.Record) ledger.Record {
	if a.w.mutation == noEpochFence {
		r.Epoch, r.Number = model.Epoch(r.Number/1000), r.Number%1000
	}
	return r
}

func (a *agent) onStart(l *link, st ledger.Start, j *job) {
	a.epochs[partition] = max(a.epochs[partition], st.Epoch)
	st.Attempt = a.toLedger(st.Attempt)
	if a.w.mutation == noPermitCheck {
		st.Permit = a.ledger.Issue(a.mono())
	}
	if a.leaving {
		a.report(l, a.fromLedger(a.ledger.Refuse(a.mono(), st, ledger.Leaving)))
		return
	}
	rec, ok := a.ledger.Admit(a.mono(), st)
	if !ok {
		a.report(l, a.fromLedger(rec))
		return
	}
	a.queue = append(a.queue, queuedAttempt{st.Attempt, j, l})
	a.after(0, a.runQueued)
}

// runQueued starts queued attempts while slots are free.
func (a *agent) runQueued() {
	for len(a.queue) > 0 && a.running < slots {
		if !a.hasLease() {
			a.after(500*ms, a.runQueued)
			return
		}
		q := a.queue[0]
		a.queue = a.queue[1:]
		rec, ok := a.ledger.Begin(a.mono(), q.attempt)
		if !ok {
			a.report(q.from, a.fromLedger(rec))
			continue
		}
		a.running++
		a.w.recordStart(a, q)
		a.after(20*ms+a.w.randomUpTo(2*s), func() {
			a.running--
			out := ledger.Outcome{State: ledger.Succeeded, Result: []byte(q.attempt.Task.String())}
			if rec, ok := a.ledger.Finish(a.mono(), q.attempt, out); ok {
				for _, l := range a.links {
					a.report(l, a.fromLedger(rec))
				}
			}
			a.runQueued()
		})
	}
}

// recordStart records the start of a task and checks the invariants on starts.
func (w *world) recordStart(a *agent, q queuedAttempt) {
	task := q.attempt.Task
	w.trace("start %v at %v epoch %d", task, a.ref(), q.attempt.Epoch)
	if w.starts[task]++; w.starts[task] > 1 {
		w.fail("task %v started twice, now at %s", task, a.name)
	}
	for r := range q.job.requests {
		w.startedFor[r] = true
		if r.answered == notRun {
			w.fail("task %v of request %d started after not_run", task, r.id)
		}
	}
}

func (a *agent) onFence(l *link, epoch model.Epoch) {
	a.epochs[partition] = max(a.epochs[partition], epoch)
	ledgerEpoch := epoch
	if a.w.mutation == noEpochFence {
		ledgerEpoch = 1
	}
	res := a.ledger.Fence(a.mono(), []ledger.PartitionEpoch{{Partition: partition, Epoch: ledgerEpoch}})
	for i, r := range res.Records {
		res.Records[i] = a.fromLedger(r)
	}
	newer := a.newerEpochs(uint64(epoch))
	a.reply(l, func(g *gateway) { g.onFenced(l.ref, epoch, res.Records, newer) })
}

// newerEpochs returns the agent's epoch if it is newer than the log offset.
func (a *agent) newerEpochs(offset uint64) []ownership.PartitionEpoch {
	if uint64(a.epochs[partition]) > offset {
		return []ownership.PartitionEpoch{{Partition: partition, Epoch: a.epochs[partition]}}
	}
	return nil
}

func (a *agent) onProbe(l *link, sequence, applied uint64) {
	c := ownership.Confirmation{Agent: l.ref, Sequence: sequence, Newer: a.newerEpochs(applied), Stopped: a.stopped()}
	a.reply(l, func(g *gateway) { g.validity.Confirm(c) })
}

func (a *agent) onRevoke(l *link, at ledger.Attempt) {
	in := a.toLedger(at)
	rec := ledger.Record{Attempt: at, State: ledger.NotStarted, Refusal: ledger.Revoked}
	if _, known := a.ledger.Lookup(a.mono(), in.Task); known || a.w.mutation != noTombstone {
		rec = a.fromLedger(a.ledger.Revoke(a.mono(), []ledger.Attempt{in})[0])
	}
	a.report(l, rec)
}

// leave begins a planned stop, in which the agent refuses starts and drops its
// queue, and later restarts.
func (a *agent) leave() {
	a.leaving = true
	for _, r := range a.ledger.DropQueued(a.mono(), ledger.Leaving) {
		for _, l := range a.links {
			a.report(l, a.fromLedger(r))
		}
	}
	a.queue = nil
	a.after(3*s+a.w.randomUpTo(5*s), a.start)
}
