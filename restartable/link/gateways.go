package link

import (
	"slices"
	"sync"
)

// Gateways is the set of gateway addresses that a process knows. It only grows
// while the process lives; an address without a gateway costs rare dials.
type Gateways struct {
	mu      sync.Mutex // owns the fields below
	known   []string
	version uint64
	changed chan struct{}
}

// NewGateways returns a set with the given addresses.
func NewGateways(addresses ...string) *Gateways {
	g := &Gateways{changed: make(chan struct{}, 1)}
	for _, a := range addresses {
		g.Add(a)
	}
	return g
}

// gatewaysMax bounds the set, so that wrong records cannot fill the memory.
const gatewaysMax = 256

// Add adds an IP:port.
func (g *Gateways) Add(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if address == "" || slices.Contains(g.known, address) || len(g.known) >= gatewaysMax {
		return
	}
	g.known = append(g.known, address)
	g.version++
	select {
	case g.changed <- struct{}{}:
	default:
	}
}

// All returns the addresses.
func (g *Gateways) All() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.known)
}

// Since returns the version of the set, and its addresses if they have changed
// since the version given.
func (g *Gateways) Since(version uint64) (uint64, []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if version == g.version {
		return version, nil
	}
	return g.version, slices.Clone(g.known)
}

// Changed receives a value after the set has grown.
func (g *Gateways) Changed() <-chan struct{} { return g.changed }
