// Package wire converts between the model types and the protocol buffer messages
// that gateways and agents exchange.
package wire

import (
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/model"
	rhubarbsailv1 "github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/v1"
	"github.com/rhubarbsail/rhubarbsail/ownership"
)

// TaskIDToProto converts a task id to its message.
func TaskIDToProto(id model.TaskID) *rhubarbsailv1.TaskID {
	return &rhubarbsailv1.TaskID{Client: id.Job.Client, Key: id.Job.Key, Index: uint32(id.Index)}
}

// TaskIDFromProto converts the message of a task id.
func TaskIDFromProto(id *rhubarbsailv1.TaskID) model.TaskID {
	return model.TaskID{Job: model.JobKey{Client: id.GetClient(), Key: id.GetKey()}, Index: int(id.GetIndex())}
}

// PartitionEpochsFromProto converts the messages of partition epochs.
func PartitionEpochsFromProto(in []*rhubarbsailv1.PartitionEpoch) []ownership.PartitionEpoch {
	out := make([]ownership.PartitionEpoch, len(in))
	for i, p := range in {
		out[i] = ownership.PartitionEpoch{Partition: model.Partition(p.Partition), Epoch: model.Epoch(p.Epoch)}
	}
	return out
}

// JobToProto converts a job to the request that submits it to its owner.
func JobToProto(j *model.Job) *rhubarbsailv1.SubmitRequest {
	r := &rhubarbsailv1.SubmitRequest{
		Client: j.Key.Client, Key: j.Key.Key, Service: j.Service,
		SubmittedUnixNanos: j.SubmittedAt.UnixNano(),
		DeadlineUnixNanos:  j.Deadline.UnixNano(),
		Repeatable:         j.Repeatable,
		Tasks:              make([]*rhubarbsailv1.Task, len(j.Tasks)),
	}
	for i := range j.Tasks {
		r.Tasks[i] = &rhubarbsailv1.Task{
			Payload: j.Tasks[i].Payload, ExpectedMs: uint32(j.Tasks[i].Expected / time.Millisecond),
		}
	}
	return r
}

// JobFromProto converts a submit request of another gateway to a job.
func JobFromProto(r *rhubarbsailv1.SubmitRequest) *model.Job {
	j := &model.Job{
		Key:     model.JobKey{Client: r.Client, Key: r.Key},
		Service: r.Service, Repeatable: r.Repeatable,
		SubmittedAt: time.Unix(0, r.SubmittedUnixNanos),
		Deadline:    time.Unix(0, r.DeadlineUnixNanos),
		Tasks:       make([]model.Task, len(r.Tasks)),
	}
	for i, t := range r.Tasks {
		j.Tasks[i] = model.Task{Payload: t.Payload, Expected: time.Duration(t.ExpectedMs) * time.Millisecond}
	}
	return j
}

// runStates maps run states to their enum values in messages.
var runStates = map[model.RunState]rhubarbsailv1.RunState{
	model.RunComplete:   rhubarbsailv1.RunState_RUN_STATE_COMPLETE,
	model.RunNotRun:     rhubarbsailv1.RunState_RUN_STATE_NOT_RUN,
	model.RunMayHaveRun: rhubarbsailv1.RunState_RUN_STATE_MAY_HAVE_RUN,
}

// AnswerToProto converts an answer to the response to a submit request.
func AnswerToProto(a model.Answer) *rhubarbsailv1.SubmitResponse {
	return &rhubarbsailv1.SubmitResponse{
		State: runStates[a.State], Reason: string(a.Reason), Message: a.Message,
		RetryAfterMs: a.RetryAfter.Milliseconds(), Results: a.Results,
	}
}

// AnswerFromProto converts the response to a submit request. A state that this
// version does not know becomes may_have_run.
func AnswerFromProto(r *rhubarbsailv1.SubmitResponse) model.Answer {
	a := model.Answer{
		State: model.RunMayHaveRun, Reason: model.Reason(r.Reason), Message: r.Message,
		RetryAfter: time.Duration(r.RetryAfterMs) * time.Millisecond, Results: r.Results,
	}
	switch r.State {
	case rhubarbsailv1.RunState_RUN_STATE_COMPLETE:
		a.State = model.RunComplete
	case rhubarbsailv1.RunState_RUN_STATE_NOT_RUN:
		a.State = model.RunNotRun
	}
	return a
}
