package logserver_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rhubarbsail/rhubarbsail/logservice"
	"github.com/rhubarbsail/rhubarbsail/logservice/logservicetest"
	"github.com/rhubarbsail/rhubarbsail/standin/logserver"
	"github.com/rhubarbsail/rhubarbsail/standin/memlog"
)

func newServer(t *testing.T, opts memlog.Options) (*memlog.Store, *httptest.Server) {
	store := memlog.New(opts)
	s := httptest.NewServer(logserver.New(store))
	t.Cleanup(s.Close)
	return store, s
}

// The HTTP client and this server together must return the same errors as the
// fake, since all other tests use the fake.
func TestClientAndServerMeetContract(t *testing.T) {
	logservicetest.Run(t, func(t *testing.T, opts memlog.Options) logservicetest.Subject {
		store, s := newServer(t, opts)
		client := logservice.NewHTTP(s.URL, s.Client())
		return logservicetest.Subject{Log: client, Lease: client, Store: store}
	})
}

// Tests that start processes set faults over HTTP; if a field were ignored, they
// would pass without the fault.
func TestFaultsAreSetOverHTTP(t *testing.T) {
	_, s := newServer(t, memlog.Options{})
	body := `{"outage":true,"slow_ms":5,"lose_replies":2,"lose_requests":3}`
	resp, err := s.Client().Post(s.URL+"/v1/faults", "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	if err != nil || strings.TrimSpace(string(got)) != body {
		t.Errorf("got %s, %v", got, err)
	}
}

// A malformed request must be rejected, not treated as one with empty fields.
func TestBadRequestsAreRefused(t *testing.T) {
	_, s := newServer(t, memlog.Options{})
	for _, tc := range []struct{ method, path, body string }{
		{"POST", "/v1/streams/s/records", `{"data":"%"}`},
		{"GET", "/v1/streams/s/records", ""},
		{"GET", "/v1/streams/s/records?from=1&wait=soon", ""},
		{"GET", "/v1/streams/s/records?from=1&limit=x", ""},
		{"PUT", "/v1/leases/w", `[]`},
		{"POST", "/v1/faults", `{"outage":1}`},
	} {
		req, err := http.NewRequestWithContext(t.Context(), tc.method, s.URL+tc.path, strings.NewReader(tc.body))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Content-Type", "application/json")
		resp, err := s.Client().Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusBadRequest {
			t.Errorf("%s %s: status %d", tc.method, tc.path, resp.StatusCode)
		}
	}
}
