package inventory

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// Config is an inventory and its rules, indexed by id. It is immutable: the
// slices that it returns must not be modified.
type Config struct {
	inventory Inventory
	rules     Rules
	clients   map[string]Client
	services  map[string]serviceRule
	targets   map[string]Target
	workers   map[string]Worker
}

// document is the JSON form of a configuration.
type document struct {
	Inventory Inventory `json:"inventory"`
	Rules     Rules     `json:"rules"`
}

// serviceRule is a service with its lists as sets.
type serviceRule struct {
	Service
	clients, allowed, denied, zones, racks map[string]struct{}
}

// New returns a configuration without validating it. Parse validates.
func New(inv Inventory, rules Rules) *Config {
	c := &Config{
		inventory: Inventory{Workers: sortedByID(inv.Workers, Worker.id), Targets: sortedByID(inv.Targets, Target.id)},
		rules:     Rules{Clients: sortedByID(rules.Clients, Client.id), Services: sortedByID(rules.Services, Service.id)},
	}
	c.clients = indexByID(c.rules.Clients, Client.id)
	c.targets = indexByID(c.inventory.Targets, Target.id)
	c.workers = indexByID(c.inventory.Workers, Worker.id)
	c.services = make(map[string]serviceRule, len(c.rules.Services))
	for i, s := range c.rules.Services {
		s = s.sorted()
		c.rules.Services[i] = s
		c.services[s.ID] = serviceRule{
			Service: s, clients: toSet(s.AllowedClients), allowed: toSet(s.AllowedTargets),
			denied: toSet(s.DeniedTargets), zones: toSet(s.AvailabilityZones), racks: toSet(s.Racks),
		}
	}
	return c
}

// Decode decodes a configuration that was validated when it was written. It
// ignores unknown keys: a gateway of an older version must accept the
// configuration that a newer one appended to the log, or their states diverge.
func Decode(data []byte) (*Config, error) {
	var d document
	if err := json.Unmarshal(data, &d); err != nil {
		return nil, errors.Wrap(err, "decode configuration")
	}
	return New(d.Inventory, d.Rules), nil
}

// JSON returns the canonical encoding, with lists sorted by id and keys in a fixed
// order, so that equal configurations have equal encodings.
func (c *Config) JSON() ([]byte, error) {
	b, err := json.Marshal(document{Inventory: c.inventory, Rules: c.rules})
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	return b, nil
}

// Targets returns the targets sorted by id.
func (c *Config) Targets() []Target { return c.inventory.Targets }

// Workers returns the workers sorted by id.
func (c *Config) Workers() []Worker { return c.inventory.Workers }

// Clients returns the clients sorted by id.
func (c *Config) Clients() []Client { return c.rules.Clients }

// Services returns the services sorted by id.
func (c *Config) Services() []Service { return c.rules.Services }

// Client returns the client with the id.
func (c *Config) Client(id string) (Client, bool) {
	v, ok := c.clients[id]
	return v, ok
}

// Service returns the service with the id.
func (c *Config) Service(id string) (Service, bool) {
	v, ok := c.services[id]
	return v.Service, ok
}

// Target returns the target with the id.
func (c *Config) Target(id string) (Target, bool) {
	v, ok := c.targets[id]
	return v, ok
}

// Worker returns the worker with the id.
func (c *Config) Worker(id string) (Worker, bool) {
	v, ok := c.workers[id]
	return v, ok
}

// Allowed reports whether a client's work for a service may run on a target. It
// returns false if one of the three is unknown.
func (c *Config) Allowed(service, client, target string) bool {
	s, ok := c.services[service]
	if !ok {
		return false
	}
	if _, ok := c.clients[client]; !ok {
		return false
	}
	t, ok := c.targets[target]
	if !ok || t.Service != service {
		return false
	}
	if _, denied := s.denied[target]; denied {
		return false
	}
	return allows(s.clients, client) && allows(s.allowed, target) &&
		allows(s.zones, t.AvailabilityZone) && allows(s.racks, t.Rack)
}

// allows reports whether a list of a rule contains id. An empty list allows all.
func allows(allowed map[string]struct{}, id string) bool {
	if len(allowed) == 0 {
		return true
	}
	_, ok := allowed[id]
	return ok
}

func (t Target) id() string  { return t.ID }
func (w Worker) id() string  { return w.ID }
func (c Client) id() string  { return c.ID }
func (s Service) id() string { return s.ID }

// sorted returns the service with its lists sorted and without duplicates.
func (s Service) sorted() Service {
	for _, l := range []*[]string{&s.AllowedClients, &s.AllowedTargets, &s.DeniedTargets, &s.AvailabilityZones, &s.Racks} {
		*l = slices.Compact(slices.Sorted(slices.Values(*l)))
	}
	return s
}

func sortedByID[T any](items []T, id func(T) string) []T {
	out := make([]T, len(items))
	copy(out, items)
	slices.SortStableFunc(out, func(a, b T) int { return strings.Compare(id(a), id(b)) })
	return out
}

func indexByID[T any](items []T, id func(T) string) map[string]T {
	m := make(map[string]T, len(items))
	for _, v := range items {
		m[id(v)] = v
	}
	return m
}

func toSet(ids []string) map[string]struct{} {
	m := make(map[string]struct{}, len(ids))
	for _, id := range ids {
		m[id] = struct{}{}
	}
	return m
}
