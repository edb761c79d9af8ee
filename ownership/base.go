package ownership

import (
	"cmp"
	"slices"
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/model"
)

// Member is the membership of one incarnation of an agent.
type Member struct {
	Agent AgentRef
	// Joined is the offset of the record that listed the incarnation.
	Joined uint64
	// Left is the offset of the record that removed it, or 0 while it is
	// listed. A record of a newer incarnation removes the older one.
	Left uint64
	// LeftAt is the log's time of that record.
	LeftAt time.Time
}

// ClaimRecord is a claim that took effect for a partition.
type ClaimRecord struct {
	Offset   model.Epoch
	Replaces model.Epoch
	// From is the owner before the claim and To the owner after it.
	From, To GatewayRef
	Handover bool
}

// NextBase returns the base of a partition after a claim: every owner whose end
// is not proved has applied the log up to the base. The state machine keeps it
// for each partition.
//
//   - The first claim: the new owner has read its claim.
//   - A handover: the previous owner was ready, so earlier owners have ended,
//     and it stopped by itself before it wrote the claim.
//   - A renewal (an owner that is ready replaces its own epoch): earlier owners
//     have ended, and the owner had applied the epoch that it replaces. It need
//     not have applied the renewal, since its append reply may be lost.
//   - Any other claim: the log does not show whether the takeover completes, so
//     all owners before it stay in question.
func NextBase(base uint64, c ClaimRecord) uint64 {
	switch {
	case c.Replaces == 0, c.Handover:
		return uint64(c.Offset)
	case c.From == c.To:
		return uint64(c.Replaces)
	}
	return base
}

// KeepMember reports whether a member that left is still needed: its version
// counts for a takeover from minBase (the smallest base of all partitions) on,
// or a key that it may have started is not yet too old.
func KeepMember(now time.Time, s Settings, m Member, minBase uint64) bool {
	return m.Left == 0 || m.Left > minBase || departedMatters(now, s, m)
}

// departedMatters reports whether a gateway still accepts keys that the member
// may have started.
func departedMatters(now time.Time, s Settings, m Member) bool {
	return m.Left != 0 && !s.cutOffAfter(m.LeftAt).Before(now.Add(-s.Retention))
}

// renewAfterVersions is the number of list versions after which an owner should
// renew its claim. The members of all versions since the base stay in the
// state; 64 versions bound that to a few kilobytes and cost one record in 64.
const renewAfterVersions = 64

// ShouldRenew reports whether an owner should replace its own epoch, so that
// old list versions need not be kept. Only an owner whose takeover is Ready may
// renew: a renewal states that all earlier owners have ended. The owner keeps
// its Takeover, and with it the cut-off, under the new epoch.
func ShouldRenew(base, applied uint64, members []Member) bool {
	return countVersions(members, base, applied) > renewAfterVersions
}

func countVersions(members []Member, from, to uint64) int {
	n := 1
	for _, m := range members {
		if m.Joined > from && m.Joined < to {
			n++
		}
		if m.Left > from && m.Left < to {
			n++
		}
	}
	return n
}

// majorityOfEach reports whether the agents for which counts returns true are a
// majority of every list version in [from, to). An empty version needs nobody:
// no owner is valid on it.
func majorityOfEach(members []Member, from, to uint64, counts func(Member) bool) bool {
	type change struct {
		at            uint64
		size, counted int
	}
	var changes []change
	for _, m := range members {
		if m.Joined >= to || m.Left != 0 && m.Left <= from {
			continue
		}
		one := 0
		if counts(m) {
			one = 1
		}
		changes = append(changes, change{max(m.Joined, from), 1, one})
		if m.Left != 0 && m.Left < to {
			changes = append(changes, change{m.Left, -1, -one})
		}
	}
	slices.SortFunc(changes, func(a, b change) int { return cmp.Compare(a.at, b.at) })
	size, counted := 0, 0
	for i, c := range changes {
		size, counted = size+c.size, counted+c.counted
		last := i+1 == len(changes) || changes[i+1].at != c.at
		if last && size > 0 && 2*counted <= size {
			return false
		}
	}
	return true
}
