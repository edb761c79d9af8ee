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

// explainLogsCommand prints the log lines of all processes about one job.
type explainLogsCommand struct {
	app  *App
	Args struct {
		Job   string   `positional-arg-name:"JOB" required:"true" description:"id of the job"`
		Files []string `positional-arg-name:"FILE" description:"log files; standard input if none is given"`
	} `positional-args:"true"`
}

// Execute prints the log lines of the job, sorted by time.
func (c *explainLogsCommand) Execute([]string) error {
	if c.Args.Job == "" {
		return exitf(ExitInvalid, "the id of the job is empty")
	}
	var found []logLine
	err := c.app.eachLogLine(c.Args.Files, func(line []byte) {
		if l, ok := parseJobLine(line, c.Args.Job); ok {
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
	// detail lists the other fields, in the order of the line.
	detail string
}

// parseJobLine decodes a line and reports whether it is about the job.
func parseJobLine(line []byte, job string) (logLine, bool) {
	var l logLine
	if !bytes.Contains(line, []byte(job)) || json.Unmarshal(line, &l) != nil || l.Job != job {
		return logLine{}, false
	}
	l.detail = formatDetail(line)
	return l, true
}

// commonFields are left out of the detail: each line has them, or they have a
// column of their own.
var commonFields = []string{"level", "process", "id", "event", "name", "message", "time", "job"}

// formatDetail formats the fields of a line, except the common ones, as
// name=value.
func formatDetail(line []byte) string {
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
