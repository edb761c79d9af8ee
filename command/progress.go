package command

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/rhubarbsail/rhubarbsail/httpapi"
)

const (
	// progressDelay is the default of App.progressDelay. Most jobs finish sooner,
	// so that no progress is shown for them.
	progressDelay = time.Second
	// progressInterval is the time between two queries of the job's progress.
	progressInterval = 500 * time.Millisecond
)

// showProgress shows the progress of a long job on a terminal until stop is
// called.
func (a *App) showProgress(job jobBody) (stop func()) {
	if !a.Terminal || job.Client == "" || job.Key == "" {
		return func() {}
	}
	ctx, cancel := context.WithCancel(a.ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		a.progress(ctx, job)
	}()
	return func() {
		cancel()
		<-done
	}
}

// progress shows and updates the progress line until ctx is done, and then clears
// it.
func (a *App) progress(ctx context.Context, job jobBody) {
	timer := time.NewTimer(a.progressDelay)
	defer timer.Stop()
	shown := false
	for {
		select {
		case <-ctx.Done():
			if shown {
				fmt.Fprint(a.Stderr, "\r\033[K")
			}
			return
		case <-timer.C:
		}
		if line, ok := a.progressLine(ctx, job); ok {
			fmt.Fprintf(a.Stderr, "\r\033[K%s", line)
			shown = true
		}
		timer.Reset(progressInterval)
	}
}

// progressLine queries the job and formats its progress. It returns false if the
// query fails.
func (a *App) progressLine(ctx context.Context, job jobBody) (string, bool) {
	r, err := send(ctx, http.MethodGet, a.jobAddress(job.Client, job.Key), nil)
	var v httpapi.JobBody
	if err != nil || r.code != http.StatusOK || json.Unmarshal(r.body, &v) != nil {
		return "", false
	}
	return fmt.Sprintf("%s: %d of %d tasks finished, %d started", v.State, v.Finished, v.Tasks, v.Started), true
}
