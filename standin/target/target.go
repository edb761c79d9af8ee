package target

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"

	"github.com/rhubarbsail/rhubarbsail/common/events"
)

// Payload holds the fields of a task's payload that the stand-in uses. They keep
// their defaults if the payload is not such a JSON object.
type Payload struct {
	// RunMS is the run time in milliseconds at speed 1; default is Options.Run.
	RunMS *float64 `json:"run_ms"`
	// Fail makes the task fail after its run time.
	Fail bool `json:"fail"`
}

// Result is the result of a task. It identifies the task, so that a test can
// detect a result delivered for another task.
type Result struct {
	Client string `json:"client"`
	Key    string `json:"key"`
	Index  int    `json:"index"`
	Target string `json:"target"`
}

// Headers of a run request, as the agent sends them. Client and key are escaped
// like a URL path segment.
const (
	headerClient  = "Rhubarbsail-Client"
	headerKey     = "Rhubarbsail-Key"
	headerIndex   = "Rhubarbsail-Index"
	headerAttempt = "Rhubarbsail-Attempt"
)

// Target is a stand-in target.
type Target struct {
	opts   Options
	record *recorder
	slots  chan struct{}
	// modeChanged wakes announceLoop; its capacity is 1.
	modeChanged chan struct{}

	mu             sync.Mutex // guards the fields below
	mode           ModeChange
	conns          map[net.Conn]struct{}
	maxConnections int
}

// New returns a target; Run starts it.
func New(opts Options) (*Target, error) {
	opts, err := opts.withDefaults()
	if err != nil {
		return nil, errors.Wrap(err, "target options")
	}
	return &Target{
		opts:        opts,
		record:      newRecorder(opts.RecordLimit),
		slots:       make(chan struct{}, opts.Slots),
		modeChanged: make(chan struct{}, 1),
		mode:        ModeChange{Mode: ModeNormal},
		conns:       make(map[net.Conn]struct{}),
	}, nil
}

// stopTimeout is the maximum wait for requests in progress when the target stops.
const stopTimeout = 30 * time.Second

// Run serves requests until ctx is done. Then it tells its agent that it is
// leaving, serves the requests that the agent has already begun, and returns nil.
func (t *Target) Run(ctx context.Context) error {
	l := t.opts.Listener
	if l == nil {
		var err error
		if l, err = net.Listen("tcp", t.opts.Listen); err != nil {
			return errors.Wrap(err, "listen")
		}
	}
	if t.opts.Advertise == "" {
		t.opts.Advertise = l.Addr().String()
	}
	events.ListenStarted.Log(t.opts.Log).Str("address", l.Addr().String()).Send()
	s := &http.Server{Handler: t.Handler(), ConnState: t.connState, ReadHeaderTimeout: 5 * time.Second}
	serveErr := make(chan error, 1)
	go func() { serveErr <- s.Serve(l) }()
	var wg sync.WaitGroup
	announceCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	wg.Go(func() { t.announceLoop(announceCtx) })
	var err error
	select {
	case <-ctx.Done():
	case err = <-serveErr:
	}
	stop()
	wg.Wait()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	t.leave(shutdownCtx)
	if serr := s.Shutdown(shutdownCtx); serr != nil {
		_ = s.Close()
	}
	return err
}

// connState counts connections and closes those above the limit.
func (t *Target) connState(c net.Conn, s http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch s {
	case http.StateNew:
		t.conns[c] = struct{}{}
		t.maxConnections = max(t.maxConnections, len(t.conns))
		if len(t.conns) > t.opts.Connections+1 {
			_ = c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		delete(t.conns, c)
	}
}

// Handler returns the HTTP API: POST /v1/run, GET /v1/record, PUT /v1/mode.
func (t *Target) Handler() http.Handler {
	e := echo.New()
	e.POST("/v1/run", t.postRun)
	e.GET("/v1/record", func(c echo.Context) error {
		return c.JSON(http.StatusOK, t.Record(c.QueryParam("duplicates") == "true"))
	})
	e.PUT("/v1/mode", func(c echo.Context) error {
		var m ModeChange
		d := json.NewDecoder(http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes))
		d.DisallowUnknownFields()
		if err := d.Decode(&m); err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, "mode: "+err.Error())
		}
		if err := t.SetMode(m); err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, "mode: "+err.Error())
		}
		return c.NoContent(http.StatusNoContent)
	})
	return e
}

// Record returns a copy of the record, with all tasks or only those that were
// started more than once.
func (t *Target) Record(onlyDuplicates bool) Record {
	r := t.record.snapshot(onlyDuplicates)
	t.mu.Lock()
	defer t.mu.Unlock()
	r.Target, r.MaxConnections = t.opts.Target, t.maxConnections
	return r
}

// SetMode changes the mode for tasks that start from now on.
func (t *Target) SetMode(m ModeChange) error {
	if err := m.validate(); err != nil {
		return err
	}
	t.mu.Lock()
	t.mode = m
	t.mu.Unlock()
	events.StandinFault.Log(t.opts.Log).Str("mode", string(m.Mode)).Float64("factor", m.Factor).Send()
	select {
	case t.modeChanged <- struct{}{}:
	default:
	}
	return nil
}

func (t *Target) currentMode() ModeChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mode
}

func taskFromHeaders(h http.Header) (taskID, error) {
	client, err := url.PathUnescape(h.Get(headerClient))
	if err != nil {
		return taskID{}, errors.Wrap(err, headerClient)
	}
	key, err := url.PathUnescape(h.Get(headerKey))
	if err != nil {
		return taskID{}, errors.Wrap(err, headerKey)
	}
	index, err := strconv.Atoi(h.Get(headerIndex))
	if err != nil {
		return taskID{}, errors.Wrap(err, headerIndex)
	}
	return taskID{client: client, key: key, index: index}, nil
}

// postRun runs one task. The start is recorded as soon as the task is identified:
// from then on the caller can no longer revoke it, so it counts as started even
// if the request fails.
func (t *Target) postRun(c echo.Context) error {
	id, err := taskFromHeaders(c.Request().Header)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "headers: "+err.Error())
	}
	end := t.record.begin(id, c.Request().Header.Get(headerAttempt), time.Now())
	outcome := OutcomeFailed
	defer func() { end(outcome, time.Now()) }()
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes))
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "payload: "+err.Error())
	}
	var p Payload
	if err := json.Unmarshal(body, &p); err != nil {
		p = Payload{}
	}
	ctx := c.Request().Context()
	select {
	case t.slots <- struct{}{}:
		defer func() { <-t.slots }()
	case <-ctx.Done():
		outcome = OutcomeAborted
		return ctx.Err()
	}
	mode := t.currentMode()
	if mode.Mode == ModeFail {
		return echo.NewHTTPError(http.StatusInternalServerError, "target is in mode fail")
	}
	if err := simulateWork(ctx, t.runTime(p, mode), mode.Mode == ModeHang); err != nil {
		outcome = OutcomeAborted
		return err
	}
	if p.Fail || rand.Float64() < t.opts.FailRatio {
		return echo.NewHTTPError(http.StatusInternalServerError, "the task failed as its payload or the settings ask")
	}
	outcome = OutcomeDone
	return c.JSON(http.StatusOK, Result{Client: id.client, Key: id.key, Index: id.index, Target: t.opts.Target})
}

// runTime returns the run time of a task, given its payload, the target's speed
// and the mode.
func (t *Target) runTime(p Payload, m ModeChange) time.Duration {
	run := float64(t.opts.Run)
	if p.RunMS != nil {
		run = *p.RunMS * float64(time.Millisecond)
	}
	run /= t.opts.Speed
	if m.Mode == ModeStraggle {
		run *= m.Factor
	}
	return time.Duration(min(max(run, 0), float64(maxRun)))
}

// simulateWork waits for d, or indefinitely if hang is set. It returns an error if
// ctx is done before.
func simulateWork(ctx context.Context, d time.Duration, hang bool) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	done := timer.C
	if hang {
		done = nil
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
