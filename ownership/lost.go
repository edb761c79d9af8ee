package ownership

import "github.com/rhubarbsail/rhubarbsail/common/model"

// AgentStatus is what an owner knows about the agent that it sent a task to.
type AgentStatus struct {
	// Listed is the incarnation in the log's agent list, or 0 if there is none.
	Listed model.Incarnation
	// Welcomed is the newest incarnation that sent a Welcome on a link, or 0.
	Welcomed model.Incarnation
	// LinkOpen is true while the link to the incarnation that the task was sent to
	// is open. An agent that is leaving still finishes and reports its tasks.
	LinkOpen bool
}

// Lost reports whether the outcome of a task that was sent to this incarnation,
// and has none yet, can never arrive. The owner that sent the task then
// answers the job with may_have_run and does not send the task again, since the
// ledger that could prove that it was not started is gone.
func Lost(sentTo AgentRef, now AgentStatus) bool {
	if now.Welcomed > sentTo.Incarnation || now.Listed > sentTo.Incarnation {
		return true
	}
	return now.Listed != sentTo.Incarnation && !now.LinkOpen
}
