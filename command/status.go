package command

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/rhubarbsail/rhubarbsail/httpapi"
)

const statusExamples = `  rhubarbsail status
  rhubarbsail status bondline lot-7
  rhubarbsail status --output json --operators http://10.0.0.1:7001

Without arguments it shows the deployment as one gateway sees it.`

type statusCommand struct {
	app  *App
	Args struct {
		Client string `positional-arg-name:"CLIENT"`
		Key    string `positional-arg-name:"KEY"`
	} `positional-args:"true"`
}

// Execute prints the status of the deployment or of a job.
func (c *statusCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	if c.Args.Client == "" {
		return c.deployment()
	}
	if c.Args.Key == "" {
		return exitf(ExitInvalid, "the key of the job is missing")
	}
	var v httpapi.JobBody
	r, err := c.app.call(http.MethodGet, c.app.jobAddress(c.Args.Client, c.Args.Key), nil, &v)
	if err != nil {
		return err
	}
	return c.app.print(r.body, func(t *table) { jobTable(t, v) })
}

func jobTable(t *table, v httpapi.JobBody) {
	t.row("STATE", "SERVICE", "TASKS", "STARTED", "FINISHED", "SUBMITTED", "DEADLINE")
	t.row(v.State, v.Service, v.Tasks, v.Started, v.Finished,
		v.SubmittedAt.UTC().Format(time.RFC3339Nano), v.Deadline.UTC().Format(time.RFC3339Nano))
	if v.Answer != nil {
		t.row()
		answerTable(t, *v.Answer)
	}
}

func (c *statusCommand) deployment() error {
	var s httpapi.Status
	r, err := c.app.call(http.MethodGet, c.app.operatorsAddress("status"), nil, &s)
	if err != nil {
		return err
	}
	return c.app.print(r.body, func(t *table) { statusTable(t, s) })
}

func statusTable(t *table, s httpapi.Status) {
	t.row("GATEWAY", "READY", "CONFIG", "LOG", "PARTITIONS", "JOBS", "QUEUED")
	ready, log := yesNo(s.Ready), "reachable"
	if !s.Ready {
		ready += ": " + s.NotReadyReason
	}
	if !s.LogReachable {
		log = "unreachable"
	}
	t.row(s.Gateway, ready, s.ConfigVersion, fmt.Sprintf("%s, offset %d", log, s.AppliedOffset),
		fmt.Sprintf("%d, %d serving", s.Partitions, s.Serving), s.Jobs, s.Queued)
	if len(s.DrainedZones) > 0 {
		t.row()
		t.row("DRAINED ZONES")
		t.row(strings.Join(s.DrainedZones, ", "))
	}
	t.row()
	t.row("GATEWAY", "ADDRESS", "ZONE", "ALIVE", "PARTITIONS")
	for _, g := range s.Gateways {
		t.row(g.ID, g.Address, g.AvailabilityZone, yesNo(g.Alive), g.Partitions)
	}
	t.row()
	t.row("TARGET", "SERVICE", "ZONE", "STATE", "SLOTS", "OUTSTANDING", "SPEED", "WHY")
	for _, g := range s.Targets {
		t.row(g.ID, g.Service, g.AvailabilityZone, targetState(g), g.Slots, g.Outstanding, fmt.Sprintf("%.2f", g.Speed), orDash(g.Reason))
	}
	if len(s.Clients) > 0 {
		t.row()
		t.row("CLIENT", "QUEUED", "RUNNING")
	}
	for _, c := range s.Clients {
		t.row(c.Client, c.Queued, c.Running)
	}
}

// targetState returns the first reason for which a target gets no new tasks, or
// "in use" if there is none.
func targetState(g httpapi.TargetStatus) string {
	switch {
	case !g.Connected:
		return "unreachable"
	case g.Leaving:
		return "leaving"
	case g.Draining:
		return "draining"
	case g.Ejected:
		return "ejected"
	case !g.Accepting:
		return "not accepting"
	}
	return "in use"
}
