package largebody_test

import (
	"bufio"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/rhubarbsail/rhubarbsail/common/largebody"
)

// Guards against a connection that is reset while the client still sends its body:
// a client that reads only after sending never gets the status 413.
func TestClientThatSendsWholeBodyFirstReadsAnswer(t *testing.T) {
	e := echo.New()
	e.POST("/", func(c echo.Context) error {
		return largebody.Answer(c, func() error { return c.NoContent(http.StatusRequestEntityTooLarge) })
	})
	s := httptest.NewServer(e)
	defer s.Close()
	conn, err := net.Dial("tcp", strings.TrimPrefix(s.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(30 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write([]byte("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 104857600\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	chunk := make([]byte, 1<<20)
	for range 100 {
		// Sending takes longer than net/http waits by default before it closes the
		// connection.
		time.Sleep(8 * time.Millisecond)
		if _, err := conn.Write(chunk); err != nil {
			t.Fatalf("the connection broke while the body was sent: %v", err)
		}
	}
	r, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = r.Body.Close()
	if r.StatusCode != http.StatusRequestEntityTooLarge || !r.Close {
		t.Errorf("status %d, close %v", r.StatusCode, r.Close)
	}
}

// Guards against a response over HTTP/2 that is lost or reported as an error, since
// there the stream ends and not the connection.
func TestAnswerOverHTTP2(t *testing.T) {
	e := echo.New()
	failed := make(chan error, 1)
	e.POST("/", func(c echo.Context) error {
		err := largebody.Answer(c, func() error { return c.NoContent(http.StatusRequestEntityTooLarge) })
		failed <- err
		return err
	})
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	s := httptest.NewUnstartedServer(e)
	s.Config.Protocols = protocols
	s.Start()
	defer s.Close()
	client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
	r, err := client.Post(s.URL, "text/plain", strings.NewReader(strings.Repeat("x", 1<<20)))
	if err != nil {
		t.Fatal(err)
	}
	_ = r.Body.Close()
	if err := <-failed; err != nil || r.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("status %d, %v", r.StatusCode, err)
	}
}
