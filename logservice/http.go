package logservice

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// readMargin is added to the wait time of a read to get its timeout, so that
	// a read ends although the service hangs.
	readMargin = 5 * time.Second
	// maxReplyBytes is the maximum size of a reply body. A page of records is
	// much smaller.
	maxReplyBytes = 256 << 20
	// maxErrorBytes is the maximum length of the text that an error quotes from an
	// error reply.
	maxErrorBytes = 512
)

// HTTP is a client of the platform's log and lease service.
type HTTP struct {
	base   string
	client *http.Client
}

var (
	_ Log   = (*HTTP)(nil)
	_ Lease = (*HTTP)(nil)
)

// NewHTTP returns a client of the service at the base URL. Append and
// Renew set no timeout of their own: their context bounds them.
func NewHTTP(base string, client *http.Client) *HTTP {
	return &HTTP{base: strings.TrimRight(base, "/"), client: client}
}

// Append implements Log.
func (h *HTTP) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	var reply AppendReply
	_, err := h.call(ctx, http.MethodPost, "/v1/streams/"+url.PathEscape(stream)+"/records", AppendRequest{Data: data}, &reply)
	if err == nil && reply.Offset == 0 {
		err = fmt.Errorf("%w: reply without an offset", ErrUnknownOutcome)
	}
	if err != nil {
		return 0, fmt.Errorf("append to stream %s: %w", stream, err)
	}
	return reply.Offset, nil
}

// Read implements Log.
func (h *HTTP) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readMargin)
	defer cancel()
	query := url.Values{
		"from":  {strconv.FormatUint(from, 10)},
		"limit": {strconv.Itoa(limit)},
		"wait":  {wait.String()},
	}
	var reply RecordsReply
	status, err := h.call(ctx, http.MethodGet, "/v1/streams/"+url.PathEscape(stream)+"/records?"+query.Encode(), nil, &reply)
	page := Page{First: reply.First, Next: reply.Next}
	switch {
	case status == http.StatusGone:
		return page, fmt.Errorf("read stream %s from offset %d: %w", stream, from, ErrTrimmed)
	case err != nil:
		return Page{}, fmt.Errorf("read stream %s: %w: %w", stream, ErrUnavailable, err)
	}
	for _, e := range reply.Entries {
		page.Entries = append(page.Entries, Entry(e))
	}
	return page, nil
}

// Renew implements Lease.
func (h *HTTP) Renew(ctx context.Context, worker, holder string, ttl time.Duration) (time.Duration, error) {
	var reply LeaseReply
	status, err := h.call(ctx, http.MethodPut, "/v1/leases/"+url.PathEscape(worker),
		LeaseRequest{Holder: holder, TTLMS: ttl.Milliseconds()}, &reply)
	switch {
	case status == http.StatusConflict:
		return 0, fmt.Errorf("lease of worker %s: %w", worker, ErrLeaseHeld)
	case err != nil:
		return 0, fmt.Errorf("lease of worker %s: %w", worker, err)
	}
	return time.Duration(reply.TTLMS) * time.Millisecond, nil
}

// call sends a request and decodes the reply. The error wraps ErrUnavailable
// if no connection was made or the service was overloaded or unavailable,
// ErrInvalid if the service rejected the request, and ErrUnknownOutcome if the
// request may have taken effect.
func (h *HTTP) call(ctx context.Context, method, path string, body, reply any) (status int, err error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := newRequest(ctx, method, h.base+path, body)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	resp, err := h.client.Do(req)
	if err != nil {
		// Whatever broke this connection may have broken the idle ones, which the next
		// calls would try one after the other.
		h.client.CloseIdleConnections()
		if connected.Load() {
			return 0, fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
		}
		return 0, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= 300 && resp.StatusCode != http.StatusGone {
		return resp.StatusCode, statusError(resp)
	}
	// The transport reuses the connection only if the body was read to its end.
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err == nil {
		err = json.Unmarshal(data, reply)
	}
	if err != nil {
		// The status is not returned: a truncated reply does not prove that the
		// request took effect.
		return 0, fmt.Errorf("%w: decode reply: %w", ErrUnknownOutcome, err)
	}
	return resp.StatusCode, nil
}

func newRequest(ctx context.Context, method, target string, body any) (*http.Request, error) {
	if body == nil {
		return http.NewRequestWithContext(ctx, method, target, nil)
	}
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

// statusError returns the error for a reply with an error status. Server errors
// other than 503 have an unknown outcome: they may come from a proxy after the
// service accepted the request.
func statusError(resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	kind := ErrUnknownOutcome
	switch code := resp.StatusCode; {
	case code == http.StatusTooManyRequests, code == http.StatusServiceUnavailable:
		kind = ErrUnavailable
	case code >= 400 && code < 500:
		kind = ErrInvalid
	}
	return fmt.Errorf("%w: status %d: %s", kind, resp.StatusCode, bytes.TrimSpace(text))
}
