package ownership

import (
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/model"
)

// TakeoverState is the state of a Takeover.
type TakeoverState uint8

// The states of a takeover.
const (
	// Collecting means that majorities are missing, so that an earlier owner may
	// still be valid.
	Collecting TakeoverState = iota + 1
	// Waiting means that a majority of each list version has replied or left, but
	// that agents may still accept starts that an earlier owner sent before.
	Waiting
	// Ready means that the owner may serve, subject to CutOff and Validity.
	Ready
)

// Decision is the decision of a new owner on a task.
type Decision uint8

// The decisions of Takeover.Decide.
const (
	// Hold: the takeover is not ready, so the request must wait. It must not be
	// answered not_run, since an earlier owner may have started the task.
	Hold Decision = iota + 1
	// Run: no earlier owner has started the task.
	Run
	// MayHaveRun: the task may have been started by an agent whose ledger is
	// missing or has already deleted the entry.
	MayHaveRun
)

// Takeover is the progress of a new owner after a claim, for the partitions of
// that claim that have the same base. It is not safe for concurrent use.
type Takeover struct {
	settings Settings
	// claimOffset is the offset of the claim.
	claimOffset uint64
	base        uint64
	// needsReplies is true if the takeover needs fence replies.
	needsReplies bool
	// inheritedCutOff is the cut-off of the previous owner after a handover.
	inheritedCutOff time.Time
	members         []Member
	replied         map[AgentRef]bool
	// majority is true once the members that replied or left form a majority of
	// each list version. waitEndsAt and waitEndsWall are then the end of the
	// waiting time on the two clocks.
	majority     bool
	waitEndsAt   time.Duration
	waitEndsWall time.Time
}

// NewTakeover starts a takeover from another owner that has not handed over its job
// table. members are the agents listed at the claim and those that left after the
// base or within the retention time (KeepMember). The fence must be sent to each
// member that has not left.
func NewTakeover(now Clock, s Settings, claimed model.Epoch, base uint64, members []Member) *Takeover {
	t := &Takeover{settings: s, claimOffset: uint64(claimed), base: base, needsReplies: true, replied: map[AgentRef]bool{}}
	for _, m := range members {
		if m.Joined < t.claimOffset {
			t.members = append(t.members, m)
		}
	}
	t.checkMajority(now)
	return t
}

// NewFirstClaim returns the takeover of partitions that never had an owner. It is
// ready at once, since none of their tasks can have been started.
func NewFirstClaim(s Settings) *Takeover { return &Takeover{settings: s} }

// NewHandover returns the takeover by a gateway that has received the job table of
// the previous owner. The previous owner was ready and stopped starting tasks
// before it sent the table. It must not resume unless a claim of its own that
// replaces its old epoch takes effect, since the handover's claim may still take
// effect after its append reply was lost. inherited is the previous owner's
// cut-off, or zero. The new owner still sends the fence, to learn the outcome of
// the tasks that the table shows as sent.
func NewHandover(s Settings, inherited time.Time) *Takeover {
	return &Takeover{settings: s, inheritedCutOff: inherited}
}

// Replied records that all frames of the agent's fence reply have arrived. A reply
// of an incarnation that is not a member has no effect.
func (t *Takeover) Replied(now Clock, a AgentRef) {
	if t.needsReplies {
		t.replied[a] = true
		t.checkMajority(now)
	}
}

// Left records a departure that the log contains after the claim.
func (t *Takeover) Left(now Clock, a AgentRef, offset uint64, at time.Time) {
	for i := range t.members {
		if t.members[i].Agent == a && t.members[i].Left == 0 {
			t.members[i].Left, t.members[i].LeftAt = offset, at
		}
	}
	t.checkMajority(now)
}

// checkMajority starts the waiting time once the majorities are complete.
func (t *Takeover) checkMajority(now Clock) {
	if !t.needsReplies || t.majority {
		return
	}
	ended := func(m Member) bool { return m.Left != 0 || t.replied[m.Agent] }
	if majorityOfEachVersion(t.members, t.base, t.claimOffset, ended) {
		wait := t.settings.waitAfterMajority()
		t.majority, t.waitEndsAt, t.waitEndsWall = true, now.Mono+wait, now.Wall.Add(wait)
	}
}

// Missing returns the agents that have neither replied nor left. They may still
// accept starts of an earlier owner, and may still deliver their ledger.
func (t *Takeover) Missing() []AgentRef {
	var out []AgentRef
	for _, m := range t.members {
		if m.Left == 0 && !t.replied[m.Agent] {
			out = append(out, m.Agent)
		}
	}
	return out
}

// State returns the state at the given time of the gateway's monotonic clock.
func (t *Takeover) State(now time.Duration) TakeoverState {
	switch {
	case !t.needsReplies || len(t.Missing()) == 0:
		// Every agent that could accept a start refuses the earlier epochs now.
		return Ready
	case !t.majority:
		return Collecting
	case now < t.waitEndsAt:
		return Waiting
	}
	return Ready
}

// ReadyAt returns the time at which the waiting time ends, and false while
// majorities are missing.
func (t *Takeover) ReadyAt() (time.Duration, bool) {
	return t.waitEndsAt, t.majority
}

// CutOff returns the latest submitted_at of any key whose tasks an agent may have
// started for an earlier owner without the new owner having its ledger, or zero if
// there is no such agent. It is meaningful in state Ready. Agents that reply later
// stop counting, since their ledgers are then known.
func (t *Takeover) CutOff(now Clock) time.Time {
	out := t.inheritedCutOff
	for _, m := range t.members {
		var end time.Time
		switch {
		case t.replied[m.Agent]:
			continue
		case m.Left == 0:
			end = t.waitEndsWall
		case departedWithinRetention(now.Wall, t.settings, m):
			end = m.LeftAt
			if t.majority && t.waitEndsWall.Before(end) {
				end = t.waitEndsWall
			}
		default:
			continue
		}
		if c := t.settings.cutOffAfter(end); c.After(out) {
			out = c
		}
	}
	return out
}

// Decide returns the decision on a task that no collected ledger shows as running
// or finished. A ledger entry that the task was revoked or dropped from the queue
// counts as not shown, since it proves nothing about other agents.
func (t *Takeover) Decide(now Clock, submittedAt time.Time) Decision {
	if t.State(now.Mono) != Ready {
		return Hold
	}
	if c := t.CutOff(now); !c.IsZero() && !submittedAt.After(c) {
		return MayHaveRun
	}
	if t.settings.TooOld(now.Wall, submittedAt) {
		// Agents may have deleted the ledger entries while the request waited.
		return MayHaveRun
	}
	return Run
}
