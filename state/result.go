package state

import (
	"fmt"

	"github.com/rhubarbsail/rhubarbsail/common/model"
)

// Outcome says what became of a record.
type Outcome string

// The outcomes of a record.
const (
	// OutcomeApplied means that the record took effect, for a list in part.
	OutcomeApplied Outcome = "applied"
	// OutcomeRejected means that the record had no effect; Reason says why.
	OutcomeRejected Outcome = "rejected"
	// OutcomeDuplicate means that a record with the same id came earlier; the
	// other fields give what became of that one.
	OutcomeDuplicate Outcome = "duplicate"
	// OutcomeOld means that the offset was applied before.
	OutcomeOld Outcome = "old"
	// OutcomeGap means that records between the state and this one are
	// missing, so that it was not applied.
	OutcomeGap Outcome = "gap"
	// OutcomeLoaded means that the state was replaced by that of a newer
	// snapshot.
	OutcomeLoaded Outcome = "loaded"
)

// Reason is the cause of a rejection.
type Reason string

// The reasons of rejections.
const (
	// ReasonMalformed: the record cannot be decoded or lacks a required field.
	ReasonMalformed Reason = "malformed"
	// ReasonUnknownKind: this version does not know the kind.
	ReasonUnknownKind Reason = "unknown_kind"
	// ReasonVersionConflict: the base is not the current version, which Version gives.
	ReasonVersionConflict Reason = "version_conflict"
	// ReasonStaleIncarnation: a newer incarnation is known, or this one has left.
	ReasonStaleIncarnation Reason = "stale_incarnation"
	// ReasonNotMember: the incarnation is not a current member.
	ReasonNotMember Reason = "not_member"
	// ReasonLate: the lease that proves a departure ended before the append.
	ReasonLate Reason = "late"
	// ReasonEpochConflict: the claim does not replace the current epoch.
	ReasonEpochConflict Reason = "epoch_conflict"
	// ReasonNotOwner: the writer of a handover is not the partition's owner.
	ReasonNotOwner Reason = "not_owner"
)

// Result tells the writer what became of a record.
type Result struct {
	// ID, Kind and Offset are those of the record.
	ID      string
	Kind    Kind
	Offset  uint64
	Outcome Outcome
	// Reason is set for a rejected record, and for a duplicate of one.
	Reason Reason
	// Version is the configuration version in force after the record.
	Version uint64
	// Won and Lost split the partitions of a claim. They are empty when the
	// outcome is known only from a later snapshot.
	Won  []model.Partition
	Lost []LostClaim
	// Ignored lists the agents of a list record that had no effect.
	Ignored []string
}

// LostClaim is a partition for which a claim had no effect.
type LostClaim struct {
	Partition model.Partition
	Reason    Reason
	// Epoch is the epoch in force.
	Epoch model.Epoch
}

// Effective reports whether the record, or the one that it duplicates, took
// effect.
func (r Result) Effective() bool {
	return r.Reason == "" && (r.Outcome == OutcomeApplied || r.Outcome == OutcomeDuplicate)
}

// Err returns a *RejectedError if the record was rejected.
func (r Result) Err() error {
	if r.Effective() {
		return nil
	}
	return &RejectedError{Result: r}
}

// RejectedError means that a record is in the log and had no effect.
type RejectedError struct{ Result Result }

func (e *RejectedError) Error() string {
	r := e.Result
	return fmt.Sprintf("record %s (%s) at offset %d %s: %s", r.ID, r.Kind, r.Offset, r.Outcome, r.Reason)
}
