package link

import (
	"context"
	"syscall"

	"github.com/go-faster/errors"
)

func controlUserTimeout(_ context.Context, _, _ string, c syscall.RawConn) error {
	if err := c.Control(setUserTimeout); err != nil {
		return errors.Wrap(err, "set TCP_USER_TIMEOUT")
	}
	return nil
}
