package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"github.com/rhubarbsail/rhubarbsail/common/boottime"
	"github.com/rhubarbsail/rhubarbsail/common/requestlimit"
)

// callerRetryDelay is the time after which a caller resubmits a job whose
// connection broke.
const callerRetryDelay = 1300 * time.Millisecond

// detectTimeout is well below 15 s, after which Go's default keep-alive would send
// its first probe.
const detectTimeout = 10 * time.Second

// testCallers are the options of a callers' listener.
var testCallers = listenerOptions{name: "callers", maxConnections: 100, callers: true}

func newTestBudget() *requestlimit.Budget {
	return requestlimit.New(requestlimit.Options{Bytes: defaultBudgetBytes, Now: boottime.Now})
}

// Guards against a job that continues after its caller's connection broke unnoticed:
// the caller resubmits the job to another gateway, and its tasks would run twice at
// the same time.
func TestDisconnectedCallerIsDetectedBeforeItRetries(t *testing.T) {
	listener := &recordingListener{conns: make(chan *net.TCPConn, 1)}
	set := &serverSet{budget: newTestBudget(), env: Env{Listen: listener.listen}}
	started, ended := make(chan struct{}), make(chan struct{})
	set.add("127.0.0.1:0", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		// The server detects a closed connection only after the body has been read.
		_, _ = io.ReadAll(r.Body)
		close(started)
		<-r.Context().Done()
		close(ended)
	}), testCallers)
	if set.err != nil {
		t.Fatal(set.err)
	}
	var wg sync.WaitGroup
	set.start(&wg, zerolog.Nop())
	defer wg.Wait()
	defer func() { _ = set.close() }()
	caller, err := net.Dial("tcp", set.servers[0].listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(caller, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}"); err != nil {
		t.Fatal(err)
	}
	<-started
	gateway := <-listener.conns
	// The first probe is checked by its configured time, since the measured time
	// depends on the machine. A host whose socket is gone answers a probe with a
	// reset, which SetLinger(0) simulates below.
	if callerKeepAlive.Idle >= callerRetryDelay {
		t.Errorf("the first probe is sent after %v, not before the caller retries after %v", callerKeepAlive.Idle, callerRetryDelay)
	}
	waitForKeepAliveProbe(t, gateway)
	if err := errors.Join(caller.(*net.TCPConn).SetLinger(0), caller.Close()); err != nil {
		t.Fatal(err)
	}
	select {
	case <-ended:
	case <-time.After(detectTimeout):
		t.Fatal("the request was not cancelled after a reset")
	}
}

// waitForKeepAliveProbe waits until the peer of an idle connection has acknowledged
// a keep-alive probe, that is, until an ACK arrives long after the last data.
func waitForKeepAliveProbe(t *testing.T, c *net.TCPConn) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	const minIdleMillis = 500 // the ACK of data follows within much less
	for end := time.Now().Add(detectTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		var info *unix.TCPInfo
		var failed error
		err := raw.Control(func(fd uintptr) { info, failed = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
		if err := errors.Join(err, failed); err != nil {
			t.Fatal(err)
		}
		if info.Last_data_recv > info.Last_ack_recv+minIdleMillis {
			return
		}
	}
	t.Fatal("no keep-alive probe was sent to an idle caller")
}

// recordingListener sends each accepted connection to conns.
type recordingListener struct {
	net.Listener
	conns chan *net.TCPConn
}

func (l *recordingListener) listen(network, address string) (net.Listener, error) {
	var err error
	l.Listener, err = (&net.ListenConfig{}).Listen(context.Background(), network, address)
	return l, err
}

// Accept implements net.Listener.
func (l *recordingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.conns <- c.(*net.TCPConn)
	}
	return c, err
}
