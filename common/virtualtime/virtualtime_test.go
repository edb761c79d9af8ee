package virtualtime

import (
	"slices"
	"testing"
	"time"
)

// Guards against simulations that differ between runs, because events of the same
// time run in another order, and against simulations that run past their end.
func TestEventsRunInTimeThenInsertionOrder(t *testing.T) {
	var c Clock
	var got []int
	add := func(d time.Duration, n int) { c.After(d, func() { got = append(got, n) }) }
	add(2, 3)
	add(1, 1)
	add(1, 2)
	c.After(2, func() { add(1, 4) })
	add(4, 5)
	c.RunUntil(3)
	if !slices.Equal(got, []int{1, 2, 3, 4}) || c.Now != 3 {
		t.Fatalf("ran %v until %d", got, c.Now)
	}
	if !c.Step(4) || c.Step(4) || got[4] != 5 {
		t.Fatalf("ran %v", got)
	}
}
