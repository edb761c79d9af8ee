// Package zones holds the availability zones that operators have drained. The
// targets of a drained zone get no new tasks until the drain ends; their runs go on.
package zones

import (
	"slices"
	"sync/atomic"
)

// Drains is a set of drained availability zones as of a revision. It is immutable.
type Drains struct {
	// Revision orders the sets of a deployment: it is the offset in the platform's
	// store up to which the set includes all records.
	Revision uint64
	zones    []string // sorted
}

// New returns the set of the given zones at a revision.
func New(revision uint64, drained ...string) *Drains {
	sorted := slices.Clone(drained)
	slices.Sort(sorted)
	return &Drains{Revision: revision, zones: slices.Compact(sorted)}
}

// FromRecords returns the set that a complete list of records describes, as of a
// revision, or nil if one of the records is malformed.
func FromRecords(revision uint64, records []Change) *Drains {
	var drained []string
	for _, r := range records {
		if r.Err != nil {
			return nil
		}
		if r.Drained {
			drained = append(drained, r.Zone)
		}
	}
	return New(revision, drained...)
}

// Contains reports whether a zone is drained.
func (d *Drains) Contains(zone string) bool {
	_, found := slices.BinarySearch(d.zones, zone)
	return found
}

// Zones returns the drained zones in alphabetical order. Callers must not modify it.
func (d *Drains) Zones() []string { return d.zones }

// Change is an operator's record that starts or ends the drain of a zone.
type Change struct {
	Zone    string
	Drained bool
	// Offset is the position of the record in the platform's store.
	Offset uint64
	// Err is set if the record is malformed. Such a record changes nothing.
	Err error
}

// with returns the set after changes in the order of their offsets. Changes that d
// already includes have no effect.
func (d *Drains) with(changes []Change) *Drains {
	next := &Drains{Revision: d.Revision, zones: slices.Clone(d.zones)}
	for _, c := range changes {
		if c.Offset < next.Revision {
			continue
		}
		next.Revision = c.Offset + 1
		at, found := slices.BinarySearch(next.zones, c.Zone)
		switch {
		case c.Err != nil || found == c.Drained:
		case c.Drained:
			next.zones = slices.Insert(next.zones, at, c.Zone)
		default:
			next.zones = slices.Delete(next.zones, at, at+1)
		}
	}
	return next
}

// Current holds the drains in force. Their revision never decreases. The zero value
// has no drained zones. It is safe for concurrent use.
type Current struct {
	drains atomic.Pointer[Drains]
}

// Get returns the drains in force.
func (c *Current) Get() *Drains {
	if d := c.drains.Load(); d != nil {
		return d
	}
	return &Drains{}
}

// Install puts next in force if it is newer than the present set. It reports whether
// the drained zones are different now.
func (c *Current) Install(next *Drains) bool {
	return c.update(func(*Drains) *Drains { return next })
}

// Apply puts changes into force, given in the order of their offsets. Those that the
// present set includes have no effect. It reports whether the drained zones are
// different now.
func (c *Current) Apply(changes []Change) bool {
	return c.update(func(old *Drains) *Drains { return old.with(changes) })
}

// Replace puts a complete list of records into force, as of a revision. A zone with a
// malformed record keeps its state. Replace reports whether the drained zones are
// different now.
func (c *Current) Replace(revision uint64, records []Change) bool {
	return c.update(func(old *Drains) *Drains {
		var drained []string
		for _, r := range records {
			if r.Err == nil && r.Drained || r.Err != nil && old.Contains(r.Zone) {
				drained = append(drained, r.Zone)
			}
		}
		return New(revision, drained...)
	})
}

func (c *Current) update(change func(old *Drains) *Drains) bool {
	for {
		stored := c.drains.Load()
		old := stored
		if old == nil {
			old = &Drains{}
		}
		next := change(old)
		if next.Revision <= old.Revision {
			return false
		}
		if c.drains.CompareAndSwap(stored, next) {
			return !slices.Equal(old.zones, next.zones)
		}
	}
}
