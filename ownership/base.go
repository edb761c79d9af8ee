package ownership

import (
	"cmp"
	"slices"
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/model"
)

// Member is the membership of one agent incarnation in the log's agent list.
type Member struct {
	Agent AgentRef
	// Joined is the offset of the record that added the incarnation.
	Joined uint64
	// Left is the offset of the record that removed it, or 0 while it is listed.
	// The record that adds a newer incarnation also removes the older one.
	Left uint64
	// LeftAt is the timestamp of that record in the log.
	LeftAt time.Time
}

// ClaimRecord is a log record by which a gateway became the owner of a partition,
// or renewed its ownership.
type ClaimRecord struct {
	Offset   model.Epoch
	Replaces model.Epoch
	// From is the owner before the claim and To the owner after it.
	From, To GatewayRef
	Handover bool
}

// NextBase returns the base of a partition after a claim. Every owner that may
// still be valid has applied the log at least up to the base. The log's state
// machine stores it for each partition. By kind of claim:
//
//   - First claim: the base is the claim, since an owner acts only after it has
//     read its claim.
//   - Handover: the base is the claim. The previous owner was ready, so earlier
//     owners have ended, and it stopped serving before it wrote the claim.
//   - Renewal (a ready owner replaces its own epoch): the base is the replaced
//     epoch. Earlier owners have ended, and the owner has applied the epoch that
//     it replaces, but perhaps not the renewal, since the append reply may be lost.
//   - Any other claim: the base stays. The log does not show whether the takeover
//     completes, so every earlier owner may still be valid.
func NextBase(base uint64, c ClaimRecord) uint64 {
	switch {
	case c.Replaces == 0, c.Handover:
		return uint64(c.Offset)
	case c.From == c.To:
		return uint64(c.Replaces)
	}
	return base
}

// KeepMember reports whether the state has to keep a member: it is listed, or a
// takeover needs it because it left after minBase (the smallest base of all
// partitions), or gateways still accept keys whose tasks it may have started.
func KeepMember(now time.Time, s Settings, m Member, minBase uint64) bool {
	return m.Left == 0 || m.Left > minBase || departedWithinRetention(now, s, m)
}

// departedWithinRetention reports whether the member has left and gateways still
// accept keys whose tasks it may have started.
func departedWithinRetention(now time.Time, s Settings, m Member) bool {
	return m.Left != 0 && !s.cutOffAfter(m.LeftAt).Before(now.Add(-s.Retention))
}

// renewAfterVersions is the number of list versions after which an owner should
// renew its claim. The state keeps the members of all versions since the base:
// with 64 versions that is at most a few kilobytes, for one more log record in 64.
const renewAfterVersions = 64

// ShouldRenew reports whether an owner should replace its own epoch, so that old
// list versions can be discarded. Only an owner whose takeover is Ready may renew,
// since a renewal implies that all earlier owners have ended. The owner keeps its
// Takeover, including the cut-off, under the new epoch.
func ShouldRenew(base, applied uint64, members []Member) bool {
	return countVersions(members, base, applied) > renewAfterVersions
}

// countVersions returns the number of list versions in [from, to).
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

// majorityOfEachVersion reports whether the members for which counts returns true
// form a majority of every list version in [from, to). An empty version needs no
// majority, since no owner is valid under it.
func majorityOfEachVersion(members []Member, from, to uint64, counts func(Member) bool) bool {
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
