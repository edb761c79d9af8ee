// Package rapidflags sets the flags of the property-based testing library rapid for
// single tests, so that CI runs the same schedules each time.
package rapidflags

import (
	"flag"
	"strconv"
	"testing"
)

// Set sets the numbers of checks and of steps in each, the seed and the time for
// shrinking a failure, until the test ends. Flags that are given on the command line keep
// their values.
func Set(t *testing.T, checks, steps int, seed uint64, shrink string) {
	set := func(name, value string) {
		f := flag.Lookup(name)
		if f.Value.String() == f.DefValue {
			old := f.Value.String()
			if err := f.Value.Set(value); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = f.Value.Set(old) })
		}
	}
	set("rapid.checks", strconv.Itoa(checks))
	set("rapid.steps", strconv.Itoa(steps))
	set("rapid.seed", strconv.FormatUint(seed, 10))
	set("rapid.nofailfile", "true")
	set("rapid.shrinktime", shrink)
}
