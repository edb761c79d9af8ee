package agent

import (
	"sync"

	"github.com/rhubarbsail/rhubarbsail/agent/ledger"
	pb "github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/v1"
)

// messageKind is the type of a message to a gateway.
type messageKind uint8

const (
	messageWelcome messageKind = iota + 1
	messageReport
	messageRevoked
	messageFenced
	messageProbed
)

// message is a message to a gateway before it is split into frames and encoded.
type message struct {
	kind messageKind
	// request is the number of the revoke, fence or probe that the message answers.
	// In a welcome it is the incarnation of the agent.
	request uint64
	records []ledger.Record
	newer   []ledger.PartitionEpoch
}

// nextFrame encodes the next frame of the message and removes the records of that
// frame from the message. It reports whether more frames follow.
func (m *message) nextFrame(limit int) (*pb.AgentFrame, bool) {
	n := recordsInNextFrame(m.records, limit)
	recs := recordsToWire(m.records[:n])
	m.records = m.records[n:]
	more := len(m.records) > 0
	switch m.kind {
	case messageWelcome:
		return &pb.AgentFrame{Frame: &pb.AgentFrame_Welcome{Welcome: &pb.Welcome{AgentIncarnation: m.request}}}, false
	case messageProbed:
		return &pb.AgentFrame{Frame: &pb.AgentFrame_Probed{Probed: &pb.ProbeReply{
			Sequence: m.request, Newer: epochsToWire(m.newer),
		}}}, false
	case messageRevoked:
		return &pb.AgentFrame{Frame: &pb.AgentFrame_Revoked{Revoked: &pb.RevokeReply{Request: m.request, Records: recs}}}, more
	case messageFenced:
		r := &pb.FenceReply{Request: m.request, Records: recs, Last: !more}
		if !more {
			r.Newer = epochsToWire(m.newer)
		}
		return &pb.AgentFrame{Frame: &pb.AgentFrame_Fenced{Fenced: r}}, more
	}
	return &pb.AgentFrame{Frame: &pb.AgentFrame_Report{Report: &pb.TaskReport{Records: recs}}}, more
}

// outbox is the queue of messages to be sent to one gateway. Consecutive reports
// are merged, so that outcomes that are ready at the same time share a frame.
type outbox struct {
	limit int
	// ready is signalled after each change. It has a buffer of one.
	ready chan struct{}

	mu      sync.Mutex // guards the fields below
	pending []message
	records int
	// sending is set while messages returned by take are being sent.
	sending bool
	// closed is set when no more messages are accepted, and overflow also if that
	// is because the limit was exceeded.
	closed, overflow bool
}

func newOutbox(limit int) *outbox {
	return &outbox{limit: limit, ready: make(chan struct{}, 1)}
}

// push adds a message and reports whether it was accepted. An outbox that exceeds
// its limit accepts no more messages.
func (o *outbox) push(m message) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	defer o.signal()
	if o.closed {
		return false
	}
	// A fence reply may be longer than the limit; the size of the ledger bounds it.
	if m.kind != messageFenced && o.records+len(m.records) > o.limit {
		o.closed, o.overflow = true, true
		return false
	}
	o.records += len(m.records)
	if n := len(o.pending); m.kind == messageReport && n > 0 && o.pending[n-1].kind == messageReport {
		last := &o.pending[n-1]
		last.records = append(last.records, m.records...)
		return true
	}
	o.pending = append(o.pending, m)
	return true
}

// take removes and returns the pending messages. open reports whether more may
// follow.
func (o *outbox) take() (msgs []message, open bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	msgs = o.pending
	o.sending = len(msgs) > 0
	o.pending, o.records = nil, 0
	return msgs, !o.closed
}

// idle reports whether all messages were sent.
func (o *outbox) idle() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.pending) == 0 && !o.sending
}

// end makes the outbox refuse further messages. Pending ones can still be taken.
func (o *outbox) end() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	o.signal()
}

func (o *outbox) overflowed() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.overflow
}

// signal wakes the goroutine that waits on ready.
func (o *outbox) signal() {
	select {
	case o.ready <- struct{}{}:
	default:
	}
}
