package requestlimit

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// clients simulates the connections of a process with a virtual clock.
type clients struct {
	now    time.Duration
	budget *Budget
	group  *Group
	closed map[Limit]int
}

func newClients(bytes int64, connections int) *clients {
	c := &clients{closed: map[Limit]int{}}
	c.budget = New(Options{Bytes: bytes, Now: func() time.Duration { return c.now }, OnClose: func(_ string, l Limit) { c.closed[l]++ }})
	c.group = c.budget.NewGroup("callers", connections)
	return c
}

// conn is a connection of a client.
type conn struct {
	*Holder
	closed bool
}

func (c *clients) open(t testing.TB, client string, bytes int64) *conn {
	t.Helper()
	k := &conn{}
	h, ok := c.group.Open(client, bytes, func() { k.closed = true })
	if !ok {
		t.Fatalf("a connection of %s is refused", client)
	}
	k.Holder = h
	return k
}

const (
	// connectionBytes is what a connection holds before its first request.
	connectionBytes = 16 << 10
	// shortRequest and largeRequest are what a short and the largest request hold besides.
	shortRequest = 3 << 10
	largeRequest = 512 << 10
)

// Load: many clients of one address send most of a large request and stop.
// Guards against an ordinary caller of the same address that gets no answer, and against
// more bytes than the budget.
func TestShortRequestOutlastsLargeUnfinishedOnes(t *testing.T) {
	c := newClients(8<<20, 1000)
	for range 200 {
		k := c.open(t, "a", connectionBytes)
		for range largeRequest / (4 << 10) {
			if !k.Receive(4 << 10) {
				break
			}
		}
		c.now += 10 * time.Millisecond
		if held := c.budget.Held(); held > 8<<20 {
			t.Fatalf("%d bytes are held", held)
		}
	}
	k := c.open(t, "a", connectionBytes)
	c.now += 5 * time.Millisecond
	if !k.Receive(shortRequest) || k.closed {
		t.Error("an ordinary caller was closed")
	}
	if c.closed[LimitBytes] == 0 {
		t.Error("nothing was closed")
	}
}

// Load: many connections that send a few bytes and stop, more than the limit.
// Guards against an ordinary caller that finds no connection.
func TestShortRequestOutlastsSilentConnections(t *testing.T) {
	c := newClients(1<<30, 100)
	for range 1000 {
		c.open(t, "a", connectionBytes).Receive(10)
		c.now += time.Millisecond
	}
	k := c.open(t, "a", connectionBytes)
	for range 3 {
		c.now += time.Millisecond
		c.open(t, "a", connectionBytes).Receive(10)
	}
	if !k.Receive(shortRequest) || k.closed {
		t.Error("an ordinary caller was closed")
	}
	if c.closed[LimitConnections] == 0 {
		t.Error("nothing was closed")
	}
}

// Load: one address opens connections up to the limits, others have one each.
// Guards against one address that takes the place of all others.
func TestOneAddressDisplacesOnlyItself(t *testing.T) {
	for name, c := range map[string]*clients{"bytes": newClients(4<<20, 10_000), "connections": newClients(1<<30, 256)} {
		var others []*conn
		for i := range 20 {
			others = append(others, c.open(t, fmt.Sprint("other", i), connectionBytes))
		}
		for range 2000 {
			c.open(t, "flood", connectionBytes).Receive(shortRequest)
			c.now += 100 * time.Microsecond
		}
		for i, k := range others {
			if k.closed || !k.Receive(shortRequest) {
				t.Errorf("%s: client %d was closed", name, i)
			}
		}
	}
}

// Load: connections that have had an answer and stay open, in the number of the limit.
// Guards against new callers that are closed in their place.
func TestRequestOutlastsIdleConnections(t *testing.T) {
	c := newClients(2<<20, 1000)
	for range 200 {
		k := c.open(t, "a", connectionBytes)
		k.Complete()
		k.Idle(connectionBytes)
	}
	c.now += 5 * time.Second
	k := c.open(t, "a", connectionBytes)
	if !k.Receive(largeRequest) || k.closed {
		t.Error("a new caller was closed in place of an idle connection")
	}
}

// Load: complete requests that hold all of the budget or all connections.
// Guards against a request that is ended after it was read completely.
func TestCompleteRequestsAreNeverClosed(t *testing.T) {
	c := newClients(1<<20, 10)
	var jobs []*conn
	for range 10 {
		k := c.open(t, "a", connectionBytes)
		k.Receive(80 << 10)
		k.Complete()
		jobs = append(jobs, k)
	}
	c.now += time.Minute
	if _, ok := c.group.Open("b", connectionBytes, func() {}); ok {
		t.Error("a connection beyond the limit was opened")
	}
	for _, k := range jobs {
		if k.closed {
			t.Error("a complete request was closed")
		}
	}
	jobs[0].Idle(connectionBytes)
	select {
	case <-c.group.Freed():
	default:
		t.Error("the end of a request is not announced")
	}
	if _, ok := c.group.Open("b", connectionBytes, func() {}); !ok {
		t.Error("no connection was opened in place of an idle one")
	}
}

// Load: complete requests that hold all of the budget beside idle connections.
// Guards against idle connections that are closed although that cannot make room.
func TestIdleConnectionsAreKeptIfCompleteRequestsHoldTheBudget(t *testing.T) {
	c := newClients(1<<20, 100)
	waiting := c.open(t, "a", connectionBytes)
	waiting.Complete()
	waiting.Idle(connectionBytes)
	for range 12 {
		k := c.open(t, "b", connectionBytes)
		if !k.Receive(66<<10) || !k.Complete() {
			break
		}
	}
	c.now += time.Second
	for range 5 {
		c.group.Open("c", largeRequest, func() {})
	}
	if waiting.closed {
		t.Error("an idle connection was closed, although complete requests hold the budget")
	}
}

// Load: a crowd that displaces a request whose last bytes have just arrived.
// Guards against a request that is served although its connection was closed: its client
// takes it for refused.
func TestClosedRequestIsNotComplete(t *testing.T) {
	c := newClients(1<<20, 100)
	k := c.open(t, "a", connectionBytes)
	k.Receive(largeRequest)
	c.now += time.Second
	for range 40 {
		c.open(t, "b", connectionBytes)
	}
	if !k.closed || k.Complete() {
		t.Errorf("closed: %v; a closed request is complete", k.closed)
	}
}

// Load: none but one request, larger than the budget.
// Guards against a request within the legal limits that is never served.
func TestSingleRequestIsServed(t *testing.T) {
	c := newClients(64<<10, 10)
	k := c.open(t, "a", connectionBytes)
	if !k.Receive(largeRequest) || k.closed {
		t.Error("a single request was closed")
	}
}

// Guards against bytes or connections that stay counted after their connection has
// ended, against sums beyond the limits, and against a closed complete request.
func TestSumsAreThoseOfOpenConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxBytes, maxConnections, openedBytes = 100, 8, 5
		c := newClients(maxBytes, maxConnections)
		var open []*conn
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			c.now += time.Duration(rapid.IntRange(0, 50).Draw(t, "pause")) * time.Millisecond
			step := rapid.IntRange(0, 4).Draw(t, "step")
			if step == 0 || len(open) == 0 {
				n := &conn{}
				if h, ok := c.group.Open(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "client"), openedBytes, func() { n.closed = true }); ok {
					n.Holder = h
					open = append(open, n)
				}
			} else {
				k := open[rapid.IntRange(0, len(open)-1).Draw(t, "connection")]
				wasComplete := k.phase == complete
				switch step {
				case 1:
					if !wasComplete {
						k.Receive(rapid.Int64Range(1, 60).Draw(t, "bytes"))
					}
				case 2:
					k.Complete()
				case 3:
					k.Idle(openedBytes)
				case 4:
					k.Close()
					k.Close()
				}
			}
			open = checkSums(t, c, open, maxBytes, maxConnections)
		}
	})
}

// checkSums compares the sums of the budget with its holders and returns those that are
// still open.
func checkSums(t *rapid.T, c *clients, before []*conn, maxBytes int64, maxConnections int) (open []*conn) {
	var held int64
	busy := 0
	for _, k := range before {
		if k.phase == ended {
			continue
		}
		if k.closed {
			t.Fatal("a connection that counts was closed")
		}
		if k.phase != idle {
			busy++
		}
		held += k.bytes
		open = append(open, k)
	}
	if got := c.budget.Held(); got != held {
		t.Fatalf("%d bytes counted, %d held", got, held)
	}
	if held > maxBytes && busy > 1 {
		t.Fatalf("%d bytes held by %d requests", held, busy)
	}
	if c.group.count != len(open) || len(open) > maxConnections {
		t.Fatalf("%d connections counted, %d open", c.group.count, len(open))
	}
	return open
}

// The cost of a decision when as many connections are open as a gateway may have.
func BenchmarkOpenAtTheLimit(b *testing.B) {
	c := newClients(1<<40, 10_000)
	for i := range 10_000 {
		c.open(b, fmt.Sprint(i%500), connectionBytes)
		c.now += time.Millisecond
	}
	for b.Loop() {
		c.now += time.Millisecond
		c.open(b, "a", connectionBytes)
	}
}
