package state

import (
	"fmt"

	"github.com/rhubarbsail/rhubarbsail/common/model"
)

// Outcome describes how a record was handled.
type Outcome string

// Outcomes of a record.
const (
	// OutcomeApplied means that the record took effect, at least for some items
	// of a list.
	OutcomeApplied Outcome = "applied"
	// OutcomeRejected means that the record had no effect; Reason says why.
	OutcomeRejected Outcome = "rejected"
	// OutcomeDuplicate means that an earlier record has the same ID; the other
	// fields of Result describe the earlier record.
	OutcomeDuplicate Outcome = "duplicate"
	// OutcomeAlreadyApplied means that the record at this offset was already applied.
	OutcomeAlreadyApplied Outcome = "old"
	// OutcomeGap means that the record was not applied because records before it
	// are missing.
	OutcomeGap Outcome = "gap"
	// OutcomeLoaded means that a newer snapshot replaced the state.
	OutcomeLoaded Outcome = "loaded"
)

// Reason explains why a record was rejected.
type Reason string

// Reasons for a rejection.
const (
	// ReasonMalformed: the record cannot be decoded or lacks a required field.
	ReasonMalformed Reason = "malformed"
	// ReasonUnknownKind: this version does not know the kind.
	ReasonUnknownKind Reason = "unknown_kind"
	// ReasonVersionConflict: the change is not based on the current version, which is in
	// Result.Version.
	ReasonVersionConflict Reason = "version_conflict"
	// ReasonStaleIncarnation: a newer incarnation is known, or this one has left.
	ReasonStaleIncarnation Reason = "stale_incarnation"
	// ReasonNotMember: the incarnation is not a current member.
	ReasonNotMember Reason = "not_member"
	// ReasonLeaseExpired: the lease that proves an agent's departure had expired
	// when the log appended the record.
	ReasonLeaseExpired Reason = "late"
	// ReasonEpochConflict: the claim does not replace the current epoch.
	ReasonEpochConflict Reason = "epoch_conflict"
	// ReasonNotOwner: the writer of a handover does not own the partition.
	ReasonNotOwner Reason = "not_owner"
)

// Result is the result of applying a record, as returned to its writer.
type Result struct {
	// ID, Kind and Offset identify the record.
	ID      string
	Kind    Kind
	Offset  uint64
	Outcome Outcome
	// Reason is set for a rejected record and for a duplicate of a rejected one.
	Reason Reason
	// Version is the configuration version in force after the record.
	Version uint64
	// Won and Lost list the partitions for which a claim did or did not take
	// effect. Both are empty if the result was recovered from a snapshot.
	Won  []model.Partition
	Lost []LostClaim
	// Ignored lists the agents for which a list record had no effect.
	Ignored []string
}

// LostClaim is a partition for which a claim had no effect.
type LostClaim struct {
	Partition model.Partition
	Reason    Reason
	// Epoch is the current epoch of the partition.
	Epoch model.Epoch
}

// Effective reports whether the record took effect or duplicates one that did.
func (r Result) Effective() bool {
	return r.Reason == "" && (r.Outcome == OutcomeApplied || r.Outcome == OutcomeDuplicate)
}

// Err returns a *RejectedError unless the record took effect.
func (r Result) Err() error {
	if r.Effective() {
		return nil
	}
	return &RejectedError{Result: r}
}

// RejectedError reports a record that is in the log but had no effect.
type RejectedError struct{ Result Result }

func (e *RejectedError) Error() string {
	r := e.Result
	return fmt.Sprintf("record %s (%s) at offset %d %s: %s", r.ID, r.Kind, r.Offset, r.Outcome, r.Reason)
}
