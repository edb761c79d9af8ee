package httpapi

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"

	"github.com/rhubarbsail/rhubarbsail/common/events"
	"github.com/rhubarbsail/rhubarbsail/common/findings"
	"github.com/rhubarbsail/rhubarbsail/common/model"
	"github.com/rhubarbsail/rhubarbsail/common/strictjson"
	"github.com/rhubarbsail/rhubarbsail/common/telemetry"
)

const (
	// configBodyBytes bounds a configuration. 19,000 workers at about 1 KiB each
	// need less than 32 MiB.
	configBodyBytes = 32 << 20
	// configBodyBytesTotal allows two changes at the same time.
	configBodyBytesTotal = 2 * configBodyBytes
)

// NewOperatorsHandler returns the operators' API over the control state.
func NewOperatorsHandler(ops Operations, o Options) http.Handler {
	h := &operators{
		ops:    ops,
		o:      o.withDefaults(),
		bodies: &bodyReader{each: configBodyBytes, total: configBodyBytesTotal},
	}
	e := newEcho(h.o, "operators")
	e.GET("/v1/config", h.config)
	e.PUT("/v1/config", h.change)
	e.GET("/v1/status", h.status)
	e.POST("/v1/targets/:target/drain", func(c echo.Context) error { return h.drain(c, true) })
	e.DELETE("/v1/targets/:target/drain", func(c echo.Context) error { return h.drain(c, false) })
	e.GET("/live", func(c echo.Context) error { return c.String(http.StatusOK, "live\n") })
	e.GET("/ready", h.ready)
	if m, ok := o.Metrics.(interface{ OnScrape(func(telemetry.Set)) }); ok {
		m.OnScrape(func(set telemetry.Set) { statusGauges(ops, set) })
	}
	if o.Metrics != nil {
		e.GET("/metrics", echo.WrapHandler(o.Metrics))
	}
	return e
}

type operators struct {
	ops    Operations
	o      Options
	bodies *bodyReader
}

func (h *operators) config(c echo.Context) error {
	return c.JSON(http.StatusOK, h.ops.Config(c.Request().Context()))
}

func (h *operators) status(c echo.Context) error {
	return c.JSON(http.StatusOK, h.ops.Status(c.Request().Context()))
}

func (h *operators) ready(c echo.Context) error {
	if ok, why := h.ops.Ready(); !ok {
		return c.String(http.StatusServiceUnavailable, "not ready: "+why+"\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

// VersionBody is the body of an accepted configuration change.
type VersionBody struct {
	Version uint64 `json:"version"`
}

// changeBody is ConfigChange with the rules of decoding.
type changeBody struct {
	Base      uint64          `json:"base" strict:"required"`
	Operator  string          `json:"operator" strict:"required,min=1,max=256"`
	Inventory json.RawMessage `json:"inventory"`
	Rules     json.RawMessage `json:"rules"`
}

func (h *operators) change(c echo.Context) error {
	data, release, err := h.bodies.read(c)
	if err != nil {
		var b *bodyError
		errors.As(err, &b)
		return b.answer(c, func() error { return writeError(c, b.code, ErrorBody{Reason: string(b.reason), Message: b.text}) })
	}
	defer release()
	var b changeBody
	doc := strictjson.Decode("", data, &b, strictjson.Options{Places: true})
	if len(doc.Faults) == 0 && b.Inventory == nil && b.Rules == nil {
		doc.Add("inventory", "the change contains neither inventory nor rules")
	}
	if len(doc.Faults) > 0 {
		return h.refuse(c, doc.Faults)
	}
	version, err := h.ops.ChangeConfig(c.Request().Context(), ConfigChange(b))
	if err != nil {
		return h.refuse(c, err)
	}
	events.ConfigAccepted.Log(h.o.Log).Uint64("version", version).Str("operator", b.Operator).Send()
	return c.JSON(http.StatusOK, VersionBody{Version: version})
}

// refuse maps the typed errors of Operations to answers.
func (h *operators) refuse(c echo.Context, err error) error {
	var list findings.List
	if errors.As(err, &list) {
		err = &FindingsError{Findings: findingsOf(list)}
	}
	events.OperatorChangeRefused.Log(h.o.Log).Err(err).Str("path", c.Path()).Send()
	var invalid *FindingsError
	var conflict *VersionConflictError
	b := ErrorBody{Message: err.Error()}
	code := http.StatusServiceUnavailable
	switch {
	case errors.As(err, &invalid):
		code, b.Reason, b.Findings = http.StatusBadRequest, string(model.ReasonInvalid), invalid.Findings
		b.Message = fmt.Sprintf("%d findings; nothing was changed", len(b.Findings))
	case errors.As(err, &conflict):
		code, b.Reason, b.Version, b.Operator = http.StatusConflict, "version_conflict", conflict.Current, conflict.Operator
	case errors.Is(err, ErrUnknownTarget):
		code, b.Reason = http.StatusNotFound, "unknown_target"
	case errors.Is(err, ErrUnavailable):
		b.Reason = "unavailable"
	default:
		// An error that does not state that nothing was changed leaves it open.
		code, b.Reason = http.StatusGatewayTimeout, "unknown_outcome"
	}
	return writeError(c, code, b)
}

// DrainBody is the body of an accepted drain or of its end.
type DrainBody struct {
	Target string `json:"target"`
	Drain  bool   `json:"drain"`
}

func (h *operators) drain(c echo.Context, drain bool) error {
	target, err := pathName(c, "target")
	if err != nil {
		return writeError(c, http.StatusBadRequest, ErrorBody{Reason: string(model.ReasonInvalid), Message: err.Error()})
	}
	if err := h.ops.SetDrain(c.Request().Context(), target, drain); err != nil {
		return h.refuse(c, err)
	}
	events.DrainChanged.Log(h.o.Log).Str("target", target).Bool("drain", drain).Send()
	return c.JSON(http.StatusOK, DrainBody{Target: target, Drain: drain})
}
