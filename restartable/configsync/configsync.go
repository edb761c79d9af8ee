// Package configsync keeps the configuration of queues up to date: from the
// platform's store, and from other gateways while the store turns this one
// away.
package configsync

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/rhubarbsail/rhubarbsail/common/boottime"
	"github.com/rhubarbsail/rhubarbsail/common/events"
	"github.com/rhubarbsail/rhubarbsail/common/wait"
	"github.com/rhubarbsail/rhubarbsail/restartable/queues"
)

// Source is the platform's store of configurations.
type Source interface {
	// Newest returns the newest document, or nil if there is none, and the
	// offset from which to wait for later ones.
	Newest(ctx context.Context) (document []byte, next uint64, err error)
	// Next waits for documents from an offset on.
	Next(ctx context.Context, from uint64, wait time.Duration) (document []byte, next uint64, err error)
	// Parse decodes a document.
	Parse(document []byte) (*queues.Config, error)
}

// Peers asks other gateways for a document that is newer than a version. It
// returns nil if none has one.
type Peers interface {
	Newer(ctx context.Context, version uint64) []byte
}

// Options are the times of a Syncer.
type Options struct {
	// Wait is how long one read waits for a record. The store's answer also
	// shows that the connection to it works.
	Wait time.Duration
	// RetryMin and RetryMax bound the pause after a failed call.
	RetryMin, RetryMax time.Duration
	// PeersEvery is the time between two questions to other gateways while the
	// store fails.
	PeersEvery time.Duration
}

// DefaultOptions bring a change into force well within two seconds.
func DefaultOptions() Options {
	return Options{
		Wait: time.Second, RetryMin: 50 * time.Millisecond, RetryMax: 400 * time.Millisecond,
		PeersEvery: 500 * time.Millisecond,
	}
}

// Syncer installs configurations as they are published.
type Syncer struct {
	opts    Options
	source  Source
	peers   Peers
	current *queues.CurrentConfig
	log     zerolog.Logger
	now     boottime.Clock
	// confirmed is when the store or another gateway last answered, in nanoseconds
	// of now; 0 before the first answer.
	confirmed atomic.Int64
	// failing is set while the store does not answer; owned by the goroutine of
	// Run.
	failing bool
}

// New returns a syncer that installs into current.
func New(source Source, peers Peers, current *queues.CurrentConfig, now boottime.Clock, log zerolog.Logger, opts Options) *Syncer {
	return &Syncer{opts: opts, source: source, peers: peers, current: current, now: now, log: log}
}

// Age returns the time since the store or another gateway last answered about
// the configuration; zero before the first answer.
func (s *Syncer) Age() time.Duration {
	at := s.confirmed.Load()
	if at == 0 {
		return 0
	}
	return s.now() - time.Duration(at)
}

// Run follows the store until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	answered := make(chan struct{}, 1)
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { s.askPeers(ctx, answered) })
	retry := s.opts.RetryMin
	for ctx.Err() == nil {
		err := s.follow(ctx, func() {
			retry = s.opts.RetryMin
			s.storeAnswers()
			select {
			case answered <- struct{}{}:
			default:
			}
		})
		s.storeFailed(err)
		wait.For(ctx, retry)
		retry = min(2*retry, s.opts.RetryMax)
	}
}

// follow reads the newest configuration and then each later one, until a call
// fails.
func (s *Syncer) follow(ctx context.Context, answered func()) error {
	document, next, err := s.source.Newest(ctx)
	if err != nil {
		return err
	}
	for {
		answered()
		s.install(document, "store")
		if document, next, err = s.source.Next(ctx, next, s.opts.Wait); err != nil {
			return err
		}
	}
}

func (s *Syncer) storeAnswers() {
	s.confirmed.Store(int64(s.now()))
	if s.failing {
		s.failing = false
		events.StoreAnswers.Log(s.log).Send()
	}
}

func (s *Syncer) storeFailed(err error) {
	if !s.failing {
		s.failing = true
		events.StoreFailed.Log(s.log).Err(err).Send()
	}
}

// askPeers asks other gateways whenever the store has not answered for longer
// than a read may take.
func (s *Syncer) askPeers(ctx context.Context, answered <-chan struct{}) {
	quiet := s.opts.Wait + s.opts.PeersEvery
	next := time.NewTimer(s.opts.PeersEvery)
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-answered:
			next.Reset(quiet)
			continue
		case <-next.C:
		}
		var version uint64
		if c := s.current.Get(); c != nil {
			version = c.Version
		}
		if document := s.peers.Newer(ctx, version); document != nil {
			s.confirmed.Store(int64(s.now()))
			s.install(document, "gateway")
		}
		next.Reset(s.opts.PeersEvery)
	}
}

func (s *Syncer) install(document []byte, from string) {
	if document == nil {
		return
	}
	c, err := s.source.Parse(document)
	if err != nil {
		events.QueuesMalformed.Log(s.log).Err(err).Str("from", from).Send()
		return
	}
	if s.current.Install(c) {
		events.QueuesApplied.Log(s.log).Uint64("version", c.Version).Str("from", from).Int("queues", len(c.Queues)).Send()
	}
}
