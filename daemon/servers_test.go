package daemon

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/rhubarbsail/rhubarbsail/integration/harness"
)

// resendAfter is the time after which a caller sends a job again whose
// connection broke.
const resendAfter = 1300 * time.Millisecond

// noticeTimeout is well under the kernel's default for the first probe.
const noticeTimeout = 10 * time.Second

// Guards against a job that goes on for a caller whose connection ended without
// the gateway's notice: the caller sends the job again, to another gateway, and
// its tasks would run twice at a time.
func TestLostCallerIsNoticedBeforeItSendsAgain(t *testing.T) {
	set := &serverSet{}
	began, ended := make(chan struct{}), make(chan struct{})
	set.add("127.0.0.1:0", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(began)
		<-r.Context().Done()
		close(ended)
	}), true)
	if set.err != nil {
		t.Fatal(set.err)
	}
	var wg sync.WaitGroup
	set.start(&wg, zerolog.Nop())
	defer wg.Wait()
	defer func() { _ = set.close() }()
	c, err := net.Dial("tcp", set.servers[0].listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-began
	if err := harness.Vanish(c.(*net.TCPConn)); errors.Is(err, syscall.EPERM) {
		t.Skip("a socket can be closed without a segment only by root")
	} else if err != nil {
		t.Fatal(err)
	}
	// The kernel probes after a second; how soon the handler then runs depends on
	// the machine. Without the setting the first probe comes after 15 s.
	if callerProbes.Idle >= resendAfter {
		t.Errorf("the first probe comes after %v, later than the job is sent again", callerProbes.Idle)
	}
	select {
	case <-ended:
	case <-time.After(noticeTimeout):
		t.Fatal("the request goes on after its caller has gone")
	}
}
