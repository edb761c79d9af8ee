package link

import "testing"

// Guards against closing a link while the report of an end is on its way: the
// gateway would count its task as lost. Times and stamps are on one clock.
func TestLinkEndsAfterItsLastReport(t *testing.T) {
	var r retirement
	if r.frameSent(1) || r.mayClose(2, 1, true) {
		t.Fatal("a link that is not retired may close")
	}
	r.started = true
	if r.mayClose(3, 1, true) {
		t.Fatal("the link may close before the gateway has been told")
	}
	if !r.frameSent(10) {
		t.Fatal("the gateway is not told")
	}
	if r.mayClose(12, 9, true) {
		t.Fatal("the link may close before the gateway has returned the stamp")
	}
	if r.mayClose(13, 10, false) {
		t.Fatal("the link may close with runs on it")
	}
	if r.mayClose(20, 11, true) || r.mayClose(21, 20, true) {
		t.Fatal("the link may close before a frame sent after the last end has arrived")
	}
	r.reportQueued()
	if r.mayClose(30, 25, true) || r.mayClose(31, 30, true) {
		t.Fatal("the link may close before the gateway has the report of a refused order")
	}
	if !r.mayClose(40, 31, true) {
		t.Fatal("the link may not close after its last report was received")
	}
}
