package daemon

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/rhubarbsail/rhubarbsail/agent"
	"github.com/rhubarbsail/rhubarbsail/agent/ledger"
	"github.com/rhubarbsail/rhubarbsail/common/telemetry"
)

// agentMetrics records the agent's metrics in a tally scope.
type agentMetrics struct {
	scope               tally.Scope
	starts              tally.Counter
	queue, run          tally.Histogram
	framesIn, framesOut tally.Counter
}

var _ agent.Metrics = (*agentMetrics)(nil)

func newAgentMetrics(s tally.Scope) *agentMetrics {
	return &agentMetrics{
		scope:     s,
		starts:    telemetry.AgentStarts.Counter(s),
		queue:     telemetry.TaskQueue.Histogram(s),
		run:       telemetry.TaskRun.Histogram(s),
		framesIn:  telemetry.Messages.Counter(s, "received", "gateway_frame"),
		framesOut: telemetry.Messages.Counter(s, "sent", "agent_frame"),
	}
}

// TaskRefused implements agent.Metrics.
func (m *agentMetrics) TaskRefused(r ledger.Reason) {
	telemetry.AgentRefusals.Counter(m.scope, r.String()).Inc(1)
}

// TaskBegan implements agent.Metrics.
func (m *agentMetrics) TaskBegan(wait time.Duration) {
	m.starts.Inc(1)
	m.queue.RecordValue(wait.Seconds())
}

// TaskEnded implements agent.Metrics.
func (m *agentMetrics) TaskEnded(_ ledger.State, run time.Duration) { m.run.RecordValue(run.Seconds()) }

// FrameSent implements agent.Metrics.
func (m *agentMetrics) FrameSent(int) { m.framesOut.Inc(1) }

// FrameReceived implements agent.Metrics.
func (m *agentMetrics) FrameReceived() { m.framesIn.Inc(1) }
