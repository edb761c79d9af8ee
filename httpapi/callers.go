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

// NewCallersHandler returns the callers' API over the request path.
func NewCallersHandler(jobs Jobs, limits Limits, o Options) http.Handler {
	h := &callers{
		jobs:   jobs,
		limits: limits,
		o:      o.withDefaults(),
		bodies: &bodyReader{each: limits.BodyBytes, total: limits.BodyBytesTotal},
		log:    newAnswerLog(o.Log),
	}
	e := newEcho(h.o, "callers")
	e.POST("/v1/jobs", h.submit)
	e.GET("/v1/jobs/:client/:key", h.lookup)
	e.DELETE("/v1/jobs/:client/:key", h.cancel)
	e.GET("/v1/jobs/:client/:key/explain", h.explain)
	return e
}

type callers struct {
	jobs   Jobs
	limits Limits
	o      Options
	bodies *bodyReader
	log    *answerLog
}

func (h *callers) submit(c echo.Context) error {
	data, release, err := h.bodies.read(c)
	if err != nil {
		var b *bodyError
		errors.As(err, &b)
		return b.answer(c, func() error { return writeAnswer(c, b.code, model.Failed(model.RunNotRun, b.reason, b.text), nil) })
	}
	defer release()
	now := h.o.Now()
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
	h.log.answered(h.o.Now(), d.job.Key, a)
	return writeAnswer(c, StatusCode(a), a, d.refusalFindings(a))
}

// pathKey returns the job key of the path.
func pathKey(c echo.Context) (model.JobKey, error) {
	client, err := pathName(c, "client")
	if err != nil {
		return model.JobKey{}, err
	}
	key, err := pathName(c, "key")
	return model.JobKey{Client: client, Key: key}, err
}

// pathName returns a decoded path parameter. Echo routes by the encoded path
// if it differs from the decoded one, and then leaves parameters encoded.
func pathName(c echo.Context, name string) (string, error) {
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

// byKey runs f with the key of the path and reports a malformed or unknown key.
func (h *callers) byKey(c echo.Context, f func(key model.JobKey) (body any, known bool, err error)) error {
	key, err := pathKey(c)
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

func (h *callers) lookup(c echo.Context) error {
	return h.byKey(c, func(key model.JobKey) (any, bool, error) {
		v, known, err := h.jobs.Lookup(c.Request().Context(), key)
		return jobBodyOf(v), known, err
	})
}

// CancelBody is the body of a successful cancellation.
type CancelBody struct {
	Cancelled bool `json:"cancelled"`
}

func (h *callers) cancel(c echo.Context) error {
	return h.byKey(c, func(key model.JobKey) (any, bool, error) {
		known, err := h.jobs.Cancel(c.Request().Context(), key)
		return CancelBody{Cancelled: known}, known, err
	})
}

func (h *callers) explain(c echo.Context) error {
	return h.byKey(c, func(key model.JobKey) (any, bool, error) {
		x, known, err := h.jobs.Explain(c.Request().Context(), key)
		if x.Steps == nil {
			x.Steps = []Step{}
		}
		return x, known, err
	})
}
