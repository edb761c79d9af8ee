package ownership

import (
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/model"
)

// TakeoverState is the progress of a new owner.
type TakeoverState uint8

// The states of a takeover.
const (
	// Collecting means that an earlier owner may still be valid.
	Collecting TakeoverState = iota + 1
	// Waiting means that a majority has replied and that starts which are in
	// flight have not all expired yet.
	Waiting
	// Ready means that the owner may serve, subject to CutOff and Validity.
	Ready
)

// Decision is what a new owner does with a task of a key.
type Decision uint8

// The decisions.
const (
	// Hold: the takeover is not ready. A request that an earlier owner may have
	// seen must not be answered not_run.
	Hold Decision = iota + 1
	// Run: no earlier owner started the task.
	Run
	// MayHaveRun: an agent whose ledger is missing, or has dropped its entry,
	// may have started the task.
	MayHaveRun
)

// Takeover is the progress of one gateway with the partitions of one claim that
// have the same base. It belongs to one goroutine.
type Takeover struct {
	s       Settings
	claimed uint64
	base    uint64
	collect bool
	// inherited is the cut-off of the previous owner after a handover.
	inherited time.Time
	members   []Member
	replied   map[AgentRef]bool
	// endsAt and endsWall are set when a majority of each version has replied.
	majority bool
	endsAt   time.Duration
	endsWall time.Time
}

// NewTakeover starts the takeover from another owner. members are the agents
// listed at the claim and those that left at or after the base or within the
// retention time (KeepMember). Each member that has not left must be sent the
// fence.
func NewTakeover(now Clock, s Settings, claimed model.Epoch, base uint64, members []Member) *Takeover {
	t := &Takeover{s: s, claimed: uint64(claimed), base: base, collect: true, replied: map[AgentRef]bool{}}
	for _, m := range members {
		if m.Joined < t.claimed {
			t.members = append(t.members, m)
		}
	}
	t.advance(now)
	return t
}

// NewFirstClaim returns the takeover of partitions that were never owned. No
// task of theirs was ever started, so it is ready at once.
func NewFirstClaim(s Settings) *Takeover { return &Takeover{s: s} }

// NewHandover returns the takeover by a gateway that holds the job table of the
// previous owner. The previous owner was ready, stopped starting before it sent
// the table, and does not start again unless a claim of its own that replaces
// its old epoch takes effect; an append whose reply is lost may still take
// effect later. inherited is the previous owner's cut-off, or zero. Tasks that
// the table shows as sent are not unknown: the new owner still fences the
// agents to learn their outcome.
func NewHandover(s Settings, inherited time.Time) *Takeover {
	return &Takeover{s: s, inherited: inherited}
}

// Replied notes that all frames of the agent's fence reply have arrived. A
// reply of another incarnation than the listed one has no effect.
func (t *Takeover) Replied(now Clock, a AgentRef) {
	if t.collect {
		t.replied[a] = true
		t.advance(now)
	}
}

// Left notes a departure record that was applied after the claim.
func (t *Takeover) Left(now Clock, a AgentRef, offset uint64, at time.Time) {
	for i := range t.members {
		if t.members[i].Agent == a && t.members[i].Left == 0 {
			t.members[i].Left, t.members[i].LeftAt = offset, at
		}
	}
	t.advance(now)
}

func (t *Takeover) advance(now Clock) {
	if !t.collect || t.majority {
		return
	}
	ended := func(m Member) bool { return m.Left != 0 || t.replied[m.Agent] }
	if majorityOfEach(t.members, t.base, t.claimed, ended) {
		wait := t.s.waitAfterMajority()
		t.majority, t.endsAt, t.endsWall = true, now.Mono+wait, now.Wall.Add(wait)
	}
}

// Missing returns the listed agents that have not replied and may still accept
// starts or deliver their ledger.
func (t *Takeover) Missing() []AgentRef {
	var out []AgentRef
	for _, m := range t.members {
		if m.Left == 0 && !t.replied[m.Agent] {
			out = append(out, m.Agent)
		}
	}
	return out
}

// State returns the progress at the time on the gateway's monotonic clock.
func (t *Takeover) State(now time.Duration) TakeoverState {
	switch {
	case !t.collect || len(t.Missing()) == 0:
		// Every agent that can accept a start refuses the old epochs.
		return Ready
	case !t.majority:
		return Collecting
	case now < t.endsAt:
		return Waiting
	}
	return Ready
}

// ReadyAt returns the time at which waiting ends, and false while no majority
// has replied.
func (t *Takeover) ReadyAt() (time.Duration, bool) {
	return t.endsAt, t.majority
}

// CutOff returns the latest submitted_at of a key that an agent whose ledger is
// missing may have started for an earlier owner, or zero if no ledger is
// missing. It is meaningful in state Ready. The cut-off falls away when the
// missing agents reply later, because then their ledgers are known.
func (t *Takeover) CutOff(now Clock) time.Time {
	out := t.inherited
	for _, m := range t.members {
		var end time.Time
		switch {
		case t.replied[m.Agent]:
			continue
		case m.Left == 0:
			end = t.endsWall
		case departedMatters(now.Wall, t.s, m):
			end = m.LeftAt
			if t.majority && t.endsWall.Before(end) {
				end = t.endsWall
			}
		default:
			continue
		}
		if c := t.s.cutOffAfter(end); c.After(out) {
			out = c
		}
	}
	return out
}

// Decide returns what to do with a task that no collected ledger shows as
// running or finished. Tombstones and dropped queue entries do not prove
// anything about other agents and count as not shown.
func (t *Takeover) Decide(now Clock, submittedAt time.Time) Decision {
	if t.State(now.Mono) != Ready {
		return Hold
	}
	if c := t.CutOff(now); !c.IsZero() && !submittedAt.After(c) {
		return MayHaveRun
	}
	if t.s.TooOld(now.Wall, submittedAt) {
		// The request may have waited while the ledgers dropped the task.
		return MayHaveRun
	}
	return Run
}
