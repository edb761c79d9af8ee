package ownership

import "time"

// Submission counts the open copies of one client request: those that the gateway
// which handles it has sent to owners and that may still start the job. A copy
// that is delayed in the network can reach an owner after another owner has
// answered not_run, and would then start the job. The handler therefore answers
// not_run, whether an owner said so or the deadline has passed, only while no copy
// is open. Otherwise it answers may_have_run.
//
// An owner answers not_run only while its Validity holds, since after that it may
// have a successor that has started the job.
type Submission struct{ openCopies int }

// Sent records a copy as open. Call it before the copy is written.
func (s *Submission) Sent() { s.openCopies++ }

// Closed records that a copy can no longer cause a start: its receiver answered
// the request, or replied that it is not the owner and has not sent any task of
// the job, or the copy was never written. A timeout or a broken connection does
// not close a copy. Nor does the reply of an owner that lost its ownership after
// it had sent tasks, or that handed the job over in its job table: then the job may
// run without this copy.
func (s *Submission) Closed() { s.openCopies-- }

// MayAnswerNotRun reports whether no copy is open, so that not_run is true.
func (s *Submission) MayAnswerNotRun() bool { return s.openCopies == 0 }

// AcceptAge returns the age of submitted_at above which a gateway refuses a key as
// too_old. It is shorter than Retention because an agent's clock, which measures
// the retention, may run 10% fast, and because a task may start before its
// submitted_at by the skews of the caller's and the gateways' clocks. The age must
// be checked when the request arrives and again when a new owner decides on it.
func (s Settings) AcceptAge() time.Duration {
	return s.Retention*100/(100+driftMarginPercent) - s.CallerSkew - s.WallSkew
}

// TooOld reports whether agents may have deleted the ledger entries of a key.
func (s Settings) TooOld(wall, submittedAt time.Time) bool {
	return wall.Sub(submittedAt) > s.AcceptAge()
}
