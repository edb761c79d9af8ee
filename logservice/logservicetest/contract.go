// Package logservicetest provides contract tests for implementations of the
// logservice interfaces, and a fake implementation.
package logservicetest

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/logservice"
	"github.com/rhubarbsail/rhubarbsail/standin/memlog"
)

// Fake is an in-memory log and lease service with fault injection.
type Fake = memlog.Store

// Faults are the faults that a Fake injects.
type Faults = memlog.Faults

// NewFake returns a fake without retention, rate limit or faults.
func NewFake() *Fake { return memlog.New(memlog.Options{}) }

// Subject is an implementation under test. Store is the store behind it, through
// which a test injects faults.
type Subject struct {
	Log   logservice.Log
	Lease logservice.Lease
	Store *memlog.Store
}

const (
	stream = "control/a"
	// testTimeout is the time limit of one contract test.
	testTimeout = 20 * time.Second
	// longWait is a wait or delay that outlasts any test: a call that waits for
	// it to end fails its test by testTimeout.
	longWait = time.Minute
)

// Run runs the contract tests. Each test gets a new subject from open.
func Run(t *testing.T, open func(t *testing.T, opts memlog.Options) Subject) {
	for name, test := range map[string]func(t *testing.T, ctx context.Context, s Subject){
		"offsets are dense and start at 1":                 offsetsAreDense,
		"streams are separate":                             streamsAreSeparate,
		"a read returns a page":                            readReturnsPage,
		"a waiting read returns a new record":              waitingReadReturns,
		"a read without records returns after its wait":    emptyReadEnds,
		"a read before the first retained record fails":    trimmedRead,
		"append faults map to errors":                      appendFaults,
		"an outage ends a waiting read":                    outageEndsRead,
		"a cancelled read fails as unavailable":            cancelledRead,
		"a cancelled slow append has an unknown outcome":   cancelledAppend,
		"a lease excludes other holders":                   leaseExcludes,
		"renewal faults map to errors":                     renewalFaults,
		"an invalid renewal is refused":                    invalidRenewal,
		"binary data and special characters are preserved": binaryData,
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			test(t, ctx, open(t, memlog.Options{}))
		})
	}
	t.Run("appends above the rate are refused", func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		fixed := time.Unix(1_800_000_000, 0)
		s := open(t, memlog.Options{AppendsPerSecond: 2, Now: func() time.Time { return fixed }})
		for i, want := range []error{nil, nil, logservice.ErrUnavailable} {
			if _, err := s.Log.Append(ctx, stream, []byte("x")); !errors.Is(err, want) {
				t.Errorf("append %d: %v, want %v", i, err, want)
			}
		}
	})
}

func mustAppend(t *testing.T, ctx context.Context, s Subject, name, data string) uint64 {
	t.Helper()
	offset, err := s.Log.Append(ctx, name, []byte(data))
	if err != nil {
		t.Fatal(err)
	}
	return offset
}

func mustRead(t *testing.T, ctx context.Context, s Subject, name string, from uint64, limit int, wait time.Duration) logservice.Page {
	t.Helper()
	page, err := s.Log.Read(ctx, name, from, limit, wait)
	if err != nil {
		t.Fatal(err)
	}
	return page
}

func offsetsAreDense(t *testing.T, ctx context.Context, s Subject) {
	for want := uint64(1); want <= 3; want++ {
		if got := mustAppend(t, ctx, s, stream, fmt.Sprint(want)); got != want {
			t.Errorf("offset %d, want %d", got, want)
		}
	}
}

func streamsAreSeparate(t *testing.T, ctx context.Context, s Subject) {
	mustAppend(t, ctx, s, stream, "x")
	if got := mustAppend(t, ctx, s, "other", "y"); got != 1 {
		t.Errorf("offset %d in another stream", got)
	}
}

func readReturnsPage(t *testing.T, ctx context.Context, s Subject) {
	for i := range 5 {
		mustAppend(t, ctx, s, stream, fmt.Sprint(i+1))
	}
	page := mustRead(t, ctx, s, stream, 2, 3, 0)
	if page.First != 1 || page.Next != 6 || len(page.Entries) != 3 {
		t.Fatalf("page %+v", page)
	}
	for i, e := range page.Entries {
		if want := i + 2; e.Offset != uint64(want) || string(e.Data) != fmt.Sprint(want) || e.Appended.IsZero() {
			t.Errorf("entry %d: %+v", i, e)
		}
	}
}

func waitingReadReturns(t *testing.T, ctx context.Context, s Subject) {
	type result struct {
		page logservice.Page
		err  error
	}
	done := make(chan result, 1)
	go func() {
		page, err := s.Log.Read(ctx, stream, 1, 10, longWait)
		done <- result{page, err}
	}()
	mustAppend(t, ctx, s, stream, "x")
	if r := <-done; r.err != nil || len(r.page.Entries) != 1 {
		t.Errorf("%+v", r)
	}
}

func emptyReadEnds(t *testing.T, ctx context.Context, s Subject) {
	if page := mustRead(t, ctx, s, stream, 1, 10, time.Millisecond); len(page.Entries) != 0 || page.Next != 1 {
		t.Errorf("page %+v", page)
	}
	// A reader beyond the end of the log must learn where the log ends.
	if page := mustRead(t, ctx, s, stream, 9, 10, time.Millisecond); len(page.Entries) != 0 || page.Next != 1 {
		t.Errorf("page ahead of the end: %+v", page)
	}
}

func trimmedRead(t *testing.T, ctx context.Context, s Subject) {
	for range 4 {
		mustAppend(t, ctx, s, stream, "x")
	}
	s.Store.Trim(stream, 3)
	page, err := s.Log.Read(ctx, stream, 2, 10, 0)
	if !errors.Is(err, logservice.ErrTrimmed) || page.First != 3 || page.Next != 5 {
		t.Errorf("page %+v, error %v", page, err)
	}
	if page := mustRead(t, ctx, s, stream, 3, 10, 0); len(page.Entries) != 2 {
		t.Errorf("page %+v", page)
	}
}

func appendFaults(t *testing.T, ctx context.Context, s Subject) {
	for _, tc := range []struct {
		name   string
		faults Faults
		want   error
		stored int
	}{
		{"outage", Faults{Outage: true}, logservice.ErrUnavailable, 0},
		{"lost reply", Faults{LoseReplies: 1}, logservice.ErrUnknownOutcome, 1},
		{"lost request", Faults{LoseRequests: 1}, logservice.ErrUnknownOutcome, 0},
		{"slow", Faults{Slow: time.Millisecond}, nil, 1},
		{"held", Faults{HoldAppends: 1}, logservice.ErrUnknownOutcome, 0},
		{"none", Faults{}, nil, 1},
	} {
		s.Store.SetFaults(tc.faults)
		_, err := s.Log.Append(ctx, tc.name, []byte("x"))
		if !errors.Is(err, tc.want) {
			t.Errorf("%s: %v, want %v", tc.name, err, tc.want)
		}
		s.Store.SetFaults(Faults{})
		if page := mustRead(t, ctx, s, tc.name, 1, 10, 0); len(page.Entries) != tc.stored {
			t.Errorf("%s: %d records", tc.name, len(page.Entries))
		}
	}
	s.Store.Release()
	if page := mustRead(t, ctx, s, "held", 1, 10, 0); len(page.Entries) != 1 {
		t.Errorf("held: %d records after the release", len(page.Entries))
	}
}

func outageEndsRead(t *testing.T, ctx context.Context, s Subject) {
	done := make(chan error, 1)
	go func() {
		_, err := s.Log.Read(ctx, stream, 1, 10, longWait)
		done <- err
	}()
	s.Store.SetFaults(Faults{Outage: true})
	if err := <-done; !errors.Is(err, logservice.ErrUnavailable) {
		t.Error(err)
	}
}

func cancelledRead(t *testing.T, ctx context.Context, s Subject) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() {
		_, err := s.Log.Read(ctx, stream, 1, 10, longWait)
		done <- err
	}()
	cancel()
	if err := <-done; !errors.Is(err, logservice.ErrUnavailable) || !errors.Is(err, context.Canceled) {
		t.Error(err)
	}
}

func cancelledAppend(t *testing.T, ctx context.Context, s Subject) {
	// LoseReplies is decremented when the append takes effect, so that the loop
	// below can wait for it.
	s.Store.SetFaults(Faults{Slow: longWait, LoseReplies: 1})
	appendCtx, cancel := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() {
		_, err := s.Log.Append(appendCtx, stream, []byte("x"))
		done <- err
	}()
	for s.Store.Faults().LoseReplies > 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	if err := <-done; !errors.Is(err, logservice.ErrUnknownOutcome) || !errors.Is(err, context.Canceled) {
		t.Error(err)
	}
	s.Store.SetFaults(Faults{})
	if page := mustRead(t, ctx, s, stream, 1, 10, longWait); len(page.Entries) != 1 {
		t.Errorf("%d records", len(page.Entries))
	}
}

func leaseExcludes(t *testing.T, ctx context.Context, s Subject) {
	for i, tc := range []struct {
		worker, holder string
		want           error
	}{
		{"w1", "a", nil},
		{"w1", "b", logservice.ErrLeaseHeld},
		{"w1", "a", nil},
		{"w2", "b", nil},
	} {
		ttl, err := s.Lease.Renew(ctx, tc.worker, tc.holder, longWait)
		if !errors.Is(err, tc.want) || (err == nil && ttl != longWait) {
			t.Errorf("renewal %d: %v, %v", i, ttl, err)
		}
	}
}

func renewalFaults(t *testing.T, ctx context.Context, s Subject) {
	for _, tc := range []struct {
		name    string
		faults  Faults
		want    error
		renewed bool
	}{
		{"outage", Faults{Outage: true}, logservice.ErrUnavailable, false},
		{"lost reply", Faults{LoseReplies: 1}, logservice.ErrUnknownOutcome, true},
		{"lost request", Faults{LoseRequests: 1}, logservice.ErrUnknownOutcome, false},
	} {
		s.Store.SetFaults(tc.faults)
		if _, err := s.Lease.Renew(ctx, tc.name, "a", longWait); !errors.Is(err, tc.want) {
			t.Errorf("%s: %v", tc.name, err)
		}
		s.Store.SetFaults(Faults{})
		_, err := s.Lease.Renew(ctx, tc.name, "b", longWait)
		if errors.Is(err, logservice.ErrLeaseHeld) != tc.renewed {
			t.Errorf("%s: other holder got %v", tc.name, err)
		}
	}
}

func invalidRenewal(t *testing.T, ctx context.Context, s Subject) {
	if _, err := s.Lease.Renew(ctx, "w", "", longWait); !errors.Is(err, logservice.ErrInvalid) {
		t.Error(err)
	}
}

func binaryData(t *testing.T, ctx context.Context, s Subject) {
	data, name := "\x00\xff\"\n", "a b/ü?x=1"
	mustAppend(t, ctx, s, name, data)
	if page := mustRead(t, ctx, s, name, 1, 1, 0); len(page.Entries) != 1 || string(page.Entries[0].Data) != data {
		t.Errorf("page %+v", page)
	}
}
