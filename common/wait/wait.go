// Package wait provides a sleep that can be cancelled.
package wait

import (
	"context"
	"time"
)

// For sleeps for d or until ctx is done.
func For(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
