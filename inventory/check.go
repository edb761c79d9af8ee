package inventory

import (
	"fmt"
	"regexp"
)

// The bounds of a job's timeout (docs/design.md, section 10). A value below the
// minimum is most likely in seconds.
const (
	minTimeoutMS = 10
	maxTimeoutMS = 120_000
)

// validID matches ids that are safe in URLs, logs and metric labels.
var validID = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

// knownIDs holds the ids that targets and rules may refer to.
type knownIDs struct {
	workers  map[string]Worker
	targets  map[string]Target
	clients  map[string]Client
	services map[string]Service
	zones    map[string]struct{}
	racks    map[string]struct{}
}

// check adds the findings that the strict tags cannot express: malformed and
// duplicate ids, references to undefined ids, and targets whose rack or
// availability zone differs from that of their worker.
func check(d document, inv, rules *section) {
	ids := knownIDs{
		workers:  uniqueIDs(inv, "workers", d.Inventory.Workers, Worker.id),
		targets:  uniqueIDs(inv, "targets", d.Inventory.Targets, Target.id),
		clients:  uniqueIDs(rules, "clients", d.Rules.Clients, Client.id),
		services: uniqueIDs(rules, "services", d.Rules.Services, Service.id),
		zones:    map[string]struct{}{}, racks: map[string]struct{}{},
	}
	for _, w := range d.Inventory.Workers {
		ids.zones[w.AvailabilityZone], ids.racks[w.Rack] = struct{}{}, struct{}{}
	}
	for i, t := range d.Inventory.Targets {
		ids.checkTarget(inv.element("targets", i), t)
	}
	for i, c := range d.Rules.Clients {
		if c.Share <= 0 {
			rules.element("clients", i).addf("share", "%v is not above 0", c.Share)
		}
	}
	for i, s := range d.Rules.Services {
		ids.checkService(rules.element("services", i), s)
	}
}

// uniqueIDs reports malformed and duplicate ids of a list and returns its other
// elements by id.
func uniqueIDs[T any](s *section, list string, items []T, id func(T) string) map[string]T {
	byID := make(map[string]T, len(items))
	first := make(map[string]int, len(items))
	for i, v := range items {
		e, id := s.element(list, i), id(v)
		if !validID.MatchString(id) {
			e.addf("id", "%q is not an id: use 1 to 128 letters, digits and . _ : - with a letter or digit first", id)
			continue
		}
		if j, twice := first[id]; twice {
			e.addf("id", "the id %q is also that of %s[%d]", id, list, j)
			continue
		}
		byID[id], first[id] = v, i
	}
	return byID
}

func (n *knownIDs) checkTarget(e element, t Target) {
	if t.Slots > t.Connections && t.Connections > 0 {
		e.addf("connections", "%d connections cannot carry %d slots, which need one each", t.Connections, t.Slots)
	}
	// A target whose service has no rules would never receive work.
	if _, ok := n.services[t.Service]; !ok {
		e.addf("service", "no rule for the service %q", t.Service)
	}
	w, ok := n.workers[t.Worker]
	if !ok {
		e.addf("worker", "the worker %q is not in the inventory", t.Worker)
		return
	}
	if t.Rack != w.Rack {
		e.addf("rack", "the target is in rack %q, its worker %q in %q", t.Rack, w.ID, w.Rack)
	}
	if t.AvailabilityZone != w.AvailabilityZone {
		e.addf("availability_zone", "the target is in availability zone %q, its worker %q in %q",
			t.AvailabilityZone, w.ID, w.AvailabilityZone)
	}
}

func (n *knownIDs) checkService(e element, s Service) {
	if ms := s.MaxTimeoutMS; ms != 0 && (ms < minTimeoutMS || ms > maxTimeoutMS) {
		e.addf("max_timeout_ms", "%d is not between %d and %d; the unit is milliseconds", ms, minTimeoutMS, maxTimeoutMS)
	}
	checkReferences(e, "allowed_clients", s.AllowedClients, "client", n.clients)
	checkReferences(e, "allowed_targets", s.AllowedTargets, "target", n.targets)
	checkReferences(e, "denied_targets", s.DeniedTargets, "target", n.targets)
	checkReferences(e, "availability_zones", s.AvailabilityZones, "availability zone", n.zones)
	checkReferences(e, "racks", s.Racks, "rack", n.racks)
	denied := toSet(s.DeniedTargets)
	for i, id := range s.AllowedTargets {
		field := fmt.Sprintf("allowed_targets[%d]", i)
		if _, both := denied[id]; both {
			e.addf(field, "the target %q is also in denied_targets", id)
		}
		// A target receives only work of its own service.
		if t, ok := n.targets[id]; ok && t.Service != s.ID {
			e.addf(field, "the target %q runs the service %q", id, t.Service)
		}
	}
}

func checkReferences[V any](e element, field string, ids []string, what string, all map[string]V) {
	for i, id := range ids {
		if _, ok := all[id]; !ok {
			e.addf(fmt.Sprintf("%s[%d]", field, i), "the %s %q is not in the inventory or rules", what, id)
		}
	}
}
