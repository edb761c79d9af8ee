// Package configsync keeps a gateway's configuration of queues and its drained
// availability zones up to date. It reads them from the platform's store and, while
// the store fails or rejects this gateway, from other gateways and through agents.
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
	"github.com/rhubarbsail/rhubarbsail/restartable/zones"
)

// Source is the platform's store of what operators publish.
type Source interface {
	// Newest returns everything that is in force.
	Newest(ctx context.Context) (Published, error)
	// Next waits up to wait for records from an offset on and returns them.
	Next(ctx context.Context, from uint64, wait time.Duration) (Published, error)
	// Parse decodes a document.
	Parse(document []byte) (*queues.Config, error)
}

// Published is what a read of the store returned.
type Published struct {
	// Document is the newest configuration document, or nil if there is none.
	Document []byte
	// Drains are the records on drained zones, in the order of their offsets.
	Drains []zones.Change
	// Next is the offset from which to wait for later records.
	Next uint64
}

// empty reports whether a read returned nothing of interest.
func (p Published) empty() bool { return p.Document == nil && len(p.Drains) == 0 }

// Peers asks other processes for what is newer than a version of the configuration
// and a revision of the drained zones.
type Peers interface {
	// Newer asks other gateways.
	Newer(ctx context.Context, version, revision uint64) Newer
	// RequestStoreReads asks agents to read the store and returns how many. What they
	// read is passed to Syncer.Offer.
	RequestStoreReads(version, revision uint64) int
}

// Newer is what other gateways or an agent returned; Document and Drains are nil if none
// of them has anything newer.
type Newer struct {
	Document []byte
	Drains   *zones.Drains
	// AsOf is when nothing newer than what is returned existed; 0 if none of them knows.
	AsOf time.Duration
	// Asked and Answered count the gateways that were asked and that have answered.
	Asked, Answered int
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
	// MaxAge is the time without a confirmation after which the configuration counts
	// as unconfirmed.
	MaxAge time.Duration
}

// DefaultMaxAge is the time within which a published change is to be in force
// everywhere, unless the settings name another.
const DefaultMaxAge = 2 * time.Second

// DefaultOptions returns options with which a change takes effect well within two
// seconds.
func DefaultOptions() Options {
	return Options{
		PollWait: time.Second, RetryMin: 50 * time.Millisecond, RetryMax: 400 * time.Millisecond,
		PeerPollInterval: 500 * time.Millisecond, MaxAge: DefaultMaxAge,
	}
}

// Syncer installs configurations and drains of zones as they are published.
type Syncer struct {
	opts    Options
	source  Source
	peers   Peers
	current *queues.CurrentConfig
	drains  *zones.Current
	log     zerolog.Logger
	now     boottime.Clock
	// storeFailing is set while the store does not answer; owned by the goroutine
	// of Run.
	storeFailing bool
	// callStarted is the start of the last call to the store; owned by the goroutine
	// of Run.
	callStarted time.Duration
	// newestUnreadable is set while the newest known document cannot be decoded: the
	// active configuration is then known to be outdated.
	newestUnreadable atomic.Bool
	// unconfirmed is set while the configuration counts as unconfirmed; owned by the
	// goroutine of pollPeers.
	unconfirmed bool
	// malformed selects which malformed records are logged.
	malformed events.Distinct
}

// New returns a syncer that installs configurations in current and drains of zones
// in drains.
func New(source Source, peers Peers, current *queues.CurrentConfig, drains *zones.Current, now boottime.Clock, log zerolog.Logger, opts Options) *Syncer {
	return &Syncer{opts: opts, source: source, peers: peers, current: current, drains: drains, now: now, log: log}
}

// Age returns the time since the active configuration was last confirmed to be the
// newest one; zero before the first time.
func (s *Syncer) Age() time.Duration {
	at, confirmed := s.current.ConfirmedAt()
	if !confirmed {
		return 0
	}
	return s.now() - at
}

// Run keeps the configuration up to date until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	answered := make(chan struct{}, 1)
	var wg sync.WaitGroup
	defer wg.Wait()
	failed := make(chan struct{}, 1)
	wg.Go(func() { s.pollPeers(ctx, answered, failed) })
	retry := s.opts.RetryMin
	for ctx.Err() == nil {
		followed, err := s.watchStore(ctx, func() {
			s.storeAnswered()
			signal(answered)
		})
		if followed {
			retry = s.opts.RetryMin
		}
		if s.storeFailed(err, s.now()-s.callStarted) {
			signal(failed)
		}
		wait.For(ctx, retry)
		retry = min(2*retry, s.opts.RetryMax)
	}
}

func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// watchStore installs what is in force and then each later change, until a call
// fails. It returns whether a read of later changes has succeeded: a store that
// only returns what is in force is to be retried as rarely as one that is down.
func (s *Syncer) watchStore(ctx context.Context, answered func()) (followed bool, err error) {
	s.callStarted = s.now()
	p, err := s.source.Newest(ctx)
	if err != nil {
		return false, err
	}
	// The drains come first: the gateway takes jobs once it has a configuration.
	s.installDrains(p.Drains, fromStore, func(c *zones.Current) bool { return c.Replace(p.Next, p.Drains) })
	asOf := s.callStarted
	for {
		s.install(p.Document, fromStore, asOf)
		answered()
		s.callStarted = s.now()
		if p, err = s.source.Next(ctx, p.Next, s.opts.PollWait); err != nil {
			return followed, err
		}
		followed = true
		asOf = s.callStarted
		if p.empty() && s.now()-s.callStarted >= s.opts.PollWait {
			// The store has waited all that time and had nothing newer at its end.
			asOf += s.opts.PollWait
		}
		s.installDrains(p.Drains, fromStore, func(c *zones.Current) bool { return c.Apply(p.Drains) })
	}
}

// Sources of what is installed, for logs.
const (
	fromStore   = "store"
	fromGateway = "gateway"
	fromAgent   = "agent"
)

func (s *Syncer) storeAnswered() {
	if s.storeFailing {
		s.storeFailing = false
		events.StoreAnswers.Log(s.log).Send()
	}
}

// storeFailed returns whether the failed call is the first one after an answer.
func (s *Syncer) storeFailed(err error, took time.Duration) bool {
	if s.storeFailing {
		return false
	}
	s.storeFailing = true
	events.StoreFailed.Log(s.log).Err(err).Int64("call_ms", took.Milliseconds()).Int64("confirmed_age_ms", s.Age().Milliseconds()).Send()
	return true
}
