// Package logserver is an HTTP stand-in for the platform's log and lease service,
// backed by package memlog. It is never linked into gateway or agent.
package logserver

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"

	"github.com/rhubarbsail/rhubarbsail/logservice"
	"github.com/rhubarbsail/rhubarbsail/standin/memlog"
)

// maxWait is the maximum wait of a long poll.
const maxWait = time.Minute

// FaultsBody is the request body of POST /v1/faults, which replaces all injected
// faults, and the reply to POST and GET.
type FaultsBody struct {
	Outage       bool  `json:"outage"`
	SlowMS       int64 `json:"slow_ms"`
	LoseReplies  int   `json:"lose_replies"`
	LoseRequests int   `json:"lose_requests"`
}

type server struct{ store *memlog.Store }

// New returns the handler that serves the store over HTTP.
func New(store *memlog.Store) http.Handler {
	s := &server{store: store}
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.POST("/v1/streams/:stream/records", s.append)
	e.GET("/v1/streams/:stream/records", s.read)
	e.PUT("/v1/leases/:worker", s.renew)
	e.POST("/v1/faults", s.setFaults)
	e.GET("/v1/faults", s.getFaults)
	return e
}

func (s *server) append(c echo.Context) error {
	var body logservice.AppendRequest
	stream, err := bind(c, "stream", &body)
	if err != nil {
		return badRequest(c, err)
	}
	offset, err := s.store.Append(c.Request().Context(), stream, body.Data)
	if err != nil {
		return writeError(c, err)
	}
	return c.JSON(http.StatusOK, logservice.AppendReply{Offset: offset})
}

func (s *server) read(c echo.Context) error {
	stream, err := url.PathUnescape(c.Param("stream"))
	from, errFrom := strconv.ParseUint(c.QueryParam("from"), 10, 64)
	limit, errLimit := parseOptional(c.QueryParam("limit"), 0, strconv.Atoi)
	wait, errWait := parseOptional(c.QueryParam("wait"), 0, time.ParseDuration)
	if err := errors.Join(err, errFrom, errLimit, errWait); err != nil {
		return badRequest(c, err)
	}
	page, err := s.store.Read(c.Request().Context(), stream, from, limit, min(wait, maxWait))
	reply := logservice.RecordsReply{Entries: make([]logservice.RecordEntry, 0, len(page.Entries)), First: page.First, Next: page.Next}
	if errors.Is(err, logservice.ErrTrimmed) {
		return c.JSON(http.StatusGone, reply)
	}
	if err != nil {
		return writeError(c, err)
	}
	for _, e := range page.Entries {
		reply.Entries = append(reply.Entries, logservice.RecordEntry(e))
	}
	return c.JSON(http.StatusOK, reply)
}

func (s *server) renew(c echo.Context) error {
	var body logservice.LeaseRequest
	worker, err := bind(c, "worker", &body)
	if err != nil {
		return badRequest(c, err)
	}
	ttl, err := s.store.Renew(c.Request().Context(), worker, body.Holder, time.Duration(body.TTLMS)*time.Millisecond)
	if err != nil {
		return writeError(c, err)
	}
	return c.JSON(http.StatusOK, logservice.LeaseReply{TTLMS: ttl.Milliseconds()})
}

func (s *server) setFaults(c echo.Context) error {
	var b FaultsBody
	if err := (&echo.DefaultBinder{}).BindBody(c, &b); err != nil {
		return badRequest(c, err)
	}
	s.store.SetFaults(memlog.Faults{
		Outage: b.Outage, Slow: time.Duration(b.SlowMS) * time.Millisecond,
		LoseReplies: b.LoseReplies, LoseRequests: b.LoseRequests,
	})
	return s.getFaults(c)
}

func (s *server) getFaults(c echo.Context) error {
	f := s.store.Faults()
	return c.JSON(http.StatusOK, FaultsBody{
		Outage: f.Outage, SlowMS: f.Slow.Milliseconds(), LoseReplies: f.LoseReplies, LoseRequests: f.LoseRequests,
	})
}

// bind decodes the JSON body into body and returns the unescaped path parameter.
// Echo leaves the parameter escaped if it contains escaped slashes.
func bind(c echo.Context, param string, body any) (string, error) {
	if err := (&echo.DefaultBinder{}).BindBody(c, body); err != nil {
		return "", err
	}
	return url.PathUnescape(c.Param(param))
}

// parseOptional parses text, or returns fallback if it is empty.
func parseOptional[T any](text string, fallback T, parse func(string) (T, error)) (T, error) {
	if text == "" {
		return fallback, nil
	}
	return parse(text)
}

func badRequest(c echo.Context, err error) error {
	return c.JSON(http.StatusBadRequest, logservice.ErrorReply{Error: err.Error()})
}

// writeError replies with the status code for the error. For an unknown outcome
// it closes the connection without a reply.
func writeError(c echo.Context, err error) error {
	reply := logservice.ErrorReply{Error: err.Error()}
	switch {
	case errors.Is(err, logservice.ErrUnknownOutcome):
		panic(http.ErrAbortHandler)
	case errors.Is(err, logservice.ErrLeaseHeld):
		return c.JSON(http.StatusConflict, reply)
	case errors.Is(err, logservice.ErrInvalid):
		return badRequest(c, err)
	case errors.Is(err, logservice.ErrUnavailable):
		return c.JSON(http.StatusServiceUnavailable, reply)
	}
	return fmt.Errorf("log stand-in: %w", err)
}
