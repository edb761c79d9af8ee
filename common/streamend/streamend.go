// Package streamend ends a Receive or Send that waits in a handler of a
// bidirectional connect stream. Connect does not expose the response's
// controller, whose deadlines are the only way to do so.
package streamend

import (
	"context"
	"net/http"
	"time"
)

type controllerKey struct{}

// Handler passes the response's controller to the handlers of streams.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := context.WithValue(r.Context(), controllerKey{}, http.NewResponseController(w))
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// Functions returns functions that end a waiting Receive and a waiting Send.
// They do nothing unless the request came through Handler.
func Functions(ctx context.Context) (endReceive, endSend func()) {
	rc, ok := ctx.Value(controllerKey{}).(*http.ResponseController)
	if !ok {
		return func() {}, func() {}
	}
	past := time.Unix(1, 0)
	return func() { _ = rc.SetReadDeadline(past) }, func() { _ = rc.SetWriteDeadline(past) }
}
