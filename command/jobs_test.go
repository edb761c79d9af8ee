package command

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/rhubarbsail/rhubarbsail/common/model"
	"github.com/rhubarbsail/rhubarbsail/httpapi"
)

var submitArgs = []string{"submit", "--client", "bondline", "--service", "glue", "joint 7", "joint 8"}

var complete = model.Answer{State: model.RunComplete, Results: [][]byte{[]byte("ok"), {0, 1}}}

// Scripts rely on the exit code to tell whether a job may have run.
func TestSubmitExitCodes(t *testing.T) {
	for _, c := range []struct {
		answer model.Answer
		exit   int
	}{
		{complete, ExitOK},
		{model.Failed(model.RunNotRun, model.ReasonNoSuitable, "none"), ExitNotRun},
		{model.Failed(model.RunMayHaveRun, model.ReasonOutcomeLost, "lost"), ExitMayHaveRun},
		{model.Failed(model.RunMayHaveRun, model.ReasonDeadline, "late"), ExitMayHaveRun},
	} {
		x := newTool(t)
		x.jobs.answers = []model.Answer{c.answer}
		x.want(c.exit, c.answer.State.String(), submitArgs...)
		if len(x.jobs.submitted) != 1 || string(x.jobs.submitted[0].Tasks[1].Payload) != "joint 8" {
			t.Errorf("submitted %+v", x.jobs.submitted)
		}
	}
}

// A resubmission with another key or submission time would run the job twice.
func TestResubmissionRepeatsKeyAndTime(t *testing.T) {
	x := newTool(t)
	x.jobs.answers = []model.Answer{model.Failed(model.RunNotRun, model.ReasonOverload, "full"), complete}
	x.want(ExitOK, "ok", submitArgs...)
	if s := x.jobs.submitted; len(s) != 2 || s[0].Key != s[1].Key || s[0].Digest() != s[1].Digest() {
		t.Fatalf("submitted %+v", s)
	}
}

// dropFirstReply handles the first POST request but closes its connection without
// a reply.
func dropFirstReply(next http.Handler) http.Handler {
	first := true
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && first {
			first = false
			next.ServeHTTP(&discardWriter{}, r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// discardWriter is an http.ResponseWriter that discards the reply.
type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header {
	if d.header == nil {
		d.header = http.Header{}
	}
	return d.header
}
func (d *discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d *discardWriter) WriteHeader(int)             {}

// If a resubmission after a lost answer is refused, the job must not be reported
// as not run: the first attempt may have run it.
func TestLostAnswerIsResubmitted(t *testing.T) {
	for _, c := range []struct {
		second model.Answer
		args   []string
		exit   int
	}{
		{complete, nil, ExitOK},
		{model.Failed(model.RunNotRun, model.ReasonNoSuitable, "none"), nil, ExitMayHaveRun},
		{complete, []string{"--retries", "0"}, ExitMayHaveRun},
	} {
		x := newTool(t)
		x.callers = dropFirstReply(x.callers)
		x.jobs.answers = []model.Answer{complete, c.second}
		if exit := x.run(append(submitArgs, c.args...)...); exit != c.exit {
			t.Errorf("%v: exit %d, want %d: %s", c.second, exit, c.exit, &x.stderr)
		}
	}
}

// If an answer leaves the outcome unknown and the resubmission is refused, the
// outcome is still unknown.
func TestUnknownOutcomeIsResubmitted(t *testing.T) {
	open := model.Failed(model.RunMayHaveRun, model.ReasonNoOwner, "no majority")
	refused := model.Failed(model.RunNotRun, model.ReasonShuttingDown, "stopping")
	for _, c := range []struct {
		answers []model.Answer
		exit    int
	}{
		{[]model.Answer{open, complete}, ExitOK},
		{[]model.Answer{open, refused}, ExitMayHaveRun},
		{[]model.Answer{refused}, ExitNotRun},
	} {
		x := newTool(t)
		x.jobs.answers = c.answers
		x.want(c.exit, "", append(submitArgs, "--retries", "1")...)
		if len(x.jobs.submitted) != 2 {
			t.Errorf("%d submissions", len(x.jobs.submitted))
		}
	}
}

// lookupBeforeAnswer answers a submission only after the job was looked up twice.
type lookupBeforeAnswer struct {
	*fakeJobs
	lookups chan struct{}
}

func (l lookupBeforeAnswer) Submit(ctx context.Context, job model.Job) model.Answer {
	<-l.lookups
	<-l.lookups
	return l.fakeJobs.Submit(ctx, job)
}

func (l lookupBeforeAnswer) Lookup(ctx context.Context, key model.JobKey) (httpapi.JobView, bool, error) {
	select {
	case l.lookups <- struct{}{}:
	case <-ctx.Done():
	}
	return l.fakeJobs.Lookup(ctx, key)
}

// Progress of a long job is shown on a terminal, but not in the output of a
// script.
func TestProgressIsShownOnATerminal(t *testing.T) {
	x := newTool(t)
	x.jobs.answers, x.jobs.known = []model.Answer{complete}, true
	x.jobs.view = httpapi.JobView{State: httpapi.JobRunning, Tasks: 2, Started: 2, Finished: 1}
	x.callers = httpapi.NewCallersHandler(lookupBeforeAnswer{x.jobs, make(chan struct{})}, httpapi.DefaultLimits(), httpapi.Options{})
	x.app = &App{Terminal: true, progressDelay: time.Millisecond}
	x.want(ExitOK, "running: 1 of 2 tasks finished, 2 started", submitArgs...)
	if strings.Contains(x.stdout.String(), "running") {
		t.Errorf("progress is in the output: %s", &x.stdout)
	}
	x = newTool(t)
	x.jobs.answers = []model.Answer{complete}
	x.app = &App{progressDelay: time.Nanosecond}
	x.want(ExitOK, "ok", submitArgs...)
	if strings.Contains(x.stderr.String(), "tasks finished") {
		t.Errorf("progress without a terminal: %s", &x.stderr)
	}
}

// If no gateway was reached, the job is reported as not submitted.
func TestUnreachableGatewayMeansNotSubmitted(t *testing.T) {
	x := newTool(t)
	x.want(ExitFailed, "the job was not submitted", append(submitArgs, "--retries", "0", "--callers", "http://127.0.0.1:1")...)
}

// Findings in a body file are reported with its name and line numbers.
func TestSubmitBodyFile(t *testing.T) {
	x := newTool(t)
	file := filepath.Join(t.TempDir(), "job.json")
	if err := os.WriteFile(file, []byte("{\"client\":\"bondline\",\n\"kee\":1}"), 0o600); err != nil {
		t.Fatal(err)
	}
	x.want(ExitInvalid, file+":2:1: kee: unknown key", "submit", "--body", file)
	x.want(ExitInvalid, "--body replaces", "submit", "--body", file, "--client", "bondline")
}

// If these arguments were accepted, a job that the caller did not intend would be
// sent.
func TestSubmitRefusesIncompleteArguments(t *testing.T) {
	x := newTool(t)
	for _, args := range [][]string{
		{"submit", "--client", "bondline", "x"},
		{"submit", "--client", "bondline", "--service", "glue"},
		{"submit", "--client", "bondline", "--service", "glue", "--submitted-at", "2026-12-04T03:00:00Z", "x"},
		{"submit", "--client", "bondline", "--service", "glue", "--submitted-at", "today", "--key", "k", "x"},
		{"submit", "--client", "bondline", "--service", "glue", "--timeout-ms", "1", "x"},
		{"submit", "--colour", "x"}, {"sumbit"}, {}, {"cancel", "bondline"}, {"status", "bondline"},
	} {
		x.want(ExitInvalid, "", args...)
	}
	if len(x.jobs.submitted) > 0 {
		t.Errorf("submitted %+v", x.jobs.submitted)
	}
}

// Operators rely on the layout of these tables, so it must not change by
// accident.
func TestJobTables(t *testing.T) {
	x := newTool(t)
	at := time.Date(2026, 12, 4, 3, 0, 0, 0, time.UTC)
	x.jobs.known = true
	x.jobs.view = httpapi.JobView{State: httpapi.JobFinished, Service: "glue", SubmittedAt: at, Deadline: at.Add(time.Second), Tasks: 2, Started: 2, Finished: 2, Answer: &complete}
	x.jobs.explained = httpapi.Explanation{Owner: "g1", Partition: 7, Epoch: 42, Steps: []httpapi.Step{
		{At: at, Kind: "admitted", Task: wholeJob}, {At: at, Kind: "sent", Task: 0, Target: "t1", Detail: "least finish time"},
	}}
	x.ops.status = httpapi.Status{
		Gateway: "g1", ConfigVersion: 3, AppliedOffset: 9, Partitions: 32, Serving: 31, NotReadyReason: "shutting down",
		Gateways: []httpapi.GatewayStatus{{ID: "g1", Address: "10.0.0.1:7002", AvailabilityZone: "z1", Alive: true, Partitions: 32}},
		Targets:  []httpapi.TargetStatus{{ID: "t1", Service: "glue", AvailabilityZone: "z1", Connected: true, Ejected: true, Reason: "failures", Slots: 8, Speed: 0.5}},
	}
	out := ""
	for _, args := range [][]string{{"status"}, {"status", "bondline", "k"}, {"explain", "bondline", "k"}, {"cancel", "bondline", "k"}, {"explain", "bondline", "k", "--output", "json"}} {
		x.want(ExitOK, "", args...)
		out += x.stdout.String() + "\n"
	}
	goldie.New(t).Assert(t, "tables", []byte(out))
	x.jobs.known = false
	x.want(ExitNotFound, "unknown_job", "cancel", "bondline", "k")
}
