// Package hostport validates network addresses that other processes have written.
package hostport

import (
	"net"
	"net/netip"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// maxBytes is the longest address: a host name of 253 bytes, a colon and a port.
const maxBytes = 253 + 1 + 5

// Check returns an error unless address consists of an IP address or a host name,
// and a port that can be dialed.
func Check(address string) error {
	if len(address) > maxBytes {
		return errors.Errorf("the address has %d bytes", len(address))
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return errors.Errorf("address %q: the port is not between 1 and 65535", address)
	}
	if ip, err := netip.ParseAddr(host); err == nil {
		if ip.IsUnspecified() || ip.IsMulticast() || ip.Zone() != "" {
			return errors.Errorf("address %q does not belong to one host", address)
		}
		return nil
	}
	if !isName(host) {
		return errors.Errorf("address %q has no valid host", address)
	}
	return nil
}

// isName reports whether host is a host name. One without letters is an invalid IP
// address.
func isName(host string) bool {
	const letters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	return strings.Trim(host, letters+"0123456789.-_") == "" && strings.ContainsAny(host, letters)
}
