package agent

import (
	"sync"

	"github.com/rhubarbsail/rhubarbsail/agent/ledger"
	pb "github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/v1"
)

// messageKind tells the frames to a gateway apart.
type messageKind uint8

const (
	messageWelcome messageKind = iota + 1
	messageReport
	messageRevoked
	messageFenced
	messageProbed
)

// message is a frame to a gateway before it is split and encoded.
type message struct {
	kind messageKind
	// request is the number of the revoke, fence or probe that is answered, or the
	// incarnation in a welcome.
	request uint64
	records []ledger.Record
	newer   []ledger.PartitionEpoch
}

// next encodes the next frame of the message and removes its records from the
// message. It returns true if more frames follow.
func (m *message) next(limit int) (*pb.AgentFrame, bool) {
	n := nextChunk(m.records, limit)
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

// outbox holds the messages that wait to be sent to one gateway. Reports that
// follow each other are joined, so that outcomes that are ready at the same time
// take one frame.
type outbox struct {
	limit int
	// ready has room for one signal and is signalled after each change.
	ready chan struct{}

	mu      sync.Mutex // guards the fields below
	pending []message
	records int
	// busy is set while taken messages are being sent.
	busy bool
	// ending is set when no message may be added; overflow when the limit was
	// exceeded.
	ending, overflow bool
}

func newOutbox(limit int) *outbox {
	return &outbox{limit: limit, ready: make(chan struct{}, 1)}
}

// push adds a message. It returns false if the outbox has ended or is full; an
// outbox that was full once stays closed.
func (o *outbox) push(m message) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	defer o.signal()
	if o.ending {
		return false
	}
	// A fence reply is as long as the ledger and is bounded by it.
	if m.kind != messageFenced && o.records+len(m.records) > o.limit {
		o.ending, o.overflow = true, true
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

// take returns the waiting messages and whether more may follow.
func (o *outbox) take() (msgs []message, open bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	msgs = o.pending
	o.busy = len(msgs) > 0
	o.pending, o.records = nil, 0
	return msgs, !o.ending
}

// idle reports whether everything was sent.
func (o *outbox) idle() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.pending) == 0 && !o.busy
}

// end refuses further messages.
func (o *outbox) end() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ending = true
	o.signal()
}

func (o *outbox) overflowed() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.overflow
}

func (o *outbox) signal() {
	select {
	case o.ready <- struct{}{}:
	default:
	}
}
