package agent

import (
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/trace"

	"github.com/rhubarbsail/rhubarbsail/agent/ledger"
	"github.com/rhubarbsail/rhubarbsail/common/model"
	"github.com/rhubarbsail/rhubarbsail/logservice"
)

// Options are the settings of an agent. Zero values take the defaults.
type Options struct {
	// Agent is the name of this agent; required.
	Agent string
	// Incarnation tells runs of this agent apart; default is the start time.
	Incarnation model.Incarnation
	// Listen is the host:port on which gateways dial Link.
	Listen string
	// Advertise is the host:port given to gateways; default is the address of
	// the listener.
	Advertise string
	// TargetListen is the host:port on which the target announces itself.
	TargetListen string
	// Gateways are host:port addresses to which the agent announces itself.
	Gateways []string
	// Worker, Rack and AvailabilityZone say where the agent runs.
	Worker, Rack, AvailabilityZone string

	// Ledger are the settings of the start ledger. Incarnation is filled in.
	Ledger ledger.Options
	// QueueLimit bounds the tasks that wait at the agent beyond the slots; default
	// 128: three gateways send large jobs at least 20 tasks at a time, and a
	// refused task costs two messages.
	QueueLimit int
	// QueueBytes bounds the payloads of these tasks together; default 16 MiB.
	QueueBytes int
	// PayloadLimit bounds one payload in bytes; default 256 KiB.
	PayloadLimit int
	// FrameLimit bounds a frame from a gateway in bytes; default 16 MiB, which is
	// 64 payloads of the largest size.
	FrameLimit int
	// ReportLimit is the size in bytes at which a frame to a gateway is split;
	// default 1 MiB. A frame exceeds it by at most one record.
	ReportLimit int
	// OutboxLimit bounds the records that wait for one gateway. A link that does
	// not keep up is closed, and the gateway fences to get the records; default
	// 20,000.
	OutboxLimit int
	// RunTimeout bounds one request to the target; default 2 min, the longest
	// timeout of a job.
	RunTimeout time.Duration

	// LeaseTTL is the time to live asked for the worker's lease; default 10 s.
	LeaseTTL time.Duration
	// LeaseRenew bounds the time between two renewals, which is at most a third of
	// the time granted.
	LeaseRenew time.Duration
	// HeartbeatExpiry is the time after which a target that stopped announcing
	// counts as gone, and for which a target that left cannot announce itself
	// again; default 3 s.
	HeartbeatExpiry time.Duration
	// AnnounceRetry bounds the wait after a failed announcement; default 2 s.
	AnnounceRetry time.Duration
	// AnnouncePending is the wait until the log shows the agent; default 1 s.
	AnnouncePending time.Duration
	// AnnounceInterval is the wait after a recorded announcement; default 30 s.
	AnnounceInterval time.Duration
	// StopTimeout bounds the wait for running tasks when the agent stops; default
	// is 5 s more than RunTimeout.
	StopTimeout time.Duration
	// DeliveryTimeout bounds the wait for gateways that have to reconnect for the
	// last outcomes; default 5 s.
	DeliveryTimeout time.Duration
}

// Clock tells the time. Time differences are taken from its monotonic reading.
type Clock interface {
	Now() time.Time
}

// Metrics receives what the agent counts. Its methods must not block.
type Metrics interface {
	// TaskRefused counts a start that was refused.
	TaskRefused(reason ledger.Reason)
	// TaskBegan counts a task given to the target after its time in the queue.
	TaskBegan(wait time.Duration)
	// TaskEnded counts the end of a task with its time at the target.
	TaskEnded(state ledger.State, run time.Duration)
	// FrameSent counts a frame to a gateway with its number of records.
	FrameSent(records int)
	// FrameReceived counts a frame from a gateway.
	FrameReceived()
}

// Dependencies are what an agent uses. Nil fields take the defaults.
type Dependencies struct {
	Clock Clock
	// Lease grants the worker's lease; without it the lease is always valid.
	Lease logservice.Lease
	// Transport returns the transport to a target with the bound on connections.
	// It must not follow redirects or repeat requests of which a byte was sent.
	Transport func(connections int) http.RoundTripper
	// GatewayClient sends announcements; default is HTTP/2 cleartext.
	GatewayClient connect.HTTPClient
	Log           zerolog.Logger
	Metrics       Metrics
	Tracer        trace.Tracer
	// LinkListener and TargetListener replace listening on the addresses of
	// Options. The agent closes them.
	LinkListener, TargetListener net.Listener
}

const (
	defaultQueueLimit   = 128
	defaultQueueBytes   = 16 << 20
	defaultPayloadLimit = 256 << 10
	defaultFrameLimit   = 16 << 20
	defaultReportLimit  = 1 << 20
	defaultOutboxLimit  = 20_000
	defaultRunTimeout   = 2 * time.Minute
)

func orDefault[T int | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

func (o Options) withDefaults(now time.Time) Options {
	if o.Incarnation == 0 {
		o.Incarnation = model.Incarnation(now.UnixNano())
	}
	o.Ledger.Incarnation = o.Incarnation
	orDefault(&o.Ledger.ResultLimit, ledger.DefaultResultLimit)
	orDefault(&o.QueueLimit, defaultQueueLimit)
	orDefault(&o.QueueBytes, defaultQueueBytes)
	orDefault(&o.PayloadLimit, defaultPayloadLimit)
	orDefault(&o.FrameLimit, defaultFrameLimit)
	orDefault(&o.ReportLimit, defaultReportLimit)
	orDefault(&o.OutboxLimit, defaultOutboxLimit)
	orDefault(&o.RunTimeout, defaultRunTimeout)
	orDefault(&o.LeaseTTL, 10*time.Second)
	orDefault(&o.LeaseRenew, o.LeaseTTL/renewals)
	orDefault(&o.HeartbeatExpiry, 3*time.Second)
	orDefault(&o.AnnounceRetry, 2*time.Second)
	orDefault(&o.AnnouncePending, time.Second)
	orDefault(&o.AnnounceInterval, 30*time.Second)
	orDefault(&o.StopTimeout, o.RunTimeout+5*time.Second)
	orDefault(&o.DeliveryTimeout, 5*time.Second)
	return o
}

func (o Options) check(deps Dependencies) error {
	if o.Agent == "" {
		return errors.New("agent name is empty")
	}
	if o.Listen == "" && deps.LinkListener == nil {
		return errors.New("listen address for gateways is empty")
	}
	if o.TargetListen == "" && deps.TargetListener == nil {
		return errors.New("listen address for the target is empty")
	}
	if deps.Lease != nil && o.Worker == "" {
		return errors.New("worker name is empty, but a lease service is set")
	}
	return nil
}

func (d Dependencies) withDefaults() Dependencies {
	if d.Clock == nil {
		d.Clock = systemClock{}
	}
	if d.Transport == nil {
		d.Transport = newTargetTransport
	}
	if d.GatewayClient == nil {
		d.GatewayClient = newGatewayClient()
	}
	if d.Metrics == nil {
		d.Metrics = noMetrics{}
	}
	if d.Tracer == nil {
		d.Tracer = otel.Tracer("github.com/rhubarbsail/rhubarbsail/agent")
	}
	return d
}

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

type noMetrics struct{}

func (noMetrics) TaskRefused(ledger.Reason)             {}
func (noMetrics) TaskBegan(time.Duration)               {}
func (noMetrics) TaskEnded(ledger.State, time.Duration) {}
func (noMetrics) FrameSent(int)                         {}
func (noMetrics) FrameReceived()                        {}
