package configsync

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/rhubarbsail/rhubarbsail/restartable/queues"
	"github.com/rhubarbsail/rhubarbsail/restartable/zones"
)

// virtualRig is a running syncer with the default options in virtual time.
type virtualRig struct {
	config *queues.CurrentConfig
	syncer *Syncer
	log    bytes.Buffer
}

// runVirtual calls test beside a running syncer.
func runVirtual(t *testing.T, source Source, peers Peers, test func(r *virtualRig)) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		now := func() time.Duration { return time.Hour + time.Since(start) }
		r := &virtualRig{config: &queues.CurrentConfig{}}
		r.syncer = New(source, peers, r.config, &zones.Current{}, now, zerolog.New(zerolog.SyncWriter(&r.log)), DefaultOptions())
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { r.syncer.Run(ctx) })
		defer wg.Wait()
		defer cancel()
		test(r)
	})
}

// peersAsOf confirm each time that nothing is newer than some time ago. They know
// nothing else.
type peersAsOf time.Duration

func (p peersAsOf) Newer(context.Context, uint64, uint64) Newer {
	return Newer{AsOf: time.Duration(p), Asked: 3, Answered: 1}
}

// Guards against a configuration that counts as confirmed although a newer one may
// exist, and against one that does not while the store answers.
func TestConfigurationIsConfirmedByAnswersOnly(t *testing.T) {
	const long = 10 * time.Second
	cases := map[string]struct {
		change func(f *fakeSource)
		peers  Peers
		atMost time.Duration // or 0 if nothing confirms it
	}{
		"the store answers":             {func(*fakeSource) {}, fakePeers{}, 1100 * time.Millisecond},
		"the store fails":               {func(f *fakeSource) { f.unavailable = true }, fakePeers{}, 0},
		"a gateway confirms it":         {func(f *fakeSource) { f.unavailable = true }, peersAsOf(time.Hour + 9*time.Second), long - 9*time.Second},
		"the newest one is unreadable":  {func(f *fakeSource) { f.records = append(f.records, fakeRecord{document: "no number"}) }, fakePeers{}, 0},
		"unreadable, history forgotten": {func(f *fakeSource) { f.records, f.trimmed = []fakeRecord{{document: "no number"}}, true }, fakePeers{}, 0},
	}
	for name, k := range cases {
		t.Run(name, func(t *testing.T) {
			source := newFakeSource("1")
			runVirtual(t, source, k.peers, func(r *virtualRig) {
				time.Sleep(100 * time.Millisecond)
				source.set(k.change)
				time.Sleep(long - 100*time.Millisecond)
				age := r.syncer.Age()
				if k.atMost > 0 && age > k.atMost || k.atMost == 0 && age < long-1200*time.Millisecond {
					t.Errorf("confirmed %v ago", age)
				}
				if r.config.Get().Version != 1 {
					t.Errorf("version %d is active, want 1", r.config.Get().Version)
				}
			})
		})
	}
}

// Guards against an incident of which the log shows neither that the configuration
// was unconfirmed nor how many gateways were asked.
func TestUnconfirmedConfigurationIsLoggedOnce(t *testing.T) {
	source := newFakeSource("1")
	runVirtual(t, source, peersAsOf(1), func(r *virtualRig) {
		time.Sleep(time.Second)
		source.set(func(f *fakeSource) { f.unavailable = true })
		time.Sleep(10 * time.Second)
		source.set(func(f *fakeSource) { f.unavailable = false })
		time.Sleep(2 * time.Second)
		for _, name := range []string{`"queues_unconfirmed"`, `"queues_confirmed"`, `"gateways_asked":3,"gateways_answered":1`} {
			if n := strings.Count(r.log.String(), name); n != 1 {
				t.Errorf("%s stands %d times in the log, want once:\n%s", name, n, r.log.String())
			}
		}
	})
}
