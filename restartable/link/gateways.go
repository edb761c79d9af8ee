package link

import (
	"slices"
	"sync"
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/boottime"
	"github.com/rhubarbsail/rhubarbsail/common/hostport"
)

const (
	// maxGateways limits the set, so that invalid records cannot exhaust the
	// memory. It is far above the number of gateways of a cell
	// (docs/CAPACITY.md).
	maxGateways = 4096
	// gatewayTTL is the time without contact or mention after which a gateway is
	// taken to have been replaced. It exceeds network partitions between regions,
	// which last minutes.
	gatewayTTL = 10 * time.Minute
	// reachableTTL is the time after the last contact during which a gateway is
	// advertised to other processes. It is well below gatewayTTL, so that all
	// processes forget a gateway that no longer exists instead of advertising it
	// to each other again.
	reachableTTL = time.Minute
	// relistInterval is the time between two complete listings of the reachable
	// gateways to other processes. It is well below gatewayTTL, because a process
	// has contact with only a few of the gateways that it knows and depends on
	// others to mention the rest.
	relistInterval = time.Minute
)

// Gateways is the set of gateway addresses that a process knows. An address
// expires if it is neither contacted nor mentioned for gatewayTTL, unless it is a
// seed.
type Gateways struct {
	now boottime.Clock

	changed chan struct{}

	mu    sync.Mutex // guards the fields below
	known []*knownGateway
	// version is the version of the list that is advertised to other processes;
	// listedAt is when all addresses were last included in it again.
	version  uint64
	listedAt time.Duration
}

// knownGateway is one address of the set.
type knownGateway struct {
	address string
	seed    bool
	// mentionedAt is when another process last mentioned the gateway, contactAt
	// when this process last had contact with it, or never.
	mentionedAt, contactAt time.Duration
	// links counts the links to the gateway that are up.
	links int
	// listedVersion is the version of the list in which the gateway was last
	// included.
	listedVersion uint64
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

// find returns the gateway with an address, or nil. The caller holds g.mu.
func (g *Gateways) find(address string) *knownGateway {
	for _, k := range g.known {
		if k.address == address {
			return k
		}
	}
	return nil
}

// Add adds an IP:port that another process has mentioned. It ignores a malformed
// one: it would be dialed and passed on in vain.
func (g *Gateways) Add(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.add(address)
}

// add returns the gateway with an address, adding it if necessary, or nil if the
// address is malformed or the set is full. The caller holds g.mu.
func (g *Gateways) add(address string) *knownGateway {
	g.dropExpired()
	k := g.find(address)
	if k != nil {
		k.mentionedAt = g.now()
	}
	if k != nil || hostport.Check(address) != nil || len(g.known) >= maxGateways {
		return k
	}
	k = &knownGateway{address: address, mentionedAt: g.now(), contactAt: never}
	g.known = append(g.known, k)
	select {
	case g.changed <- struct{}{}:
	default:
	}
	return k
}

// dropExpired removes gateways that have expired. The caller holds g.mu.
func (g *Gateways) dropExpired() {
	now := g.now()
	g.known = slices.DeleteFunc(g.known, func(k *knownGateway) bool {
		return !k.seed && k.links == 0 && now-max(k.mentionedAt, k.contactAt) > gatewayTTL
	})
}

func addresses(all []*knownGateway) []string {
	out := make([]string, len(all))
	for i, k := range all {
		out[i] = k.address
	}
	return out
}

// MarkReached records a contact with a gateway, adding it if necessary.
func (g *Gateways) MarkReached(address string) { g.MarkLinked(address)() }

// MarkLinked records a contact with a gateway that lasts until release is called,
// adding the gateway if necessary.
func (g *Gateways) MarkLinked(address string) (release func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	k := g.add(address)
	if k == nil {
		return func() {}
	}
	if !k.reachable(g.now()) {
		g.version++
		k.listedVersion = g.version
	}
	k.links++
	k.contactAt = g.now()
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		k.links--
		k.contactAt = g.now()
	}
}

func (k *knownGateway) reachable(now time.Duration) bool {
	return k.links > 0 || k.contactAt != never && now-k.contactAt <= reachableTTL
}

// All returns the addresses of all known gateways.
func (g *Gateways) All() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dropExpired()
	return addresses(g.known)
}

// Reachable returns the addresses that are advertised to other processes.
func (g *Gateways) Reachable() []string {
	_, all := g.ChangesSince(0)
	return all
}

// ChangesSince returns the current version of the list and the reachable
// addresses that were listed after the given version.
func (g *Gateways) ChangesSince(version uint64) (uint64, []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.relistIfDue()
	if version == g.version {
		return version, nil
	}
	var out []string
	for _, k := range g.known {
		if k.listedVersion > version && k.reachable(g.now()) {
			out = append(out, k.address)
		}
	}
	return g.version, out
}

// relistIfDue includes all addresses in a new version of the list if
// relistInterval has passed since the last time. The caller holds g.mu.
func (g *Gateways) relistIfDue() {
	if g.now()-g.listedAt < relistInterval {
		return
	}
	g.version++
	g.listedAt = g.now()
	for _, k := range g.known {
		k.listedVersion = g.version
	}
}

// Changed returns a channel that receives a value after the set has grown.
func (g *Gateways) Changed() <-chan struct{} { return g.changed }
