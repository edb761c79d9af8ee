// Package ownership implements the rules of partition ownership: which gateway
// should claim a partition, whether an owner may start tasks now, and when a new
// owner may serve. It does no I/O and reads no clock: the caller passes the time.
//
// # Why two owners never both start a task
//
// Ownership works like a leader lease granted by a majority of the agents. The log
// holds the claims of partitions and the agent list. A log offset v identifies a
// version of that list: the incarnations that joined at or before v and had not
// left at v. An owner that has applied the log up to v is valid, and starts tasks,
// only while a majority of version v has confirmed probes that were sent within
// the last L (type Validity, Settings.Validity).
//
// A gateway that claims a partition at offset e must wait until no earlier owner
// is valid. An earlier owner may lag behind the log: it may use any list version
// from the offset that it is known to have applied up to e. Majorities of
// different versions need not intersect: when a list of 3 grows to 10, a majority
// of the 10 can leave out all of the first 3.
//
// A new owner therefore needs a majority of every list version in [base, e), where
// every earlier owner that may still be valid has applied the log at least up to
// base (NextBase). An agent counts towards a majority if it replied to the fence,
// the message that tells it to refuse earlier epochs, or if its incarnation has
// left. In both cases the last probe that it confirmed without reporting the new
// epoch was sent before the new owner counted it. So every earlier owner's
// validity ends within L after the new owner counted the majority, measured on the
// earlier owner's clock, whichever version that owner uses.
//
// An incarnation that left may count because a departure is recorded only if the
// agent itself announced that it is leaving, if a new incarnation of the same id
// has joined (only one process runs for an id at a time), or if the remover has
// taken the worker's lease. It is never recorded because the agent is merely
// unreachable. An agent that is leaving or has no lease starts nothing, and its
// confirmations do not count (Confirmation.Stopped).
//
// An agent that has not seen the fence accepts a start that an earlier owner sent
// while valid only until the start's permit is D old (Settings.PermitLifetime),
// and the permit was issued before the start was sent. After the majority, the new
// owner waits L + D plus 10% for clock drift. Then no agent accepts a start of an
// earlier owner. Any task that an agent without a fence reply accepted until then
// belongs to a key submitted at or before the cut-off (Takeover.CutOff), and the
// new owner does not run such a task unless an agent's ledger proves its state.
package ownership

import (
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/model"
)

// GatewayRef identifies one incarnation of a gateway.
type GatewayRef struct {
	ID          string
	Incarnation model.Incarnation
}

// AgentRef identifies one incarnation of an agent.
type AgentRef struct {
	ID          string
	Incarnation model.Incarnation
}

// PartitionEpoch is a partition with an epoch of its ownership.
type PartitionEpoch struct {
	Partition model.Partition
	Epoch     model.Epoch
}

// Clock is a reading of a gateway's clocks.
type Clock struct {
	// Mono is the monotonic clock.
	Mono time.Duration
	// Wall is the wall clock. It is compared only with submission times and the
	// timestamps of log records.
	Wall time.Time
}

// Settings hold the times and bounds that all processes of a cell, one deployment
// of gateways and agents, must agree on.
type Settings struct {
	// Validity (L) is how long a confirmed probe counts after it was sent.
	Validity time.Duration
	// PermitLifetime (D) is the age at which an agent refuses a permit.
	PermitLifetime time.Duration
	// CallerSkew (S) is how far submitted_at may be ahead of a gateway's clock.
	CallerSkew time.Duration
	// WallSkew is the maximum difference between the wall clocks of two gateways,
	// and of a gateway and the writer of a log record. It matters because a
	// cut-off may be computed on another gateway than the one that admitted the
	// key.
	WallSkew time.Duration
	// Retention is how long agents keep ledger entries. It also limits how long
	// gateways accept a key (AcceptAge).
	Retention time.Duration
	// SuspectAfter is the time without a ping reply after which a gateway is
	// suspected to have failed.
	SuspectAfter time.Duration
	// SettleTime is how long a gateway must be healthy before partitions are
	// handed over to it for load balance.
	SettleTime time.Duration
	// MaxHandovers is the maximum number of handovers for load balance in progress
	// at one gateway. Its other pending claims and handovers count towards it.
	MaxHandovers int
	// Slack is the difference from the fair share, in partitions, up to which no
	// handover for load balance takes place.
	Slack int
}

// DefaultSettings returns the defaults of docs/design.md, section 10. The last
// three are not listed there: a SettleTime of 5 s is ten probe intervals, so that
// a gateway that restarts repeatedly is not given partitions; a MaxHandovers of 4
// limits the number of keys that wait for a handover at a time; a Slack of 2
// partitions of 64 is within the random variation of hashing.
func DefaultSettings() Settings {
	return Settings{
		Validity: 2 * time.Second, PermitLifetime: 3 * time.Second,
		CallerSkew: 5 * time.Second, WallSkew: time.Second,
		Retention: 10 * time.Minute, SuspectAfter: 1500 * time.Millisecond,
		SettleTime: 5 * time.Second, MaxHandovers: 4, Slack: 2,
	}
}

// driftMarginPercent is the margin for monotonic clocks that run at different
// rates: 110% of a time on one clock covers the whole time on any other clock.
const driftMarginPercent = 10

// waitAfterMajority returns the time after the majority from which on no agent
// accepts a start of an earlier owner.
func (s Settings) waitAfterMajority() time.Duration {
	w := s.Validity + s.PermitLifetime
	return w + w*driftMarginPercent/100
}

// cutOffAfter returns the latest submitted_at of a key that any gateway can have
// admitted by the given time on another process's wall clock.
func (s Settings) cutOffAfter(at time.Time) time.Time {
	return at.Add(s.CallerSkew + s.WallSkew)
}
