package daemon

import (
	"context"
	"os"
	"sync"
	"syscall"
	"testing"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/rhubarbsail/rhubarbsail/platform"
	"github.com/rhubarbsail/rhubarbsail/restartable/fairshare"
)

// Guards against a SIGHUP that ends the process, one that does not apply changed settings
// of fair shares, and one that drops those in force since the file is malformed.
func TestFairSharesAreReloadedOnSIGHUP(t *testing.T) {
	var log logBuffer
	g := NewPlatformGateway(&platform.Node{Name: "gateway-1", StoreAddr: "127.0.0.1:1"}, zerolog.New(&log))
	defer func() { _ = g.metrics.Close() }()
	var mu sync.Mutex
	var next *platform.Node
	load := func() (*platform.Node, error) {
		mu.Lock()
		defer mu.Unlock()
		if next == nil {
			return nil, errors.New("malformed")
		}
		return next, nil
	}
	hangUp := func(n *platform.Node) {
		t.Helper()
		mu.Lock()
		next = n
		mu.Unlock()
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	signals := sighups()
	var wg sync.WaitGroup
	wg.Go(func() { g.reloadSettings(ctx, signals, load) })
	defer wg.Wait()
	defer cancel()

	hangUp(&platform.Node{FairShares: fairshare.Settings{Enabled: true, DefaultWeight: 1}})
	waitUntil(t, "fair shares are switched on", g.dispatcher.WantsQueueUse)
	hangUp(nil)
	waitUntil(t, "the malformed file is reported", func() bool { return log.count("fair_shares_rejected") > 0 })
	if !g.dispatcher.WantsQueueUse() {
		t.Error("a malformed file has switched fair shares off")
	}
	hangUp(&platform.Node{})
	waitUntil(t, "fair shares are switched off", func() bool { return !g.dispatcher.WantsQueueUse() })
	if n := log.count("fair_shares_applied"); n != 2 {
		t.Errorf("%d events of applied settings, want 2", n)
	}
}
