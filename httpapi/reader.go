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

// bodyError is a failure to read a body.
type bodyError struct {
	code   int
	reason model.Reason
	text   string
}

func (e *bodyError) Error() string { return e.text }

// answer writes the answer to a request whose body was not read as a whole.
func (e *bodyError) answer(c echo.Context, write func() error) error {
	switch e.code {
	case http.StatusRequestEntityTooLarge, http.StatusTooManyRequests:
		return largebody.Answer(c, write)
	}
	// Nothing more comes from the client.
	return write()
}

// bodyReader reads bodies within a bound for each and a bound for all bodies
// held at the same time.
type bodyReader struct {
	each, total int64
	held        atomic.Int64
}

// read returns the body and a function that gives its memory back. The caller
// calls it once the decoded body is no longer used.
func (b *bodyReader) read(c echo.Context) ([]byte, func(), error) {
	r := c.Request()
	if r.ContentLength > b.each {
		return nil, nil, b.tooLarge()
	}
	reserved := r.ContentLength
	if reserved < 0 {
		reserved = b.each
	}
	if b.held.Add(reserved) > b.total {
		b.held.Add(-reserved)
		return nil, nil, &bodyError{http.StatusTooManyRequests, model.ReasonOverload,
			"the gateway holds as many request bodies as it may"}
	}
	w := c.Response().Writer
	data, err := readAll(http.MaxBytesReader(w, r.Body, b.each), r.ContentLength)
	if err != nil {
		b.held.Add(-reserved)
		return nil, nil, b.classify(err)
	}
	b.held.Add(int64(len(data)) - reserved)
	// The server's read timeout covers the body. It must not run on while the
	// job waits, since its expiry would cancel the request's context.
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return data, func() { b.held.Add(-int64(len(data))) }, nil
}

func readAll(r io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(r)
	}
	data := make([]byte, length)
	_, err := io.ReadFull(r, data)
	return data, err
}

func (b *bodyReader) tooLarge() error {
	return &bodyError{http.StatusRequestEntityTooLarge, model.ReasonInvalid,
		fmt.Sprintf("the request body is over %d bytes", b.each)}
}

func (b *bodyReader) classify(err error) error {
	var large *http.MaxBytesError
	var n net.Error
	switch {
	case errors.As(err, &large):
		return b.tooLarge()
	case errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &n) && n.Timeout():
		return &bodyError{http.StatusRequestTimeout, model.ReasonInvalid,
			"the request body did not arrive within the read timeout"}
	}
	return &bodyError{http.StatusBadRequest, model.ReasonInvalid, "the request body ended early"}
}
