package link

import (
	"slices"

	pb "github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/restart/v1"
	"github.com/rhubarbsail/rhubarbsail/restartable/dispatch"
	"github.com/rhubarbsail/rhubarbsail/restartable/runner"
)

// queueUseSent records which use by queue the gateway has been sent on a link.
type queueUseSent struct {
	// known is set while the gateway asks for it and has been sent it.
	known bool
	use   []runner.QueueUse
}

// addTo adds the use by queue to a load, if the gateway asks for it and has not been sent
// the same.
func (s *queueUseSent) addTo(m *pb.TargetLoad, use []runner.QueueUse, asked bool) {
	if !asked {
		*s = queueUseSent{}
		return
	}
	if s.known && slices.Equal(use, s.use) {
		return
	}
	s.known, s.use = true, use
	m.QueueUseChanged = true
	for _, u := range use {
		m.QueueUse = append(m.QueueUse, &pb.QueueUse{Queue: u.Queue, CpuMillis: toUint32(u.CPUMillis)})
	}
}

func queueUseFromProto(all []*pb.QueueUse) []dispatch.QueueUse {
	var out []dispatch.QueueUse
	for _, u := range all {
		out = append(out, dispatch.QueueUse{Queue: u.Queue, CPUMillis: int64(u.CpuMillis)})
	}
	return out
}
