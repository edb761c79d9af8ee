package ownership

import "time"

// Submission tracks the copies of one request that its handler sent to owners.
// A copy that is delayed in the network can reach an owner after another owner
// answered not_run, and would start the job then. The handler therefore passes
// on not_run, or answers it by itself at the deadline, only while no copy is
// open, and otherwise answers may_have_run.
//
// An owner answers not_run only while it is Valid. An owner that is not may
// have a successor that started the job.
type Submission struct{ open int }

// Sent notes a copy; call it before the write.
func (s *Submission) Sent() { s.open++ }

// Closed notes that a copy did not cause a start and can no longer cause one:
// its receiver answered the request, or replied that it is not the owner and
// had not sent any task of the job, or the copy was never written. A timeout or a
// broken connection does not close a copy. Neither does the reply of an owner
// that lost its ownership after it had sent tasks, or that handed the job over
// with its table: the job may run without this copy.
func (s *Submission) Closed() { s.open-- }

// MayAnswerNotRun reports whether no copy is open.
func (s *Submission) MayAnswerNotRun() bool { return s.open == 0 }

// AcceptAge is the age of submitted_at from which on a gateway refuses a key as
// too_old. It is shorter than Retention, because an agent's clock may run 10%
// fast while it counts the retention, and because a task may start before its
// submitted_at by the skews of the caller's and the gateways' clocks. The check
// is needed when the request arrives and again when a new owner decides.
func (s Settings) AcceptAge() time.Duration {
	return s.Retention*100/(100+driftMarginPercent) - s.CallerSkew - s.WallSkew
}

// TooOld reports whether ledgers may have dropped the tasks of a key.
func (s Settings) TooOld(wall, submittedAt time.Time) bool {
	return wall.Sub(submittedAt) > s.AcceptAge()
}
