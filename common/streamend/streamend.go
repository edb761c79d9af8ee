// Package streamend unblocks a Receive or Send in the handler of a bidirectional
// connect stream. Only the deadlines of http.ResponseController can do this, and
// connect does not expose the controller to handlers.
package streamend

import (
	"context"
	"net/http"
	"time"
)

type controllerKey struct{}

// Handler adds the response controller to the request's context, for Functions.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := context.WithValue(r.Context(), controllerKey{}, http.NewResponseController(w))
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// Functions returns functions that make a blocked Receive and a blocked Send
// return. They do nothing if ctx is not from a request through Handler.
func Functions(ctx context.Context) (endReceive, endSend func()) {
	rc, ok := ctx.Value(controllerKey{}).(*http.ResponseController)
	if !ok {
		return func() {}, func() {}
	}
	expired := time.Unix(1, 0)
	return func() { _ = rc.SetReadDeadline(expired) }, func() { _ = rc.SetWriteDeadline(expired) }
}
