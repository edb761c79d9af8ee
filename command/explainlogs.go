package command

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/go-faster/errors"
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
	for _, name := range c.Args.Files {
		f, err := os.Open(name)
		if err != nil {
			return errors.Wrap(err, "open a log")
		}
		lines, err := linesOfJob(f, c.Args.Job)
		_ = f.Close()
		if err != nil {
			return errors.Wrapf(err, "read %s", name)
		}
		found = append(found, lines...)
	}
	if len(c.Args.Files) == 0 {
		lines, err := linesOfJob(c.app.Stdin, c.Args.Job)
		if err != nil {
			return errors.Wrap(err, "read the logs")
		}
		found = lines
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

// logLineMax is the longest line that is read.
const logLineMax = 1 << 20

// linesOfJob returns the lines that name the job. Text before the first brace
// of a line is passed over, since log collectors put their own fields there.
func linesOfJob(r io.Reader, job string) ([]logLine, error) {
	var out []logLine
	s := bufio.NewScanner(r)
	s.Buffer(nil, logLineMax)
	for s.Scan() {
		at := bytes.IndexByte(s.Bytes(), '{')
		if at < 0 || !bytes.Contains(s.Bytes(), []byte(job)) {
			continue
		}
		var l logLine
		content := s.Bytes()[at:]
		if json.Unmarshal(content, &l) != nil || l.Job != job {
			continue
		}
		l.detail = details(content)
		out = append(out, l)
	}
	return out, s.Err()
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
