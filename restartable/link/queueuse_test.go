package link

import (
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	pb "github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/restart/v1"
	"github.com/rhubarbsail/rhubarbsail/restartable/dispatch"
	"github.com/rhubarbsail/rhubarbsail/restartable/runner"
)

// Guards against a use by queue that is sent although nobody asks for it, that is sent
// again without a change, or that a gateway which asks anew does not get.
func TestUseByQueueIsSentWhenAskedForAndChanged(t *testing.T) {
	var sent queueUseSent
	first, second := []runner.QueueUse{{Queue: "a", CPUMillis: 3000}}, []runner.QueueUse{{Queue: "a", CPUMillis: 3000}, {Queue: "b", CPUMillis: 7000}}
	for i, step := range []struct {
		use     []runner.QueueUse
		asked   bool
		changed bool
	}{
		{first, false, false}, {first, true, true}, {first, true, false}, {second, true, true}, {nil, true, true}, {nil, true, false},
		{second, false, false}, {nil, true, true},
	} {
		m := &pb.TargetLoad{}
		sent.addTo(m, step.use, step.asked)
		if m.QueueUseChanged != step.changed {
			t.Errorf("step %d: changed %v, want %v", i, m.QueueUseChanged, step.changed)
		}
		if got := queueUseFromProto(m.QueueUse); step.changed && len(got) != len(step.use) || !step.changed && len(got) > 0 {
			t.Errorf("step %d: sent %v", i, got)
		}
	}
}

// Guards against reports that grow beyond what docs/CAPACITY.md says: 3 bytes, and for each
// queue 9 and its name.
func TestBytesOfTheUseByQueue(t *testing.T) {
	const perReport, perQueue = 3, 9
	use := []runner.QueueUse{{Queue: "batch-scan", CPUMillis: 24_000}, {Queue: "drum-lookup", CPUMillis: 900}, {Queue: "stock-check", CPUMillis: 96_000}}
	base := &pb.TargetLoad{Accepting: true, Samples: 20}
	grown := proto.Clone(base).(*pb.TargetLoad)
	(&queueUseSent{}).addTo(grown, use, true)
	want := perReport
	for _, u := range use {
		want += perQueue + len(u.Queue)
	}
	if got := proto.Size(grown) - proto.Size(base); got > want {
		t.Errorf("a report grows by %d bytes, want at most %d", got, want)
	}
}

// Guards against a use that arrives changed.
func TestUseByQueueArrives(t *testing.T) {
	m := &pb.TargetLoad{}
	(&queueUseSent{}).addTo(m, []runner.QueueUse{{Queue: "a", CPUMillis: 1}, {Queue: "b", CPUMillis: 1 << 40}}, true)
	want := []dispatch.QueueUse{{Queue: "a", CPUMillis: 1}, {Queue: "b", CPUMillis: 1<<32 - 1}}
	if got := queueUseFromProto(m.QueueUse); !slices.Equal(got, want) {
		t.Errorf("arrived %v, want %v", got, want)
	}
}
