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
)

// resendAfter is the time after which a caller sends a job again whose
// connection broke.
const resendAfter = 1300 * time.Millisecond

// noticeTimeout is well under the time of the first probe without the setting,
// 15 s.
const noticeTimeout = 10 * time.Second

// Guards against a job that goes on for a caller whose connection ended without
// the gateway's notice: the caller sends the job again, to another gateway, and
// its tasks would run twice at a time.
func TestLostCallerIsNoticedBeforeItSendsAgain(t *testing.T) {
	accepted := &recordingListener{conns: make(chan *net.TCPConn, 1)}
	set := &serverSet{env: Env{Listen: accepted.listen}}
	began, ended := make(chan struct{}), make(chan struct{})
	set.add("127.0.0.1:0", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		// The end of a connection is noticed once the body has been read.
		_, _ = io.ReadAll(r.Body)
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
	caller, err := net.Dial("tcp", set.servers[0].listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(caller, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}"); err != nil {
		t.Fatal(err)
	}
	<-began
	gateway := <-accepted.conns
	// The kernel probes after a second; how soon this is seen depends on the
	// machine. A caller whose socket is gone answers a probe with a reset.
	if callerProbes.Idle >= resendAfter {
		t.Errorf("the first probe comes after %v, later than the job is sent again", callerProbes.Idle)
	}
	awaitProbe(t, gateway)
	if err := errors.Join(caller.(*net.TCPConn).SetLinger(0), caller.Close()); err != nil {
		t.Fatal(err)
	}
	select {
	case <-ended:
	case <-time.After(noticeTimeout):
		t.Fatal("the request goes on after a reset")
	}
}

// awaitProbe waits until the peer of an idle connection has acknowledged a
// probe: a segment without data has come long after the last data.
func awaitProbe(t *testing.T, c *net.TCPConn) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	const apart = 500 // milliseconds; the acknowledgement of data follows at once
	for end := time.Now().Add(noticeTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		var info *unix.TCPInfo
		var failed error
		err := raw.Control(func(fd uintptr) { info, failed = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
		if err := errors.Join(err, failed); err != nil {
			t.Fatal(err)
		}
		if info.Last_data_recv > info.Last_ack_recv+apart {
			return
		}
	}
	t.Fatal("an idle caller is not probed")
}

// recordingListener keeps the connections that it has accepted.
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
