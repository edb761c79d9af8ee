package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// network holds the proxies between the processes. A process that is cut off exchanges no
// bytes through them until it is healed; what was sent meanwhile arrives afterwards, as on
// a network that repeats lost packets.
type network struct {
	d *deployment

	mu sync.Mutex // guards the fields below
	// cut holds the names of the processes that are cut off; healed is closed and replaced
	// when that changes.
	cut     map[string]bool
	changed chan struct{}
	conns   map[net.Conn]bool
	ends    []net.Listener
}

func newNetwork(d *deployment) *network {
	return &network{d: d, cut: map[string]bool{}, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
}

// setCut cuts a process off, or heals the cut.
func (n *network) setCut(name string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if cut {
		n.cut[name] = true
	} else {
		delete(n.cut, name)
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

// awaitPath waits until neither of two processes is cut off.
func (n *network) awaitPath(from, to string) {
	for {
		n.mu.Lock()
		blocked, changed := n.cut[from] || n.cut[to], n.changed
		n.mu.Unlock()
		if !blocked {
			return
		}
		select {
		case <-changed:
		case <-n.d.stopped:
			return
		}
	}
}

// ownerTries is how often the owner of a connection is looked for. A connection without one
// has been closed by its process.
const ownerTries = 20

// proxy forwards the connections to an address to a process. An empty from is found by the
// connection's owner.
func (n *network) proxy(address, target, from, to string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.ends = append(n.ends, l)
	n.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go n.forward(c, target, from, to)
		}
	}()
	return nil
}

func (n *network) forward(c net.Conn, target, from, to string) {
	n.track(c)
	defer n.drop(c)
	for try := 0; from == "" && try < ownerTries; try++ {
		// The list of sockets may miss one while others come and go.
		time.Sleep(time.Millisecond)
		from = n.d.ownerOf(c.RemoteAddr().(*net.TCPAddr))
	}
	if from == "" {
		return
	}
	n.awaitPath(from, to)
	s, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	n.track(s)
	defer n.drop(s)
	var both sync.WaitGroup
	both.Go(func() { n.copy(s, c, from, to) })
	both.Go(func() { n.copy(c, s, from, to) })
	both.Wait()
}

// copy forwards bytes in one direction while there is a path.
func (n *network) copy(to, from net.Conn, a, b string) {
	buffer := make([]byte, 16<<10)
	for {
		n.awaitPath(a, b)
		count, err := from.Read(buffer)
		n.awaitPath(a, b)
		if count > 0 {
			if _, writeErr := to.Write(buffer[:count]); writeErr != nil {
				err = writeErr
			}
		}
		if err == io.EOF {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}

func (n *network) track(c net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[c] = true
}

func (n *network) drop(c net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
	_ = c.Close()
}

func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.ends {
		_ = l.Close()
	}
	for c := range n.conns {
		_ = c.Close()
	}
}

// ownerOf returns the name of the process of the deployment that has a connection with a
// local address, or "" if it has none.
func (d *deployment) ownerOf(a *net.TCPAddr) string {
	inode := inodeOf(a)
	if inode == "" {
		return ""
	}
	for _, p := range append(append([]*process{}, d.gateways...), d.agents...) {
		files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", p.pid()))
		for _, f := range files {
			if link, err := os.Readlink(f); err == nil && link == "socket:["+inode+"]" {
				return p.name
			}
		}
	}
	return ""
}

// inodeOf returns the inode of the socket with a local address, as /proc/net/tcp lists it.
func inodeOf(a *net.TCPAddr) string {
	ip := a.IP.To4()
	want := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port)
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer func() { _ = f.Close() }()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		columns := strings.Fields(lines.Text())
		if len(columns) > 9 && columns[1] == want && columns[9] != "0" {
			return columns[9]
		}
	}
	return ""
}
