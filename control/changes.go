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

// Leave records that a gateway incarnation has left: this gateway or one that
// crashed. It also succeeds if the incarnation is no longer a member.
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

// DrainZone sets or clears an operator's drain of an availability zone.
func (l *Loop) DrainZone(ctx context.Context, zone string, drain bool) error {
	return l.change(ctx, state.KindZoneDrain, state.ZoneDrain{Zone: zone, Drain: drain})
}

func (l *Loop) change(ctx context.Context, kind state.Kind, body any) error {
	r, err := l.Append(ctx, kind, body)
	if err != nil {
		return err
	}
	return r.Err()
}

// Claim writes a claim and returns a result that lists the partitions won and
// lost. Losing all partitions is not an error.
func (l *Loop) Claim(ctx context.Context, c state.Claim) (state.Result, error) {
	r, err := l.Append(ctx, state.KindClaim, c)
	if err != nil || len(r.Won)+len(r.Lost) > 0 {
		return r, err
	}
	// The result was recovered from a loaded state, which does not store the
	// lists. A partition was won if its epoch is the offset of the claim.
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

// AgentJoined records an agent as a member. Concurrent calls share a record. If
// the local state already has the same agent, it returns without writing to the
// log, unless fresh is set: then the answer reflects the log after the call.
// It fails with *state.RejectedError if a newer incarnation is a member or this
// one has left.
func (l *Loop) AgentJoined(ctx context.Context, a state.Agent, fresh bool) error {
	listed := l.Snapshot().Agents[a.ID]
	listed.Joined = 0 // set only by the state machine, so always 0 in a
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

// AgentLeft records that an agent incarnation has left. It also succeeds if that
// incarnation is not a member.
func (l *Loop) AgentLeft(ctx context.Context, a state.AgentLeft) error {
	if err := l.leaves.add(ctx, a); err != nil {
		return errors.Wrapf(err, "record departure of agent %s", a.ID)
	}
	return nil
}

// ChangeConfig replaces the configuration if base is the current version, and
// returns the new version. It fails with *VersionConflictError if another change
// came first. The configuration must have been validated by inventory.Parse.
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

// ConfigAt waits until the local state reaches the given configuration version
// and returns that configuration. A change of only some parts must be based on
// it: on a gateway that lags behind, the unchanged parts would otherwise come from
// an older version and revert newer changes. ConfigAt fails with
// *VersionConflictError if the state is already at a newer version.
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
