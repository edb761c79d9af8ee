// Package httpapi serves the HTTP APIs for callers, which submit jobs, and for
// operators. It decodes and validates requests and maps answers to status codes.
// Jobs and Operations are the interfaces to the code that runs the jobs and
// keeps the control state.
package httpapi

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"github.com/rhubarbsail/rhubarbsail/common/findings"
	"github.com/rhubarbsail/rhubarbsail/common/model"
)

// Jobs runs and describes the jobs of the callers' API.
type Jobs interface {
	// Submit runs the job. It returns when the answer is known, when the job's
	// deadline has passed or when ctx ends because the caller has disconnected.
	Submit(ctx context.Context, job model.Job) model.Answer
	// Lookup returns the state of a job, or false if the key is unknown.
	Lookup(ctx context.Context, key model.JobKey) (JobView, bool, error)
	// Cancel stops a job. It returns false if the key is unknown.
	Cancel(ctx context.Context, key model.JobKey) (bool, error)
	// Explain returns the decision trace of a job, or false if the key is unknown.
	Explain(ctx context.Context, key model.JobKey) (Explanation, bool, error)
}

// JobState is the progress of a job in a JobView.
type JobState string

// The states of a job.
const (
	JobQueued   JobState = "queued"
	JobRunning  JobState = "running"
	JobFinished JobState = "finished"
)

// JobView is the state of a job as its owner, a gateway, sees it.
type JobView struct {
	State       JobState
	Service     string
	SubmittedAt time.Time
	Deadline    time.Time
	// Tasks is the number of all tasks, Started that of the tasks that were sent to
	// an agent and not returned unstarted, Finished that of the tasks that have
	// ended.
	Tasks, Started, Finished int
	// Answer is set once State is JobFinished.
	Answer *model.Answer
}

// Explanation is the decision trace of a job, with the job's owner.
type Explanation struct {
	Owner     string          `json:"owner"`
	Partition model.Partition `json:"partition"`
	Epoch     model.Epoch     `json:"epoch"`
	// TraceID is the hexadecimal OpenTelemetry trace id of the request; empty if the
	// request is not sampled.
	TraceID string `json:"trace_id,omitempty"`
	Steps   []Step `json:"steps"`
}

// Step is one decision or outcome in the decision trace of a job.
type Step struct {
	At   time.Time `json:"at"`
	Kind string    `json:"kind"`
	// Task is the index of the task, or -1 for the whole job.
	Task   int    `json:"task"`
	Target string `json:"target,omitempty"`
	Detail string `json:"detail,omitempty"`
}

// Operations reads and changes the control state for the operators' API.
type Operations interface {
	// Config returns the configuration that this gateway applies.
	Config(ctx context.Context) ConfigView
	// ChangeConfig replaces the configuration and returns the new version once
	// it has been read back from the log. It fails with findings.List or
	// *FindingsError, *VersionConflictError, *UnknownOutcomeError or ErrUnavailable.
	ChangeConfig(ctx context.Context, change ConfigChange) (version uint64, err error)
	// Status returns this gateway's view of the deployment.
	Status(ctx context.Context) Status
	// SetDrain sets or clears an operator's drain of a target. It fails with
	// ErrUnknownTarget, *UnknownOutcomeError or ErrUnavailable.
	SetDrain(ctx context.Context, target string, drain bool) error
	// SetZoneDrain sets or clears an operator's drain of an availability zone. It
	// fails with ErrUnknownZone, *UnknownOutcomeError or ErrUnavailable.
	SetZoneDrain(ctx context.Context, zone string, drain bool) error
	// Ready reports whether the gateway accepts requests, and the reason if it does
	// not.
	Ready() (bool, string)
}

// ConfigView is the configuration that a gateway applies.
type ConfigView struct {
	// Version is the log offset of the last change; 0 before the first one.
	Version   uint64          `json:"version"`
	Operator  string          `json:"operator,omitempty"`
	ChangedAt time.Time       `json:"changed_at,omitzero"`
	Inventory json.RawMessage `json:"inventory,omitempty"`
	Rules     json.RawMessage `json:"rules,omitempty"`
}

// ConfigChange is a request to replace the configuration. An absent part keeps
// its value.
type ConfigChange struct {
	// Base is the version on which the change is based; 0 for the first change.
	Base      uint64          `json:"base"`
	Operator  string          `json:"operator"`
	Inventory json.RawMessage `json:"inventory,omitempty"`
	Rules     json.RawMessage `json:"rules,omitempty"`
}

// Status is a gateway's view of the deployment.
type Status struct {
	Gateway          string            `json:"gateway"`
	Incarnation      model.Incarnation `json:"incarnation"`
	AvailabilityZone string            `json:"availability_zone"`
	Ready            bool              `json:"ready"`
	// NotReadyReason is the reason why Ready is false.
	NotReadyReason string `json:"not_ready,omitempty"`
	ConfigVersion  uint64 `json:"config_version"`
	AppliedOffset  uint64 `json:"applied_offset"`
	// LogReachable is false while the platform's log does not respond.
	LogReachable bool `json:"log_reachable"`
	// Partitions is the number of partitions that this gateway owns, Serving the
	// number of those whose takeover is complete, whose ownership agents confirm and
	// that are not being handed over.
	Partitions int             `json:"partitions"`
	Serving    int             `json:"serving"`
	Jobs       int             `json:"jobs"`
	Queued     int             `json:"queued_tasks"`
	Gateways   []GatewayStatus `json:"gateways"`
	Targets    []TargetStatus  `json:"targets"`
	// DrainedZones lists the availability zones that an operator has drained.
	DrainedZones []string       `json:"drained_zones,omitempty"`
	Clients      []ClientStatus `json:"clients,omitempty"`
}

// GatewayStatus is the status of a gateway as the responding gateway sees it.
type GatewayStatus struct {
	ID               string `json:"id"`
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability_zone"`
	Alive            bool   `json:"alive"`
	Partitions       int    `json:"partitions"`
}

// TargetStatus is the status of a target and its agent as the responding gateway
// sees it.
type TargetStatus struct {
	ID               string `json:"id"`
	Service          string `json:"service"`
	AvailabilityZone string `json:"availability_zone"`
	Worker           string `json:"worker,omitempty"`
	Connected        bool   `json:"connected"`
	Accepting        bool   `json:"accepting"`
	Leaving          bool   `json:"leaving"`
	Draining         bool   `json:"draining"`
	Ejected          bool   `json:"ejected"`
	// Reason says why the target is ejected; it is empty if it is not.
	Reason      string `json:"why,omitempty"`
	Slots       int    `json:"slots"`
	Outstanding int    `json:"outstanding"`
	// Speed is the estimated speed relative to the mean of the service's targets.
	Speed float64 `json:"speed"`
}

// ClientStatus is the load of a client at the responding gateway.
type ClientStatus struct {
	Client  string `json:"client"`
	Queued  int    `json:"queued_tasks"`
	Running int    `json:"running_tasks"`
}

// Finding is a validation error in a request body or a file, with its position.
// Line and Column start at 1 and are 0 if unknown.
type Finding struct {
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"`
	Column  int    `json:"column,omitempty"`
	Key     string `json:"key,omitempty"`
	Message string `json:"message"`
}

// findingsFromList sorts a list of findings by position and converts it.
func findingsFromList(list findings.List) []Finding {
	list.Sort()
	out := make([]Finding, len(list))
	for i, f := range list {
		out[i] = Finding{
			File: f.Place.File, Line: f.Place.Line, Column: f.Place.Column, Key: f.Place.Key, Message: f.Message,
		}
	}
	return out
}

// FindingsError reports that a configuration is invalid. Nothing was changed.
type FindingsError struct{ Findings []Finding }

// Error returns the number of findings and the first finding.
func (e *FindingsError) Error() string {
	if len(e.Findings) == 0 {
		return "configuration is invalid"
	}
	return fmt.Sprintf("configuration has %d findings; first: %s: %s",
		len(e.Findings), e.Findings[0].Key, e.Findings[0].Message)
}

// VersionConflictError reports that a change is not based on the current version.
// Nothing was changed.
type VersionConflictError struct {
	// Base is the version on which the refused change is based.
	Base uint64
	// Current is the current version, Operator the operator who made it.
	Current  uint64
	Operator string
}

// Error names both versions.
func (e *VersionConflictError) Error() string {
	return fmt.Sprintf("the change is based on version %d, but version %d by %q is in force",
		e.Base, e.Current, e.Operator)
}

// UnknownOutcomeError reports that a change may or may not take effect: the log's
// reply was lost and the record could not be read back in time.
type UnknownOutcomeError struct{ Cause error }

// Error returns the cause.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("the outcome of the change is unknown: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

var (
	// ErrUnavailable means that the platform's log does not accept the change now.
	// It is certain that nothing was changed.
	ErrUnavailable = errors.New("the platform's log is unavailable; nothing was changed")
	// ErrUnknownTarget means that there is no target with this name.
	ErrUnknownTarget = errors.New("unknown target")
	// ErrUnknownZone means that no target is in the availability zone.
	ErrUnknownZone = errors.New("unknown availability zone")
)
