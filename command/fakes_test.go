package command

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rhubarbsail/rhubarbsail/common/model"
	"github.com/rhubarbsail/rhubarbsail/httpapi"
	"github.com/rhubarbsail/rhubarbsail/inventory"
)

// fakeJobs answers each submission with the next of answers, and repeats the last
// one.
type fakeJobs struct {
	httpapi.Jobs
	answers   []model.Answer
	submitted []model.Job
	known     bool
	view      httpapi.JobView
	explained httpapi.Explanation
}

func (f *fakeJobs) Submit(_ context.Context, job model.Job) model.Answer {
	f.submitted = append(f.submitted, job)
	return f.answers[min(len(f.submitted), len(f.answers))-1]
}

func (f *fakeJobs) Lookup(context.Context, model.JobKey) (httpapi.JobView, bool, error) {
	return f.view, f.known, nil
}

func (f *fakeJobs) Cancel(context.Context, model.JobKey) (bool, error) { return f.known, nil }

func (f *fakeJobs) Explain(context.Context, model.JobKey) (httpapi.Explanation, bool, error) {
	return f.explained, f.known, nil
}

// fakeOperations stores a configuration and checks changes as a gateway does.
type fakeOperations struct {
	view    httpapi.ConfigView
	err     error
	status  httpapi.Status
	drained map[string]bool
}

func (f *fakeOperations) Config(context.Context) httpapi.ConfigView { return f.view }

func (f *fakeOperations) ChangeConfig(_ context.Context, c httpapi.ConfigChange) (uint64, error) {
	if f.err != nil {
		return 0, f.err
	}
	if c.Base != f.view.Version {
		return 0, &httpapi.VersionConflictError{Base: c.Base, Current: f.view.Version, Operator: f.view.Operator}
	}
	if _, err := inventory.ParseFiles(inventory.File{Name: "inventory", Data: c.Inventory}, inventory.File{Name: "rules", Data: c.Rules}); err != nil {
		return 0, err
	}
	f.view = httpapi.ConfigView{Version: f.view.Version + 1, Operator: c.Operator, Inventory: c.Inventory, Rules: c.Rules}
	return f.view.Version, nil
}

func (f *fakeOperations) Status(context.Context) httpapi.Status { return f.status }

func (f *fakeOperations) SetDrain(_ context.Context, target string, drain bool) error {
	if target != "t1" {
		return httpapi.ErrUnknownTarget
	}
	f.drained = map[string]bool{target: drain}
	return nil
}

func (f *fakeOperations) SetZoneDrain(_ context.Context, zone string, drain bool) error {
	if zone != "z1" {
		return httpapi.ErrUnknownZone
	}
	f.drained = map[string]bool{"zone " + zone: drain}
	return nil
}

func (f *fakeOperations) Ready() (bool, string) { return true, "" }

// tool runs the command-line tool against fakes of a gateway's APIs.
type tool struct {
	t              *testing.T
	app            *App
	jobs           *fakeJobs
	ops            *fakeOperations
	callers        http.Handler
	stdout, stderr bytes.Buffer
}

func newTool(t *testing.T) *tool {
	x := &tool{t: t, jobs: &fakeJobs{}, ops: &fakeOperations{}}
	x.callers = httpapi.NewCallersHandler(x.jobs, httpapi.DefaultLimits(), httpapi.Options{})
	return x
}

// run runs a subcommand and returns its exit code.
func (x *tool) run(args ...string) int {
	x.t.Helper()
	callers := httptest.NewServer(x.callers)
	defer callers.Close()
	operators := httptest.NewServer(httpapi.NewOperatorsHandler(x.ops, httpapi.Options{}))
	defer operators.Close()
	x.stdout.Reset()
	x.stderr.Reset()
	if x.app == nil {
		x.app = &App{}
	}
	x.app.Stdin, x.app.Stdout, x.app.Stderr, x.app.Operator = strings.NewReader(""), &x.stdout, &x.stderr, "ana"
	// The last value of an option takes precedence, so args can override the
	// addresses.
	return x.app.Run(context.Background(), append([]string{"--callers", callers.URL, "--operators", operators.URL}, args...))
}

// want runs a subcommand and checks its exit code and that stdout or stderr
// contains output.
func (x *tool) want(exit int, output string, args ...string) {
	x.t.Helper()
	if got := x.run(args...); got != exit || !strings.Contains(x.stdout.String()+x.stderr.String(), output) {
		x.t.Errorf("%v: exit %d, want %d and %q\nstdout: %s\nstderr: %s", args, got, exit, output, &x.stdout, &x.stderr)
	}
}
