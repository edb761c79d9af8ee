package httpapi

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"

	"github.com/rhubarbsail/rhubarbsail/common/largebody"
	"github.com/rhubarbsail/rhubarbsail/common/model"
)

// bodyError is a failure to read a request body, with the status code, reason and
// message of the response.
type bodyError struct {
	code    int
	reason  model.Reason
	message string
}

func (e *bodyError) Error() string { return e.message }

// respond sends the response to a request whose body was not fully read; write
// writes it. If the client may still be sending, it uses largebody.Answer, so that
// the client receives the response instead of a connection reset.
func (e *bodyError) respond(c echo.Context, write func() error) error {
	switch e.code {
	case http.StatusRequestEntityTooLarge, http.StatusTooManyRequests:
		return largebody.Answer(c, write)
	}
	// The client sends nothing more.
	return write()
}

// bodyReader reads request bodies. It limits the size of each body and the total
// size of the bodies in memory.
type bodyReader struct {
	maxBytes, maxTotalBytes int64
	reservedBytes           atomic.Int64
}

// read returns the body and a function that releases its share of the total
// size. The caller calls it when the decoded body is no longer used.
func (b *bodyReader) read(c echo.Context) ([]byte, func(), error) {
	r := c.Request()
	if r.ContentLength > b.maxBytes {
		return nil, nil, b.tooLarge()
	}
	// http.MaxBytesReader makes only net/http's own writer close the connection.
	w := serverWriter(c.Response().Writer)
	body := &reservingReader{Reader: http.MaxBytesReader(w, r.Body, b.maxBytes), bodies: b}
	data, err := readAll(body, r.ContentLength)
	if err != nil {
		body.release()
		return nil, nil, b.bodyErrorFrom(err)
	}
	// The server's read timeout is meant for the body only. It must not expire while
	// the job waits, since that would cancel the request's context.
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return data, body.release, nil
}

// errBodiesHeld is the error of reading a body beyond the total size of all.
var errBodiesHeld = errors.New("the gateway holds as many request bodies as it may")

// reservingReader adds the bytes that it reads to the total size: a client reserves
// nothing for what it has only announced.
type reservingReader struct {
	io.Reader
	bodies *bodyReader
	bytes  int64
}

// Read implements io.Reader.
func (r *reservingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.bytes += int64(n)
	if r.bodies.reservedBytes.Add(int64(n)) > r.bodies.maxTotalBytes {
		// io.ReadFull would ignore an error beside the last byte.
		return 0, errBodiesHeld
	}
	return n, err
}

func (r *reservingReader) release() { r.bodies.reservedBytes.Add(-r.bytes) }

// preallocatedBytes is the largest body for which memory is allocated before it has
// arrived.
const preallocatedBytes = 64 << 10

// readAll reads length bytes, or everything if length is negative.
func readAll(r io.Reader, length int64) ([]byte, error) {
	if length < 0 || length > preallocatedBytes {
		return io.ReadAll(r)
	}
	data := make([]byte, length)
	_, err := io.ReadFull(r, data)
	return data, err
}

func (b *bodyReader) tooLarge() error {
	return &bodyError{http.StatusRequestEntityTooLarge, model.ReasonInvalid,
		fmt.Sprintf("the request body is over %d bytes", b.maxBytes)}
}

// bodyErrorFrom converts an error of reading a body.
func (b *bodyReader) bodyErrorFrom(err error) error {
	var tooLarge *http.MaxBytesError
	var netErr net.Error
	switch {
	case errors.As(err, &tooLarge):
		return b.tooLarge()
	case errors.Is(err, errBodiesHeld):
		return &bodyError{http.StatusTooManyRequests, model.ReasonOverload, errBodiesHeld.Error()}
	case errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &netErr) && netErr.Timeout():
		return &bodyError{http.StatusRequestTimeout, model.ReasonInvalid,
			"the request body did not arrive within the read timeout"}
	}
	return &bodyError{http.StatusBadRequest, model.ReasonInvalid, "the request body ended early"}
}
