package command

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// endedLog returns the line that a gateway logs for an answered job.
func endedLog(second int, job, queue, state, cause, rest string) string {
	return fmt.Sprintf(`12.1 gw {"event":6008,"name":"restartable_ended","job":%q,"queue":%q,"state":%q,"cause":%q,"time":"2026-04-17T01:10:%02dZ"%s}`+"\n",
		job, queue, state, cause, second, rest)
}

// Guards against jobs counted under a reason that contradicts their log line, and
// against completed jobs being counted.
func TestUnservedLogs(t *testing.T) {
	open := func(agent string, age, expected int) string {
		return fmt.Sprintf(`,"elapsed_ms":1340,"open":[{"agent":%q,"age_ms":%d,"expected_ms":%d}]`, agent, age, expected)
	}
	logs := endedLog(1, "j1", "long", "completed", "", "") +
		endedLog(2, "j2", "long", "unfinished", "deadline", open("a", 1340, 1400)) +
		endedLog(3, "j3", "long", "unfinished", "deadline", open("a", 1340, 900)) +
		endedLog(9, "j4", "long", "unfinished", "deadline", open("a", 1340, 900)) +
		endedLog(5, "j5", "long", "unfinished", "deadline", open("a", 1340, 500)) +
		endedLog(6, "j6", "long", "unfinished", "deadline", open("", 0, 0)) +
		endedLog(7, "j7", "short", "not_run", "overload", `,"wait_ms":90,"run_ms":60,"deadline_ms":1500`) +
		endedLog(8, "j8", "short", "not_run", "overload", `,"wait_ms":0,"run_ms":1800,"deadline_ms":1500`) +
		endedLog(8, "j9", "short", "unfinished", "agent_lost", "") +
		`{"event":6025,"name":"run_ended","job":"restartable_ended"}` + "\nnot JSON {restartable_ended\n"
	var out, errs bytes.Buffer
	a := &App{Stdin: strings.NewReader(logs), Stdout: &out, Stderr: &errs}
	if code := a.Run(context.Background(), []string{"unserved-logs"}); code != ExitOK {
		t.Fatalf("exit code %d: %s", code, &errs)
	}
	goldie.New(t).Assert(t, "unserved-logs", out.Bytes())
	a = &App{Stdin: strings.NewReader("{}\n"), Stdout: &out, Stderr: &errs}
	if code := a.Run(context.Background(), []string{"unserved-logs"}); code != ExitNotFound {
		t.Fatalf("exit code %d without a job in the logs", code)
	}
}
