package gateway

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

// newInternalClient returns an HTTP client that speaks HTTP/2 without TLS to
// gateways and agents.
func newInternalClient() *http.Client {
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

// peerClients keeps one client for each gateway address. mu guards clients.
type peerClients struct {
	mu      sync.Mutex
	clients map[string]rhubarbsailv1connect.GatewayServiceClient
	http    *http.Client
	opts    []connect.ClientOption
}

func newPeerClients(opts ...connect.ClientOption) *peerClients {
	return &peerClients{
		clients: make(map[string]rhubarbsailv1connect.GatewayServiceClient),
		http:    newInternalClient(),
		opts:    opts,
	}
}

func (p *peerClients) client(address string) rhubarbsailv1connect.GatewayServiceClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.clients[address]
	if !ok {
		c = rhubarbsailv1connect.NewGatewayServiceClient(p.http, "http://"+address, p.opts...)
		p.clients[address] = c
	}
	return c
}
