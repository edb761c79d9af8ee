package configsync

import (
	"bytes"
	"context"
	"strconv"
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
	log    bytes.Buffer // to be read after stop
	stop   func()
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
		r.stop = func() {
			cancel()
			wg.Wait()
		}
		defer r.stop()
		test(r)
	})
}

// peersAsOf confirm each time that nothing is newer than some time ago. They know
// nothing else.
type peersAsOf time.Duration

func (p peersAsOf) Newer(context.Context, uint64, uint64) Newer {
	return Newer{AsOf: time.Duration(p), Asked: 3, Answered: 1}
}

func (peersAsOf) RequestStoreReads(uint64, uint64) int { return 2 }

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

// Guards against a configuration that stays unconfirmed for ever because another process
// offered a malformed document.
func TestConfigurationIsConfirmedAgainAfterAMalformedOne(t *testing.T) {
	source := newFakeSource("1")
	runVirtual(t, source, fakePeers{}, func(r *virtualRig) {
		time.Sleep(100 * time.Millisecond)
		r.syncer.Offer(Newer{Document: []byte("no number"), AsOf: r.syncer.now()})
		time.Sleep(3 * time.Second)
		if age := r.syncer.Age(); age < 2*time.Second {
			t.Errorf("confirmed %v ago after a malformed document", age)
		}
		source.set(func(f *fakeSource) { f.trimmed = true })
		time.Sleep(3 * time.Second)
		if age := r.syncer.Age(); age > 1100*time.Millisecond {
			t.Errorf("confirmed %v ago, although the store was read again", age)
		}
	})
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
		r.stop()
		for _, name := range []string{`"queues_unconfirmed"`, `"queues_confirmed"`, `"gateways_asked":3,"gateways_answered":1,"agents_asked":2`} {
			if n := strings.Count(r.log.String(), name); n != 1 {
				t.Errorf("%s stands %d times in the log, want once:\n%s", name, n, r.log.String())
			}
		}
	})
}

// followingPeers are gateways of which some follow the store, or agents that read it
// whenever they are asked to.
type followingPeers struct {
	store *fakeSource
	// gateways is set if gateways follow the store, agents if agents can read it.
	gateways, agents bool
	// slow is how long the gateways take to answer.
	slow     time.Duration
	offer    func(Newer)
	now      func() time.Duration
	requests int
}

func (p *followingPeers) newest(version uint64) Newer {
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	n := Newer{AsOf: p.now()}
	document := p.store.published(0).Document
	if v, err := strconv.ParseUint(string(document), 10, 64); err == nil && v > version {
		n.Document = document
	}
	return n
}

func (p *followingPeers) Newer(_ context.Context, version, _ uint64) Newer {
	time.Sleep(p.slow)
	if !p.gateways {
		return Newer{}
	}
	return p.newest(version)
}

func (p *followingPeers) RequestStoreReads(version, _ uint64) int {
	p.requests++
	if p.agents {
		go func() { p.offer(p.newest(version)) }()
	}
	return 1
}

// Guards against a change that is not in force in time (CONFIG) at gateways that the
// store rejects: other gateways were asked 1.5 s later, and if the store rejected all
// gateways, nobody was asked who could know.
func TestChangeIsInForceInTimeAtARejectedGateway(t *testing.T) {
	const bound = 2 * time.Second
	for name, peers := range map[string]*followingPeers{
		"other gateways follow the store": {gateways: true},
		"only agents can read the store":  {agents: true},
		"and no other gateway answers":    {agents: true, slow: 500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			source := newFakeSource("1")
			peers.store = source
			runVirtual(t, source, peers, func(r *virtualRig) {
				peers.now, peers.offer = r.syncer.now, r.syncer.Offer
				time.Sleep(1500 * time.Millisecond)
				source.set(func(f *fakeSource) { f.unavailable = true })
				// The publications fall on all phases of the queries.
				for v := 2; v < 22; v++ {
					source.publish(strconv.Itoa(v))
					time.Sleep(bound)
					if got := r.config.Get().Version; got != uint64(v) {
						t.Errorf("version %d is in force %v after version %d was published", got, bound, v)
					}
					time.Sleep(70 * time.Millisecond)
					if age := r.syncer.Age(); age > bound {
						t.Errorf("the configuration was confirmed %v ago", age)
					}
				}
				if peers.gateways && peers.requests > 0 {
					t.Errorf("agents were asked %d times beside gateways that follow the store", peers.requests)
				}
			})
		})
	}
}

// Guards against a slow reaction to a store that rejects this gateway at once: others
// have the change already.
func TestOtherGatewaysAreAskedWhenTheStoreFirstRejects(t *testing.T) {
	source := newFakeSource("1")
	peers := &followingPeers{store: source, gateways: true}
	runVirtual(t, source, peers, func(r *virtualRig) {
		peers.now = r.syncer.now
		time.Sleep(1500 * time.Millisecond)
		source.set(func(f *fakeSource) { f.unavailable = true })
		source.publish("2")
		time.Sleep(100 * time.Millisecond)
		if got := r.config.Get().Version; got != 2 {
			t.Errorf("version %d is in force 0.1 s after the store began to reject this gateway, want 2", got)
		}
	})
}
