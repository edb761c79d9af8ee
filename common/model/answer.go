package model

import "time"

// RunState is what is known about the execution of a job.
type RunState uint8

// The run states of an answer.
const (
	// RunComplete means that every task ran once and all results are present.
	RunComplete RunState = iota + 1
	// RunNotRun means that no task of the job was started.
	RunNotRun
	// RunMayHaveRun means that at least one task was or may have been started.
	RunMayHaveRun
)

// String returns the name used in the callers' API.
func (s RunState) String() string {
	switch s {
	case RunComplete:
		return "complete"
	case RunNotRun:
		return "not_run"
	case RunMayHaveRun:
		return "may_have_run"
	}
	return "unknown"
}

// Reason is the machine-readable reason of a failed answer.
type Reason string

// The reasons of failed answers.
const (
	ReasonInvalid         Reason = "invalid_request"
	ReasonUnknownClient   Reason = "unknown_client"
	ReasonUnknownService  Reason = "unknown_service"
	ReasonNoSuitable      Reason = "no_suitable_target"
	ReasonConflict        Reason = "key_conflict"
	ReasonTooOld          Reason = "too_old"
	ReasonClock           Reason = "submitted_in_future"
	ReasonOverload        Reason = "overload"
	ReasonQuota           Reason = "quota"
	ReasonDeadline        Reason = "deadline"
	ReasonCancelled       Reason = "cancelled"
	ReasonTaskFailed      Reason = "task_failed"
	ReasonOutcomeLost     Reason = "outcome_lost"
	ReasonOwnerChanged    Reason = "owner_changed"
	ReasonNoOwner         Reason = "no_owner"
	ReasonAnswerTooLarge  Reason = "answer_too_large"
	ReasonNotRepeatable   Reason = "not_repeatable"
	ReasonShuttingDown    Reason = "shutting_down"
	ReasonTableFull       Reason = "job_table_full"
	ReasonAnswerForgotten Reason = "answer_forgotten"
)

// Answer is the outcome of a job: complete with all results, or failed.
type Answer struct {
	State   RunState
	Reason  Reason
	Message string
	// RetryAfter is the time after which the caller should retry, or zero.
	RetryAfter time.Duration
	// Results has one entry per task, in order, if State is RunComplete.
	Results [][]byte
}

// Failed returns a failed answer.
func Failed(s RunState, r Reason, msg string) Answer {
	return Answer{State: s, Reason: r, Message: msg}
}
