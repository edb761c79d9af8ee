// Package task has the types of restartable jobs that gateways and agents
// share. A restartable job may run again from the start after a failure of the
// system, but two runs of one of its tasks never overlap.
package task

import "strconv"

// Resources is an amount of a target's capacity.
type Resources struct {
	// CPUMillis is in thousandths of a core.
	CPUMillis int64
	// MemoryMB is in units of 2^20 bytes.
	MemoryMB int64
	// Accelerators counts whole devices.
	Accelerators int64
}

// Plus returns r + o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPUMillis + o.CPUMillis, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Minus returns r - o.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPUMillis - o.CPUMillis, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Within tells whether no part of r is above that of limit.
func (r Resources) Within(limit Resources) bool {
	return r.CPUMillis <= limit.CPUMillis && r.MemoryMB <= limit.MemoryMB && r.Accelerators <= limit.Accelerators
}

// StepID names one step of one occurrence of a job.
type StepID struct {
	Job string
	// Occurrence is 0 for a job that runs once.
	Occurrence int
	Step       int
}

// ID names one task.
type ID struct {
	StepID
	Index int
}

// String returns the parts joined by dots, for logs.
func (id ID) String() string {
	return id.Job + "." + strconv.Itoa(id.Occurrence) + "." + strconv.Itoa(id.Step) + "." + strconv.Itoa(id.Index)
}

// Outcome tells how an attempt ended.
type Outcome int

const (
	// Done is the end of a task that did its work.
	Done Outcome = iota + 1
	// Failed is the end of a run by its own or its target's fault.
	Failed
	// NotStarted means that the attempt has not begun and never will.
	NotStarted
	// Stopped is the end of a run that was told to stop.
	Stopped
	// Lost is the end of a run whose lease lapsed or whose target went down.
	Lost
	// Started is no end: the target has accepted the attempt.
	Started
)

var outcomeNames = map[Outcome]string{Done: "done", Failed: "failed", NotStarted: "not_started", Stopped: "stopped", Lost: "lost", Started: "started"}

// String returns the name used in logs and metrics.
func (o Outcome) String() string { return outcomeNames[o] }

// Reason tells why an attempt has not started.
type Reason string

// Reasons for NotStarted.
const (
	ReasonExpired     Reason = "expired"     // waited too long in the agent's queue
	ReasonDraining    Reason = "draining"    // the target is leaving
	ReasonStopping    Reason = "stopping"    // the agent is stopping
	ReasonNoTarget    Reason = "no_target"   // no target has announced itself, or it does not answer
	ReasonStale       Reason = "stale"       // the order was delayed on its way
	ReasonBusy        Reason = "busy"        // it could not begin at once, as ordered
	ReasonRevoked     Reason = "revoked"     // the gateway took it back
	ReasonRefused     Reason = "refused"     // the target refused it
	ReasonSuperseded  Reason = "superseded"  // the target has seen this attempt or a later one
	ReasonUnanswered  Reason = "unanswered"  // the target did not answer and has been told to drop it
	ReasonDuplicate   Reason = "duplicate"   // another run of the task has not ended
	ReasonGatewayLost Reason = "gateway_out" // the gateway's lease lapsed
	ReasonUnlinked    Reason = "unlinked"    // the agent is about to end its link to the gateway
)
