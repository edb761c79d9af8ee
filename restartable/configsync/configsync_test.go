package configsync

import (
	"bytes"
	"context"
	"fmt"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/rhubarbsail/rhubarbsail/common/boottime"
	"github.com/rhubarbsail/rhubarbsail/restartable/queues"
	"github.com/rhubarbsail/rhubarbsail/restartable/zones"
)

var errUnavailable = errors.New("down")

// fakeSource is a store whose failures the test controls. Its documents are
// version numbers in decimal.
type fakeSource struct {
	mu          sync.Mutex
	records     []fakeRecord
	unavailable bool
	trimmed     bool
}

// fakeRecord is a document or, if drain is set, a change of drained zones.
type fakeRecord struct {
	document string
	drain    *zones.Change
}

func newFakeSource(documents ...string) *fakeSource {
	f := &fakeSource{}
	for _, d := range documents {
		f.publish(d)
	}
	return f
}

func (f *fakeSource) set(change func(f *fakeSource)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func (f *fakeSource) publish(document string) {
	f.set(func(f *fakeSource) { f.records = append(f.records, fakeRecord{document: document}) })
}

// drain starts or ends the drain of a zone.
func (f *fakeSource) drain(zone string, drained bool) {
	f.set(func(f *fakeSource) {
		f.records = append(f.records, fakeRecord{drain: &zones.Change{Zone: zone, Drained: drained, Offset: uint64(len(f.records))}})
	})
}

// published returns the records from an offset on. The caller holds f.mu.
func (f *fakeSource) published(from uint64) Published {
	p := Published{Next: uint64(len(f.records))}
	for _, r := range f.records[from:] {
		if r.drain != nil {
			p.Drains = append(p.Drains, *r.drain)
		} else {
			p.Document = []byte(r.document)
		}
	}
	return p
}

func (f *fakeSource) Newest(context.Context) (Published, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable {
		return Published{}, errUnavailable
	}
	f.trimmed = false
	p := f.published(0)
	newest := map[string]zones.Change{}
	for _, c := range p.Drains {
		newest[c.Zone] = c
	}
	p.Drains = nil
	for _, c := range newest {
		if c.Drained {
			p.Drains = append(p.Drains, c)
		}
	}
	return p, nil
}

func (f *fakeSource) Next(ctx context.Context, from uint64, wait time.Duration) (Published, error) {
	end := time.Now().Add(wait)
	for ctx.Err() == nil && time.Now().Before(end) {
		f.mu.Lock()
		fails, p := f.unavailable || f.trimmed, f.published(min(from, uint64(len(f.records))))
		f.mu.Unlock()
		if fails {
			return Published{}, errUnavailable
		}
		if p.Next > from {
			return p, nil
		}
		time.Sleep(time.Millisecond)
	}
	return Published{Next: from}, ctx.Err()
}

func (f *fakeSource) Parse(document []byte) (*queues.Config, error) {
	v, err := strconv.ParseUint(string(document), 10, 64)
	return queues.New(v, nil, queues.Limits{}, document), err
}

// fakePeers offers one document and one set of drained zones.
type fakePeers struct {
	document string
	drains   *zones.Drains
}

func (f fakePeers) Newer(_ context.Context, version, revision uint64) Newer {
	var n Newer
	if v, err := strconv.ParseUint(f.document, 10, 64); err == nil && v > version {
		n.Document = []byte(f.document)
	}
	if f.drains != nil && f.drains.Revision > revision {
		n.Drains = f.drains
	}
	return n
}

func (fakePeers) RequestStoreReads(uint64, uint64) int { return 0 }

// syncerRig is a running syncer with what it installs.
type syncerRig struct {
	t      *testing.T
	config *queues.CurrentConfig
	drains *zones.Current
	log    *bytes.Buffer
	stop   func()
}

func startSyncer(t *testing.T, s *fakeSource, p Peers) *syncerRig {
	t.Helper()
	r := &syncerRig{t: t, config: &queues.CurrentConfig{}, drains: &zones.Current{}, log: &bytes.Buffer{}}
	opts := Options{PollWait: 20 * time.Millisecond, RetryMin: time.Millisecond, RetryMax: 5 * time.Millisecond, PeerPollInterval: 5 * time.Millisecond}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	log := zerolog.New(zerolog.SyncWriter(r.log))
	wg.Go(func() { New(s, p, r.config, r.drains, boottime.Now, log, opts).Run(ctx) })
	r.stop = func() {
		cancel()
		wg.Wait()
	}
	t.Cleanup(r.stop)
	return r
}

// await waits until the condition holds. The time limit is only reached if the test
// fails.
func (r *syncerRig) await(what string, condition func() bool) {
	r.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	r.t.Fatalf("not true: %s; the configuration is %+v, the drained zones are %+v", what, r.config.Get(), r.drains.Get())
}

func (r *syncerRig) awaitDrained(want ...string) {
	r.t.Helper()
	r.await(fmt.Sprintf("the drained zones are %v", want), func() bool { return slices.Equal(r.drains.Get().Zones(), want) })
}

func (r *syncerRig) awaitVersion(version uint64) {
	r.t.Helper()
	r.await(fmt.Sprintf("version %d is active", version), func() bool {
		c := r.config.Get()
		return c != nil && c.Version == version
	})
}

// Guards against missing a change that is published while the syncer waits, while
// the store is unavailable, or together with the removal of older documents.
func TestPublishedConfigurationsBecomeActive(t *testing.T) {
	s := newFakeSource("1")
	r := startSyncer(t, s, fakePeers{})
	r.awaitVersion(1)
	s.publish("2")
	r.awaitVersion(2)
	s.set(func(f *fakeSource) { f.unavailable = true })
	s.publish("3")
	s.set(func(f *fakeSource) { f.unavailable = false })
	r.awaitVersion(3)
	s.set(func(f *fakeSource) { f.records, f.trimmed = []fakeRecord{{document: "4"}}, true })
	r.awaitVersion(4)
}

// Guards against a gateway that keeps an outdated configuration, or has none,
// while the store is unavailable to this gateway only.
func TestConfigurationOfAnotherGatewayWhileTheStoreFails(t *testing.T) {
	s := newFakeSource("1")
	s.unavailable = true
	r := startSyncer(t, s, fakePeers{document: "7"})
	r.awaitVersion(7)
	s.set(func(f *fakeSource) { f.unavailable = false })
	time.Sleep(10 * time.Millisecond)
	if got := r.config.Get().Version; got != 7 {
		t.Fatalf("version %d is active after 7", got)
	}
}

// Guards against a malformed document that stops later updates.
func TestMalformedDocumentIsSkipped(t *testing.T) {
	s := newFakeSource("1")
	r := startSyncer(t, s, fakePeers{})
	r.awaitVersion(1)
	s.publish("no number")
	time.Sleep(5 * time.Millisecond)
	s.publish("2")
	r.awaitVersion(2)
}

// partlyDown is a store that returns what is in force, but fails to wait for later
// records.
type partlyDown struct {
	*fakeSource
	reads *atomic.Int64
}

func (p partlyDown) Newest(ctx context.Context) (Published, error) {
	p.reads.Add(1)
	return p.fakeSource.Newest(ctx)
}

func (p partlyDown) Next(context.Context, uint64, time.Duration) (Published, error) {
	return Published{}, errUnavailable
}

// Guards against all gateways overloading a store that serves only a part of the
// calls: a successful read of what is in force must not end the backoff.
func TestRetriesBackOffWhileTheStoreFailsInPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		opts, reads := DefaultOptions(), &atomic.Int64{}
		s := New(partlyDown{newFakeSource("1"), reads}, fakePeers{}, &queues.CurrentConfig{}, &zones.Current{},
			func() time.Duration { return time.Hour }, zerolog.Nop(), opts)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		s.Run(ctx)
		if limit := int64(time.Minute/opts.RetryMax) + 4; reads.Load() > limit {
			t.Errorf("%d reads in a minute, want at most %d", reads.Load(), limit)
		}
	})
}

// Guards against a log that fills with the same malformed record, which is read again
// after each failure of the store and offered again by other gateways.
func TestMalformedRecordIsLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newFakeSource("no number")
		source.records = append(source.records, fakeRecord{drain: &zones.Change{Zone: "a", Drained: true, Offset: 1, Err: errUnavailable}})
		var log bytes.Buffer
		s := New(partlyDown{source, &atomic.Int64{}}, fixedPeers{}, &queues.CurrentConfig{}, &zones.Current{},
			func() time.Duration { return time.Hour }, zerolog.New(zerolog.SyncWriter(&log)), DefaultOptions())
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		s.Run(ctx)
		for _, name := range []string{"zone_drain_malformed", "queues_malformed"} {
			if n := strings.Count(log.String(), name); n != 1 {
				t.Errorf("%d lines %s for one record, want 1", n, name)
			}
		}
	})
}

// fixedPeers offer the same malformed document each time.
type fixedPeers struct{}

func (fixedPeers) Newer(context.Context, uint64, uint64) Newer {
	return Newer{Document: []byte("no number")}
}

func (fixedPeers) RequestStoreReads(uint64, uint64) int { return 0 }

// Guards against an age that suggests an outage after the wall clock was changed:
// only the clock passed to New counts.
func TestAgeFollowsTheGivenClock(t *testing.T) {
	now := time.Hour
	s := New(&fakeSource{}, fakePeers{}, &queues.CurrentConfig{}, &zones.Current{}, func() time.Duration { return now }, zerolog.Nop(), DefaultOptions())
	if age := s.Age(); age != 0 {
		t.Fatalf("age %v before the first answer", age)
	}
	s.install(nil, fromStore, now)
	now += 3 * time.Second
	if age := s.Age(); age != 3*time.Second {
		t.Fatalf("age %v after 3 s", age)
	}
}

// Guards against a drained zone that gets work again, or a returned one that gets
// none, because a change was missed: published while the syncer waits, while the store
// is unavailable, together with the removal of older records, or undone in the same
// read.
func TestPublishedDrainsTakeEffect(t *testing.T) {
	s := newFakeSource("1")
	s.drain("a", true)
	r := startSyncer(t, s, fakePeers{})
	r.awaitDrained("a")
	s.drain("b", true)
	r.awaitDrained("a", "b")
	s.set(func(f *fakeSource) { f.unavailable = true })
	s.drain("a", false)
	s.set(func(f *fakeSource) { f.unavailable = false })
	r.awaitDrained("b")
	s.set(func(f *fakeSource) { f.trimmed = true })
	s.drain("b", false)
	s.drain("c", true)
	r.awaitDrained("c")
	s.drain("c", false)
	r.awaitDrained()
}

// Guards against a starting gateway that takes jobs, which it does once it has a
// configuration, before it knows the drained zones.
func TestDrainsAreInForceBeforeTheFirstConfiguration(t *testing.T) {
	cases := map[string]struct {
		unavailable bool
		peers       fakePeers
	}{
		"from the store":         {false, fakePeers{}},
		"from another gateway":   {true, fakePeers{document: "7", drains: zones.New(2, "a")}},
		"from both at some time": {false, fakePeers{document: "7", drains: zones.New(2, "a")}},
	}
	for name, k := range cases {
		for range 50 {
			s := newFakeSource("1")
			s.drain("a", true)
			s.unavailable = k.unavailable
			r := startSyncer(t, s, k.peers)
			for r.config.Get() == nil {
				runtime.Gosched()
			}
			if !r.drains.Get().Contains("a") {
				t.Fatalf("%s: a configuration is active, but the drained zones are %v", name, r.drains.Get().Zones())
			}
			r.stop()
		}
	}
}

// Guards against a gateway that keeps sending work to a drained zone, or none to a
// returned one, while the store rejects it, and against an older state of another
// gateway that reverts a newer one.
func TestDrainsOfAnotherGatewayWhileTheStoreFails(t *testing.T) {
	cases := map[string]struct {
		known []string // drained one after another in the store before it fails
		peer  *zones.Drains
		want  []string
	}{
		"a drain":           {nil, zones.New(9, "a"), []string{"a"}},
		"the end of one":    {[]string{"a", "b"}, zones.New(9, "b"), []string{"b"}},
		"an older drain":    {[]string{"b"}, zones.New(1, "a"), []string{"b"}},
		"no newer revision": {[]string{"b"}, nil, []string{"b"}},
	}
	for name, k := range cases {
		t.Run(name, func(t *testing.T) {
			s := newFakeSource("1")
			for _, zone := range k.known {
				s.drain(zone, true)
			}
			p := &switchedPeers{}
			r := startSyncer(t, s, p)
			r.awaitDrained(k.known...)
			s.set(func(f *fakeSource) { f.unavailable = true })
			p.answer.Store(&fakePeers{document: "7", drains: k.peer})
			r.awaitVersion(7)
			r.awaitDrained(k.want...)
		})
	}
}

// switchedPeers answer nothing until answer is set.
type switchedPeers struct{ answer atomic.Pointer[fakePeers] }

func (p *switchedPeers) Newer(ctx context.Context, version, revision uint64) Newer {
	if a := p.answer.Load(); a != nil {
		return a.Newer(ctx, version, revision)
	}
	return Newer{}
}

func (*switchedPeers) RequestStoreReads(uint64, uint64) int { return 0 }

// Guards against a malformed record that ends a drain or stops later changes, and
// against one that nobody hears of.
func TestMalformedDrainIsLoggedAndChangesNothing(t *testing.T) {
	s := newFakeSource("1")
	s.drain("a", true)
	r := startSyncer(t, s, fakePeers{})
	r.awaitDrained("a")
	s.set(func(f *fakeSource) {
		f.records = append(f.records, fakeRecord{drain: &zones.Change{Zone: "a", Drained: true, Offset: uint64(len(f.records)), Err: errUnavailable}})
	})
	s.drain("b", true)
	r.awaitDrained("a", "b")
	r.stop()
	if n := strings.Count(r.log.String(), `"name":"zone_drain_malformed"`); n != 1 {
		t.Fatalf("%d lines on a malformed record in\n%s", n, r.log)
	}
}
