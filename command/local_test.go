package command

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rhubarbsail/rhubarbsail/common/model"
	"github.com/rhubarbsail/rhubarbsail/common/telemetry"
	"github.com/rhubarbsail/rhubarbsail/httpapi"
)

// local is the first command that a new user runs: it must show the answer, the
// history of the job and the trace.
func TestLocalShowsAnswerHistoryAndTrace(t *testing.T) {
	x := newTool(t)
	x.jobs.answers, x.jobs.known = []model.Answer{complete}, true
	x.jobs.explained = httpapi.Explanation{Owner: "g1", Steps: []httpapi.Step{{Kind: "admitted", Task: wholeJob}}}
	stopped := false
	x.app = &App{StartLocal: func(_ context.Context, o LocalOptions) (*Deployment, error) {
		tracer := telemetry.NewTracerWith(telemetry.TraceConfig{Process: "gateway", ID: "g1"}, o.Spans)
		callers := httptest.NewServer(httpapi.NewCallersHandler(x.jobs, httpapi.DefaultLimits(), httpapi.Options{Tracer: tracer}))
		return &Deployment{
			Callers: []string{callers.URL}, Operators: []string{callers.URL},
			Flush: tracer.ForceFlush,
			Stop: func(context.Context) error {
				callers.Close()
				stopped = true
				return nil
			},
		}, nil
	}}
	x.want(ExitOK, "admitted", "local", "--tasks", "3")
	for _, want := range []string{"complete", "  submit (rhubarbsail)", "    callers POST /v1/jobs (gateway g1)"} {
		if !strings.Contains(x.stdout.String(), want) {
			t.Errorf("%q is missing in\n%s", want, &x.stdout)
		}
	}
	if !stopped || len(x.jobs.submitted[0].Tasks) != 3 {
		t.Errorf("stopped %v, submitted %+v", stopped, x.jobs.submitted)
	}
	x.want(ExitInvalid, "--gateways 0 is out of bounds", "local", "--gateways", "0")
}

// The help text of every subcommand contains an example.
func TestHelp(t *testing.T) {
	x := newTool(t)
	x.want(ExitOK, "Exit codes", "--help")
	for _, name := range []string{"submit", "cancel", "status", "explain", "inventory", "rules", "drain", "local"} {
		x.want(ExitOK, "rhubarbsail "+name, name, "--help")
	}
}
