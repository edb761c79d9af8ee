package daemon

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"github.com/rhubarbsail/rhubarbsail/common/boottime"
	"github.com/rhubarbsail/rhubarbsail/common/events"
	"github.com/rhubarbsail/rhubarbsail/common/requestlimit"
	"github.com/rhubarbsail/rhubarbsail/common/telemetry"
	"github.com/rhubarbsail/rhubarbsail/platform"
)

const (
	// budgetDivisor is the part of the VM's memory that connections and their requests may
	// hold, as a divisor. The garbage collector lets the heap grow to twice its live part,
	// and the process needs about 20 MB besides.
	budgetDivisor = 4
	// defaultBudgetBytes applies if the memory is not known. It is enough for a thousand
	// clients with a header and a body of the largest size each.
	defaultBudgetBytes = 1 << 30
	// memoryLimitPercent is the part of the VM's memory above which the garbage collector
	// runs more often. The rest is for the program text and for growth during a cycle.
	memoryLimitPercent = 60

	// fileDescriptors are reserved for files, reserveDivisor is the part of all descriptors
	// that is reserved for agents, the store and other gateways, as a divisor.
	fileDescriptors = 200
	reserveDivisor  = 4
	// defaultConnections applies to each listener if the descriptors are not known.
	defaultConnections = 10_000
	// checkConnections limits the connections of readiness checks and of metrics. A
	// platform has less than ten of them open.
	checkConnections = 32
)

// connectionLimits are the largest numbers of connections to the listeners of a process.
type connectionLimits struct {
	callers, internal, checks int
}

// limitsFor divides the descriptors of a process among its listeners. Half of the reserve
// is for connections from agents and gateways, the other half for those to them, to the
// store and for the checks.
func limitsFor(descriptors int) connectionLimits {
	if descriptors == 0 {
		return connectionLimits{defaultConnections, defaultConnections, defaultConnections}
	}
	reserve := descriptors / reserveDivisor
	return connectionLimits{
		callers: max(1, descriptors-fileDescriptors-reserve), internal: reserve / 2, checks: min(checkConnections, reserve/8),
	}
}

// newNodeBudget returns the budget of a process on the platform.
func newNodeBudget(n *platform.Node, log zerolog.Logger, m *telemetry.Metrics) *requestlimit.Budget {
	bytes := int64(defaultBudgetBytes)
	if n.MemoryBytes > 0 {
		bytes = n.MemoryBytes / budgetDivisor
	}
	return newBudget(bytes, log, m)
}

// newBudget returns a budget that reports to the metrics and the log.
func newBudget(bytes int64, log zerolog.Logger, m *telemetry.Metrics) *requestlimit.Budget {
	o := &limitObserver{log: log, scope: m.Scope, lines: rate.Sometimes{First: 1, Interval: closedLineInterval}}
	b := requestlimit.New(requestlimit.Options{Bytes: bytes, Now: boottime.Now, OnClose: o.closed})
	m.Handler.OnScrape(func(set telemetry.Set) { set(telemetry.RequestBytesHeld, float64(b.Held())) })
	return b
}

// closedLineInterval is the time between two log lines about closed connections.
const closedLineInterval = 10 * time.Second

// limitObserver reports the connections that were closed because of a limit.
type limitObserver struct {
	log   zerolog.Logger
	scope tally.Scope

	mu    sync.Mutex // guards the fields below
	lines rate.Sometimes
	// count is the number of connections closed since the last line.
	count int
}

func (o *limitObserver) closed(listener string, l requestlimit.Limit) {
	telemetry.ConnectionsClosed.Counter(o.scope, listener, string(l)).Inc(1)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.count++
	o.lines.Do(func() {
		events.ConnectionsClosed.Log(o.log).Str("listener", listener).Str("limit", string(l)).Int("since_last_line", o.count).Send()
		o.count = 0
	})
}
