// Package settings reads the settings files of the daemons. A file is JSON and
// is decoded strictly; all findings are reported together with file, line and
// key. Keys carry their unit, such as permit_lifetime_ms. A key that is absent
// takes its default (docs/design.md, section 10).
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

// Milliseconds is a time in milliseconds.
type Milliseconds int64

// Duration returns the time as a time.Duration.
func (m Milliseconds) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Settings are the settings of one daemon.
type Settings interface {
	// setDefaults sets each key that a file may omit.
	setDefaults()
	// check reports clashes between keys.
	check(c *checker)
}

// maxFileBytes bounds a settings file.
const maxFileBytes = 1 << 20

// Load reads a settings file into s. An error that is a findings.List holds
// all faults of the file.
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

// Parse reads the content of a settings file into s. The error is a
// findings.List.
func Parse(file string, data []byte, s Settings) error {
	s.setDefaults()
	doc := strictjson.Decode(file, data, s, strictjson.Options{Places: true})
	c := &checker{doc: doc, faulty: map[string]bool{}}
	for _, f := range doc.Faults {
		c.faulty[f.Place.Key] = true
	}
	s.check(c)
	return doc.Faults.Err()
}

// checker collects clashes. A key that already has a finding is not checked
// again, since its value is not the one in the file.
type checker struct {
	doc    *strictjson.Document
	faulty map[string]bool
}

func (c *checker) addf(key, format string, args ...any) {
	if !c.faulty[key] {
		c.doc.Add(key, fmt.Sprintf(format, args...))
	}
}

// quantity is a number with its key.
type quantity struct {
	key   string
	value int64
}

// less requires a < b and says why.
func (c *checker) less(a, b quantity, why string) {
	if a.value >= b.value {
		c.clash(a, b, "less than", why)
	}
}

// atMost requires a <= b and says why.
func (c *checker) atMost(a, b quantity, why string) {
	if a.value > b.value {
		c.clash(a, b, "at most", why)
	}
}

// clash reports a at its own place, or at b's if the file sets only b.
func (c *checker) clash(a, b quantity, relation, why string) {
	if c.faulty[a.key] || c.faulty[b.key] {
		return
	}
	if c.doc.Has(b.key) && !c.doc.Has(a.key) {
		c.addf(b.key, "%d clashes with %s (%d by default), which must be %s it: %s", b.value, a.key, a.value, relation, why)
		return
	}
	c.addf(a.key, "%d must be %s %s (%d): %s", a.value, relation, b.key, b.value, why)
}

// address requires host:port with an IP number. The port may be 0 only for an
// address that is listened on.
func (c *checker) address(key, value string, listen bool) {
	a, err := netip.ParseAddrPort(value)
	switch {
	case value == "":
	case err != nil:
		c.addf(key, "%q is not an address of the form 10.0.0.1:7000 or [fd00::1]:7000", value)
	case a.Port() == 0 && !listen:
		c.addf(key, "the port of %q must not be 0", value)
	case a.Addr().IsUnspecified() && !listen:
		c.addf(key, "%q is not an address that others can reach", value)
	}
}

func (c *checker) addresses(key string, values []string, own string) {
	seen := map[string]bool{}
	for i, v := range values {
		k := fmt.Sprintf("%s[%d]", key, i)
		c.address(k, v, false)
		if seen[v] {
			c.addf(k, "%s is listed twice", v)
		}
		if v == own && own != "" {
			c.addf(k, "%s is this process's own address", v)
		}
		seen[v] = true
	}
}

// distinct requires that listen addresses differ, except for port 0.
func (c *checker) distinct(keys, values []string) {
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

func (c *checker) url(key, value string) {
	u, err := url.Parse(value)
	if value != "" && (err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "") {
		c.addf(key, "%q is not a URL of the form http://10.0.0.1:7000", value)
	}
}

// list returns the findings of an error of Load, if it has any.
func list(err error) (findings.List, bool) {
	var l findings.List
	return l, errors.As(err, &l)
}

// SetDefaults sets each key to its default, for a daemon that runs without a
// file. Required keys stay empty.
func SetDefaults(s Settings) { s.setDefaults() }
