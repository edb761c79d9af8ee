package inventory

import (
	"fmt"
	"regexp"

	"github.com/rhubarbsail/rhubarbsail/common/findings"
)

// Bounds of values. They catch a value given in another unit.
const (
	// MinTimeoutMS and MaxTimeoutMS are the bounds of a job's timeout
	// (docs/design.md, section 10). A smaller value was given in seconds.
	MinTimeoutMS = 10
	MaxTimeoutMS = 120_000
	// MaxTasks is the bound of the tasks of a job (section 10).
	MaxTasks = 1300
	// MinMemoryMB is below any worker in use (32 GB). A smaller value was
	// given in gigabytes.
	MinMemoryMB = 256
	// MaxSlots and MaxConnections are far above today's 8 and 64.
	MaxSlots       = 4096
	MaxConnections = 65536
)

// validID allows the characters that are safe in URLs, logs and metrics.
var validID = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

// checker cross-checks a configuration and adds findings.
type checker struct {
	list       *findings.List
	inv, rules func(key string) findings.Place
	// faulty holds the keys whose value could not be read. A check of their
	// zero value would report the same fault again.
	faulty   map[findings.Place]struct{}
	workers  map[string]Worker
	targets  map[string]Target
	clients  map[string]struct{}
	services map[string]struct{}
	zones    map[string]struct{}
	racks    map[string]struct{}
}

func (c *checker) inventory(inv Inventory) {
	c.workers = make(map[string]Worker, len(inv.Workers))
	c.targets = make(map[string]Target, len(inv.Targets))
	c.zones, c.racks = map[string]struct{}{}, map[string]struct{}{}
	ids := newIDs(c, c.inv, "workers")
	for i, w := range inv.Workers {
		at := func(field string) findings.Place { return c.inv(item("workers", i, field)) }
		ids.check(i, w.ID)
		c.required(at, "rack", w.Rack)
		c.required(at, "availability_zone", w.AvailabilityZone)
		c.between(at, "processors", w.Processors, 1, 1<<16, "")
		c.between(at, "memory_mb", w.MemoryMB, MinMemoryMB, 1<<30, "; the unit is megabytes")
		c.between(at, "accelerators", w.Accelerators, 0, 1<<16, "")
		if _, twice := c.workers[w.ID]; !twice {
			c.workers[w.ID] = w
		}
		c.zones[w.AvailabilityZone], c.racks[w.Rack] = struct{}{}, struct{}{}
	}
	ids = newIDs(c, c.inv, "targets")
	for i, t := range inv.Targets {
		ids.check(i, t.ID)
		c.target(func(field string) findings.Place { return c.inv(item("targets", i, field)) }, t)
		c.targets[t.ID] = t
	}
}

func (c *checker) target(at func(string) findings.Place, t Target) {
	c.required(at, "service", t.Service)
	c.between(at, "slots", t.Slots, 1, MaxSlots, "")
	c.between(at, "connections", t.Connections, 1, MaxConnections, "")
	if t.Speed < 0 {
		c.addf(at("speed"), "%v is negative", t.Speed)
	}
	if t.Slots > t.Connections && t.Connections > 0 {
		c.addf(at("connections"), "%d connections cannot carry %d slots, which need one each", t.Connections, t.Slots)
	}
	w, ok := c.workers[t.Worker]
	if !ok {
		c.addf(at("worker"), "the worker %q is not in the inventory", t.Worker)
		return
	}
	if t.Rack != w.Rack {
		c.addf(at("rack"), "the target is in rack %q, its worker %q in %q", t.Rack, w.ID, w.Rack)
	}
	if t.AvailabilityZone != w.AvailabilityZone {
		c.addf(at("availability_zone"), "the target is in availability zone %q, its worker %q in %q",
			t.AvailabilityZone, w.ID, w.AvailabilityZone)
	}
}

func (c *checker) checkRules(r Rules, targets []Target) {
	c.clients = make(map[string]struct{}, len(r.Clients))
	c.services = make(map[string]struct{}, len(r.Services))
	ids := newIDs(c, c.rules, "clients")
	for i, cl := range r.Clients {
		at := func(field string) findings.Place { return c.rules(item("clients", i, field)) }
		ids.check(i, cl.ID)
		c.clients[cl.ID] = struct{}{}
		if cl.Share <= 0 {
			c.addf(at("share"), "%v is not above 0", cl.Share)
		}
		c.between(at, "max_queued", cl.MaxQueued, 0, 1<<30, "")
		c.between(at, "max_running", cl.MaxRunning, 0, 1<<30, "")
		if cl.TasksPerSecond < 0 {
			c.addf(at("tasks_per_second"), "%v is negative", cl.TasksPerSecond)
		}
	}
	ids = newIDs(c, c.rules, "services")
	for i, s := range r.Services {
		ids.check(i, s.ID)
		c.services[s.ID] = struct{}{}
		c.service(func(field string) findings.Place { return c.rules(item("services", i, field)) }, s)
	}
	c.offered(targets)
}

func (c *checker) service(at func(string) findings.Place, s Service) {
	c.between(at, "max_tasks", s.MaxTasks, 0, MaxTasks, "")
	if s.MaxTimeoutMS != 0 {
		c.between(at, "max_timeout_ms", s.MaxTimeoutMS, MinTimeoutMS, MaxTimeoutMS, "; the unit is milliseconds")
	}
	known(c, at, "allowed_clients", s.AllowedClients, "client", c.clients)
	known(c, at, "allowed_targets", s.AllowedTargets, "target", c.targets)
	known(c, at, "denied_targets", s.DeniedTargets, "target", c.targets)
	known(c, at, "availability_zones", s.AvailabilityZones, "availability zone", c.zones)
	known(c, at, "racks", s.Racks, "rack", c.racks)
	c.ownTargets(at, "allowed_targets", s.AllowedTargets, s.ID)
	denied := set(s.DeniedTargets)
	for i, id := range s.AllowedTargets {
		if _, both := denied[id]; both {
			c.addf(at(item("allowed_targets", i, "")), "the target %q is also in denied_targets", id)
		}
	}
}

// ownTargets finds rules that allow a target of another service, which would
// never receive the work.
func (c *checker) ownTargets(at func(string) findings.Place, field string, ids []string, service string) {
	for i, id := range ids {
		if t, ok := c.targets[id]; ok && t.Service != service {
			c.addf(at(item(field, i, "")), "the target %q runs the service %q", id, t.Service)
		}
	}
}

// offered finds targets of a service without rules. No work would reach them.
func (c *checker) offered(targets []Target) {
	for i, t := range targets {
		if _, ok := c.services[t.Service]; !ok && t.Service != "" {
			c.addf(c.inv(item("targets", i, "service")), "no rule for the service %q", t.Service)
		}
	}
}

func (c *checker) addf(p findings.Place, format string, args ...any) {
	if _, faulty := c.faulty[keyOnly(p)]; !faulty {
		c.list.Addf(p, format, args...)
	}
}

func (c *checker) required(at func(string) findings.Place, field, value string) {
	if value == "" {
		c.addf(at(field), "the value is missing")
	}
}

func (c *checker) between(at func(string) findings.Place, field string, v, low, high int, hint string) {
	if v < low || v > high {
		c.addf(at(field), "%d is not between %d and %d%s", v, low, high, hint)
	}
}

func known[V any](c *checker, at func(string) findings.Place, field string, ids []string, what string, all map[string]V) {
	for i, id := range ids {
		if _, ok := all[id]; !ok {
			c.addf(at(fmt.Sprintf("%s[%d]", field, i)), "the %s %q is not in the inventory or rules", what, id)
		}
	}
}

// ids checks the ids of one list.
type ids struct {
	c     *checker
	at    func(string) findings.Place
	name  string
	first map[string]int
}

func newIDs(c *checker, at func(string) findings.Place, name string) *ids {
	return &ids{c: c, at: at, name: name, first: map[string]int{}}
}

func (s *ids) check(i int, id string) {
	place := s.at(item(s.name, i, "id"))
	if !validID.MatchString(id) {
		s.c.addf(place, "%q is not an id: use 1 to 128 letters, digits and . _ : - with a letter or digit first", id)
		return
	}
	if first, twice := s.first[id]; twice {
		s.c.addf(place, "the id %q is also that of %s", id, s.at(item(s.name, first, "id")))
		return
	}
	s.first[id] = i
}
