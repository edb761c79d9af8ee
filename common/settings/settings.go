// Package settings loads and validates the settings files of the daemons. A file
// is strictly decoded JSON. All findings are reported together, each with file,
// line and key. Keys include their unit, such as permit_lifetime_ms. A key that is
// absent has its default value (docs/design.md, section 10).
package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/rhubarbsail/rhubarbsail/common/findings"
	"github.com/rhubarbsail/rhubarbsail/common/strictjson"
)

// Milliseconds is a duration in milliseconds.
type Milliseconds int64

// Duration converts to a time.Duration.
func (m Milliseconds) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Settings are the settings of one daemon.
type Settings interface {
	// setDefaults sets every key that a file may omit to its default.
	setDefaults()
	// check reports malformed values and keys whose values conflict.
	check(c *checker)
}

// maxFileBytes limits the size of a settings file.
const maxFileBytes = 1 << 20

// Load reads a settings file into s. If the file is invalid, the error is a
// findings.List with all faults.
func Load(file string, s Settings) error {
	info, err := os.Stat(file)
	if err != nil {
		return errors.Wrap(err, "settings")
	}
	if info.Size() > maxFileBytes {
		return errors.Errorf("settings: %s is over %d bytes", file, maxFileBytes)
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "settings")
	}
	return Parse(file, data, s)
}

// Parse decodes and validates the content of a settings file into s. The error is a
// findings.List.
func Parse(file string, data []byte, s Settings) error {
	s.setDefaults()
	doc := strictjson.Decode(file, data, s, strictjson.Options{Places: true})
	c := &checker{doc: doc, invalidKeys: map[string]bool{}}
	for _, f := range doc.Faults {
		c.invalidKeys[f.Place.Key] = true
	}
	s.check(c)
	return doc.Faults.Err()
}

// checker adds findings about values to those of decoding. A key that already has
// a finding of decoding is not checked, since its value is not the one in the file.
type checker struct {
	doc         *strictjson.Document
	invalidKeys map[string]bool
}

func (c *checker) addf(key, format string, args ...any) {
	if !c.invalidKeys[key] {
		c.doc.Add(key, fmt.Sprintf(format, args...))
	}
}

// keyValue is a key and its numeric value.
type keyValue struct {
	key   string
	value int64
}

// requireLess reports a finding with the reason why unless a < b.
func (c *checker) requireLess(a, b keyValue, why string) {
	if a.value >= b.value {
		c.addConflict(a, b, "less than", why)
	}
}

// requireAtMost reports a finding with the reason why unless a <= b.
func (c *checker) requireAtMost(a, b keyValue, why string) {
	if a.value > b.value {
		c.addConflict(a, b, "at most", why)
	}
}

// addConflict reports a conflict at the position of a, or at that of b if the file
// sets only b.
func (c *checker) addConflict(a, b keyValue, relation, why string) {
	if c.invalidKeys[a.key] || c.invalidKeys[b.key] {
		return
	}
	if c.doc.Has(b.key) && !c.doc.Has(a.key) {
		c.addf(b.key, "%d conflicts with %s (%d by default), which must be %s it: %s", b.value, a.key, a.value, relation, why)
		return
	}
	c.addf(a.key, "%d must be %s %s (%d): %s", a.value, relation, b.key, b.value, why)
}

// checkAddress requires an IP address and a port. Only listen addresses may be
// unspecified (0.0.0.0 or [::]) or have port 0.
func (c *checker) checkAddress(key, value string, allowUnspecified bool) {
	a, err := netip.ParseAddrPort(value)
	switch {
	case value == "":
	case err != nil:
		c.addf(key, "%q is not an address of the form 10.0.0.1:7000 or [fd00::1]:7000", value)
	case a.Port() == 0 && !allowUnspecified:
		c.addf(key, "the port of %q must not be 0", value)
	case a.Addr().IsUnspecified() && !allowUnspecified:
		c.addf(key, "%q is not an address that others can reach", value)
	}
}

func (c *checker) checkPeerAddresses(key string, values []string, own string) {
	seen := map[string]bool{}
	for i, v := range values {
		k := fmt.Sprintf("%s[%d]", key, i)
		c.checkAddress(k, v, false)
		if seen[v] {
			c.addf(k, "%s is listed twice", v)
		}
		if v == own && own != "" {
			c.addf(k, "%s is this process's own address", v)
		}
		seen[v] = true
	}
}

// requireDistinct requires that listen addresses differ. Addresses with port 0
// always do.
func (c *checker) requireDistinct(keys, values []string) {
	first := map[string]string{}
	for i, v := range values {
		if a, err := netip.ParseAddrPort(v); err != nil || a.Port() == 0 {
			continue
		}
		if other, ok := first[v]; ok {
			c.addf(keys[i], "%s is also the value of %s", v, other)
			continue
		}
		first[v] = keys[i]
	}
}

func (c *checker) checkURL(key, value string) {
	u, err := url.Parse(value)
	if value != "" && (err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "") {
		c.addf(key, "%q is not a URL of the form http://10.0.0.1:7000", value)
	}
}

// findingsOf returns the findings in an error of Load, if there are any.
func findingsOf(err error) (findings.List, bool) {
	var l findings.List
	return l, errors.As(err, &l)
}

// SetDefaults sets all keys to their defaults, for a daemon that runs without a
// settings file. Required keys are left empty.
func SetDefaults(s Settings) { s.setDefaults() }
