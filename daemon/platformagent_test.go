package daemon

import (
	"bytes"
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/rhubarbsail/rhubarbsail/platform"
	"github.com/rhubarbsail/rhubarbsail/platform/standin"
	"github.com/rhubarbsail/rhubarbsail/restartable/runner"
	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// logBuffer is a log output that counts events. mu guards data.
type logBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

func (b *logBuffer) count(event string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.data.String(), `"name":"`+event+`"`)
}

// waitUntil polls a condition and fails the test after a generous timeout.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// Guards against an agent that retries a malformed record forever and therefore
// never saves its own.
func TestMalformedTargetRecordCountsAsAbsent(t *testing.T) {
	store := standin.NewStore()
	server := httptest.NewServer(store.Handler())
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	store.PutTargetRecord("agent-1", []byte("{"))
	a := NewPlatformAgent(&platform.Node{Name: "agent-1", StoreAddr: address}, zerolog.Nop())
	defer func() { _ = a.metrics.Close() }()
	if record, ok := a.loadRecord(t.Context()); !ok || record.Speed != (runner.SpeedEstimate{}) {
		t.Errorf("loadRecord returned %+v, %v", record, ok)
	}
}

// Guards against an agent that starts during an outage of the store and then
// overwrites the record without having loaded it, which lost the learned speed of
// the target.
func TestTargetRecordIsLoadedBeforeItIsSaved(t *testing.T) {
	store := standin.NewStore()
	server := httptest.NewServer(store.Handler())
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	target := runner.Target{ID: "i-1", Incarnation: 1, Service: "s", Kind: "a", Capacity: task.Resources{CPUMillis: 4000}}
	savedSpeed := runner.SpeedEstimate{Slowness: 1.7, Samples: 40}
	records := platform.NewTargetRecords(platform.NewStore(address, zerolog.Nop()), "agent-1")
	if err := records.Save(t.Context(), runner.Record{Target: target, Speed: savedSpeed}); err != nil {
		t.Fatal(err)
	}
	store.SetDown(true)

	var log logBuffer
	restarted := target
	restarted.ID, restarted.Incarnation = "i-2", 2
	x := standin.NewTarget(restarted.ID, restarted.Capacity.CPUMillis)
	x.Incarnation = restarted.Incarnation
	targetServer := httptest.NewServer(x.Handler())
	defer targetServer.Close()
	a := NewPlatformAgent(&platform.Node{
		Name: "agent-1", StoreAddr: address, TargetAddr: strings.TrimPrefix(targetServer.URL, "http://"),
	}, zerolog.New(&log))
	defer func() { _ = a.metrics.Close() }()
	a.runner.Heartbeat(restarted)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { a.runner.Run(ctx) })
	wg.Go(func() { a.maintainRecord(ctx) })
	defer func() {
		cancel()
		wg.Wait()
	}()
	waitUntil(t, "the store has failed", func() bool { return log.count("target_record_failed") > 0 })
	store.SetDown(false)
	waitUntil(t, "the new incarnation is recorded", func() bool {
		record, ok, err := records.Load(t.Context())
		return ok && err == nil && record.Target.Equal(restarted)
	})
	record, _, err := records.Load(t.Context())
	if err != nil || record.Speed != savedSpeed {
		t.Errorf("stored speed %+v, %v", record.Speed, err)
	}
	if got := a.runner.Speed().Slowness; got < 1.69 || got > 1.71 {
		t.Errorf("the restored slowness is %.2f, want 1.7", got)
	}
	if log.count("target_recalled") != 1 {
		t.Errorf("%d target_recalled events, want 1", log.count("target_recalled"))
	}
}
