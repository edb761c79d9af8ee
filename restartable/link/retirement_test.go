package link

import "testing"

// Guards against a link that ends while the report of an end is on its way: the
// gateway would take its task for lost. Times and stamps are those of one clock.
func TestLinkEndsAfterItsLastReport(t *testing.T) {
	var r retirement
	if r.sent(1) || r.complete(2, 1, true) {
		t.Fatal("a link that stays is retired")
	}
	r.begun = true
	if r.complete(3, 1, true) {
		t.Fatal("it ends before the gateway has been told")
	}
	if !r.sent(10) {
		t.Fatal("the gateway is not told")
	}
	if r.complete(12, 9, true) {
		t.Fatal("it ends before the gateway has returned the stamp")
	}
	if r.complete(13, 10, false) {
		t.Fatal("it ends with work on it")
	}
	if r.complete(20, 11, true) || r.complete(21, 20, true) {
		t.Fatal("it ends before a frame that was sent after the last end has arrived")
	}
	r.reported()
	if r.complete(30, 25, true) || r.complete(31, 30, true) {
		t.Fatal("it ends before the gateway has the report of a refused order")
	}
	if !r.complete(40, 31, true) {
		t.Fatal("it does not end")
	}
}
