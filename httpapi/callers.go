package httpapi

import (
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"

	"github.com/rhubarbsail/rhubarbsail/common/model"
)

// NewCallersHandler returns the handler of the callers' API.
func NewCallersHandler(jobs Jobs, limits Limits, o Options) http.Handler {
	h := &callersHandler{
		jobs:    jobs,
		limits:  limits,
		options: o.withDefaults(),
		bodies:  &bodyReader{maxBytes: limits.BodyBytes, maxTotalBytes: limits.BodyBytesTotal},
		log:     newAnswerLog(o.Log),
	}
	e := newEcho(h.options, "callers")
	e.POST("/v1/jobs", h.submit)
	e.GET("/v1/jobs/:client/:key", h.lookup)
	e.DELETE("/v1/jobs/:client/:key", h.cancel)
	e.GET("/v1/jobs/:client/:key/explain", h.explain)
	return e
}

type callersHandler struct {
	jobs    Jobs
	limits  Limits
	options Options
	bodies  *bodyReader
	log     *answerLog
}

func (h *callersHandler) submit(c echo.Context) error {
	data, release, err := h.bodies.read(c)
	if err != nil {
		var b *bodyError
		errors.As(err, &b)
		return b.respond(c, func() error { return writeAnswer(c, b.code, model.Failed(model.RunNotRun, b.reason, b.message), nil) })
	}
	defer release()
	now := h.options.Now()
	d := decodeJob(data, h.limits, now)
	if len(d.findings) > 0 {
		a := model.Failed(model.RunNotRun, d.reason, fmt.Sprintf("the request body has %d findings", len(d.findings)))
		return writeAnswer(c, StatusCode(a), a, d.findings)
	}
	if age := now.Sub(d.job.SubmittedAt); age > h.limits.Retention {
		a := model.Failed(model.RunMayHaveRun, model.ReasonTooOld, fmt.Sprintf(
			"submitted_at is %s old; outcomes are kept for %s, so an earlier submission may have run",
			age.Round(time.Second), h.limits.Retention))
		return writeAnswer(c, StatusCode(a), a, nil)
	}
	a := h.jobs.Submit(c.Request().Context(), d.job)
	h.log.record(h.options.Now(), d.job.Key, a)
	return writeAnswer(c, StatusCode(a), a, d.refusalFindings(a))
}

// jobKeyParam returns the job key in the request path.
func jobKeyParam(c echo.Context) (model.JobKey, error) {
	client, err := pathParam(c, "client")
	if err != nil {
		return model.JobKey{}, err
	}
	key, err := pathParam(c, "key")
	return model.JobKey{Client: client, Key: key}, err
}

// pathParam returns a decoded path parameter. If the encoded path differs from the
// decoded one, echo routes by the encoded path and leaves parameters encoded.
func pathParam(c echo.Context, name string) (string, error) {
	s := c.Param(name)
	if c.Request().URL.RawPath == "" {
		return s, nil
	}
	s, err := url.PathUnescape(s)
	if err != nil {
		return "", errors.Wrapf(err, "path parameter %s", name)
	}
	return s, nil
}

// withJobKey calls f with the job key in the path and writes the body that it
// returns, or an error response for a malformed or unknown key or a failure.
func (h *callersHandler) withJobKey(c echo.Context, f func(key model.JobKey) (body any, known bool, err error)) error {
	key, err := jobKeyParam(c)
	if err != nil {
		return writeError(c, http.StatusBadRequest, ErrorBody{Reason: string(model.ReasonInvalid), Message: err.Error()})
	}
	body, known, err := f(key)
	switch {
	case err != nil:
		return writeUnavailable(c, err)
	case !known:
		return writeError(c, http.StatusNotFound, ErrorBody{
			Reason:  "unknown_job",
			Message: fmt.Sprintf("job %s is unknown: it was never submitted here or its retention time has passed", key),
		})
	}
	return c.JSON(http.StatusOK, body)
}

func (h *callersHandler) lookup(c echo.Context) error {
	return h.withJobKey(c, func(key model.JobKey) (any, bool, error) {
		v, known, err := h.jobs.Lookup(c.Request().Context(), key)
		return jobBodyFromView(v), known, err
	})
}

// CancelBody is the response body of a successful cancellation.
type CancelBody struct {
	Cancelled bool `json:"cancelled"`
}

func (h *callersHandler) cancel(c echo.Context) error {
	return h.withJobKey(c, func(key model.JobKey) (any, bool, error) {
		known, err := h.jobs.Cancel(c.Request().Context(), key)
		return CancelBody{Cancelled: known}, known, err
	})
}

func (h *callersHandler) explain(c echo.Context) error {
	return h.withJobKey(c, func(key model.JobKey) (any, bool, error) {
		explanation, known, err := h.jobs.Explain(c.Request().Context(), key)
		if explanation.Steps == nil {
			explanation.Steps = []Step{}
		}
		return explanation, known, err
	})
}
