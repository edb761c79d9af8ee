package agent

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/rhubarbsail/rhubarbsail/agent/ledger"
	"github.com/rhubarbsail/rhubarbsail/common/model"
	pb "github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/v1"
)

// Limits on identifiers received from gateways. They bound the memory of the
// ledger's maps.
const (
	maxPartition = 1 << 16
	maxIndex     = 1 << 16
	maxNameBytes = 512
)

func checkName(client, key string) error {
	if client == "" || key == "" || len(client) > maxNameBytes || len(key) > maxNameBytes {
		return errors.Errorf("client (%d bytes) or key (%d bytes) outside 1 to %d", len(client), len(key), maxNameBytes)
	}
	return nil
}

func checkPartition(p uint32) error {
	if p >= maxPartition {
		return errors.Errorf("partition %d, limit %d", p, maxPartition)
	}
	return nil
}

func attemptFromWire(id *pb.TaskID, partition uint32, epoch uint64, number uint32) (ledger.Attempt, error) {
	if err := checkName(id.GetClient(), id.GetKey()); err != nil {
		return ledger.Attempt{}, err
	}
	if err := checkPartition(partition); err != nil {
		return ledger.Attempt{}, err
	}
	if id.GetIndex() >= maxIndex {
		return ledger.Attempt{}, errors.Errorf("task index %d, limit %d", id.GetIndex(), maxIndex)
	}
	return ledger.Attempt{
		Task: model.TaskID{
			Job:   model.JobKey{Client: id.GetClient(), Key: id.GetKey()},
			Index: int(id.GetIndex()),
		},
		Partition: model.Partition(partition),
		Epoch:     model.Epoch(epoch),
		Number:    number,
	}, nil
}

func permitFromWire(p *pb.Permit) ledger.Permit {
	return ledger.Permit{
		Incarnation: model.Incarnation(p.GetAgentIncarnation()),
		Issued:      time.Duration(p.GetIssuedNanos()),
	}
}

// startFromWire converts a start. now and wall are the same instant on the agent's
// monotonic clock and its wall clock.
func startFromWire(s *pb.Start, permit ledger.Permit, payloadLimit int, now time.Duration, wall time.Time) (ledger.Start, error) {
	a, err := attemptFromWire(s.GetTask(), s.GetPartition(), s.GetEpoch(), s.GetAttempt())
	if err != nil {
		return ledger.Start{}, err
	}
	if n := len(s.GetPayload()); n > payloadLimit {
		return ledger.Start{}, errors.Errorf("payload has %d bytes, limit %d", n, payloadLimit)
	}
	if n := len(s.GetJobDigest()); n != model.DigestSize {
		return ledger.Start{}, errors.Errorf("job digest has %d bytes, want %d", n, model.DigestSize)
	}
	start := ledger.Start{Attempt: a, Permit: permit, Digest: model.Digest(s.GetJobDigest())}
	if d := s.GetDeadlineUnixNanos(); d != 0 {
		// The deadline must not become 0, which means none. A deadline before the
		// start of the agent has passed in any case, so 1 is equivalent.
		start.Deadline = max(now+time.Duration(d-wall.UnixNano()), 1)
	}
	return start, nil
}

func fencesFromWire(in []*pb.PartitionEpoch) ([]ledger.PartitionEpoch, error) {
	out := make([]ledger.PartitionEpoch, len(in))
	for i, p := range in {
		if err := checkPartition(p.GetPartition()); err != nil {
			return nil, err
		}
		out[i] = ledger.PartitionEpoch{Partition: model.Partition(p.GetPartition()), Epoch: model.Epoch(p.GetEpoch())}
	}
	return out, nil
}

func attemptsFromWire(in []*pb.TaskAttempt) ([]ledger.Attempt, error) {
	out := make([]ledger.Attempt, len(in))
	for i, t := range in {
		a, err := attemptFromWire(t.GetTask(), t.GetPartition(), t.GetEpoch(), t.GetAttempt())
		if err != nil {
			return nil, err
		}
		out[i] = a
	}
	return out, nil
}

func cancellationsFromWire(in []*pb.JobKey) ([]ledger.Cancellation, error) {
	out := make([]ledger.Cancellation, len(in))
	for i, j := range in {
		if err := checkName(j.GetClient(), j.GetKey()); err != nil {
			return nil, err
		}
		if err := checkPartition(j.GetPartition()); err != nil {
			return nil, err
		}
		out[i] = ledger.Cancellation{
			Job:       model.JobKey{Client: j.GetClient(), Key: j.GetKey()},
			Partition: model.Partition(j.GetPartition()),
			Epoch:     model.Epoch(j.GetEpoch()),
		}
	}
	return out, nil
}

func recordToWire(r *ledger.Record) *pb.TaskRecord {
	return &pb.TaskRecord{
		Task: &pb.TaskID{
			Client: r.Task.Job.Client,
			Key:    r.Task.Job.Key,
			Index:  uint32(r.Task.Index),
		},
		State:      pb.TaskState(r.State),
		Refusal:    pb.RefusalReason(r.Refusal),
		Result:     r.Result,
		Error:      r.Error,
		JobDigest:  r.Digest[:],
		RunNanos:   int64(r.Run),
		QueueNanos: int64(r.Wait),
		Epoch:      uint64(r.Epoch),
		Attempt:    r.Number,
	}
}

func epochsToWire(in []ledger.PartitionEpoch) []*pb.PartitionEpoch {
	out := make([]*pb.PartitionEpoch, len(in))
	for i, p := range in {
		out[i] = &pb.PartitionEpoch{Partition: uint32(p.Partition), Epoch: uint64(p.Epoch)}
	}
	return out
}

// recordOverhead is an upper bound for the encoded size in bytes of a record
// without its strings and result.
const recordOverhead = 96

// recordsInNextFrame returns the number of records for the next frame: as many as
// fit into limit bytes, but at least one if there are any.
func recordsInNextFrame(recs []ledger.Record, limit int) int {
	size := 0
	for i := range recs {
		r := &recs[i]
		size += recordOverhead + len(r.Task.Job.Client) + len(r.Task.Job.Key) + len(r.Result) + len(r.Error)
		if i > 0 && size > limit {
			return i
		}
	}
	return len(recs)
}

func recordsToWire(recs []ledger.Record) []*pb.TaskRecord {
	out := make([]*pb.TaskRecord, len(recs))
	for i := range recs {
		out[i] = recordToWire(&recs[i])
	}
	return out
}
