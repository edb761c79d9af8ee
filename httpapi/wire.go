package httpapi

import (
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/rhubarbsail/rhubarbsail/common/model"
)

// The values of AnswerBody.State.
const (
	StateComplete = "complete"
	StateFailed   = "failed"
)

// ReasonInternal is the reason of an answer after an internal error of the
// gateway.
const ReasonInternal model.Reason = "internal_error"

// AnswerBody is the JSON form of an answer.
type AnswerBody struct {
	State    string       `json:"state"`
	RunState string       `json:"run_state"`
	Reason   model.Reason `json:"reason,omitempty"`
	Message  string       `json:"message,omitempty"`
	// RetryAfterMS is the time in milliseconds after which the caller may try again;
	// 0 if the answer gives none.
	RetryAfterMS int64    `json:"retry_after_ms,omitempty"`
	Results      [][]byte `json:"results,omitempty"`
	// Findings lists the validation errors of the request body.
	Findings []Finding `json:"findings,omitempty"`
}

// ErrorBody is the JSON form of all errors that are not answers to a job.
type ErrorBody struct {
	Reason       string    `json:"reason"`
	Message      string    `json:"message"`
	RetryAfterMS int64     `json:"retry_after_ms,omitempty"`
	Findings     []Finding `json:"findings,omitempty"`
	// Version and Operator are the current version and its operator in a version
	// conflict.
	Version  uint64 `json:"version,omitempty"`
	Operator string `json:"operator,omitempty"`
}

// JobBody is the JSON form of a JobView.
type JobBody struct {
	State       JobState    `json:"state"`
	Service     string      `json:"service"`
	SubmittedAt time.Time   `json:"submitted_at"`
	Deadline    time.Time   `json:"deadline"`
	Tasks       int         `json:"tasks"`
	Started     int         `json:"started"`
	Finished    int         `json:"finished"`
	Answer      *AnswerBody `json:"answer,omitempty"`
}

// answerBodyFrom converts an answer. An empty result becomes "", not null.
func answerBodyFrom(a model.Answer) AnswerBody {
	b := AnswerBody{
		State:        StateFailed,
		RunState:     a.State.String(),
		Reason:       a.Reason,
		Message:      a.Message,
		RetryAfterMS: a.RetryAfter.Milliseconds(),
	}
	if a.State != model.RunComplete {
		return b
	}
	b.State = StateComplete
	b.Results = make([][]byte, len(a.Results))
	for i, r := range a.Results {
		if r == nil {
			r = []byte{}
		}
		b.Results[i] = r
	}
	return b
}

func jobBodyFromView(v JobView) JobBody {
	b := JobBody{
		State: v.State, Service: v.Service, SubmittedAt: v.SubmittedAt, Deadline: v.Deadline,
		Tasks: v.Tasks, Started: v.Started, Finished: v.Finished,
	}
	if v.Answer != nil {
		a := answerBodyFrom(*v.Answer)
		b.Answer = &a
	}
	return b
}

// defaultRetryAfter is sent with a retryable code if the answer gives no time. One
// second is the smallest nonzero value of the header.
const defaultRetryAfter = time.Second

// setRetryAfter sets the Retry-After header in whole seconds, rounded up.
func setRetryAfter(c echo.Context, code int, d time.Duration) {
	if d <= 0 {
		if !retryable(code) {
			return
		}
		d = defaultRetryAfter
	}
	seconds := int64((d + time.Second - 1) / time.Second)
	c.Response().Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
}

func writeAnswer(c echo.Context, code int, a model.Answer, findings []Finding) error {
	setRetryAfter(c, code, a.RetryAfter)
	b := answerBodyFrom(a)
	b.Findings = findings
	return c.JSON(code, b)
}

func writeError(c echo.Context, code int, b ErrorBody) error {
	setRetryAfter(c, code, time.Duration(b.RetryAfterMS)*time.Millisecond)
	return c.JSON(code, b)
}

// writeUnavailable writes the response for a temporary failure.
func writeUnavailable(c echo.Context, err error) error {
	return writeError(c, http.StatusServiceUnavailable, ErrorBody{Reason: "unavailable", Message: err.Error()})
}
