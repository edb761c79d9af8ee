package command

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

const explainLogsExamples = `  rhubarbsail explain-logs 764cd956621a1590 gateway-1.log agent-*.log
  cat *.log | rhubarbsail explain-logs 764cd956621a1590`

// explainLogsCommand prints what the logs of all processes say of one job.
type explainLogsCommand struct {
	app  *App
	Args struct {
		Job   string   `positional-arg-name:"JOB" required:"true" description:"id of the job"`
		Files []string `positional-arg-name:"FILE" description:"log files; standard input if none is given"`
	} `positional-args:"true"`
}

// Execute prints the lines of the job in the order of their time.
func (c *explainLogsCommand) Execute([]string) error {
	if c.Args.Job == "" {
		return exitf(ExitInvalid, "the id of the job is empty")
	}
	var found []logLine
	err := c.app.eachLogLine(c.Args.Files, func(line []byte) {
		if l, ok := lineOfJob(line, c.Args.Job); ok {
			found = append(found, l)
		}
	})
	if err != nil {
		return err
	}
	if len(found) == 0 {
		return exitf(ExitNotFound, "no log line names the job %s", c.Args.Job)
	}
	slices.SortStableFunc(found, func(a, b logLine) int { return strings.Compare(a.Time, b.Time) })
	t := newTable(c.app)
	t.row("TIME", "PROCESS", "EVENT", "DETAIL")
	for _, l := range found {
		t.row(l.Time, l.ID, l.Name, l.detail)
	}
	return t.flush()
}

// logLine is one line of a process's log.
type logLine struct {
	Time string `json:"time"`
	ID   string `json:"id"`
	Name string `json:"name"`
	Job  string `json:"job"`
	// detail has the other fields in their order.
	detail string
}

// lineOfJob decodes a line if it is one of the job.
func lineOfJob(line []byte, job string) (logLine, bool) {
	var l logLine
	if !bytes.Contains(line, []byte(job)) || json.Unmarshal(line, &l) != nil || l.Job != job {
		return logLine{}, false
	}
	l.detail = details(line)
	return l, true
}

// commonFields are those that each line has, or that have a column.
var commonFields = []string{"level", "process", "id", "event", "name", "message", "time", "job"}

// details returns the fields of a line without the common ones.
func details(line []byte) string {
	d := json.NewDecoder(bytes.NewReader(line))
	_, _ = d.Token() // the opening brace
	var parts []string
	for d.More() {
		key, err := d.Token()
		if err != nil {
			break
		}
		var value json.RawMessage
		if err := d.Decode(&value); err != nil {
			break
		}
		if name, ok := key.(string); ok && !slices.Contains(commonFields, name) && string(value) != `""` {
			parts = append(parts, fmt.Sprintf("%s=%s", name, strings.Trim(string(value), `"`)))
		}
	}
	return strings.Join(parts, " ")
}
