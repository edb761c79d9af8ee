// Package peers has the clients of the calls between gateways.
package peers

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/v1/rhubarbsailv1connect"
)

const (
	// dialTimeout bounds a TCP connect within a cell, where a round trip takes
	// a few milliseconds.
	dialTimeout = time.Second
	// http2PingTimeout closes a connection whose peer does not answer.
	http2PingTimeout = 2 * time.Second
)

// NewHTTPClient returns an HTTP client that speaks HTTP/2 without TLS to
// gateways and agents.
func NewHTTPClient() *http.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		Protocols: protocols,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			return (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, addr)
		},
		HTTP2: &http.HTTP2Config{SendPingTimeout: http2PingTimeout, PingTimeout: http2PingTimeout},
	}}
}

// Clients keeps one client for each gateway address. mu guards clients.
type Clients struct {
	mu      sync.Mutex
	clients map[string]rhubarbsailv1connect.GatewayServiceClient
	http    *http.Client
	opts    []connect.ClientOption
}

// New returns the clients; they share the options.
func New(opts ...connect.ClientOption) *Clients {
	return &Clients{
		clients: make(map[string]rhubarbsailv1connect.GatewayServiceClient),
		http:    NewHTTPClient(),
		opts:    opts,
	}
}

func (p *Clients) Client(address string) rhubarbsailv1connect.GatewayServiceClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.clients[address]
	if !ok {
		c = rhubarbsailv1connect.NewGatewayServiceClient(p.http, "http://"+address, p.opts...)
		p.clients[address] = c
	}
	return c
}
