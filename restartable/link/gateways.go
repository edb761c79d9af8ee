package link

import (
	"slices"
	"sync"
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/boottime"
)

const (
	// gatewaysMax bounds the set, so that wrong records cannot fill the memory. It
	// is far above the gateways of a cell (docs/CAPACITY.md).
	gatewaysMax = 4096
	// forgetAfter is the time without contact after which a gateway is taken to
	// have been replaced. It exceeds the minutes for which regions lose each other.
	forgetAfter = 10 * time.Minute
	// reachableFor is the time after a contact in which other processes are told
	// of a gateway. It is well below forgetAfter, so that a gateway that is gone is
	// forgotten by all before anyone could be told of it again.
	reachableFor = time.Minute
	// listEvery is the time after which others are told again of all that are
	// reachable, well below forgetAfter: a process has contact with few of the
	// gateways that it knows.
	listEvery = time.Minute
)

// Gateways is the set of gateway addresses that a process knows. One that has
// not been reached for a while is forgotten, unless it is a seed.
type Gateways struct {
	now boottime.Clock

	changed chan struct{}

	mu    sync.Mutex // owns the fields below
	known []*knownGateway
	// version is that of what others are told, listedAt when all were listed anew.
	version  uint64
	listedAt time.Duration
}

// knownGateway is one address.
type knownGateway struct {
	address string
	seed    bool
	// named and reached are the times of the last mention by another process and
	// of the last contact; reached is negative before the first one.
	named, reached time.Duration
	// links counts the links that are up.
	links int
	// listed is the version with which others are told of the gateway.
	listed uint64
}

const never = time.Duration(-1)

// NewGateways returns a set with the addresses of seeds.
func NewGateways(now boottime.Clock, seeds ...string) *Gateways {
	g := &Gateways{now: now, changed: make(chan struct{}, 1), listedAt: now()}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, a := range seeds {
		if k := g.add(a); k != nil {
			k.seed = true
		}
	}
	return g
}

// find runs with g.mu held.
func (g *Gateways) find(address string) *knownGateway {
	for _, k := range g.known {
		if k.address == address {
			return k
		}
	}
	return nil
}

// Add adds an IP:port that another process has named.
func (g *Gateways) Add(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.add(address)
}

// add returns the gateway, or nil if there is no room for it. It runs with g.mu
// held.
func (g *Gateways) add(address string) *knownGateway {
	g.forget()
	k := g.find(address)
	if k != nil {
		k.named = g.now()
	}
	if k != nil || address == "" || len(g.known) >= gatewaysMax {
		return k
	}
	k = &knownGateway{address: address, named: g.now(), reached: never}
	g.known = append(g.known, k)
	select {
	case g.changed <- struct{}{}:
	default:
	}
	return k
}

// forget drops gateways that are gone. It runs with g.mu held.
func (g *Gateways) forget() {
	now := g.now()
	g.known = slices.DeleteFunc(g.known, func(k *knownGateway) bool {
		return !k.seed && k.links == 0 && now-max(k.named, k.reached) > forgetAfter
	})
}

func addresses(all []*knownGateway) []string {
	out := make([]string, len(all))
	for i, k := range all {
		out[i] = k.address
	}
	return out
}

// MarkReached adds a gateway if necessary and notes a contact with it.
func (g *Gateways) MarkReached(address string) { g.Hold(address)() }

// Hold adds a gateway if necessary and notes a contact with it that lasts until
// release is called.
func (g *Gateways) Hold(address string) (release func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	k := g.add(address)
	if k == nil {
		return func() {}
	}
	if !k.reachable(g.now()) {
		g.version++
		k.listed = g.version
	}
	k.links++
	k.reached = g.now()
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		k.links--
		k.reached = g.now()
	}
}

func (k *knownGateway) reachable(now time.Duration) bool {
	return k.links > 0 || k.reached != never && now-k.reached <= reachableFor
}

// All returns the addresses of all known gateways.
func (g *Gateways) All() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.forget()
	return addresses(g.known)
}

// Reachable returns the addresses that others are told of.
func (g *Gateways) Reachable() []string {
	_, all := g.Since(0)
	return all
}

// Since returns the version of what others are told, and the addresses that
// those who know an earlier version have to be told of.
func (g *Gateways) Since(version uint64) (uint64, []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listAnew()
	if version == g.version {
		return version, nil
	}
	var out []string
	for _, k := range g.known {
		if k.listed > version && k.reachable(g.now()) {
			out = append(out, k.address)
		}
	}
	return g.version, out
}

// listAnew makes sure that others are told of everything again each listEvery. It
// runs with g.mu held.
func (g *Gateways) listAnew() {
	if g.now()-g.listedAt < listEvery {
		return
	}
	g.version++
	g.listedAt = g.now()
	for _, k := range g.known {
		k.listed = g.version
	}
}

// Changed receives a value after the set has grown.
func (g *Gateways) Changed() <-chan struct{} { return g.changed }
