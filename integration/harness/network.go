package harness

import (
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/vishvananda/netlink"
)

// Network relays the connections between the processes of a deployment, so that
// connections between two named processes can be cut, delayed or broken. Each
// process advertises the address of its relay instead of its own.
type Network struct {
	// processes lists the processes that may dial; the function is not replaced
	// after the start.
	processes func() []*Process
	listeners []net.Listener
	// mu guards the fields below.
	mu     sync.Mutex
	cut    map[direction]bool
	delay  map[direction]time.Duration
	conns  map[*relayedConn]struct{}
	closed bool
}

// direction names two processes; a cut and a delay apply to bytes from the first to
// the second.
type direction struct{ from, to string }

// relayedConn is one connection through a relay.
type relayedConn struct {
	ends             direction
	dialled, serving net.Conn
	// A silent connection loses all segments, including those that would tell one
	// end that the other has closed.
	silent atomic.Bool
}

func (r *relayedConn) close() {
	_ = r.dialled.Close()
	_ = r.serving.Close()
}

const (
	// cutPollInterval is the interval at which a cut connection checks for its repair.
	cutPollInterval = 2 * time.Millisecond
	// chunkBytes and chunksMax bound the data that a relay buffers for one
	// direction of a connection.
	chunkBytes = 16 << 10
	chunksMax  = 256
)

// NewNetwork returns a network that identifies dialling processes among those that
// the function lists.
func NewNetwork(processes func() []*Process) *Network {
	return &Network{
		processes: processes, cut: make(map[direction]bool),
		delay: make(map[direction]time.Duration), conns: make(map[*relayedConn]struct{}),
	}
}

// Relay starts a relay to the process with the given name and address and returns
// the relay's address.
func (n *Network) Relay(name, address string) (string, error) {
	own, err := FreeAddress()
	if err != nil {
		return "", err
	}
	l, err := net.Listen("tcp", own)
	if err != nil {
		return "", errors.Wrap(err, "listen for relay")
	}
	n.listeners = append(n.listeners, l)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go n.serve(c, name, address)
		}
	}()
	return own, nil
}

func (n *Network) serve(c net.Conn, to, address string) {
	ends := direction{from: n.dialler(c), to: to}
	// A connection is established only while neither direction is cut, as the TCP
	// handshake needs both.
	if !n.await(ends) || !n.await(direction{to, ends.from}) {
		_ = c.Close()
		return
	}
	s, err := net.Dial("tcp", address)
	if err != nil {
		// The process is not listening. The dialler sees a connection that is closed
		// before the first byte.
		_ = c.Close()
		return
	}
	r := &relayedConn{ends: ends, dialled: c, serving: s}
	n.mu.Lock()
	n.conns[r] = struct{}{}
	n.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { n.pump(r, c, s, ends) })
	wg.Go(func() { n.pump(r, s, c, direction{from: ends.to, to: ends.from}) })
	wg.Wait()
	n.mu.Lock()
	delete(n.conns, r)
	n.mu.Unlock()
}

// await waits until the direction is not cut. It returns false if the network is
// closed.
func (n *Network) await(p direction) bool {
	for {
		n.mu.Lock()
		blocked, closed := n.cut[p], n.closed
		n.mu.Unlock()
		if closed || !blocked {
			return !closed
		}
		time.Sleep(cutPollInterval)
	}
}

type chunk struct {
	due  time.Time
	data []byte
}

// pump copies the bytes of one direction. Bytes that arrive during a cut are held
// and delivered after its repair, as TCP retransmits lost segments.
func (n *Network) pump(r *relayedConn, from io.Reader, to io.Writer, dir direction) {
	defer func() {
		if !r.silent.Load() {
			r.close()
		}
	}()
	chunks := make(chan chunk, chunksMax)
	var failed atomic.Bool
	go func() {
		defer close(chunks)
		for {
			b := make([]byte, chunkBytes)
			k, err := from.Read(b)
			if k > 0 {
				n.mu.Lock()
				d := n.delay[dir]
				n.mu.Unlock()
				chunks <- chunk{due: time.Now().Add(d), data: b[:k]}
			}
			if err != nil || failed.Load() {
				return
			}
		}
	}()
	for c := range chunks {
		time.Sleep(time.Until(c.due))
		if failed.Load() || !n.await(dir) {
			failed.Store(true)
			continue
		}
		if r.silent.Load() {
			continue
		}
		if _, err := to.Write(c.data); err != nil {
			failed.Store(true)
			r.close()
		}
	}
	n.await(dir)
}

// Cut holds back all bytes between two processes in both directions until Heal, as
// a network partition does.
func (n *Network) Cut(a, b string) {
	n.CutOneWay(a, b)
	n.CutOneWay(b, a)
}

// CutOneWay holds back the bytes from one process to another until Heal.
func (n *Network) CutOneWay(from, to string) { n.locked(func() { n.cut[direction{from, to}] = true }) }

// Heal ends the cuts between two processes in both directions.
func (n *Network) Heal(a, b string) {
	n.locked(func() {
		delete(n.cut, direction{a, b})
		delete(n.cut, direction{b, a})
	})
}

// Delay delays all bytes sent from one process to another from now on by d.
func (n *Network) Delay(from, to string, d time.Duration) {
	n.locked(func() { n.delay[direction{from, to}] = d })
}

// Break closes the open connections between two processes.
func (n *Network) Break(a, b string) { n.forEachConn(a, b, (*relayedConn).close) }

// Reset closes the open connections between two processes with RST segments.
func (n *Network) Reset(a, b string) {
	n.forEachConn(a, b, func(r *relayedConn) {
		for _, c := range []net.Conn{r.dialled, r.serving} {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		r.close()
	})
}

// Silence makes the open connections between two processes lose all segments from
// now on. New connections are not affected.
func (n *Network) Silence(a, b string) {
	n.forEachConn(a, b, func(r *relayedConn) { r.silent.Store(true) })
}

// forEachConn calls a function for the open connections between two processes.
func (n *Network) forEachConn(a, b string, f func(r *relayedConn)) {
	n.locked(func() {
		for r := range n.conns {
			if r.ends == (direction{a, b}) || r.ends == (direction{b, a}) {
				f(r)
			}
		}
	})
}

// HealAll ends all cuts and delays. Silent connections stay silent.
func (n *Network) HealAll() {
	n.locked(func() {
		clear(n.cut)
		clear(n.delay)
	})
}

// locked calls f with the lock held.
func (n *Network) locked(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
}

// Close closes all relays and connections.
func (n *Network) Close() {
	for _, l := range n.listeners {
		_ = l.Close()
	}
	n.locked(func() {
		n.closed = true
		for r := range n.conns {
			r.close()
		}
	})
}

// dialler returns the name of the process that opened a connection. The kernel
// reports the inode of the peer's socket, and the process has that inode open.
func (n *Network) dialler(c net.Conn) string {
	// A netlink query reads a single socket. /proc/net/tcp has tens of thousands of
	// lines after many short connections, and reading it for each connection would
	// exceed the timeouts of links.
	socket, err := netlink.SocketGet(c.RemoteAddr(), c.LocalAddr())
	if err != nil {
		// The dialler has closed the connection.
		return unknownDialler
	}
	inode := strconv.FormatUint(uint64(socket.INode), 10)
	for _, p := range n.processes() {
		if pid := p.PID(); pid != 0 && hasSocket(pid, inode) {
			return p.Name
		}
	}
	return unknownDialler
}

// unknownDialler is the name of a dialler that is not part of the deployment or has
// closed its connection.
const unknownDialler = "unknown"

func hasSocket(pid int, inode string) bool {
	dir := "/proc/" + strconv.Itoa(pid) + "/fd/"
	entries, err := os.ReadDir(dir)
	if err != nil {
		return false
	}
	for _, e := range entries {
		if to, err := os.Readlink(dir + e.Name()); err == nil && to == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}

const (
	// The ports are below the kernel's range for outgoing connections. An outgoing
	// connection therefore cannot take a port before the daemon listens on it or
	// while the daemon restarts.
	portFirst = 20_000
	portLast  = 32_000
	// portBlock is the number of ports that one test process uses.
	portBlock = 2_000
)

// ports returns a block of ports that only this test process uses. The process
// reserves the block by listening on its first port until it exits. Otherwise,
// concurrent test runs could connect the daemons of one to those of the other.
var ports = sync.OnceValues(func() (*portRange, error) {
	blocks := (portLast - portFirst) / portBlock
	for _, i := range rand.Perm(blocks) {
		first := portFirst + i*portBlock
		if l, err := net.Listen("tcp", loopback(first)); err == nil {
			return &portRange{reservation: l, next: first + 1, last: first + portBlock}, nil
		}
	}
	return nil, errors.New("all port blocks are in use")
})

// portRange is a block of ports; mu guards next.
type portRange struct {
	reservation net.Listener
	mu          sync.Mutex
	next        int
	last        int
}

func loopback(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

// FreeAddress returns an address on loopback that nothing listens on. It returns
// each address only once.
func FreeAddress() (string, error) {
	r, err := ports()
	if err != nil {
		return "", err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	// A process forked during the check would hold the listener open until its exec,
	// so that the port would still be in use.
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	for r.next < r.last {
		address := loopback(r.next)
		r.next++
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return address, nil
		}
	}
	return "", errors.New("no free port on loopback")
}
