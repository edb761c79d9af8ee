package httplimit_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/rhubarbsail/rhubarbsail/common/boottime"
	"github.com/rhubarbsail/rhubarbsail/common/httplimit"
	"github.com/rhubarbsail/rhubarbsail/common/largebody"
	"github.com/rhubarbsail/rhubarbsail/common/requestlimit"
)

const (
	// testTimeout is much longer than any test takes.
	testTimeout = 20 * time.Second
	budgetBytes = 1 << 20
)

// server is an HTTP server with limits.
type server struct {
	t       *testing.T
	address string
	budget  *requestlimit.Budget
}

// startServer serves a handler until the end of the test.
func startServer(t *testing.T, connections int, bodyTimeout time.Duration, h http.Handler) *server {
	t.Helper()
	return startServerWith(t, connections, httplimit.Options{BodyTimeout: bodyTimeout}, h)
}

func startServerWith(t *testing.T, connections int, o httplimit.Options, h http.Handler) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{t: t, address: l.Addr().String(), budget: requestlimit.New(requestlimit.Options{Bytes: budgetBytes, Now: boottime.Now})}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	hs := &http.Server{Handler: h, Protocols: protocols, MaxHeaderBytes: 16 << 10, ReadHeaderTimeout: testTimeout, IdleTimeout: testTimeout}
	o.Group = s.budget.NewGroup("test", connections)
	limited := httplimit.Apply(hs, l, o)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = hs.Serve(limited)
	}()
	t.Cleanup(func() {
		_ = hs.Close()
		<-done
	})
	return s
}

// send opens a connection and sends text on it.
func (s *server) send(text string) net.Conn {
	s.t.Helper()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		s.t.Fatal(err)
	}
	// The server may close the connection meanwhile.
	_, _ = io.WriteString(c, text)
	return c
}

// answer reads a response and returns its status, or 0 if the connection ends.
func answer(c net.Conn) int {
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return r.StatusCode
}

// await fails the test if the condition does not become true.
func (s *server) await(what string, condition func() bool) {
	s.t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("not true: %s; %d bytes are held", what, s.budget.Held())
		}
	}
}

const ordinary = "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"

// shortLines returns header lines with distinct names.
func shortLines(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

// readBody answers with 200 after it has read the body.
var readBody = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(r.Body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
	}
})

// Guards against memory that the header lines or the bodies of unfinished requests take
// without being counted, and against an ordinary request without an answer beside them.
func TestUnfinishedRequestsAreClosedBeyondTheBudget(t *testing.T) {
	for name, text := range map[string]string{
		"header":          "GET / HTTP/1.1\r\nHost: x\r\n" + shortLines(2000),
		"second header":   ordinary[:len(ordinary)-len("Connection: close\r\n\r\n")] + "\r\nGET / HTTP/1.1\r\nHost: x\r\n" + shortLines(500),
		"body":            "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 200000\r\n\r\n" + strings.Repeat("x", 199_999),
		"chunked body":    "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("4\r\nxxxx\r\n", 20_000),
		"body after 100 ": "POST / HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 200000\r\n\r\n" + strings.Repeat("x", 199_999),
	} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, 1000, testTimeout, readBody)
			for range 60 {
				s.send(text)
				if held := s.budget.Held(); held > budgetBytes {
					t.Fatalf("%d bytes are held", held)
				}
			}
			s.await("most of the budget is used", func() bool { return s.budget.Held() > budgetBytes/2 })
			if status := answer(s.send(ordinary)); status != http.StatusOK {
				t.Errorf("status %d of an ordinary request", status)
			}
		})
	}
}

// Guards against bytes that stay counted after their connections have ended.
func TestNothingIsHeldAfterAllClientsHaveLeft(t *testing.T) {
	s := startServer(t, 20, testTimeout, readBody)
	for i := range 60 {
		c := s.send([]string{ordinary, "GET / HTTP/1.1\r\n", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nx"}[i%3])
		defer func() { _ = c.Close() }()
		if i%2 == 0 {
			_ = c.Close()
		}
	}
	for range 20 {
		if status := answer(s.send(ordinary)); status != http.StatusOK {
			t.Errorf("status %d", status)
		}
	}
	s.await("nothing is held", func() bool {
		// The rest is closed as further clients come.
		_ = s.send("GET").Close()
		return s.budget.Held() <= 20*(24<<10)
	})
}

// Guards against a complete request that is ended, and against a timeout of the body that
// ends a request while it waits for its answer.
func TestCompleteRequestIsKept(t *testing.T) {
	release := make(chan struct{})
	started := make(chan struct{}, 2)
	const bodyTimeout = 100 * time.Millisecond
	s := startServer(t, 4, bodyTimeout, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		if r.URL.Path != "/job" {
			return
		}
		started <- struct{}{}
		select {
		case <-release:
		case <-r.Context().Done():
			w.WriteHeader(http.StatusGatewayTimeout)
		}
	}))
	with := s.send("POST /job HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nxxx")
	without := s.send("DELETE /job HTTP/1.1\r\nHost: x\r\n\r\n")
	<-started
	<-started
	for range 20 {
		s.send("GET / HTTP/1.1\r\n" + shortLines(2000))
	}
	time.Sleep(2 * bodyTimeout)
	close(release)
	if a, b := answer(with), answer(without); a != http.StatusOK || b != http.StatusOK {
		t.Errorf("status %d with a body, %d without", a, b)
	}
}

// Guards against a client that stops in the middle of its body and keeps its connection.
func TestBodyTimeout(t *testing.T) {
	s := startServer(t, 10, 50*time.Millisecond, readBody)
	if status := answer(s.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nx")); status != http.StatusBadRequest {
		t.Errorf("status %d", status)
	}
}

// Guards against connections beyond the limit while all serve complete requests, against
// one that waits and is not served when another ends, and against a listener that cannot
// close while it waits.
func TestConnectionsBeyondTheLimitWait(t *testing.T) {
	release := make(chan struct{})
	started := make(chan struct{}, 3)
	s := startServer(t, 2, testTimeout, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		started <- struct{}{}
		<-release
	}))
	conns := []net.Conn{s.send(ordinary), s.send(ordinary)}
	<-started
	<-started
	// Sent after the others were read, since it would displace an unread one.
	conns = append(conns, s.send(ordinary))
	select {
	case <-started:
		t.Error("a request beyond the limit was read")
	case <-time.After(50 * time.Millisecond):
	}
	release <- struct{}{}
	<-started
	close(release)
	for _, c := range conns {
		if status := answer(c); status != http.StatusOK {
			t.Errorf("status %d", status)
		}
	}
}

// Guards against a client that does not get the answer 413 since its connection was
// closed: the rest of a body that is discarded takes no memory.
func TestDiscardedBodyIsNotCounted(t *testing.T) {
	e := echo.New()
	e.POST("/", func(c echo.Context) error {
		return largebody.Answer(c, func() error { return c.NoContent(http.StatusRequestEntityTooLarge) })
	})
	s := startServer(t, 10, testTimeout, e)
	s.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nx")
	const bodyBytes = 16 * budgetBytes
	c := s.send(fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", bodyBytes))
	if _, err := io.CopyN(c, zeros{}, bodyBytes); err != nil {
		t.Fatal(err)
	}
	if status := answer(c); status != http.StatusRequestEntityTooLarge {
		t.Errorf("status %d", status)
	}
}

type zeros struct{}

func (zeros) Read(b []byte) (int, error) { return len(b), nil }

// echoMessages answers a stream with what it reads.
func echoMessages(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	_ = control.Flush()
	buffer := make([]byte, 1<<10)
	for {
		n, err := r.Body.Read(buffer)
		if _, writeErr := w.Write(buffer[:n]); err != nil || writeErr != nil {
			return
		}
		_ = control.Flush()
	}
}

// Guards against links between processes that break after the timeout of a write: the
// first frame of an HTTP/2 connection is sent before it is known as one.
func TestStreamOutlastsTheTimeoutOfWrites(t *testing.T) {
	const writeTimeout = 50 * time.Millisecond
	s := startServerWith(t, 10, httplimit.Options{WriteTimeout: writeTimeout}, http.HandlerFunc(echoMessages))
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols}
	defer transport.CloseIdleConnections()
	in, out := io.Pipe()
	defer func() { _ = out.Close() }()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.address+"/", in)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Content-Type", "application/connect+proto")
	stream, err := transport.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = stream.Body.Close() }()
	echoed := make([]byte, 1)
	for range 2 {
		time.Sleep(2 * writeTimeout)
		if _, err := out.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(stream.Body, echoed); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against unfinished bodies that are not counted since their clients call them
// streams.
func TestHTTP1BodyIsNoStream(t *testing.T) {
	s := startServer(t, 10, 50*time.Millisecond, readBody)
	c := s.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Type: application/grpc\r\nContent-Length: 9\r\n\r\nx")
	if status := answer(c); status != http.StatusBadRequest {
		t.Errorf("status %d, want that of a body that did not arrive in time", status)
	}
}

// Guards against an HTTP/2 connection of another process that is closed although its
// stream is in use, and against bodies on it that are not counted.
func TestStreamsAreKeptBesideUnfinishedBodies(t *testing.T) {
	s := startServer(t, 10, testTimeout, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/stream" {
			readBody(w, r)
			return
		}
		echoMessages(w, r)
	}))
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	post := func(path, contentType string, body io.Reader) (*http.Response, error) {
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.address+path, body)
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set("Content-Type", contentType)
		return client.Do(r)
	}
	in, out := io.Pipe()
	stream, err := post("/stream", "application/connect+proto", in)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = stream.Body.Close() }()
	for range 30 {
		unfinished, sender := io.Pipe()
		go func() {
			if r, err := post("/", "application/proto", unfinished); err == nil {
				_ = r.Body.Close()
			}
			_ = unfinished.Close()
		}()
		_, _ = sender.Write(make([]byte, 100_000))
	}
	s.await("most of the budget is used", func() bool { return s.budget.Held() > budgetBytes/2 })
	if held := s.budget.Held(); held > budgetBytes {
		t.Errorf("%d bytes are held", held)
	}
	message := bytes.Repeat([]byte("x"), 1<<10)
	echoed := make([]byte, len(message))
	for range 2 * budgetBytes / len(message) {
		if _, err := out.Write(message); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(stream.Body, echoed); err != nil {
			t.Fatal(err)
		}
	}
	if status := answer(s.send(ordinary)); status != http.StatusOK {
		t.Errorf("status %d of an ordinary request", status)
	}
	_ = out.Close()
}

// Guards against HTTP/2 connections without a request that keep others out.
func TestIdleHTTP2ConnectionsMakeRoom(t *testing.T) {
	const connections = 4
	s := startServer(t, connections, testTimeout, readBody)
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	for range 2 * connections {
		transport := &http.Transport{Protocols: protocols}
		defer transport.CloseIdleConnections()
		r, err := (&http.Client{Transport: transport, Timeout: testTimeout}).Get("http://" + s.address)
		if err != nil {
			t.Fatal(err)
		}
		_ = r.Body.Close()
	}
	if status := answer(s.send(ordinary)); status != http.StatusOK {
		t.Errorf("status %d of an ordinary request", status)
	}
}

// Guards against clients that send complete requests, read no response and keep their
// connections, of which none may be closed in favor of others.
func TestClientThatReadsNothingIsClosed(t *testing.T) {
	const connections = 2
	response := make([]byte, 16<<20)
	started := make(chan struct{}, connections)
	s := startServerWith(t, connections, httplimit.Options{WriteTimeout: 50 * time.Millisecond}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/large" {
			started <- struct{}{}
			_, _ = w.Write(response)
		}
	}))
	for range connections {
		s.send("GET /large HTTP/1.1\r\nHost: x\r\n\r\n")
	}
	for range connections {
		<-started
	}
	if status := answer(s.send(ordinary)); status != http.StatusOK {
		t.Errorf("status %d of an ordinary request", status)
	}
}
