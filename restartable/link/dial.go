package link

import (
	"context"
	"net"
	"net/http"
	"syscall"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// NewHTTPClient returns the HTTP client for links and calls between processes:
// HTTP/2 without TLS.
func NewHTTPClient() *http.Client {
	d := net.Dialer{Timeout: dialTimeout, ControlContext: setTCPUserTimeout}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{DialContext: d.DialContext, Protocols: protocols, DisableCompression: true, IdleConnTimeout: idleTimeout}}
}

func setTCPUserTimeout(_ context.Context, _, _ string, c syscall.RawConn) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	if err = errors.Join(err, optErr); err != nil {
		return errors.Wrap(err, "set TCP_USER_TIMEOUT")
	}
	return nil
}
