// Package largebody responds to requests whose body has not been read completely.
// A server that closes a connection with unread bytes resets it, and a reset may
// reach the client before the response, which is then lost.
package largebody

import (
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"
)

const (
	// maxDiscardBytes and discardTimeout limit how much of a body is read and discarded
	// after the response.
	maxDiscardBytes = 256 << 20
	discardTimeout  = 3 * time.Second
)

// Answer writes the response, reads and discards the rest of the body up to a limit
// and lets the server close the connection. It returns an error if the response fails.
func Answer(c echo.Context, write func() error) error {
	control := http.NewResponseController(c.Response())
	// Without full duplex the server reads the rest of the body before it writes.
	duplexErr := control.EnableFullDuplex()
	c.Response().Header().Set("Connection", "close")
	if err := write(); err != nil {
		return err
	}
	if err := errors.Join(duplexErr, control.Flush(), control.SetReadDeadline(time.Now().Add(discardTimeout))); err != nil {
		return errors.Wrap(err, "answer before the end of the body")
	}
	if b, ok := c.Request().Body.(interface{ Discard() }); ok {
		b.Discard()
	}
	// Ignore errors, since the client may stop sending at any time.
	_, _ = io.CopyN(io.Discard, c.Request().Body, maxDiscardBytes)
	return nil
}
