package command

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"

	"github.com/rhubarbsail/rhubarbsail/common/events"
	"github.com/rhubarbsail/rhubarbsail/restartable/dispatch"
)

const unservedLogsExamples = `  rhubarbsail unserved-logs gateway-*.log
  cat gateway-*.log | rhubarbsail unserved-logs`

// unservedLogsCommand counts the restartable jobs that gateways answered but did
// not complete, grouped by reason.
type unservedLogsCommand struct {
	app  *App
	Args struct {
		Files []string `positional-arg-name:"FILE" description:"log files of gateways; standard input if none is given"`
	} `positional-args:"true"`
}

// Execute prints a row for each queue and reason, sorted by number of jobs, highest
// first.
func (c *unservedLogsCommand) Execute([]string) error {
	groups := map[unservedKey]*unservedGroup{}
	ended := 0
	err := c.app.eachLogLine(c.Args.Files, func(line []byte) {
		j, ok := decodeEnded(line)
		if !ok {
			return
		}
		ended++
		if j.State == dispatch.Completed.String() {
			return
		}
		key := unservedKey{j.Queue, j.unservedReason()}
		g := groups[key]
		if g == nil {
			g = &unservedGroup{unservedKey: key, First: j.Time, Last: j.Time, Example: j.Job}
			groups[key] = g
		}
		g.Jobs++
		g.First, g.Last = min(g.First, j.Time), max(g.Last, j.Time)
	})
	if err != nil {
		return err
	}
	if ended == 0 {
		return exitf(ExitNotFound, "no log line reports an answered job")
	}
	return c.print(groups)
}

func (c *unservedLogsCommand) print(groups map[unservedKey]*unservedGroup) error {
	rows := make([]*unservedGroup, 0, len(groups))
	for _, g := range groups {
		rows = append(rows, g)
	}
	slices.SortFunc(rows, func(a, b *unservedGroup) int {
		if a.Jobs != b.Jobs {
			return b.Jobs - a.Jobs
		}
		return strings.Compare(a.Queue+a.Reason, b.Queue+b.Reason)
	})
	return c.app.printValue(rows, func(t *table) {
		t.row("JOBS", "QUEUE", "REASON", "FIRST", "LAST", "EXAMPLE")
		for _, g := range rows {
			t.row(g.Jobs, g.Queue, g.Reason, g.First, g.Last, g.Example)
		}
	})
}

// unservedKey is what jobs are grouped by.
type unservedKey struct {
	Queue  string `json:"queue"`
	Reason string `json:"reason"`
}

// unservedGroup is a row of the output. First and Last are the times of the first
// and the last answer, and Example is the id of one job.
type unservedGroup struct {
	unservedKey
	Jobs    int    `json:"jobs"`
	First   string `json:"first"`
	Last    string `json:"last"`
	Example string `json:"example"`
}

// endedLine holds the fields of event 6008 (restartable_ended), which a gateway
// logs for each answered job.
type endedLine struct {
	Event   int            `json:"event"`
	Time    string         `json:"time"`
	Job     string         `json:"job"`
	Queue   string         `json:"queue"`
	State   string         `json:"state"`
	Cause   dispatch.Cause `json:"cause"`
	Elapsed int64          `json:"elapsed_ms"`
	// Wait, Run and Deadline are the predicted waiting and run time and the
	// deadline that a refusal for overload was based on.
	Wait     int64 `json:"wait_ms"`
	Run      int64 `json:"run_ms"`
	Deadline int64 `json:"deadline_ms"`
	// Open are the tasks that had not ended.
	Open []struct {
		Agent    string `json:"agent"`
		Age      int64  `json:"age_ms"`
		Expected int64  `json:"expected_ms"`
	} `json:"open"`
}

// decodeEnded decodes a line and reports whether it is an event 6008.
func decodeEnded(line []byte) (endedLine, bool) {
	var l endedLine
	ended := events.RestartableEnded
	ok := bytes.Contains(line, []byte(ended.Name)) && json.Unmarshal(line, &l) == nil && l.Event == ended.ID
	return l, ok
}

// hungRatio is the ratio of a task's age to its expected run time from which on the
// likely cause is a target that hangs or has become slow, rather than a wrong
// estimate.
const hungRatio = 2

// unservedReason returns the reason under which a job that was not completed is
// counted.
func (l *endedLine) unservedReason() string {
	switch l.Cause {
	case dispatch.CauseOverload:
		if l.Wait+l.Run > l.Deadline {
			return "refused: too long for its deadline"
		}
		return "refused: it would have been late on full targets"
	case dispatch.CauseDeadline:
		return l.unfinishedReason()
	}
	return string(l.Cause)
}

// unfinishedReason returns the reason for a job that missed its deadline, derived
// from the tasks that had not ended.
func (l *endedLine) unfinishedReason() string {
	reason := "deadline: its tasks ran longer than expected"
	for _, t := range l.Open {
		switch {
		case t.Agent == "":
			return "deadline: a task was on no target"
		case t.Expected >= l.Elapsed:
			reason = "deadline: a task was expected too long from the start"
		case t.Age >= hungRatio*t.Expected:
			return "deadline: a task ran over twice as long as expected"
		}
	}
	return reason
}
