package inventory

import (
	"fmt"
	"regexp"
)

// The bounds of a job's timeout (docs/design.md, section 10). A smaller value
// was given in seconds.
const (
	minTimeoutMS = 10
	maxTimeoutMS = 120_000
)

// validID allows the characters that are safe in URLs, logs and metrics.
var validID = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

// names are the ids that rules and targets may refer to.
type names struct {
	workers  map[string]Worker
	targets  map[string]Target
	clients  map[string]Client
	services map[string]Service
	zones    map[string]struct{}
	racks    map[string]struct{}
}

// check adds the findings that concern several values: ids given twice, names
// that are not defined and places that differ. Bounds of single values are in
// the tags of the types.
func check(d document, inv, rules *section) {
	n := names{
		workers:  uniqueIDs(inv, "workers", d.Inventory.Workers, Worker.id),
		targets:  uniqueIDs(inv, "targets", d.Inventory.Targets, Target.id),
		clients:  uniqueIDs(rules, "clients", d.Rules.Clients, Client.id),
		services: uniqueIDs(rules, "services", d.Rules.Services, Service.id),
		zones:    map[string]struct{}{}, racks: map[string]struct{}{},
	}
	for _, w := range d.Inventory.Workers {
		n.zones[w.AvailabilityZone], n.racks[w.Rack] = struct{}{}, struct{}{}
	}
	for i, t := range d.Inventory.Targets {
		n.target(inv.element("targets", i), t)
	}
	for i, c := range d.Rules.Clients {
		if c.Share <= 0 {
			rules.element("clients", i).addf("share", "%v is not above 0", c.Share)
		}
	}
	for i, s := range d.Rules.Services {
		n.service(rules.element("services", i), s)
	}
}

// uniqueIDs checks the ids of a list and returns its elements by id.
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

func (n *names) target(e element, t Target) {
	if t.Slots > t.Connections && t.Connections > 0 {
		e.addf("connections", "%d connections cannot carry %d slots, which need one each", t.Connections, t.Slots)
	}
	// No work would reach a target of a service without rules.
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

func (n *names) service(e element, s Service) {
	if ms := s.MaxTimeoutMS; ms != 0 && (ms < minTimeoutMS || ms > maxTimeoutMS) {
		e.addf("max_timeout_ms", "%d is not between %d and %d; the unit is milliseconds", ms, minTimeoutMS, maxTimeoutMS)
	}
	known(e, "allowed_clients", s.AllowedClients, "client", n.clients)
	known(e, "allowed_targets", s.AllowedTargets, "target", n.targets)
	known(e, "denied_targets", s.DeniedTargets, "target", n.targets)
	known(e, "availability_zones", s.AvailabilityZones, "availability zone", n.zones)
	known(e, "racks", s.Racks, "rack", n.racks)
	denied := set(s.DeniedTargets)
	for i, id := range s.AllowedTargets {
		field := fmt.Sprintf("allowed_targets[%d]", i)
		if _, both := denied[id]; both {
			e.addf(field, "the target %q is also in denied_targets", id)
		}
		// Such a target never receives the work.
		if t, ok := n.targets[id]; ok && t.Service != s.ID {
			e.addf(field, "the target %q runs the service %q", id, t.Service)
		}
	}
}

func known[V any](e element, field string, ids []string, what string, all map[string]V) {
	for i, id := range ids {
		if _, ok := all[id]; !ok {
			e.addf(fmt.Sprintf("%s[%d]", field, i), "the %s %q is not in the inventory or rules", what, id)
		}
	}
}
