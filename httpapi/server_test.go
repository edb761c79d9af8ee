package httpapi

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/model"
)

// serve starts a server on the loopback interface and returns it with its address.
func serve(t *testing.T, jobs Jobs, limits ServerLimits) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer("callers", newTestCallersHandler(jobs, DefaultLimits()), limits, nil)
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	t.Cleanup(func() {
		_ = s.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return s, l.Addr().String()
}

// sendRaw sends a submission with the given header lines and body over a new
// connection and returns the response and its decoded body.
func sendRaw(t *testing.T, address, header, body string) (*http.Response, AnswerBody) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := io.WriteString(c, "POST /v1/jobs HTTP/1.1\r\nHost: x\r\n"+header+"\r\n"+body); err != nil {
		t.Fatal(err)
	}
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	var a AnswerBody
	_ = json.NewDecoder(r.Body).Decode(&a)
	return r, a
}

// Guards against a client that stops in the middle of its body and keeps the
// connection occupied.
func TestIncompleteBodyIsAnsweredAfterReadTimeout(t *testing.T) {
	limits := DefaultServerLimits()
	limits.ReadTimeout = 50 * time.Millisecond
	_, address := serve(t, &fakeJobs{}, limits)
	for _, head := range []string{"Content-Length: 100\r\n", "Transfer-Encoding: chunked\r\n"} {
		r, a := sendRaw(t, address, head, "")
		if r.StatusCode != http.StatusRequestTimeout || a.RunState != "not_run" {
			t.Errorf("%s: %d %+v", strings.TrimSpace(head), r.StatusCode, a)
		}
	}
}

// Guards against a read timeout that cancels a job which waits longer for its
// answer: net/http cancels the request's context when the timeout expires.
func TestReadTimeoutDoesNotCancelWaitingJob(t *testing.T) {
	limits := DefaultServerLimits()
	limits.ReadTimeout = 50 * time.Millisecond
	jobs := &fakeJobs{submit: func(ctx context.Context, _ model.Job) model.Answer {
		select {
		case <-ctx.Done():
			return model.Failed(model.RunNotRun, model.ReasonCancelled, ctx.Err().Error())
		case <-time.After(4 * limits.ReadTimeout):
			return model.Answer{State: model.RunComplete}
		}
	}}
	_, address := serve(t, jobs, limits)
	r, a := sendRaw(t, address, fmt.Sprintf("Content-Length: %d\r\n", len(validBody)), validBody)
	if r.StatusCode != http.StatusOK {
		t.Fatalf("%d %+v", r.StatusCode, a)
	}
}

// Guards against a connection reset that replaces the refusal of a body for which
// there is no memory, for a caller that sends its whole body before it reads.
func TestClientSendingItsBodyReceivesEarlyRefusal(t *testing.T) {
	limits := DefaultLimits()
	limits.BodyBytesTotal = 1
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer("callers", newTestCallersHandler(&fakeJobs{}, limits), DefaultServerLimits(), nil)
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	defer func() {
		_ = s.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	chunks := int(limits.BodyBytes >> 16)
	if _, err := fmt.Fprintf(c, "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", chunks<<16); err != nil {
		t.Fatal(err)
	}
	for range chunks {
		// In total, longer than net/http waits by itself before it resets the
		// connection.
		time.Sleep(8 * time.Millisecond)
		if _, err := c.Write(make([]byte, 1<<16)); err != nil {
			t.Fatalf("the connection broke while the body was sent: %v", err)
		}
	}
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = r.Body.Close()
	if r.StatusCode != http.StatusTooManyRequests {
		t.Errorf("status %d", r.StatusCode)
	}
}

// Guards against a large header that is read into memory.
func TestLargeHeaderIsRefused(t *testing.T) {
	limits := DefaultServerLimits()
	limits.HeaderBytes = 1 << 10
	_, address := serve(t, &fakeJobs{}, limits)
	r, _ := sendRaw(t, address, "X: "+strings.Repeat("x", 8<<10)+"\r\n", "")
	if r.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Fatalf("%d", r.StatusCode)
	}
}

// Guards against a planned stop that interrupts a request in progress.
func TestStopWaitsForRequests(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	jobs := &fakeJobs{submit: func(context.Context, model.Job) model.Answer {
		close(started)
		<-release
		return model.Answer{State: model.RunComplete}
	}}
	s, address := serve(t, jobs, DefaultServerLimits())
	answered := make(chan int, 1)
	go func() {
		r, err := http.Post("http://"+address+"/v1/jobs", "application/json", strings.NewReader(validBody))
		if err != nil {
			t.Error(err)
			answered <- 0
			return
		}
		_ = r.Body.Close()
		answered <- r.StatusCode
	}()
	<-started
	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(context.Background(), 0) }()
	select {
	case err := <-stopped:
		t.Fatalf("stopped with a request in progress: %v", err)
	case <-time.After(20 * time.Millisecond):
	}
	close(release)
	if code := <-answered; code != http.StatusOK {
		t.Fatalf("the request in progress got %d", code)
	}
	if err := <-stopped; err != nil {
		t.Fatal(err)
	}
}
