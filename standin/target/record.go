package target

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Outcome is how a run ended.
type Outcome string

// The outcomes. A run without an outcome is still in progress.
const (
	OutcomeDone    Outcome = "done"
	OutcomeFailed  Outcome = "failed"
	OutcomeAborted Outcome = "aborted"
)

// Run is one start of a task.
type Run struct {
	Attempt string `json:"attempt"`
	// StartedUnixNanos and EndedUnixNanos are wall-clock times.
	StartedUnixNanos int64   `json:"started_unix_nanos"`
	EndedUnixNanos   int64   `json:"ended_unix_nanos,omitempty"`
	Outcome          Outcome `json:"outcome,omitempty"`
}

// Entry is the record of one task.
type Entry struct {
	Client string `json:"client"`
	Key    string `json:"key"`
	Index  int    `json:"index"`
	// Count is the number of starts; more than 1 violates at-most-once execution.
	Count int   `json:"count"`
	Runs  []Run `json:"runs"`
}

// Record is the reply to GET /v1/record: the tasks started on the target.
type Record struct {
	Target string `json:"target"`
	// Truncated is true if tasks were not recorded because RecordLimit was
	// reached; the record then cannot prove at-most-once execution.
	Truncated bool `json:"truncated"`
	Tasks     int  `json:"tasks"`
	Starts    int  `json:"starts"`
	// MaxRunning is the highest number of concurrent requests, including those
	// that wait for a slot; MaxConnections is that of open connections.
	MaxRunning     int `json:"max_running"`
	MaxConnections int `json:"max_connections"`
	// Entries are sorted by client, key and index.
	Entries []Entry `json:"entries"`
}

type taskID struct {
	client, key string
	index       int
}

// recorder collects the data of a Record.
type recorder struct {
	limit int

	mu         sync.Mutex // guards the fields below
	entries    map[taskID]*Entry
	starts     int
	truncated  bool
	running    int
	maxRunning int
}

func newRecorder(limit int) *recorder {
	return &recorder{limit: limit, entries: make(map[taskID]*Entry)}
}

// begin records the start of a run and returns a function that records its end.
func (r *recorder) begin(id taskID, attempt string, now time.Time) func(Outcome, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts++
	r.running++
	r.maxRunning = max(r.maxRunning, r.running)
	e, ok := r.entries[id]
	switch {
	case !ok && len(r.entries) >= r.limit:
		r.truncated = true
		e = &Entry{}
	case !ok:
		e = &Entry{Client: id.client, Key: id.key, Index: id.index}
		r.entries[id] = e
	}
	e.Count++
	i := len(e.Runs)
	e.Runs = append(e.Runs, Run{Attempt: attempt, StartedUnixNanos: now.UnixNano()})
	return func(o Outcome, end time.Time) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.running--
		e.Runs[i].Outcome = o
		e.Runs[i].EndedUnixNanos = end.UnixNano()
	}
}

// snapshot returns a copy of the record, with all tasks or only those that were
// started more than once.
func (r *recorder) snapshot(onlyDuplicates bool) Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := Record{
		Truncated: r.truncated, Tasks: len(r.entries), Starts: r.starts,
		MaxRunning: r.maxRunning, Entries: []Entry{},
	}
	for _, e := range r.entries {
		if onlyDuplicates && e.Count == 1 {
			continue
		}
		c := *e
		c.Runs = slices.Clone(e.Runs)
		out.Entries = append(out.Entries, c)
	}
	slices.SortFunc(out.Entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Client, b.Client), cmp.Compare(a.Key, b.Key), cmp.Compare(a.Index, b.Index))
	})
	return out
}
