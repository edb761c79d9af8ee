package agent

import (
	"github.com/rhubarbsail/rhubarbsail/agent/ledger"
	"github.com/rhubarbsail/rhubarbsail/common/model"
)

// undeliveredPruneMin is the minimum number of tasks at which undelivered is pruned.
const undeliveredPruneMin = 1024

// undelivered is the set of finished tasks whose outcomes could not be sent because
// the link of the gateway was down. The outcomes themselves are in the ledger.
type undelivered struct {
	tasks map[model.TaskID]struct{}
	// pruneAt is the size at which tasks that the ledger no longer has are removed.
	pruneAt int
}

func newUndelivered() undelivered {
	return undelivered{tasks: make(map[model.TaskID]struct{}), pruneAt: undeliveredPruneMin}
}

// add adds the finished tasks among recs. lookup returns the record of a task if the
// ledger still has it.
func (u *undelivered) add(recs []ledger.Record, lookup func(model.TaskID) (ledger.Record, bool)) {
	for i := range recs {
		if finished(recs[i].State) {
			u.tasks[recs[i].Task] = struct{}{}
		}
	}
	if len(u.tasks) >= u.pruneAt {
		u.prune(lookup)
		u.pruneAt = max(undeliveredPruneMin, 2*len(u.tasks))
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

func (u *undelivered) prune(lookup func(model.TaskID) (ledger.Record, bool)) {
	for id := range u.tasks {
		if _, ok := lookup(id); !ok {
			delete(u.tasks, id)
		}
	}
}

func finished(s ledger.State) bool { return s == ledger.Succeeded || s == ledger.Failed }

// lookup returns the ledger's record of a task.
func (a *Agent) lookup(id model.TaskID) (ledger.Record, bool) { return a.ledger.Lookup(a.now(), id) }

// redeliver sends a reconnected gateway the undelivered outcomes of the partitions
// that it owns. The caller must hold a.mu.
func (a *Agent) redeliver(s *session) {
	var recs []ledger.Record
	for id := range a.undelivered.tasks {
		if rec, ok := a.lookup(id); ok && a.owners[rec.Partition] == s.gateway {
			recs = append(recs, rec)
		}
	}
	if len(recs) > 0 {
		a.push(s, message{kind: messageReport, records: recs})
	}
}
