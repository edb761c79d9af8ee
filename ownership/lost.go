package ownership

import "github.com/rhubarbsail/rhubarbsail/common/model"

// AgentStatus is what an owner knows about the agent that it sent a task to.
type AgentStatus struct {
	// Listed is the incarnation in the log, or 0 if the agent is not listed.
	Listed model.Incarnation
	// Welcomed is the newest incarnation that answered on a link, or 0.
	Welcomed model.Incarnation
	// LinkOpen is true while the link to the incarnation that got the task is
	// open. An agent that leaves finishes its tasks and reports them.
	LinkOpen bool
}

// Lost reports whether a task that was written to the network for this
// incarnation, and has no outcome, will never have one. A continuing owner
// answers its job with may_have_run and does not send the task again: the
// ledger that could prove that the task was not started is gone.
func Lost(sentTo AgentRef, now AgentStatus) bool {
	if now.Welcomed > sentTo.Incarnation || now.Listed > sentTo.Incarnation {
		return true
	}
	return now.Listed != sentTo.Incarnation && !now.LinkOpen
}
