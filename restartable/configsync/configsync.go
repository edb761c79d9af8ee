// Package configsync keeps a gateway's configuration of queues up to date. It
// reads the configuration from the platform's store and, while the store fails or
// rejects this gateway, from other gateways.
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
	// Newest returns the newest document, or nil if there is none, and the offset
	// from which to wait for later ones.
	Newest(ctx context.Context) (document []byte, next uint64, err error)
	// Next waits up to wait for documents from an offset on. It returns the
	// newest one, or nil if there is none, and the next offset.
	Next(ctx context.Context, from uint64, wait time.Duration) (document []byte, next uint64, err error)
	// Parse decodes a document.
	Parse(document []byte) (*queues.Config, error)
}

// Peers asks other gateways for a document that is newer than a version. Newer
// returns nil if none of them has one.
type Peers interface {
	Newer(ctx context.Context, version uint64) []byte
}

// Options holds the timeouts and intervals of a Syncer.
type Options struct {
	// PollWait is how long one read of the store waits for a new document. An
	// answer without a document still shows that the connection works.
	PollWait time.Duration
	// RetryMin and RetryMax limit the exponential backoff after failed calls.
	RetryMin, RetryMax time.Duration
	// PeerPollInterval is the time between two queries of other gateways while
	// the store does not answer.
	PeerPollInterval time.Duration
}

// DefaultOptions returns options with which a change takes effect well within two
// seconds.
func DefaultOptions() Options {
	return Options{
		PollWait: time.Second, RetryMin: 50 * time.Millisecond, RetryMax: 400 * time.Millisecond,
		PeerPollInterval: 500 * time.Millisecond,
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
	// lastAnswer is when the store last answered or another gateway last returned
	// a newer configuration, in nanoseconds of now; 0 before the first time.
	lastAnswer atomic.Int64
	// storeFailing is set while the store does not answer; owned by the goroutine
	// of Run.
	storeFailing bool
}

// New returns a syncer that installs configurations in current.
func New(source Source, peers Peers, current *queues.CurrentConfig, now boottime.Clock, log zerolog.Logger, opts Options) *Syncer {
	return &Syncer{opts: opts, source: source, peers: peers, current: current, now: now, log: log}
}

// Age returns the time since the store last answered or another gateway last
// returned a newer configuration; zero before the first time.
func (s *Syncer) Age() time.Duration {
	at := s.lastAnswer.Load()
	if at == 0 {
		return 0
	}
	return s.now() - time.Duration(at)
}

// Run keeps the configuration up to date until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	answered := make(chan struct{}, 1)
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { s.pollPeers(ctx, answered) })
	retry := s.opts.RetryMin
	for ctx.Err() == nil {
		err := s.watchStore(ctx, func() {
			retry = s.opts.RetryMin
			s.storeAnswered()
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

// watchStore installs the newest configuration and then each later one, until a
// call fails.
func (s *Syncer) watchStore(ctx context.Context, answered func()) error {
	document, next, err := s.source.Newest(ctx)
	if err != nil {
		return err
	}
	for {
		answered()
		s.install(document, "store")
		if document, next, err = s.source.Next(ctx, next, s.opts.PollWait); err != nil {
			return err
		}
	}
}

func (s *Syncer) storeAnswered() {
	s.lastAnswer.Store(int64(s.now()))
	if s.storeFailing {
		s.storeFailing = false
		events.StoreAnswers.Log(s.log).Send()
	}
}

func (s *Syncer) storeFailed(err error) {
	if !s.storeFailing {
		s.storeFailing = true
		events.StoreFailed.Log(s.log).Err(err).Send()
	}
}

// pollPeers queries other gateways whenever the store has not answered for longer
// than a read may take.
func (s *Syncer) pollPeers(ctx context.Context, answered <-chan struct{}) {
	storeTimeout := s.opts.PollWait + s.opts.PeerPollInterval
	timer := time.NewTimer(s.opts.PeerPollInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-answered:
			timer.Reset(storeTimeout)
			continue
		case <-timer.C:
		}
		var version uint64
		if c := s.current.Get(); c != nil {
			version = c.Version
		}
		if document := s.peers.Newer(ctx, version); document != nil {
			s.lastAnswer.Store(int64(s.now()))
			s.install(document, "gateway")
		}
		timer.Reset(s.opts.PeerPollInterval)
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
