// Package link carries restartable jobs between gateways and agents: one
// stream for each pair, dialled by the agent.
package link

import (
	"time"

	pb "github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/restart/v1"
	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

const (
	// dialTimeout bounds the set-up of a connection. A VM without power answers
	// nothing; a short timeout finds it soon after it is back.
	dialTimeout = 150 * time.Millisecond
	// userTimeout ends a connection whose bytes are not acknowledged.
	userTimeout = time.Second
	// reportEvery and echoEvery are the longest times between two frames of an
	// agent and of a gateway. Their sum and the way are well under the lifetime
	// of an order.
	reportEvery = 150 * time.Millisecond
	echoEvery   = 200 * time.Millisecond
	// loadGap is the least time between two frames that only carry a load. An older
	// load costs a gateway some tasks that come back, a shorter gap frames.
	loadGap = 50 * time.Millisecond
	// silence is the time without a frame after which a link is closed.
	silence = 700 * time.Millisecond
	// frameBytes bounds a frame.
	frameBytes = 4 << 20
)

func resourcesOf(r *pb.Requirement) task.Resources {
	return task.Resources{CPUMillis: int64(r.GetCpuMillis()), MemoryMB: int64(r.GetMemoryMb()), Accelerators: int64(r.GetAccelerators())}
}

func requirementOf(r task.Resources) *pb.Requirement {
	return &pb.Requirement{CpuMillis: uint32(r.CPUMillis), MemoryMb: uint32(r.MemoryMB), Accelerators: uint32(r.Accelerators)}
}

func millis(d time.Duration) uint32 { return uint32(max(d.Milliseconds(), 0)) }

func duration(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

var outcomes = map[task.Outcome]pb.RunOutcome{
	task.Done: pb.RunOutcome_RUN_OUTCOME_DONE, task.Failed: pb.RunOutcome_RUN_OUTCOME_FAILED,
	task.NotStarted: pb.RunOutcome_RUN_OUTCOME_NOT_STARTED, task.Stopped: pb.RunOutcome_RUN_OUTCOME_STOPPED,
	task.Lost: pb.RunOutcome_RUN_OUTCOME_LOST, task.Started: pb.RunOutcome_RUN_OUTCOME_STARTED,
}

func outcomeOf(o pb.RunOutcome) task.Outcome {
	for ours, theirs := range outcomes {
		if theirs == o {
			return ours
		}
	}
	return task.Lost
}
