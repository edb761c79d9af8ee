package agent

import (
	"github.com/rhubarbsail/rhubarbsail/agent/ledger"
	"github.com/rhubarbsail/rhubarbsail/common/model"
)

// undeliveredMin is the number of tasks below which undelivered is not pruned.
const undeliveredMin = 1024

// undelivered names the finished tasks whose outcome was not sent to a gateway,
// since its link was down. The outcomes are in the ledger.
type undelivered struct {
	tasks map[model.TaskID]struct{}
	// pruneAt is the size at which tasks that the ledger dropped are removed.
	pruneAt int
}

func newUndelivered() undelivered {
	return undelivered{tasks: make(map[model.TaskID]struct{}), pruneAt: undeliveredMin}
}

// add notes the finished tasks among the records. Kept returns the record of a
// task that the ledger still has.
func (u *undelivered) add(recs []ledger.Record, kept func(model.TaskID) (ledger.Record, bool)) {
	for i := range recs {
		if finished(recs[i].State) {
			u.tasks[recs[i].Task] = struct{}{}
		}
	}
	if len(u.tasks) >= u.pruneAt {
		u.prune(kept)
		u.pruneAt = max(undeliveredMin, 2*len(u.tasks))
	}
}

func (u *undelivered) remove(recs []ledger.Record) {
	if len(u.tasks) == 0 {
		return
	}
	for i := range recs {
		if finished(recs[i].State) {
			delete(u.tasks, recs[i].Task)
		}
	}
}

func (u *undelivered) prune(kept func(model.TaskID) (ledger.Record, bool)) {
	for id := range u.tasks {
		if _, ok := kept(id); !ok {
			delete(u.tasks, id)
		}
	}
}

func finished(s ledger.State) bool { return s == ledger.Succeeded || s == ledger.Failed }

// kept returns the ledger's record of a task.
func (a *Agent) kept(id model.TaskID) (ledger.Record, bool) { return a.ledger.Lookup(a.now(), id) }

// redeliver sends a gateway that reconnected the outcomes that it missed, for the
// partitions whose newest owner it is. The caller holds a.mu.
func (a *Agent) redeliver(s *session) {
	var recs []ledger.Record
	for id := range a.undelivered.tasks {
		if rec, ok := a.kept(id); ok && a.owners[rec.Partition] == s.gateway {
			recs = append(recs, rec)
		}
	}
	if len(recs) > 0 {
		a.push(s, message{kind: messageReport, records: recs})
	}
}
