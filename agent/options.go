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

// Options are the settings of an agent. Zero values mean the defaults.
type Options struct {
	// Agent is the name of this agent; required.
	Agent string
	// Incarnation distinguishes the runs of this agent; default is the start time
	// in nanoseconds.
	Incarnation model.Incarnation
	// Listen is the host:port on which the agent serves links to gateways.
	Listen string
	// Advertise is the host:port at which gateways reach the agent; default is the
	// address of the listener.
	Advertise string
	// TargetListen is the host:port on which the target announces itself.
	TargetListen string
	// Gateways are the host:port addresses of the gateways to which the agent
	// announces itself.
	Gateways []string
	// Worker, Rack and AvailabilityZone are the location of the agent.
	Worker, Rack, AvailabilityZone string

	// Ledger are the settings of the start ledger. Its Incarnation is overwritten.
	Ledger ledger.Options
	// QueueLimit bounds the number of tasks that wait at the agent beyond the
	// slots; default 128, because three gateways send the tasks of large jobs in
	// batches of at least 20, and a refused task costs two messages.
	QueueLimit int
	// QueueBytes bounds the total size of the queued payloads; default 16 MiB.
	QueueBytes int
	// PayloadLimit bounds the size of one payload in bytes; default 256 KiB.
	PayloadLimit int
	// FrameLimit bounds the size of a frame from a gateway in bytes; default
	// 16 MiB, which is 64 payloads of maximum size.
	FrameLimit int
	// ReportLimit is the size in bytes at which messages to a gateway are split
	// into frames; default 1 MiB. A frame exceeds it by at most one record.
	ReportLimit int
	// OutboxLimit bounds the number of records waiting to be sent to one gateway;
	// default 20,000. A link that exceeds it is closed, and the gateway gets the
	// records from a fence after it has reconnected.
	OutboxLimit int
	// RunTimeout bounds one request to the target; default 2 min, the longest
	// timeout of a job.
	RunTimeout time.Duration

	// LeaseTTL is the time to live requested for the worker's lease; default 10 s.
	LeaseTTL time.Duration
	// LeaseRenew bounds the time between two renewals, which is also at most a
	// third of the granted time; default is a third of LeaseTTL.
	LeaseRenew time.Duration
	// HeartbeatExpiry is the time after which a target that stopped sending
	// announcements counts as gone. It is also the time for which a target that
	// left cannot announce itself again; default 3 s.
	HeartbeatExpiry time.Duration
	// AnnounceRetry bounds the delay after a failed announcement; default 2 s.
	AnnounceRetry time.Duration
	// AnnouncePending is the delay between announcements until the log has recorded
	// the agent; default 1 s.
	AnnouncePending time.Duration
	// AnnounceInterval is the delay after a recorded announcement; default 30 s.
	AnnounceInterval time.Duration
	// StopTimeout bounds the wait for running tasks when the agent stops; default
	// is 5 s more than RunTimeout.
	StopTimeout time.Duration
	// DeliveryTimeout bounds the wait on stop for gateways that must reconnect to
	// receive the last outcomes; default 5 s.
	DeliveryTimeout time.Duration
}

// Clock returns the current time. Durations are computed from the monotonic clock
// readings of its values.
type Clock interface {
	Now() time.Time
}

// Metrics records the metrics of an agent. Its methods must not block.
type Metrics interface {
	// TaskRefused counts a start that was refused.
	TaskRefused(reason ledger.Reason)
	// TaskBegan counts a task sent to the target after the given time in the queue.
	TaskBegan(wait time.Duration)
	// TaskEnded counts a task that ended after the given time at the target.
	TaskEnded(state ledger.State, run time.Duration)
	// FrameSent counts a frame sent to a gateway and the records in it.
	FrameSent(records int)
	// FrameReceived counts a frame received from a gateway.
	FrameReceived()
}

// Dependencies are the services that an agent uses. Nil fields mean the defaults.
type Dependencies struct {
	Clock Clock
	// Lease grants the worker's lease. If it is nil, the lease is always valid.
	Lease logservice.Lease
	// Transport returns the transport to a target, with at most the given number
	// of connections. It must not follow redirects, nor retry a request of which a
	// byte was sent.
	Transport func(connections int) http.RoundTripper
	// GatewayClient sends announcements; default is HTTP/2 over cleartext.
	GatewayClient connect.HTTPClient
	Log           zerolog.Logger
	Metrics       Metrics
	Tracer        trace.Tracer
	// LinkListener and TargetListener are used instead of listening on the
	// addresses in Options. The agent closes them.
	LinkListener, TargetListener net.Listener
	// LimitRequests limits what unfinished requests to a server hold. It returns the
	// listener that the server has to serve. If it is nil, there is no limit.
	LimitRequests func(name string, s *http.Server, l net.Listener) net.Listener
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
	orDefault(&o.LeaseRenew, o.LeaseTTL/renewalsPerTTL)
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
