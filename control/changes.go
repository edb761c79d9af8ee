package control

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"

	"github.com/rhubarbsail/rhubarbsail/common/model"
	"github.com/rhubarbsail/rhubarbsail/inventory"
	"github.com/rhubarbsail/rhubarbsail/logservice"
	"github.com/rhubarbsail/rhubarbsail/state"
)

// Join records the gateway as a member. It fails with *state.RejectedError if
// a newer incarnation is a member.
func (l *Loop) Join(ctx context.Context, g state.Gateway) error {
	return l.change(ctx, state.KindGatewayJoined, g)
}

// Leave records that the incarnation of a gateway, own or crashed, is gone. It
// succeeds also if another gateway recorded that before.
func (l *Loop) Leave(ctx context.Context, id string, inc model.Incarnation) error {
	err := l.change(ctx, state.KindGatewayLeft, state.GatewayLeft{ID: id, Incarnation: inc})
	var rejected *state.RejectedError
	if errors.As(err, &rejected) && rejected.Result.Reason == state.ReasonNotMember {
		return nil
	}
	return err
}

// Drain sets or clears an operator's drain of a target.
func (l *Loop) Drain(ctx context.Context, target string, drain bool) error {
	return l.change(ctx, state.KindTargetDrain, state.TargetDrain{Target: target, Drain: drain})
}

func (l *Loop) change(ctx context.Context, kind state.Kind, body any) error {
	r, err := l.Append(ctx, kind, body)
	if err != nil {
		return err
	}
	return r.Err()
}

// Claim writes a claim; the result lists the partitions won and lost. A claim
// that lost every partition gives no error.
func (l *Loop) Claim(ctx context.Context, c state.Claim) (state.Result, error) {
	r, err := l.Append(ctx, state.KindClaim, c)
	if err != nil || len(r.Won)+len(r.Lost) > 0 {
		return r, err
	}
	// The result is from a loaded state, which does not keep the lists.
	s := l.Snapshot()
	for _, p := range c.Partitions {
		if o := s.Owners[p.Partition]; o.Epoch == model.Epoch(r.Offset) {
			r.Won = append(r.Won, p.Partition)
		} else {
			r.Lost = append(r.Lost, state.LostClaim{Partition: p.Partition, Reason: state.ReasonEpochConflict, Epoch: o.Epoch})
		}
	}
	return r, nil
}

// AgentJoined records an agent. Calls at the same time share a record. It
// returns at once if the state lists the same agent already, unless fresh asks
// for an answer that the log gave after the call. It fails with
// *state.RejectedError if a newer incarnation is listed or this one has left.
func (l *Loop) AgentJoined(ctx context.Context, a state.Agent, fresh bool) error {
	listed := l.Snapshot().Agents[a.ID]
	listed.Joined = 0 // only the state machine sets it
	if listed == a && !fresh {
		return nil
	}
	if err := l.joins.add(ctx, a); err != nil {
		return errors.Wrapf(err, "record agent %s", a.ID)
	}
	if !l.Snapshot().Listed(a.ID, a.Incarnation) {
		return &state.RejectedError{Result: state.Result{
			ID: a.ID, Kind: state.KindAgentJoined, Outcome: state.OutcomeRejected, Reason: state.ReasonStaleIncarnation,
		}}
	}
	return nil
}

// AgentLeft records that an incarnation of an agent is gone. It succeeds also
// if that incarnation is not listed.
func (l *Loop) AgentLeft(ctx context.Context, a state.AgentLeft) error {
	if err := l.leaves.add(ctx, a); err != nil {
		return errors.Wrapf(err, "record departure of agent %s", a.ID)
	}
	return nil
}

// ChangeConfig replaces the configuration if base is the version in force and
// returns the new version. It fails with *VersionConflictError if another
// change won. The configuration must have passed inventory.Parse.
func (l *Loop) ChangeConfig(ctx context.Context, base uint64, operator string, c *inventory.Config) (uint64, error) {
	if current := l.Snapshot().ConfigVersion; current > base {
		return 0, &VersionConflictError{Base: base, Current: current}
	}
	data, err := c.JSON()
	if err != nil {
		return 0, err
	}
	r, err := l.Append(ctx, state.KindConfigChange, state.ConfigChange{Base: base, Operator: operator, Config: data})
	switch {
	case err != nil:
		return 0, err
	case r.Reason == state.ReasonVersionConflict:
		return 0, &VersionConflictError{Base: base, Current: r.Version}
	case r.Err() != nil:
		return 0, r.Err()
	}
	return r.Offset, nil
}

// ConfigAt waits until the state has the configuration of the version and
// returns it. A change of a part has to start from it: the parts that stay
// would else come from a gateway's older state and revert a newer one. It fails
// with *VersionConflictError if a newer version is in force.
func (l *Loop) ConfigAt(ctx context.Context, version uint64) (*inventory.Config, error) {
	changed, end := l.Subscribe()
	defer end()
	for {
		s := l.Snapshot()
		switch {
		case s.ConfigVersion == version:
			return s.Config, nil
		case s.ConfigVersion > version:
			return nil, &VersionConflictError{Base: version, Current: s.ConfigVersion}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, fmt.Errorf("%w: version %d of the configuration is not known here yet: %w", logservice.ErrUnavailable, version, ctx.Err())
		}
	}
}
