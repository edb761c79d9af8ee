package httpapi

import (
	"context"
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
	// configBodyBytes is the largest configuration change. A configuration of
	// 19,000 workers at about 1 KiB each needs less than 32 MiB.
	configBodyBytes = 32 << 20
	// configBodyBytesTotal allows two changes of the largest size at the same time.
	configBodyBytesTotal = 2 * configBodyBytes
)

// NewOperatorsHandler returns the handler of the operators' API.
func NewOperatorsHandler(ops Operations, o Options) http.Handler {
	h := &operatorsHandler{
		ops:     ops,
		options: o.withDefaults(),
		bodies:  &bodyReader{maxBytes: configBodyBytes, maxTotalBytes: configBodyBytesTotal},
	}
	e := newEcho(h.options, "operators")
	e.GET("/v1/config", h.config)
	e.PUT("/v1/config", h.changeConfig)
	e.GET("/v1/status", h.status)
	setDrain, clearDrain := h.drainHandlers("target", ops.SetDrain, h.targetDrained)
	e.POST("/v1/targets/:target/drain", setDrain)
	e.DELETE("/v1/targets/:target/drain", clearDrain)
	setZoneDrain, clearZoneDrain := h.drainHandlers("zone", ops.SetZoneDrain, h.zoneDrained)
	e.POST("/v1/zones/:zone/drain", setZoneDrain)
	e.DELETE("/v1/zones/:zone/drain", clearZoneDrain)
	e.GET("/live", func(c echo.Context) error { return c.String(http.StatusOK, "live\n") })
	e.GET("/ready", h.ready)
	if m, ok := o.Metrics.(interface{ OnScrape(func(telemetry.Set)) }); ok {
		m.OnScrape(func(set telemetry.Set) { setStatusGauges(ops, set) })
	}
	if o.Metrics != nil {
		e.GET("/metrics", echo.WrapHandler(o.Metrics))
	}
	return e
}

type operatorsHandler struct {
	ops     Operations
	options Options
	bodies  *bodyReader
}

func (h *operatorsHandler) config(c echo.Context) error {
	return c.JSON(http.StatusOK, h.ops.Config(c.Request().Context()))
}

func (h *operatorsHandler) status(c echo.Context) error {
	return c.JSON(http.StatusOK, h.ops.Status(c.Request().Context()))
}

func (h *operatorsHandler) ready(c echo.Context) error {
	if ok, reason := h.ops.Ready(); !ok {
		return c.String(http.StatusServiceUnavailable, "not ready: "+reason+"\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

// VersionBody is the response body of an accepted configuration change.
type VersionBody struct {
	Version uint64 `json:"version"`
}

// changeBody is ConfigChange with the validation rules of its fields.
type changeBody struct {
	Base      uint64          `json:"base" strict:"required"`
	Operator  string          `json:"operator" strict:"required,min=1,max=256"`
	Inventory json.RawMessage `json:"inventory"`
	Rules     json.RawMessage `json:"rules"`
}

func (h *operatorsHandler) changeConfig(c echo.Context) error {
	data, release, err := h.bodies.read(c)
	if err != nil {
		var b *bodyError
		errors.As(err, &b)
		return b.respond(c, func() error { return writeError(c, b.code, ErrorBody{Reason: string(b.reason), Message: b.message}) })
	}
	defer release()
	var b changeBody
	doc := strictjson.Decode("", data, &b, strictjson.Options{Places: true})
	if len(doc.Faults) == 0 && b.Inventory == nil && b.Rules == nil {
		doc.Add("inventory", "the change contains neither inventory nor rules")
	}
	if len(doc.Faults) > 0 {
		return h.writeOperationError(c, doc.Faults)
	}
	version, err := h.ops.ChangeConfig(c.Request().Context(), ConfigChange(b))
	if err != nil {
		return h.writeOperationError(c, err)
	}
	events.ConfigAccepted.Log(h.options.Log).Uint64("version", version).Str("operator", b.Operator).Send()
	return c.JSON(http.StatusOK, VersionBody{Version: version})
}

// writeOperationError logs an error of Operations or of validation and writes the
// response for it.
func (h *operatorsHandler) writeOperationError(c echo.Context, err error) error {
	var list findings.List
	if errors.As(err, &list) {
		err = &FindingsError{Findings: findingsFromList(list)}
	}
	events.OperatorChangeRefused.Log(h.options.Log).Err(err).Str("path", c.Path()).Send()
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
	case errors.Is(err, ErrUnknownZone):
		code, b.Reason = http.StatusNotFound, "unknown_zone"
	case errors.Is(err, ErrUnknownTarget):
		code, b.Reason = http.StatusNotFound, "unknown_target"
	case errors.Is(err, ErrUnavailable):
		b.Reason = "unavailable"
	default:
		// Any other error does not prove that nothing was changed.
		code, b.Reason = http.StatusGatewayTimeout, "unknown_outcome"
	}
	return writeError(c, code, b)
}

// DrainBody is the response body after a drain was set or cleared.
type DrainBody struct {
	Target string `json:"target"`
	Drain  bool   `json:"drain"`
}

// ZoneDrainBody is the response body after the drain of an availability zone was set
// or cleared.
type ZoneDrainBody struct {
	Zone  string `json:"zone"`
	Drain bool   `json:"drain"`
}

// drainHandlers returns the handlers that set and clear a drain of what the path
// parameter names. record stores the change, and reply logs it and returns the body of
// the response.
func (h *operatorsHandler) drainHandlers(param string, record func(ctx context.Context, name string, drain bool) error,
	reply func(name string, drain bool) any,
) (set, clear echo.HandlerFunc) {
	handler := func(drain bool) echo.HandlerFunc {
		return func(c echo.Context) error {
			name, err := pathParam(c, param)
			if err != nil {
				return writeError(c, http.StatusBadRequest, ErrorBody{Reason: string(model.ReasonInvalid), Message: err.Error()})
			}
			if err := record(c.Request().Context(), name, drain); err != nil {
				return h.writeOperationError(c, err)
			}
			return c.JSON(http.StatusOK, reply(name, drain))
		}
	}
	return handler(true), handler(false)
}

func (h *operatorsHandler) targetDrained(target string, drain bool) any {
	events.DrainChanged.Log(h.options.Log).Str("target", target).Bool("drain", drain).Send()
	return DrainBody{Target: target, Drain: drain}
}

func (h *operatorsHandler) zoneDrained(zone string, drain bool) any {
	events.ZoneDrainChanged.Log(h.options.Log).Str("zone", zone).Bool("drain", drain).Send()
	return ZoneDrainBody{Zone: zone, Drain: drain}
}
