package gateway

import (
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/rhubarbsail/rhubarbsail/common/model"
	"github.com/rhubarbsail/rhubarbsail/logservice"
	"github.com/rhubarbsail/rhubarbsail/ownership"
	"github.com/rhubarbsail/rhubarbsail/scheduler"
)

// Options configures a gateway. Zero values select the defaults that
// withDefaults sets.
type Options struct {
	// ID identifies the gateway within the cell. It is required.
	ID string
	// Incarnation distinguishes this run of the gateway from earlier ones. 0
	// selects the start time in nanoseconds.
	Incarnation model.Incarnation
	// Address is the IP address and port at which other gateways and agents reach
	// this gateway. It is required.
	Address          string
	AvailabilityZone string
	// Peers are addresses of other gateways. They are asked for the control state
	// while the log is unavailable or no longer has the records to build it from.
	Peers []string
	// Stream is the name of the control stream in the platform's log.
	Stream string
	// Partitions is the number of partitions. All gateways must use the same one.
	Partitions int
	Ownership  ownership.Settings
	// PingInterval is the interval of the pings to other gateways, ProbeInterval
	// that of the probes to agents.
	PingInterval, ProbeInterval time.Duration
	// ZoneDelay is the one-way network delay to another availability zone.
	ZoneDelay time.Duration
	// MaxJobs bounds the number of jobs in the job table, including answered jobs
	// that are retained.
	MaxJobs int
	// MaxAnswerBytes bounds the size of the results in one answer, RetainedBytes
	// that of the results in all retained answers.
	MaxAnswerBytes, RetainedBytes int
	// ShutdownTimeout bounds a graceful shutdown.
	ShutdownTimeout time.Duration
	// RemoveAfter is the time without a link after which the gateway tries to
	// acquire the lease of an agent's worker, to record the agent as departed.
	RemoveAfter time.Duration
	// AppendTimeout bounds one attempt to append to the log. 0 selects the default
	// of package control.
	AppendTimeout time.Duration
	// LogRetention is the time for which the platform's log keeps records.
	LogRetention time.Duration
}

// Deps are the gateway's dependencies. Log is required.
type Deps struct {
	Log logservice.Log
	// Lease proves that an unreachable worker runs no more tasks. If nil, agents
	// are never removed.
	Lease logservice.Lease
	// Policy places tasks. If nil, scheduler.New is used.
	Policy scheduler.Policy
	Logger zerolog.Logger
	Scope  tally.Scope
	Tracer trace.TracerProvider
}

func (o Options) withDefaults() Options {
	setDefault(&o.Incarnation, model.Incarnation(time.Now().UnixNano()))
	setDefault(&o.Stream, "control")
	setDefault(&o.Partitions, 64)
	setDefault(&o.Ownership, ownership.DefaultSettings())
	setDefault(&o.PingInterval, 250*time.Millisecond)
	setDefault(&o.ProbeInterval, 500*time.Millisecond)
	setDefault(&o.ZoneDelay, 1500*time.Microsecond)
	setDefault(&o.MaxJobs, 200_000)
	setDefault(&o.MaxAnswerBytes, 16<<20)
	setDefault(&o.RetainedBytes, 64<<20)
	setDefault(&o.ShutdownTimeout, 30*time.Second)
	setDefault(&o.RemoveAfter, 30*time.Second)
	setDefault(&o.LogRetention, time.Hour)
	return o
}

func (d Deps) withDefaults(o Options) Deps {
	if d.Policy == nil {
		d.Policy = scheduler.New(scheduler.Options{Seed: uint64(o.Incarnation)})
	}
	if d.Scope == nil {
		d.Scope = tally.NoopScope
	}
	if d.Tracer == nil {
		d.Tracer = noop.NewTracerProvider()
	}
	return d
}

// setDefault sets a field that has the zero value.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// delayTo returns the one-way network delay to an availability zone.
func (o Options) delayTo(zone string) time.Duration {
	if zone == o.AvailabilityZone {
		return 0
	}
	return o.ZoneDelay
}
