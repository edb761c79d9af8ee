package httpapi

import (
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"

	"github.com/rhubarbsail/rhubarbsail/common/model"
)

// newEcho returns a router that reports unknown paths, wrong methods and panics of
// handlers in the error format of the API.
func newEcho(o Options, api string) *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = func(err error, c echo.Context) { handleError(o, err, c) }
	e.Use(observe(o, api), recoverPanic)
	return e
}

// panicError holds the value and the stack of a panic in a handler.
type panicError struct {
	value any
	stack []byte
}

func (e *panicError) Error() string { return fmt.Sprintf("panic: %v", e.value) }

// recoverPanic converts a panic of a handler into a panicError. It lets
// http.ErrAbortHandler pass, with which a handler closes the connection.
func recoverPanic(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) (err error) {
		defer func() {
			if p := recover(); p != nil {
				if p == http.ErrAbortHandler {
					panic(p)
				}
				err = &panicError{p, debug.Stack()}
			}
		}()
		return next(c)
	}
}

func handleError(o Options, err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var h *echo.HTTPError
	if errors.As(err, &h) {
		_ = writeError(c, h.Code, ErrorBody{Reason: "no_such_resource", Message: fmt.Sprint(h.Message)})
		return
	}
	logInternalError(o, c, err)
	// The job of the request may already be running.
	a := model.Failed(model.RunMayHaveRun, ReasonInternal, "the gateway failed while it handled the request")
	_ = writeAnswer(c, http.StatusInternalServerError, a, nil)
}
