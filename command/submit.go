package command

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/go-faster/errors"

	"github.com/rhubarbsail/rhubarbsail/common/findings"
	"github.com/rhubarbsail/rhubarbsail/common/model"
	"github.com/rhubarbsail/rhubarbsail/httpapi"
)

const submitExamples = `  rhubarbsail submit --client bondline --service glue 'joint 7' 'joint 8'
  rhubarbsail submit --client bondline --service glue --key lot-7 --timeout-ms 500 --payload-file check.bin
  rhubarbsail submit --body job.json
  rhubarbsail submit --body - --output json < job.json

Each argument is the payload of one task. Without --key a random key is used and
printed with the submission time; a job that is resubmitted with both is run at
most once. The command does that by itself when the connection is lost or the
gateway asks to retry (--retries).`

// submitGrace is added to the job's timeout to get the timeout of the request, so
// that an answer sent at the deadline still arrives.
const submitGrace = 5 * time.Second

type submitCommand struct {
	app *App

	Client        string   `long:"client" description:"client that the work belongs to"`
	Service       string   `long:"service" description:"service that runs the tasks"`
	Key           string   `long:"key" description:"idempotency key, unique for the client"`
	SubmittedAt   string   `long:"submitted-at" value-name:"TIME" description:"time of the first submission (RFC 3339), for a resubmission"`
	TimeoutMS     int64    `long:"timeout-ms" default:"30000" description:"time for the job, in milliseconds"`
	NotRepeatable bool     `long:"not-repeatable" description:"the work must run at most once even under another key"`
	PayloadFiles  []string `long:"payload-file" value-name:"FILE" description:"file whose content is the payload of one more task; may be repeated"`
	Body          string   `long:"body" value-name:"FILE" description:"file with the whole request body (docs/API.md), - for stdin; replaces the other options"`
	Retries       int      `long:"retries" default:"3" description:"resubmissions under the same key"`
}

// jobBody holds the fields of a request body that the command uses.
type jobBody struct {
	Client      string     `json:"client"`
	Key         string     `json:"key"`
	Service     string     `json:"service"`
	SubmittedAt string     `json:"submitted_at"`
	TimeoutMS   int64      `json:"timeout_ms"`
	Repeatable  bool       `json:"repeatable"`
	Tasks       []taskBody `json:"tasks"`
}

type taskBody struct {
	Payload []byte `json:"payload"`
}

// Execute submits the job and prints its answer.
func (c *submitCommand) Execute(args []string) error {
	body, job, err := c.body(args)
	if err != nil {
		return err
	}
	s, err := c.app.submit(c.app.ctx, body, job, c.Retries)
	if err != nil {
		return err
	}
	var answer httpapi.AnswerBody
	if err := json.Unmarshal(s.reply.body, &answer); err != nil || answer.State == "" {
		return s.reply.failure()
	}
	list := c.findings(answer)
	if answer.Reason == model.ReasonInvalid && len(list) > 0 {
		return list
	}
	if err := c.app.print(s.reply.body, func(t *table) { answerTable(t, answer) }); err != nil {
		return err
	}
	for _, f := range list {
		fmt.Fprintln(c.app.Stderr, f)
	}
	return s.answerError(job, answer)
}

// findings returns the findings of the answer about the request body. Line numbers
// are kept only if the user wrote the body (--body).
func (c *submitCommand) findings(a httpapi.AnswerBody) findings.List {
	list := findingsList(a.Findings)
	for i := range list {
		if c.Body == "" {
			list[i].Place = findings.Place{Key: list[i].Place.Key}
		} else {
			list[i].Place.File = c.Body
		}
	}
	return list
}

// body returns the request body, from a file or built from the options and
// arguments, and its fields.
func (c *submitCommand) body(args []string) ([]byte, jobBody, error) {
	if c.Body != "" {
		return c.bodyFromFile(args)
	}
	j := jobBody{
		Client: c.Client, Key: c.Key, Service: c.Service, SubmittedAt: c.SubmittedAt,
		TimeoutMS: c.TimeoutMS, Repeatable: !c.NotRepeatable,
	}
	if j.Client == "" || j.Service == "" {
		return nil, j, exitf(ExitInvalid, "--client and --service are required without --body")
	}
	if j.SubmittedAt != "" && j.Key == "" {
		return nil, j, exitf(ExitInvalid, "--submitted-at needs the --key of the first submission")
	}
	for _, a := range args {
		j.Tasks = append(j.Tasks, taskBody{[]byte(a)})
	}
	for _, f := range c.PayloadFiles {
		data, err := os.ReadFile(f)
		if err != nil {
			return nil, j, exitf(ExitInvalid, "%v", err)
		}
		j.Tasks = append(j.Tasks, taskBody{data})
	}
	if len(j.Tasks) == 0 {
		return nil, j, exitf(ExitInvalid, "the job has no task; give payloads as arguments or with --payload-file")
	}
	if j.Key == "" {
		j.Key = rand.Text()
	}
	if j.SubmittedAt == "" {
		j.SubmittedAt = time.Now().UTC().Format(time.RFC3339Nano)
	}
	if c.Key == "" || c.SubmittedAt == "" {
		fmt.Fprintf(c.app.Stderr, "key %s, submitted at %s\n", j.Key, j.SubmittedAt)
	}
	body, err := json.Marshal(j)
	return body, j, err
}

// bodyFromFile returns the content of the file given with --body.
func (c *submitCommand) bodyFromFile(args []string) ([]byte, jobBody, error) {
	var j jobBody
	if len(args)+len(c.PayloadFiles) > 0 || c.Client+c.Service+c.Key+c.SubmittedAt != "" || c.NotRepeatable {
		return nil, j, exitf(ExitInvalid, "--body replaces the options and arguments that describe a job")
	}
	var data []byte
	var err error
	if c.Body == "-" {
		data, err = io.ReadAll(c.app.Stdin)
	} else {
		data, err = os.ReadFile(c.Body)
	}
	if err != nil {
		return nil, j, exitf(ExitInvalid, "%v", err)
	}
	// An error is ignored, since the gateway checks the body and reports findings
	// with their positions.
	_ = json.Unmarshal(data, &j)
	return data, j, nil
}

// submission is the outcome of one or several attempts to submit a job.
type submission struct {
	reply *reply
	// mayHaveRun is true if the answer to any attempt was lost or left it unknown
	// whether the job ran. A refusal of a later attempt does not change that.
	mayHaveRun bool
}

// submit sends the body, and sends it again up to retries times while
// resubmission may help. Every attempt has the same key and submission time, so
// that the job runs at most once.
func (a *App) submit(parent context.Context, body []byte, job jobBody, retries int) (submission, error) {
	limit := time.Duration(job.TimeoutMS) * time.Millisecond
	if limit <= 0 {
		limit = defaultJobTimeout
	}
	stop := a.showProgress(job)
	defer stop()
	var s submission
	for attempt := 0; ; attempt++ {
		ctx, cancel := context.WithTimeout(parent, limit+submitGrace)
		r, err := send(ctx, http.MethodPost, joinURL(a.global.Callers, "v1", "jobs"), body)
		cancel()
		s.reply = r
		answer, wait, again := retryDelay(r, err)
		s.mayHaveRun = s.mayHaveRun || err != nil && !neverSent(err) || answer.RunState == "may_have_run"
		if !again || attempt >= retries || a.ctx.Err() != nil {
			return s, s.failure(job, err)
		}
		select {
		case <-a.ctx.Done():
		case <-time.After(wait):
		}
	}
}

// failure returns the error for a submission whose last attempt failed with err.
func (s submission) failure(job jobBody, err error) error {
	switch {
	case err == nil:
		return nil
	case s.mayHaveRun:
		return &exitError{ExitMayHaveRun, errors.Wrapf(err, "job %s/%s submitted at %s may have run; resubmit it with the same key and time",
			job.Client, job.Key, job.SubmittedAt)}
	}
	return errors.Wrap(err, "the job was not submitted")
}

// neverSent reports whether err proves that no gateway received the request.
func neverSent(err error) bool {
	var coded *exitError
	var op *net.OpError
	return errors.As(err, &coded) || errors.As(err, &op) && op.Op == "dial"
}

const (
	// defaultJobTimeout is the gateway's default for a body without timeout_ms.
	defaultJobTimeout = 30 * time.Second
	// minRetryDelay is the minimum delay before a resubmission. It gives a load
	// balancer time to choose another gateway.
	minRetryDelay = 200 * time.Millisecond
)

// retryDelay decodes the answer and reports whether to resubmit the job, and after
// what delay. Resubmission is safe after any answer, since the key is the same.
func retryDelay(r *reply, err error) (answer httpapi.AnswerBody, wait time.Duration, again bool) {
	if err != nil {
		var coded *exitError
		return answer, minRetryDelay, !errors.As(err, &coded)
	}
	if json.Unmarshal(r.body, &answer) != nil {
		return answer, 0, false
	}
	again = r.code == http.StatusTooManyRequests || r.code == http.StatusServiceUnavailable
	return answer, max(minRetryDelay, time.Duration(answer.RetryAfterMS)*time.Millisecond), again
}

func answerTable(t *table, a httpapi.AnswerBody) {
	t.row("STATE", "RUN STATE", "REASON", "MESSAGE")
	t.row(a.State, a.RunState, orDash(string(a.Reason)), orDash(a.Message))
	if len(a.Results) > 0 {
		t.row()
		t.row("TASK", "RESULT")
	}
	for i, r := range a.Results {
		t.row(i, formatResult(r))
	}
}

// formatResult returns a result that is printable text unchanged, and otherwise
// its size.
func formatResult(b []byte) string {
	s := strings.TrimRight(string(b), "\r\n")
	if utf8.ValidString(s) && strings.IndexFunc(s, func(r rune) bool { return !unicode.IsPrint(r) }) < 0 {
		return s
	}
	return fmt.Sprintf("(%d bytes; see --output json)", len(b))
}

// answerError returns nil for a complete job and otherwise an error whose exit code
// tells whether the job may have run.
func (s submission) answerError(job jobBody, a httpapi.AnswerBody) error {
	switch {
	case a.RunState == "complete":
		return nil
	case a.RunState == "not_run" && !s.mayHaveRun:
		return exitf(ExitNotRun, "job %s/%s did not run: %s", job.Client, job.Key, a.Reason)
	}
	return exitf(ExitMayHaveRun, "job %s/%s may have run: %s", job.Client, job.Key, a.Reason)
}
