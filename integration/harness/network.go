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
// those between two named processes can be cut or delayed. All processes
// advertise the address of their relay.
type Network struct {
	// processes resolves the process that dialled; it does not change after the
	// start.
	processes func() []*Process
	listeners []net.Listener
	// mu guards the fields below.
	mu     sync.Mutex
	cut    map[pair]bool
	delay  map[pair]time.Duration
	conns  map[*relayed]struct{}
	closed bool
}

// pair names two processes; a cut and a delay apply to bytes from the first to
// the second.
type pair struct{ from, to string }

// relayed is one connection through a relay.
type relayed struct {
	ends             pair
	dialled, serving net.Conn
	// silent connections lose all segments from now on, also those that would
	// tell one end that the other has closed.
	silent atomic.Bool
}

func (r *relayed) close() {
	_ = r.dialled.Close()
	_ = r.serving.Close()
}

const (
	// cutPoll is the interval at which a cut connection looks for its repair.
	cutPoll = 2 * time.Millisecond
	// chunkBytes and chunksMax bound what a relay holds of one direction.
	chunkBytes = 16 << 10
	chunksMax  = 256
)

// NewNetwork returns a network between the processes that the function lists.
func NewNetwork(processes func() []*Process) *Network {
	return &Network{
		processes: processes, cut: make(map[pair]bool),
		delay: make(map[pair]time.Duration), conns: make(map[*relayed]struct{}),
	}
}

// Relay serves connections to the process name at address and returns the
// relay's address.
func (n *Network) Relay(name, address string) (string, error) {
	own, err := FreeAddress()
	if err != nil {
		return "", err
	}
	l, err := net.Listen("tcp", own)
	if err != nil {
		return "", errors.Wrap(err, "relay")
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
	ends := pair{from: n.dialler(c), to: to}
	// A connection is set up only if bytes pass in both directions.
	if !n.await(ends) || !n.await(pair{to, ends.from}) {
		_ = c.Close()
		return
	}
	s, err := net.Dial("tcp", address)
	if err != nil {
		// The listener of the process is gone: the dialler sees a connection
		// that breaks before its first byte.
		_ = c.Close()
		return
	}
	r := &relayed{ends: ends, dialled: c, serving: s}
	n.mu.Lock()
	n.conns[r] = struct{}{}
	n.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { n.pump(r, c, s, ends) })
	wg.Go(func() { n.pump(r, s, c, pair{from: ends.to, to: ends.from}) })
	wg.Wait()
	n.mu.Lock()
	delete(n.conns, r)
	n.mu.Unlock()
}

// await waits until the direction is not cut. False means that the network is closed.
func (n *Network) await(p pair) bool {
	for {
		n.mu.Lock()
		blocked, closed := n.cut[p], n.closed
		n.mu.Unlock()
		if closed || !blocked {
			return !closed
		}
		time.Sleep(cutPoll)
	}
}

type chunk struct {
	due  time.Time
	data []byte
}

// pump copies one direction. Bytes that meet a cut are kept and delivered after
// its repair, as TCP does with segments that were lost.
func (n *Network) pump(r *relayed, from io.Reader, to io.Writer, direction pair) {
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
				d := n.delay[direction]
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
		if failed.Load() || !n.await(direction) {
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
	n.await(direction)
}

// Cut holds all bytes between two processes in both directions until Heal, as a
// network partition does.
func (n *Network) Cut(a, b string) {
	n.CutOneWay(a, b)
	n.CutOneWay(b, a)
}

// CutOneWay holds the bytes from one process to another until Heal.
func (n *Network) CutOneWay(from, to string) { n.set(func() { n.cut[pair{from, to}] = true }) }

// Heal ends the cut between two processes.
func (n *Network) Heal(a, b string) {
	n.set(func() {
		delete(n.cut, pair{a, b})
		delete(n.cut, pair{b, a})
	})
}

// Delay delays bytes from one process to another from now on.
func (n *Network) Delay(from, to string, d time.Duration) {
	n.set(func() { n.delay[pair{from, to}] = d })
}

// Break closes the open connections between two processes.
func (n *Network) Break(a, b string) { n.each(a, b, (*relayed).close) }

// Reset ends the open connections between two processes by RST segments.
func (n *Network) Reset(a, b string) {
	n.each(a, b, func(r *relayed) {
		for _, c := range []net.Conn{r.dialled, r.serving} {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		r.close()
	})
}

// Silence lets the open connections between two processes lose all segments from
// now on. New connections work.
func (n *Network) Silence(a, b string) { n.each(a, b, func(r *relayed) { r.silent.Store(true) }) }

// each calls a function for the open connections between two processes.
func (n *Network) each(a, b string, f func(r *relayed)) {
	n.set(func() {
		for r := range n.conns {
			if r.ends == (pair{a, b}) || r.ends == (pair{b, a}) {
				f(r)
			}
		}
	})
}

// HealAll ends all cuts and delays.
func (n *Network) HealAll() {
	n.set(func() {
		clear(n.cut)
		clear(n.delay)
	})
}

func (n *Network) set(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
}

// Close ends all relays and connections.
func (n *Network) Close() {
	for _, l := range n.listeners {
		_ = l.Close()
	}
	n.set(func() {
		n.closed = true
		for r := range n.conns {
			r.close()
		}
	})
}

// dialler names the process that opened a connection by the owner of its socket:
// the kernel gives the socket's inode, and one of our own processes has it open.
func (n *Network) dialler(c net.Conn) string {
	// /proc/net/tcp has tens of thousands of lines after many short connections,
	// and reading it for each new one takes longer than links may take.
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

// unknownDialler stands for a process that is not part of the deployment.
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
	// Ports below the range from which the kernel takes ports of outgoing
	// connections, so that none of these can take a port between the choice
	// and the daemon's listening, or during a restart.
	portFirst = 20_000
	portLast  = 32_000
	// portBlock is the number of ports that one test process uses.
	portBlock = 2_000
)

// ports hands out the ports of a block that only this process uses: it listens
// on the first port of the block until it ends. Two test runs at the same time
// would otherwise connect the daemons of one to those of the other.
var ports = sync.OnceValues(func() (*portRange, error) {
	blocks := (portLast - portFirst) / portBlock
	for _, i := range rand.Perm(blocks) {
		first := portFirst + i*portBlock
		if l, err := net.Listen("tcp", loopback(first)); err == nil {
			return &portRange{guard: l, next: first + 1, last: first + portBlock}, nil
		}
	}
	return nil, errors.New("all port blocks are in use")
})

// portRange is a block of ports; mu guards next.
type portRange struct {
	guard net.Listener
	mu    sync.Mutex
	next  int
	last  int
}

func loopback(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

// FreeAddress returns an address on loopback that nothing listens on and that
// no other caller gets.
func FreeAddress() (string, error) {
	r, err := ports()
	if err != nil {
		return "", err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	// A process that is forked meanwhile would hold the listener open until its
	// exec, and the port would be in use.
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
