// Package ownership holds the pure rules of partition ownership: which gateway
// should claim a partition, whether an owner may start work now, and when a
// new owner knows enough to serve. It does no I/O, and the clock is passed in.
//
// # Why two owners never both start one task
//
// A log offset v names a version of the agent list: the incarnations that
// joined at or before v and had not left at v. An owner that has applied the
// log up to v starts work only while a majority of list v confirmed a probe
// that was sent within the last L (Validity). A gateway that claims a
// partition at offset e must end the validity of every earlier owner, and an
// earlier owner may lag: it can use any list version between the offset that
// it is known to have applied and e. Majorities of two different versions need
// not intersect: when a list of 3 grows to 10, a majority of the 10 can leave
// out all of the first 3.
//
// A new owner therefore needs a majority of every list version in
// [base, e), where base is a lower bound of what any owner whose end is not
// proved has applied (NextBase). An agent counts for a version if it replied to
// the fence, or if its incarnation has left. For both kinds the last probe that
// it confirmed without reporting the new epoch was sent before the moment at
// which the new owner counted it, so the validity of each earlier owner ends
// within L of that moment on the earlier owner's clock, whichever version it
// uses.
//
// An incarnation that left counts only because a departure record has a
// condition: it is written when the agent itself announced that it is leaving,
// when a new incarnation of the same id has joined (one process per slot), or
// when the worker's lease was taken by the remover, never because the agent is
// merely unreachable. An agent that is leaving or has no lease starts nothing,
// and its confirmations do not count (Confirmation.Stopped).
//
// A start that an earlier owner sent while valid is accepted by an agent that
// has not seen the fence only until its permit is D old, and the permit was
// issued before the start was sent. After the majority the new owner waits
// L + D and 10% for clock drift; then no agent accepts a start of an earlier
// owner. What an agent without a fence reply accepted until then belongs to
// a key that was submitted at or before the cut-off (Takeover.CutOff), and the
// new owner does not run such a task unless a ledger proves its state.
package ownership

import (
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/model"
)

// GatewayRef names one run of a gateway.
type GatewayRef struct {
	ID          string
	Incarnation model.Incarnation
}

// AgentRef names one run of an agent.
type AgentRef struct {
	ID          string
	Incarnation model.Incarnation
}

// PartitionEpoch is a partition with the epoch of an owner.
type PartitionEpoch struct {
	Partition model.Partition
	Epoch     model.Epoch
}

// Clock is one reading of a gateway's clocks.
type Clock struct {
	// Mono is the gateway's own monotonic clock.
	Mono time.Duration
	// Wall is the gateway's wall clock; only cut-offs use it.
	Wall time.Time
}

// Settings are the times that all processes of a cell must agree on.
type Settings struct {
	// Validity (L) is how long a confirmed probe counts, from its sending.
	Validity time.Duration
	// PermitLifetime (D) is the age at which an agent refuses a permit.
	PermitLifetime time.Duration
	// CallerSkew (S) is how far submitted_at may lie ahead of a gateway's clock.
	CallerSkew time.Duration
	// WallSkew bounds the difference between the wall clocks of two gateways
	// and of a gateway and the writer of a log record. A cut-off is computed
	// on another gateway's clock than the one that admitted the key.
	WallSkew time.Duration
	// Retention is how long agents keep ledger entries and gateways accept a key.
	Retention time.Duration
	// SuspectAfter is the time without a ping reply after which a gateway is
	// taken for failed.
	SuspectAfter time.Duration
	// SettleTime is how long a gateway must be healthy before it is given
	// partitions for balance.
	SettleTime time.Duration
	// MaxHandovers bounds the balance handovers in progress at one gateway.
	MaxHandovers int
	// Slack is the difference from the fair share, in partitions, that balance
	// ignores.
	Slack int
}

// DefaultSettings are the defaults of docs/design.md, section 10. The last
// three have no number there: 5 s is ten probe intervals, so that a restarting
// gateway is not given partitions; 4 handovers bound the keys that wait at one
// time; 2 partitions of 64 are within the noise of hashing.
func DefaultSettings() Settings {
	return Settings{
		Validity: 2 * time.Second, PermitLifetime: 3 * time.Second,
		CallerSkew: 5 * time.Second, WallSkew: time.Second,
		Retention: 10 * time.Minute, SuspectAfter: 1500 * time.Millisecond,
		SettleTime: 5 * time.Second, MaxHandovers: 4, Slack: 2,
	}
}

// driftMarginPercent covers monotonic clocks that run at different speeds: the
// waiting time is L + D plus this share of it.
const driftMarginPercent = 10

// waitAfterMajority is the time after which no start of an earlier owner is
// accepted by any agent.
func (s Settings) waitAfterMajority() time.Duration {
	w := s.Validity + s.PermitLifetime
	return w + w*driftMarginPercent/100
}

// cutOffAfter returns the latest submitted_at that a gateway can have admitted
// by the given time on another clock.
func (s Settings) cutOffAfter(at time.Time) time.Time {
	return at.Add(s.CallerSkew + s.WallSkew)
}
