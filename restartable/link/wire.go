// Package link carries the traffic of restartable jobs between gateways and
// agents: one stream for each pair, opened by the agent.
package link

import (
	"math"
	"time"

	pb "github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/restart/v1"
	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

const (
	// idleTimeout is the time after which a connection without a call is closed. The one of
	// a call that has timed out is not idle yet when its client closes idle connections, and
	// a suspended VM does not close it either.
	idleTimeout = 2 * time.Second
	// dialTimeout limits the time to establish a connection. It is short because
	// a VM without power does not answer at all, and is to be reached soon after it
	// is back.
	dialTimeout = 150 * time.Millisecond
	// tcpUserTimeout is the time after which a connection with unacknowledged
	// data is closed.
	tcpUserTimeout = time.Second
	// reportInterval and echoInterval are the maximum times between two frames of
	// an agent and of a gateway. Their sum plus the network delay is well below
	// the maximum age of an order at the agent.
	reportInterval = 150 * time.Millisecond
	echoInterval   = 200 * time.Millisecond
	// minLoadInterval is the minimum time between a frame and a following one
	// that carries only a load. A longer one makes gateways place some tasks by
	// an outdated load, which are then refused and tried again; a shorter one
	// costs more frames.
	minLoadInterval = 50 * time.Millisecond
	// receiveTimeout is the time without a received frame after which a link is
	// closed.
	receiveTimeout = 700 * time.Millisecond
	// maxFrameBytes is the maximum size of a frame.
	maxFrameBytes = 4 << 20
)

func resourcesFromProto(r *pb.Requirement) task.Resources {
	return task.Resources{CPUMillis: int64(r.GetCpuMillis()), MemoryMB: int64(r.GetMemoryMb()), Accelerators: int64(r.GetAccelerators())}
}

func resourcesToProto(r task.Resources) *pb.Requirement {
	return &pb.Requirement{CpuMillis: toUint32(r.CPUMillis), MemoryMb: toUint32(r.MemoryMB), Accelerators: toUint32(r.Accelerators)}
}

// toUint32 returns n, or the nearest value that a field of a frame can hold. A large
// amount would count as a small one if its upper bits were dropped.
func toUint32[N int | int64](n N) uint32 { return uint32(min(max(int64(n), 0), math.MaxUint32)) }

func toMillis(d time.Duration) uint32 { return toUint32(d.Milliseconds()) }

// toPermille returns a ratio in thousandths.
func toPermille(ratio float64) uint32 { return uint32(min(max(ratio*1000, 0), math.MaxUint32)) }

func fromMillis(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

var outcomesToProto = map[task.Outcome]pb.RunOutcome{
	task.Done: pb.RunOutcome_RUN_OUTCOME_DONE, task.Failed: pb.RunOutcome_RUN_OUTCOME_FAILED,
	task.NotStarted: pb.RunOutcome_RUN_OUTCOME_NOT_STARTED, task.Stopped: pb.RunOutcome_RUN_OUTCOME_STOPPED,
	task.Lost: pb.RunOutcome_RUN_OUTCOME_LOST, task.Started: pb.RunOutcome_RUN_OUTCOME_STARTED,
}

func outcomeFromProto(o pb.RunOutcome) task.Outcome {
	for internal, external := range outcomesToProto {
		if external == o {
			return internal
		}
	}
	return task.Lost
}
