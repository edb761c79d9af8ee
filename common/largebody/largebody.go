// Package largebody answers requests before their body has been read, so that
// clients can read the answer. A server that closes a connection with unread
// bytes resets it, and the reset may overtake the answer.
package largebody

import (
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"
)

const (
	// restBytes and restTime bound what is read of a body after its answer.
	restBytes = 256 << 20
	restTime  = 3 * time.Second
)

// Answer writes the answer, reads a bounded rest of the body and lets the
// connection end. An error is that of the answer.
func Answer(c echo.Context, write func() error) error {
	control := http.NewResponseController(c.Response())
	// Without full duplex the server would read the rest before it writes.
	duplex := control.EnableFullDuplex()
	c.Response().Header().Set("Connection", "close")
	if err := write(); err != nil {
		return err
	}
	if err := errors.Join(duplex, control.Flush(), control.SetReadDeadline(time.Now().Add(restTime))); err != nil {
		return errors.Wrap(err, "answer before the end of the body")
	}
	// The client may stop sending at any time.
	_, _ = io.CopyN(io.Discard, c.Request().Body, restBytes)
	return nil
}
