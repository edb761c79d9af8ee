package command

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

const jobLogs = `   9.5634 frontend-1 {"level":"info","process":"gateway","id":"frontend-1","event":6023,"name":"task_tried_again","message":"again","job":"76","task":"76.0.0.0","attempt":1,"agent":"side-1","outcome":"not_started","reason":"expired","ran_ms":0,"time":"2026-04-17T01:10:41.563Z"}
{"level":"info","process":"agent","id":"side-1","event":6025,"name":"run_ended","message":"ended","job":"76","task":"76.0.0.0","attempt":1,"outcome":"not_started","reason":"expired","gateway":"10.2.0.34:8703#14","time":"2026-04-17T01:10:41.561Z"}
{"level":"info","process":"agent","id":"side-1","event":6025,"name":"run_ended","job":"77","task":"77.0.0.0","time":"2026-04-17T01:10:41.562Z"}
not JSON that names 76
{"level":"info","process":"gateway","id":"frontend-1","event":6008,"name":"restartable_ended","message":"a job was answered","job":"76","queue":"r","state":"not_run","cause":"overload","attempts":1,"time":"2026-04-17T01:10:41.570Z","open":[{"index":0}]}
`

// Guards against lines that are missing, belong to another job, or are printed in
// the order of the files instead of by time.
func TestExplainLogs(t *testing.T) {
	lines := strings.SplitAfter(jobLogs, "\n")
	file := filepath.Join(t.TempDir(), "gateway.log")
	if err := os.WriteFile(file, []byte(lines[4]+lines[0]), 0o600); err != nil {
		t.Fatal(err)
	}
	other := filepath.Join(t.TempDir(), "agent.log")
	if err := os.WriteFile(other, []byte(lines[1]+lines[2]+lines[3]), 0o600); err != nil {
		t.Fatal(err)
	}
	var fromFiles, fromInput, errs bytes.Buffer
	a := &App{Stdout: &fromFiles, Stderr: &errs}
	if code := a.Run(context.Background(), []string{"explain-logs", "76", file, other}); code != ExitOK {
		t.Fatalf("exit code %d: %s", code, &errs)
	}
	a = &App{Stdin: strings.NewReader(jobLogs), Stdout: &fromInput, Stderr: &errs}
	if code := a.Run(context.Background(), []string{"explain-logs", "76"}); code != ExitOK {
		t.Fatalf("exit code %d: %s", code, &errs)
	}
	if fromFiles.String() != fromInput.String() {
		t.Errorf("files:\n%s\ninput:\n%s", &fromFiles, &fromInput)
	}
	goldie.New(t).Assert(t, "explain-logs", fromFiles.Bytes())
	a = &App{Stdin: strings.NewReader(jobLogs), Stdout: &fromInput, Stderr: &errs}
	if code := a.Run(context.Background(), []string{"explain-logs", "99"}); code != ExitNotFound {
		t.Fatalf("exit code %d for an unknown job", code)
	}
	a = &App{Stdin: strings.NewReader(jobLogs), Stdout: &fromInput, Stderr: &errs}
	if code := a.Run(context.Background(), []string{"explain-logs", ""}); code != ExitInvalid {
		t.Fatalf("exit code %d for an empty id", code)
	}
}
