// Package memnet is an in-memory network for tests, whose connections can go silent: they
// stay open, but nothing passes any more.
package memnet

import (
	"context"
	"net"
	"sync"
)

// Network connects clients to one server in memory. It is a net.Listener. It works in
// virtual time, since its connections are pipes.
type Network struct {
	accepted chan net.Conn
	closed   sync.Once

	mu    sync.Mutex
	conns []*conn
}

// conn is the server's side of a connection. While silent, it discards what both
// sides write.
type conn struct {
	net.Conn
	silent chan struct{}
}

// New returns a network without connections.
func New() *Network { return &Network{accepted: make(chan net.Conn)} }

// Dial connects to the server, whatever the address.
func (n *Network) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	c := &conn{Conn: server, silent: make(chan struct{})}
	n.mu.Lock()
	n.conns = append(n.conns, c)
	n.mu.Unlock()
	select {
	case n.accepted <- c:
		return client, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Silence makes all present connections silent for good.
func (n *Network) Silence() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		close(c.silent)
	}
	n.conns = nil
}

// Accept implements net.Listener.
func (n *Network) Accept() (net.Conn, error) {
	c, open := <-n.accepted
	if !open {
		return nil, net.ErrClosed
	}
	return c, nil
}

// Close implements net.Listener.
func (n *Network) Close() error {
	n.closed.Do(func() { close(n.accepted) })
	return nil
}

// Addr implements net.Listener.
func (n *Network) Addr() net.Addr { return &net.TCPAddr{} }

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		select {
		case <-c.silent:
			if err == nil {
				continue
			}
			return 0, err
		default:
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	select {
	case <-c.silent:
		return len(b), nil
	default:
		return c.Conn.Write(b)
	}
}
