package command

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/propagation"

	"github.com/rhubarbsail/rhubarbsail/common/findings"
	"github.com/rhubarbsail/rhubarbsail/common/telemetry"
	"github.com/rhubarbsail/rhubarbsail/httpapi"
)

// maxReplyBytes is the maximum size of a reply. Base64 adds a third to the size of
// an answer, which is up to 16 MiB.
const maxReplyBytes = 64 << 20

// reply is an HTTP reply of the callers' or the operators' API.
type reply struct {
	code int
	body []byte
}

// send sends one request and returns the reply, whatever its status code.
func send(ctx context.Context, method, address string, body []byte) (*reply, error) {
	r, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return nil, exitf(ExitInvalid, "invalid address: %v", err)
	}
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	// Propagate the trace context, so that the gateway continues the span in ctx.
	telemetry.Propagator.Inject(ctx, propagation.HeaderCarrier(r.Header))
	w, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, errors.Wrap(err, "no reply")
	}
	defer w.Body.Close()
	data, err := io.ReadAll(io.LimitReader(w.Body, maxReplyBytes))
	if err != nil {
		return nil, errors.Wrap(err, "read the reply")
	}
	return &reply{code: w.StatusCode, body: data}, nil
}

// call sends a request and decodes the body of a successful reply into out. It
// returns an error with an exit code for an error reply.
func (a *App) call(method, address string, body []byte, out any) (*reply, error) {
	ctx, cancel := context.WithTimeout(a.ctx, a.global.Timeout)
	defer cancel()
	r, err := send(ctx, method, address, body)
	if err != nil {
		if method != http.MethodGet && !neverSent(err) {
			return nil, &exitError{ExitUnknown, errors.Wrap(err, "the outcome is unknown")}
		}
		return nil, err
	}
	if r.code != http.StatusOK {
		return nil, r.failure()
	}
	if err := json.Unmarshal(r.body, out); err != nil {
		return nil, errors.Wrapf(err, "%s %s: the reply is not from a gateway", method, address)
	}
	return r, nil
}

// failure returns the error that an error reply reports, with its exit code.
func (r *reply) failure() error {
	var e httpapi.ErrorBody
	if err := json.Unmarshal(r.body, &e); err != nil || e.Reason == "" {
		return exitf(ExitFailed, "status code %d: %.200s", r.code, r.body)
	}
	if len(e.Findings) > 0 {
		return findingsList(e.Findings)
	}
	switch r.code {
	case http.StatusBadRequest:
		return exitf(ExitInvalid, "%s: %s", e.Reason, e.Message)
	case http.StatusNotFound:
		return exitf(ExitNotFound, "%s: %s", e.Reason, e.Message)
	case http.StatusConflict:
		return exitf(ExitConflict, "%s: %s", e.Reason, e.Message)
	case http.StatusGatewayTimeout:
		return exitf(ExitUnknown, "%s: %s", e.Reason, e.Message)
	}
	return exitf(ExitFailed, "%s: %s", e.Reason, e.Message)
}

// findingsList converts the findings of a reply.
func findingsList(in []httpapi.Finding) findings.List {
	var list findings.List
	for _, f := range in {
		list.Addf(findings.Place{File: f.File, Line: f.Line, Column: f.Column, Key: f.Key}, "%s", f.Message)
	}
	return list
}

// joinURL appends escaped path elements to a base address.
func joinURL(base string, elements ...string) string {
	b := strings.TrimRight(base, "/")
	for _, e := range elements {
		b += "/" + url.PathEscape(e)
	}
	return b
}

func (a *App) jobAddress(client, key string, more ...string) string {
	return joinURL(a.global.Callers, append([]string{"v1", "jobs", client, key}, more...)...)
}

func (a *App) operatorsAddress(elements ...string) string {
	return joinURL(a.global.Operators, append([]string{"v1"}, elements...)...)
}
