package httpapi

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/go-faster/errors"

	"github.com/rhubarbsail/rhubarbsail/common/findings"
)

// fakeOperations fails changes with err and records its arguments.
type fakeOperations struct {
	err      error
	notReady string
	status   Status
	changed  *ConfigChange
	drained  map[string]bool
}

func (f *fakeOperations) Config(context.Context) ConfigView { return ConfigView{Version: 7} }

func (f *fakeOperations) ChangeConfig(_ context.Context, c ConfigChange) (uint64, error) {
	f.changed = &c
	return 8, f.err
}

func (f *fakeOperations) Status(context.Context) Status { return f.status }

func (f *fakeOperations) SetDrain(_ context.Context, target string, drain bool) error {
	f.drained = map[string]bool{target: drain}
	return f.err
}

func (f *fakeOperations) SetZoneDrain(_ context.Context, zone string, drain bool) error {
	f.drained = map[string]bool{"zone " + zone: drain}
	return f.err
}

func (f *fakeOperations) Ready() (bool, string) { return f.notReady == "", f.notReady }

const validChange = `{"base":7,"operator":"ana","inventory":{"workers":[]},"rules":{}}`

// Guards against responses by which an operator cannot tell a refused change from
// one that may have taken effect.
func TestConfigChangeErrorsAreDistinct(t *testing.T) {
	var list findings.List
	list.Addf(findings.Place{File: "inventory", Line: 3, Column: 1, Key: "workers[0].id"}, "missing")
	for _, c := range []struct {
		name   string
		err    error
		code   int
		reason string
	}{
		{"accepted", nil, 200, ""},
		{"findings", list.Err(), 400, "invalid_request"},
		{"conflict", &VersionConflictError{Base: 7, Current: 9, Operator: "iva"}, 409, "version_conflict"},
		{"unknown", &UnknownOutcomeError{Cause: errors.New("reply lost")}, 504, "unknown_outcome"},
		{"unavailable", errors.Wrap(ErrUnavailable, "append"), 503, "unavailable"},
		{"other", errors.New("other"), 504, "unknown_outcome"},
	} {
		t.Run(c.name, func(t *testing.T) {
			ops := &fakeOperations{err: c.err}
			var got struct {
				ErrorBody
				Version uint64 `json:"version"`
			}
			w := call(t, NewOperatorsHandler(ops, Options{}), http.MethodPut, "/v1/config", validChange, &got)
			if w.Code != c.code || got.Reason != c.reason {
				t.Fatalf("%d %s", w.Code, w.Body)
			}
			switch c.name {
			case "accepted":
				if got.Version != 8 || ops.changed.Base != 7 || string(ops.changed.Inventory) != `{"workers":[]}` {
					t.Errorf("version %d, change %+v", got.Version, ops.changed)
				}
			case "findings":
				if len(got.Findings) != 1 || got.Findings[0].Line != 3 {
					t.Errorf("findings %+v", got.Findings)
				}
			case "conflict":
				if got.Version != 9 || got.Operator != "iva" {
					t.Errorf("the response names version %d by %q", got.Version, got.Operator)
				}
			}
		})
	}
}

// Guards against a malformed change that reaches the control state.
func TestInvalidConfigChangeIsRefused(t *testing.T) {
	for _, body := range []string{
		``, `{"operator":"ana","rules":{}}`, `{"base":7,"rules":{}}`, `{"base":7,"operator":"ana"}`,
		`{"base":-1,"operator":"ana","rules":{}}`, validChange + validChange, strings.Replace(validChange, "rules", "rulez", 1),
	} {
		ops := &fakeOperations{}
		var got ErrorBody
		if w := call(t, NewOperatorsHandler(ops, Options{}), http.MethodPut, "/v1/config", body, &got); w.Code != 400 || len(got.Findings) == 0 || ops.changed != nil {
			t.Errorf("%s: %d %s", body, w.Code, w.Body)
		}
	}
}

// Guards against setting a drain when it should be cleared or the reverse, and
// against accepting the drain of an unknown target.
func TestDrain(t *testing.T) {
	for method, want := range map[string]bool{http.MethodPost: true, http.MethodDelete: false} {
		ops := &fakeOperations{}
		if w := call(t, NewOperatorsHandler(ops, Options{}), method, "/v1/targets/t1/drain", "", nil); w.Code != 200 || ops.drained["t1"] != want {
			t.Errorf("%s: %d, drained %v", method, w.Code, ops.drained)
		}
	}
	ops := &fakeOperations{err: ErrUnknownTarget}
	if w := call(t, NewOperatorsHandler(ops, Options{}), http.MethodPost, "/v1/targets/t9/drain", "", nil); w.Code != 404 {
		t.Errorf("unknown target: %d", w.Code)
	}
}

// Guards against setting the drain of a zone when it should be cleared or the reverse,
// and against accepting the drain of an unknown zone.
func TestZoneDrain(t *testing.T) {
	for method, want := range map[string]bool{http.MethodPost: true, http.MethodDelete: false} {
		ops := &fakeOperations{}
		var got ZoneDrainBody
		w := call(t, NewOperatorsHandler(ops, Options{}), method, "/v1/zones/z1/drain", "", &got)
		if w.Code != 200 || ops.drained["zone z1"] != want || got != (ZoneDrainBody{Zone: "z1", Drain: want}) {
			t.Errorf("%s: %d %+v, drained %v", method, w.Code, got, ops.drained)
		}
	}
	ops := &fakeOperations{err: ErrUnknownZone}
	var refused ErrorBody
	if w := call(t, NewOperatorsHandler(ops, Options{}), http.MethodPost, "/v1/zones/z9/drain", "", &refused); w.Code != 404 || refused.Reason != "unknown_zone" {
		t.Errorf("unknown zone: %d %+v", w.Code, refused)
	}
}

// Load balancers stop sending requests only after a failed readiness check.
// Guards against a process that is not live meanwhile, which the platform would
// restart.
func TestNotReadyGatewayStaysLive(t *testing.T) {
	h := NewOperatorsHandler(&fakeOperations{notReady: "shutting down"}, Options{})
	if w := call(t, h, http.MethodGet, "/ready", "", nil); w.Code != 503 || !strings.Contains(w.Body.String(), "shutting down") {
		t.Errorf("/ready: %d %s", w.Code, w.Body)
	}
	if w := call(t, h, http.MethodGet, "/live", "", nil); w.Code != 200 {
		t.Errorf("/live: %d", w.Code)
	}
	if w := call(t, NewOperatorsHandler(&fakeOperations{}, Options{}), http.MethodGet, "/ready", "", nil); w.Code != 200 {
		t.Errorf("/ready: %d", w.Code)
	}
}
