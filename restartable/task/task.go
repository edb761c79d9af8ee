// Package task defines the types of restartable jobs that gateways and agents
// share. After a system failure a restartable job may run again from the start,
// but two runs of the same task never overlap.
package task

import "strconv"

// Resources is an amount of compute resources: what a task needs or what a
// target has.
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

// Max returns the larger one of each resource.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.CPUMillis, o.CPUMillis), max(r.MemoryMB, o.MemoryMB), max(r.Accelerators, o.Accelerators)}
}

// Within reports whether every resource in r is at most that in limit.
func (r Resources) Within(limit Resources) bool {
	return r.CPUMillis <= limit.CPUMillis && r.MemoryMB <= limit.MemoryMB && r.Accelerators <= limit.Accelerators
}

// StepID identifies one step of one occurrence of a job.
type StepID struct {
	Job string
	// Occurrence numbers the runs of a repeated job; it is 0 for a job that runs
	// once.
	Occurrence int
	Step       int
}

// ID identifies one task: the one with the given index in its step.
type ID struct {
	StepID
	Index int
}

// String returns the ID's parts joined by dots, for logs and for the target's
// API.
func (id ID) String() string {
	return id.Job + "." + strconv.Itoa(id.Occurrence) + "." + strconv.Itoa(id.Step) + "." + strconv.Itoa(id.Index)
}

// Outcome is what an agent reports of an attempt: that it has started, or how it
// ended.
type Outcome int

const (
	// Done means that the run succeeded.
	Done Outcome = iota + 1
	// Failed means that the run ended with an error of the task or its target.
	Failed
	// NotStarted means that the attempt did not start and never will.
	NotStarted
	// Stopped means that the run ended because it was told to stop.
	Stopped
	// Lost means that the run's lease expired or its target went down.
	Lost
	// Started means that the target has accepted the attempt, which still runs.
	Started
)

var outcomeNames = map[Outcome]string{Done: "done", Failed: "failed", NotStarted: "not_started", Stopped: "stopped", Lost: "lost", Started: "started"}

// String returns the name used in logs and metrics.
func (o Outcome) String() string { return outcomeNames[o] }

// Reason says why an attempt did not start, or how a run was lost.
type Reason string

// Reasons for NotStarted. Superseded and unanswered are reasons for Lost too: for a start
// that got no answer and that the next process of the target may still carry out.
const (
	ReasonExpired     Reason = "expired"      // it waited too long in the agent's queue
	ReasonDraining    Reason = "draining"     // the target is draining
	ReasonStopping    Reason = "stopping"     // the agent is shutting down
	ReasonNoTarget    Reason = "no_target"    // the agent's target sends no heartbeats or does not respond
	ReasonStale       Reason = "stale"        // the order was delayed in transit
	ReasonBusy        Reason = "busy"         // the order required an immediate start, which was not possible
	ReasonRevoked     Reason = "revoked"      // the gateway revoked it
	ReasonRefused     Reason = "refused"      // the target rejected it
	ReasonSuperseded  Reason = "superseded"   // the target has already seen this attempt or a later one
	ReasonUnanswered  Reason = "unanswered"   // the target did not answer the start request and was told to drop the task
	ReasonDuplicate   Reason = "duplicate"    // another run of the task has not ended yet
	ReasonGatewayLost Reason = "gateway_out"  // the gateway's lease expired
	ReasonUnlinked    Reason = "unlinked"     // the agent is closing its link to the gateway
	ReasonZoneDrained Reason = "zone_drained" // the agent's availability zone is drained
	ReasonUnsuitable  Reason = "unsuitable"   // the target is of another service or lacks the required label; it may have been replaced
	ReasonTooLarge    Reason = "too_large"    // it needs more than the target's whole capacity, which may have shrunk
)

// ReasonRepeated is the reason for Started if the start was repeated: the next process of
// the target may still carry out the first one.
const ReasonRepeated Reason = "repeated"

// Reasons for Lost.
const (
	ReasonTargetDown      Reason = "target_down"      // the target's process has ended
	ReasonTargetRestarted Reason = "target_restarted" // another incarnation of the target has announced itself
	ReasonTargetSilent    Reason = "target_silent"    // the target has not answered until its leases had expired
	ReasonLeaseLapsed     Reason = "lease_lapsed"     // the target lists the run as ended with its lease
	ReasonNotListed       Reason = "not_listed"       // the target lists the run neither as running nor as ended
)
