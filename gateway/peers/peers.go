// Package peers provides clients for the calls between gateways, and the HTTP
// client that they and the links to agents use.
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
	// dialTimeout bounds a TCP connect. Round trips within a cell take a few
	// milliseconds.
	dialTimeout = time.Second
	// http2PingTimeout is the idle time before a connection is checked with an
	// HTTP/2 ping, and the time to wait for the reply before closing it.
	http2PingTimeout = 2 * time.Second
)

// NewHTTPClient returns an HTTP client that connects to gateways and agents over
// HTTP/2 without TLS.
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

// Clients caches one client for each gateway address.
type Clients struct {
	mu      sync.Mutex // guards clients
	clients map[string]rhubarbsailv1connect.GatewayServiceClient
	http    *http.Client
	opts    []connect.ClientOption
}

// New returns an empty cache. All clients share the options and one HTTP client.
func New(opts ...connect.ClientOption) *Clients {
	return &Clients{
		clients: make(map[string]rhubarbsailv1connect.GatewayServiceClient),
		http:    NewHTTPClient(),
		opts:    opts,
	}
}

// Client returns the client for the gateway at address and creates it on first
// use.
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
