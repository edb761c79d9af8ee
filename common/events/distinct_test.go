package events

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a persistent fault that fills the log or the memory, and against
// one that is never logged again.
func TestDistinctFaultsAreLoggedOnceAPeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var d Distinct
		for period := range 3 {
			lines := 0
			for i := range 10_000 {
				if d.First(strconv.Itoa(i % 5000)) {
					lines++
				}
			}
			if lines != maxDistinct {
				t.Errorf("%d lines in period %d, want %d", lines, period, maxDistinct)
			}
			time.Sleep(distinctPeriod)
		}
	})
}
