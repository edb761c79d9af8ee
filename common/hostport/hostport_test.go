package hostport

import (
	"strings"
	"testing"
)

// Guards against addresses that no dial can reach, or that change the URL which they
// are part of.
func TestOnlyAddressesThatCanBeDialedPass(t *testing.T) {
	for _, valid := range []string{"10.0.0.1:1", "[::1]:65535", "gateway-1.zone_a:8080", "1.2.3.4:08"} {
		if err := Check(valid); err != nil {
			t.Errorf("%q: %v", valid, err)
		}
	}
	for _, invalid := range []string{
		"", ":", ":80", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:-1", "10.0.0.1:+1", "10.0.0.1:99999999999999999999",
		"10.0.0.1:http", "10.0.0.256:1", "0.0.0.0:1", "[::]:1", "224.0.0.1:1", "[fe80::1%25eth0]:1", "::1:1", "a b:1", "a/b:1", "user@a:1", "%zz:1",
		"a\x00:1", "\xff:1", "{}", "a:1\n", "a:1/path", strings.Repeat("a", 300) + ":1",
	} {
		if Check(invalid) == nil {
			t.Errorf("%q passes", invalid)
		}
	}
}
