package gateway

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/go-faster/errors"

	"github.com/rhubarbsail/rhubarbsail/control"
	"github.com/rhubarbsail/rhubarbsail/httpapi"
	"github.com/rhubarbsail/rhubarbsail/inventory"
	"github.com/rhubarbsail/rhubarbsail/logservice"
	"github.com/rhubarbsail/rhubarbsail/ownership"
)

var _ httpapi.Operations = (*Gateway)(nil)

// configParts is a configuration in the form of its two JSON documents.
type configParts struct {
	Inventory json.RawMessage `json:"inventory"`
	Rules     json.RawMessage `json:"rules"`
}

// partsOf splits a configuration into its documents.
func partsOf(c *inventory.Config) (configParts, error) {
	var parts configParts
	b, err := c.JSON()
	if err != nil {
		return parts, err
	}
	if err := json.Unmarshal(b, &parts); err != nil {
		return parts, errors.Wrap(err, "split configuration")
	}
	return parts, nil
}

// Config implements httpapi.Operations.
func (g *Gateway) Config(context.Context) httpapi.ConfigView {
	v := g.control.Snapshot()
	parts, _ := partsOf(v.Config)
	return httpapi.ConfigView{
		Version: v.ConfigVersion, Operator: v.ConfigOperator, ChangedAt: v.ConfigChangedAt,
		Inventory: parts.Inventory, Rules: parts.Rules,
	}
}

// changeTimeout bounds an operator's change, so that it fails with a definite error
// while the log is unavailable. It covers one attempt to append (3 s) and reading the
// record back.
const changeTimeout = 5 * time.Second

// ChangeConfig implements httpapi.Operations.
func (g *Gateway) ChangeConfig(ctx context.Context, c httpapi.ConfigChange) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	// Documents that the change leaves out are taken from its base version. This
	// gateway's own state may lag behind the log, and its older documents would
	// revert a newer change.
	base, err := g.control.ConfigAt(ctx, c.Base)
	if err != nil {
		return 0, g.toAPIError(err)
	}
	parts, err := partsOf(base)
	if err != nil {
		return 0, err
	}
	if c.Inventory != nil {
		parts.Inventory = c.Inventory
	}
	if c.Rules != nil {
		parts.Rules = c.Rules
	}
	cfg, err := inventory.ParseFiles(
		inventory.File{Name: "inventory", Data: parts.Inventory}, inventory.File{Name: "rules", Data: parts.Rules})
	if err != nil {
		return 0, err
	}
	version, err := g.control.ChangeConfig(ctx, c.Base, c.Operator, cfg)
	return version, g.toAPIError(err)
}

// toAPIError converts errors of the control loop to those of the API.
func (g *Gateway) toAPIError(err error) error {
	var conflict *control.VersionConflictError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &conflict):
		return &httpapi.VersionConflictError{Base: conflict.Base, Current: conflict.Current, Operator: g.operatorOf(conflict.Current)}
	case errors.Is(err, logservice.ErrUnavailable):
		return httpapi.ErrUnavailable
	case errors.Is(err, logservice.ErrUnknownOutcome):
		return &httpapi.UnknownOutcomeError{Cause: err}
	}
	return err
}

// operatorOf returns the operator who published the configuration version, or "" if
// another version is in force.
func (g *Gateway) operatorOf(version uint64) string {
	if v := g.control.Snapshot(); v.ConfigVersion == version {
		return v.ConfigOperator
	}
	return ""
}

// SetDrain implements httpapi.Operations.
func (g *Gateway) SetDrain(ctx context.Context, target string, drain bool) error {
	v := g.control.Snapshot()
	_, known := v.Config.Target(target)
	for _, a := range v.Agents {
		known = known || a.Target == target
	}
	if !known {
		return httpapi.ErrUnknownTarget
	}
	return g.publish(ctx, func(ctx context.Context) error { return g.control.Drain(ctx, target, drain) })
}

// SetZoneDrain implements httpapi.Operations.
func (g *Gateway) SetZoneDrain(ctx context.Context, zone string, drain bool) error {
	v := g.control.Snapshot()
	// The drain of a zone that no longer has targets can be ended.
	known := v.DrainedZones[zone]
	for _, t := range v.Config.Targets() {
		known = known || t.AvailabilityZone == zone
	}
	for _, a := range v.Agents {
		known = known || a.AvailabilityZone == zone
	}
	if !known {
		return httpapi.ErrUnknownZone
	}
	return g.publish(ctx, func(ctx context.Context) error { return g.control.DrainZone(ctx, zone, drain) })
}

// publish records an operator's change within changeTimeout.
func (g *Gateway) publish(ctx context.Context, change func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	return g.toAPIError(change(ctx))
}

// Ready implements httpapi.Operations.
func (g *Gateway) Ready() (bool, string) {
	switch {
	case g.leaving.Load():
		return false, "the gateway is shutting down"
	case !g.control.Status().Ready:
		return false, "the control state has not been read yet"
	case g.control.Snapshot().ConfigVersion == 0:
		return false, "no configuration has been loaded"
	case len(g.control.Snapshot().Owners) == 0:
		return false, "no partition has an owner yet"
	}
	return true, ""
}

// Status implements httpapi.Operations.
func (g *Gateway) Status(ctx context.Context) httpapi.Status {
	st, err := callEngine(ctx, g.engine, func(e *engine, now time.Time) httpapi.Status { return e.status(now) })
	if err != nil {
		st = httpapi.Status{}
	}
	v := g.control.Snapshot()
	st.Gateway, st.Incarnation, st.AvailabilityZone = g.opts.ID, g.opts.Incarnation, g.opts.AvailabilityZone
	st.Ready, st.NotReadyReason = g.Ready()
	st.ConfigVersion, st.AppliedOffset = v.ConfigVersion, v.Applied
	st.DrainedZones = slices.Sorted(maps.Keys(v.DrainedZones))
	st.LogReachable = g.control.Status().LogAvailable
	owned := make(map[string]int)
	for _, o := range v.Owners {
		owned[o.Gateway]++
	}
	for _, gw := range v.Gateways {
		st.Gateways = append(st.Gateways, httpapi.GatewayStatus{
			ID: gw.ID, Address: gw.Address, AvailabilityZone: gw.AvailabilityZone, Alive: !gw.Left && (*g.alive.Load())[gw.ID], Partitions: owned[gw.ID],
		})
	}
	sort.Slice(st.Gateways, func(i, j int) bool { return st.Gateways[i].ID < st.Gateways[j].ID })
	return st
}

// status returns the part of the status that the engine knows.
func (e *engine) status(now time.Time) httpapi.Status {
	out := httpapi.Status{Jobs: len(e.jobs), Queued: e.policy.Queued()}
	for _, p := range e.partitions {
		if p.epoch == 0 {
			continue
		}
		out.Partitions++
		if !p.handingOver && p.takeover.State(e.mono(now)) == ownership.Ready && e.validity.Valid(e.mono(now), p.id, p.epoch) {
			out.Serving++
		}
	}
	for _, t := range e.policy.Status(now) {
		ag := e.agentsByTarget[t.ID]
		if ag == nil {
			continue
		}
		a := e.snapshot.Agents[ag.listed.ID]
		out.Targets = append(out.Targets, httpapi.TargetStatus{
			ID: string(t.ID), Service: a.Service, AvailabilityZone: a.AvailabilityZone, Worker: a.Worker,
			Connected: ag.acceptsStarts(), Accepting: ag.load.Accepting, Leaving: ag.load.Leaving,
			Draining: e.snapshot.DrainedAgent(ag.listed.ID), Ejected: t.Ejected, Reason: t.EjectionReason,
			Slots: t.Slots, Outstanding: t.Outstanding, Speed: t.Speed,
		})
	}
	sort.Slice(out.Targets, func(i, j int) bool { return out.Targets[i].ID < out.Targets[j].ID })
	return out
}
