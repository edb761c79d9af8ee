package configsync

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/rhubarbsail/rhubarbsail/common/boottime"
	"github.com/rhubarbsail/rhubarbsail/restartable/queues"
)

var errUnavailable = errors.New("down")

// fakeSource is a store whose failures the test controls. Its documents are
// version numbers in decimal.
type fakeSource struct {
	mu          sync.Mutex
	documents   []string
	unavailable bool
	trimmed     bool
	newest      int
}

func (f *fakeSource) set(change func(f *fakeSource)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func (f *fakeSource) Newest(context.Context) ([]byte, uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.newest++
	if f.unavailable {
		return nil, 0, errUnavailable
	}
	f.trimmed = false
	n := len(f.documents)
	if n == 0 {
		return nil, 0, nil
	}
	return []byte(f.documents[n-1]), uint64(n), nil
}

func (f *fakeSource) Next(ctx context.Context, from uint64, wait time.Duration) ([]byte, uint64, error) {
	end := time.Now().Add(wait)
	for ctx.Err() == nil && time.Now().Before(end) {
		f.mu.Lock()
		fails, n := f.unavailable || f.trimmed, len(f.documents)
		var d string
		if uint64(n) > from {
			d = f.documents[n-1]
		}
		f.mu.Unlock()
		if fails {
			return nil, 0, errUnavailable
		}
		if d != "" {
			return []byte(d), uint64(n), nil
		}
		time.Sleep(time.Millisecond)
	}
	return nil, from, ctx.Err()
}

func (f *fakeSource) Parse(document []byte) (*queues.Config, error) {
	v, err := strconv.ParseUint(string(document), 10, 64)
	return queues.New(v, nil, queues.Limits{}, document), err
}

// fakePeers offers one document.
type fakePeers struct{ document string }

func (f fakePeers) Newer(_ context.Context, version uint64) []byte {
	if v, err := strconv.ParseUint(f.document, 10, 64); err != nil || v <= version {
		return nil
	}
	return []byte(f.document)
}

func startSyncer(t *testing.T, s *fakeSource, p Peers) *queues.CurrentConfig {
	t.Helper()
	current := &queues.CurrentConfig{}
	opts := Options{PollWait: 20 * time.Millisecond, RetryMin: time.Millisecond, RetryMax: 5 * time.Millisecond, PeerPollInterval: 5 * time.Millisecond}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		New(s, p, current, boottime.Now, zerolog.Nop(), opts).Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return current
}

// awaitVersion waits until the version is active. The time limit is only
// reached if the test fails.
func awaitVersion(t *testing.T, c *queues.CurrentConfig, version uint64) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if got := c.Get(); got != nil && got.Version == version {
			return
		}
	}
	t.Fatalf("version %d is not active; the active configuration is %+v", version, c.Get())
}

// Guards against missing a change that is published while the syncer waits, while
// the store is unavailable, or together with the removal of older documents.
func TestPublishedConfigurationsBecomeActive(t *testing.T) {
	s := &fakeSource{documents: []string{"1"}}
	c := startSyncer(t, s, fakePeers{})
	awaitVersion(t, c, 1)
	s.set(func(f *fakeSource) { f.documents = append(f.documents, "2") })
	awaitVersion(t, c, 2)
	s.set(func(f *fakeSource) { f.unavailable = true })
	s.set(func(f *fakeSource) { f.documents = append(f.documents, "3"); f.unavailable = false })
	awaitVersion(t, c, 3)
	s.set(func(f *fakeSource) { f.documents = []string{"4"}; f.trimmed = true })
	awaitVersion(t, c, 4)
}

// Guards against a gateway that keeps an outdated configuration, or has none,
// while the store is unavailable to this gateway only.
func TestConfigurationOfAnotherGatewayWhileTheStoreFails(t *testing.T) {
	s := &fakeSource{documents: []string{"1"}, unavailable: true}
	c := startSyncer(t, s, fakePeers{"7"})
	awaitVersion(t, c, 7)
	s.set(func(f *fakeSource) { f.unavailable = false })
	time.Sleep(10 * time.Millisecond)
	if got := c.Get().Version; got != 7 {
		t.Fatalf("version %d is active after 7", got)
	}
}

// Guards against a malformed document that stops later updates.
func TestMalformedDocumentIsSkipped(t *testing.T) {
	s := &fakeSource{documents: []string{"1"}}
	c := startSyncer(t, s, fakePeers{})
	awaitVersion(t, c, 1)
	s.set(func(f *fakeSource) { f.documents = append(f.documents, "no number") })
	time.Sleep(5 * time.Millisecond)
	s.set(func(f *fakeSource) { f.documents = append(f.documents, "2") })
	awaitVersion(t, c, 2)
}

// Guards against an age that suggests an outage after the wall clock was changed:
// only the clock passed to New counts.
func TestAgeFollowsTheGivenClock(t *testing.T) {
	now := time.Hour
	s := New(&fakeSource{}, fakePeers{}, &queues.CurrentConfig{}, func() time.Duration { return now }, zerolog.Nop(), DefaultOptions())
	if age := s.Age(); age != 0 {
		t.Fatalf("age %v before the first answer", age)
	}
	s.storeAnswered()
	now += 3 * time.Second
	if age := s.Age(); age != 3*time.Second {
		t.Fatalf("age %v after 3 s", age)
	}
}
