package command

import (
	"net/http"
	"time"

	"github.com/rhubarbsail/rhubarbsail/httpapi"
)

const explainExamples = `  rhubarbsail explain bondline lot-7
  rhubarbsail explain bondline lot-7 --output json`

type explainCommand struct {
	app  *App
	Args jobArguments `positional-args:"true"`
}

// Execute prints the history of the job: each step and its reason.
func (c *explainCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	var x httpapi.Explanation
	r, err := c.app.call(http.MethodGet, c.app.jobAddress(c.Args.Client, c.Args.Key, "explain"), nil, &x)
	if err != nil {
		return err
	}
	return c.app.print(r.body, func(t *table) { explanationTable(t, x) })
}

// wholeJob is the task index in a step that applies to the whole job.
const wholeJob = -1

func explanationTable(t *table, x httpapi.Explanation) {
	t.row("OWNER", "PARTITION", "EPOCH", "TRACE")
	t.row(x.Owner, x.Partition, x.Epoch, orDash(x.TraceID))
	t.row()
	t.row("TIME", "TASK", "STEP", "TARGET", "DETAIL")
	for _, s := range x.Steps {
		var task any = "job"
		if s.Task != wholeJob {
			task = s.Task
		}
		t.row(s.At.UTC().Format(time.RFC3339Nano), task, s.Kind, orDash(s.Target), orDash(s.Detail))
	}
}
