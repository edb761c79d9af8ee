// Package requestlimit decides which connections a process keeps when unfinished
// requests of its clients hold more memory or descriptors than it has. It contains no
// network code: the clock is passed in, and a connection is closed by a callback.
//
// What is closed first is what has held the most bytes for the longest time without a
// complete request. A short request that arrives at once has held its few bytes for
// milliseconds, and so outlasts requests that stop short of their end. Clients are
// compared by the sum of their connections, so that one address cannot displace others
// by the number of its connections.
package requestlimit

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// spareDivisor is the part of a limit that is freed beyond the need, as a divisor, so
	// that a crowd does not cause a comparison of all connections for each new one.
	spareDivisor = 32
	// minAge counts for bytes that were received just now. Otherwise new connections
	// would hold nothing, however many there are.
	minAge = time.Millisecond
	// idleWeight is the weight of the time between two requests, in which an ordinary
	// caller may keep its connection open for seconds.
	idleWeight = 1.0 / 16
)

// Limit is the limit that a connection was closed for.
type Limit string

// The limits.
const (
	LimitBytes       Limit = "bytes"
	LimitConnections Limit = "connections"
)

// Options configures a Budget.
type Options struct {
	// Bytes is the largest sum of the bytes that all connections hold.
	Bytes int64
	// Now returns the time since an arbitrary start. It must not go back.
	Now func() time.Duration
	// OnClose, if set, is called for each connection that is closed because of a limit,
	// with the name of its group.
	OnClose func(group string, l Limit)
}

// Budget limits the bytes that the connections of a process hold. Its methods and those
// of its groups and holders may be called by several goroutines at a time.
type Budget struct {
	options Options

	mu      sync.Mutex // guards the fields below and those of all groups and holders
	held    int64
	holders map[*Holder]struct{}
	groups  []*Group
}

// New returns a budget without connections.
func New(o Options) *Budget {
	return &Budget{options: o, holders: map[*Holder]struct{}{}}
}

// Held returns the bytes that all connections hold.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Group is the set of connections of one listener.
type Group struct {
	budget *Budget
	name   string
	// max is the largest number of connections, count their number.
	max, count int
	freed      chan struct{}
}

// NewGroup returns a group of at most maxConnections connections.
func (b *Budget) NewGroup(name string, maxConnections int) *Group {
	b.mu.Lock()
	defer b.mu.Unlock()
	g := &Group{budget: b, name: name, max: maxConnections, freed: make(chan struct{}, 1)}
	b.groups = append(b.groups, g)
	return g
}

// Freed returns a channel that receives a value after Open has failed and may succeed
// again.
func (g *Group) Freed() <-chan struct{} { return g.freed }

// phase is the progress of the requests of a connection.
type phase int

const (
	// unfinished means that a request is being received; a new connection counts as one.
	unfinished phase = iota
	// complete means that a request was read completely and is being served. It is never
	// closed because of a limit.
	complete
	// idle means that no request is in progress.
	idle
	ended
)

// Holder is the share of one connection, or of one request on a connection that carries
// several at a time, in a budget.
type Holder struct {
	group  *Group
	client string
	close  func()
	// countsAsConnection is false for a request.
	countsAsConnection bool
	phase              phase
	bytes              int64
	// since is the time at which the request or the idle time began.
	since time.Duration
}

// Open adds a connection of a client that holds some bytes. Others are closed if it
// exceeds a limit. It returns false if it cannot be added, since all connections serve
// complete requests. closeConn closes the connection; it is called at most once, without
// locks, and possibly by another goroutine.
func (g *Group) Open(client string, bytes int64, closeConn func()) (*Holder, bool) {
	return g.open(client, bytes, closeConn, true)
}

// OpenRequest does the same for a request on a connection that carries several at a
// time, which is not counted as a connection.
func (g *Group) OpenRequest(client string, bytes int64, closeConn func()) (*Holder, bool) {
	return g.open(client, bytes, closeConn, false)
}

func (g *Group) open(client string, bytes int64, closeConn func(), connection bool) (*Holder, bool) {
	b := g.budget
	b.mu.Lock()
	var victims []victim
	if connection && g.count >= g.max {
		spare := g.max/spareDivisor + 1
		victims = b.release(LimitConnections, g, func() bool { return g.count <= g.max-spare })
	}
	if b.held+bytes > b.options.Bytes && b.heldByComplete()+bytes <= b.options.Bytes {
		goal := b.options.Bytes - b.options.Bytes/spareDivisor - bytes
		victims = append(victims, b.release(LimitBytes, nil, func() bool { return b.held <= goal })...)
	}
	ok := (!connection || g.count < g.max) && (b.held+bytes <= b.options.Bytes || !b.hasOther(nil))
	var h *Holder
	if ok {
		h = &Holder{group: g, client: client, close: closeConn, countsAsConnection: connection, bytes: bytes, since: b.options.Now()}
		b.holders[h] = struct{}{}
		b.held += bytes
		if connection {
			g.count++
		}
	}
	b.mu.Unlock()
	b.closeAll(victims)
	return h, ok
}

// heldByComplete returns the bytes of the requests that are being served. If these alone
// exceed the limit, closing the other connections does not help.
func (b *Budget) heldByComplete() int64 {
	var sum int64
	for h := range b.holders {
		if h.phase == complete {
			sum += h.bytes
		}
	}
	return sum
}

// hasOther reports whether there is a holder besides h that serves or receives a request.
func (b *Budget) hasOther(h *Holder) bool {
	for o := range b.holders {
		if o != h && o.phase != idle {
			return true
		}
	}
	return false
}

// Receive adds bytes of a request, which begins now if the connection was idle.
// Connections are closed if the budget is exceeded. It returns false if this one was
// closed, now or before.
func (h *Holder) Receive(bytes int64) bool {
	b := h.group.budget
	b.mu.Lock()
	if h.phase == ended {
		b.mu.Unlock()
		return false
	}
	if h.phase == idle {
		h.phase, h.since = unfinished, b.options.Now()
	}
	h.bytes += bytes
	b.held += bytes
	var victims []victim
	// A single request is served although it exceeds the budget: nobody waits for its
	// memory.
	if b.held > b.options.Bytes && b.hasOther(h) {
		goal := max(b.options.Bytes-b.options.Bytes/spareDivisor, b.heldByComplete())
		victims = b.release(LimitBytes, nil, func() bool { return b.held <= goal })
	}
	kept := h.phase != ended
	b.mu.Unlock()
	b.closeAll(victims)
	return kept
}

// Complete marks the end of the request's bytes. It returns false if the connection was
// closed before because of a limit: the request must not be served then, since its client
// takes it for refused.
func (h *Holder) Complete() bool {
	b := h.group.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.phase == ended {
		return false
	}
	// A request that arrived together with the one before begins while the connection
	// counts as idle.
	h.phase = complete
	return true
}

// Idle marks the end of the response. The connection holds only the given bytes from
// now on.
func (h *Holder) Idle(bytes int64) {
	b := h.group.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.phase == ended {
		return
	}
	b.held += bytes - h.bytes
	h.bytes, h.phase, h.since = bytes, idle, b.options.Now()
	b.notifyGroups()
}

// Close removes the connection. It may be called more than once.
func (h *Holder) Close() {
	b := h.group.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	h.end()
}

// end removes the holder. The caller holds the lock of the budget.
func (h *Holder) end() {
	if h.phase == ended {
		return
	}
	b := h.group.budget
	h.phase = ended
	delete(b.holders, h)
	b.held -= h.bytes
	if h.countsAsConnection {
		h.group.count--
	}
	b.notifyGroups()
}

func (b *Budget) notifyGroups() {
	for _, g := range b.groups {
		select {
		case g.freed <- struct{}{}:
		default:
		}
	}
}

// victim is a holder that was released because of a limit and has yet to be closed.
type victim struct {
	holder *Holder
	limit  Limit
}

// closeAll closes what was released. The caller holds no lock.
func (b *Budget) closeAll(victims []victim) {
	for _, v := range victims {
		v.holder.close()
		if b.options.OnClose != nil {
			b.options.OnClose(v.holder.group.name, v.limit)
		}
	}
}

// release ends holders that may end until done returns true or none is left. Only those
// of group g end unless it is nil.
func (b *Budget) release(l Limit, g *Group, done func() bool) (victims []victim) {
	if done() {
		return nil
	}
	o := b.newOrder(g)
	for !done() {
		h := o.next()
		if h == nil {
			break
		}
		h.end()
		victims = append(victims, victim{h, l})
	}
	return victims
}

// order yields holders, from the one that is to end first.
type order struct{ clients []*clientShare }

// clientShare is what the connections of one client hold in byte-seconds.
type clientShare struct {
	total   float64
	holders []scored // the largest score last
}

type scored struct {
	*Holder
	score float64
}

// newOrder returns the order of the holders that may end, of group g unless it is nil.
func (b *Budget) newOrder(g *Group) *order {
	now := b.options.Now()
	byClient := map[string]*clientShare{}
	o := &order{}
	for h := range b.holders {
		if h.phase == complete || g != nil && (h.group != g || !h.countsAsConnection) {
			continue
		}
		s := byClient[h.client]
		if s == nil {
			s = &clientShare{}
			byClient[h.client] = s
			o.clients = append(o.clients, s)
		}
		score := h.score(now)
		s.total += score
		s.holders = append(s.holders, scored{h, score})
	}
	for _, s := range o.clients {
		slices.SortFunc(s.holders, func(a, b scored) int { return cmp.Compare(a.score, b.score) })
	}
	return o
}

// score returns the byte-seconds for which the holder's client counts.
func (h *Holder) score(now time.Duration) float64 {
	s := float64(h.bytes) * max(now-h.since, minAge).Seconds()
	if h.phase == idle {
		return s * idleWeight
	}
	return s
}

// next removes and returns the holder with the largest score of the client with the
// largest total, or nil if there is none.
func (o *order) next() *Holder {
	var most *clientShare
	largest := math.Inf(-1)
	for _, s := range o.clients {
		if len(s.holders) > 0 && s.total > largest {
			most, largest = s, s.total
		}
	}
	if most == nil {
		return nil
	}
	last := len(most.holders) - 1
	h := most.holders[last]
	most.holders = most.holders[:last]
	most.total -= h.score
	return h.Holder
}
