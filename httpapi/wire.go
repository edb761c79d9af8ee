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

// ReasonInternal is the reason of an answer after a fault in the gateway itself.
const ReasonInternal model.Reason = "internal_error"

// AnswerBody is the JSON form of an answer.
type AnswerBody struct {
	State    string       `json:"state"`
	RunState string       `json:"run_state"`
	Reason   model.Reason `json:"reason,omitempty"`
	Message  string       `json:"message,omitempty"`
	// RetryAfterMS is the time after which another attempt makes sense, in
	// milliseconds; 0 if none does.
	RetryAfterMS int64    `json:"retry_after_ms,omitempty"`
	Results      [][]byte `json:"results,omitempty"`
	// Findings lists the faults of the request body.
	Findings []Finding `json:"findings,omitempty"`
}

// ErrorBody is the JSON form of every other error.
type ErrorBody struct {
	Reason       string    `json:"reason"`
	Message      string    `json:"message"`
	RetryAfterMS int64     `json:"retry_after_ms,omitempty"`
	Findings     []Finding `json:"findings,omitempty"`
	// Version and Operator name the change that won a version conflict.
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

// answerBody converts an answer. A result without bytes becomes "", not null.
func answerBody(a model.Answer) AnswerBody {
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

func jobBodyOf(v JobView) JobBody {
	b := JobBody{
		State: v.State, Service: v.Service, SubmittedAt: v.SubmittedAt, Deadline: v.Deadline,
		Tasks: v.Tasks, Started: v.Started, Finished: v.Finished,
	}
	if v.Answer != nil {
		a := answerBody(*v.Answer)
		b.Answer = &a
	}
	return b
}

// defaultRetryAfter is sent with a retryable code when the answer names no
// time. One second is the smallest value of the header.
const defaultRetryAfter = time.Second

// setRetryAfter writes the header in whole seconds, rounded up.
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
	b := answerBody(a)
	b.Findings = findings
	return c.JSON(code, b)
}

func writeError(c echo.Context, code int, b ErrorBody) error {
	setRetryAfter(c, code, time.Duration(b.RetryAfterMS)*time.Millisecond)
	return c.JSON(code, b)
}

// writeUnavailable reports a failure that passes by itself.
func writeUnavailable(c echo.Context, err error) error {
	return writeError(c, http.StatusServiceUnavailable, ErrorBody{Reason: "unavailable", Message: err.Error()})
}
