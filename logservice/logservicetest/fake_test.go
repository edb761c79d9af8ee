package logservicetest_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rhubarbsail/rhubarbsail/logservice"
	"github.com/rhubarbsail/rhubarbsail/logservice/logservicetest"
	"github.com/rhubarbsail/rhubarbsail/standin/memlog"
)

// Tests that use the fake miss bugs if it behaves differently from the service.
func TestFakeMeetsContract(t *testing.T) {
	logservicetest.Run(t, func(_ *testing.T, opts memlog.Options) logservicetest.Subject {
		s := memlog.New(opts)
		return logservicetest.Subject{Log: s, Lease: s, Store: s}
	})
}

// If the fake ignored time, tests with it could not cover records that expire
// during an outage, nor leases that expire.
func TestRetentionAndLeasesExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		s := memlog.New(memlog.Options{RetainFor: time.Minute, RetainCount: 3})
		first := func() uint64 {
			page, err := s.Read(ctx, "s", 100, 1, 0)
			if err != nil {
				t.Fatal(err)
			}
			return page.First
		}
		for range 5 {
			if _, err := s.Append(ctx, "s", nil); err != nil {
				t.Fatal(err)
			}
		}
		if got := first(); got != 3 {
			t.Errorf("first offset %d after 5 records with 3 kept", got)
		}
		if _, err := s.Renew(ctx, "w", "a", 30*time.Second); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Minute)
		if got := first(); got != 6 {
			t.Errorf("first offset %d after the retention time", got)
		}
		if _, err := s.Renew(ctx, "w", "b", time.Second); err != nil {
			t.Errorf("renewal by another holder after expiry: %v", err)
		}
	})
}

var _ logservice.Log = logservicetest.NewFake()
