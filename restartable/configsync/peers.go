package configsync

import (
	"context"
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/events"
	"github.com/rhubarbsail/rhubarbsail/restartable/zones"
)

// pollPeers queries other gateways and agents from the first failed call to the store
// on, or once the store has not answered for longer than a read may take.
func (s *Syncer) pollPeers(ctx context.Context, answered, failed <-chan struct{}) {
	storeTimeout := s.opts.PollWait + s.opts.PeerPollInterval
	timer := time.NewTimer(s.opts.PeerPollInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-answered:
			s.logConfirmation(Newer{}, 0)
			timer.Reset(storeTimeout)
			continue
		case <-failed:
		case <-timer.C:
		}
		s.queryPeers(ctx)
		timer.Reset(s.opts.PeerPollInterval)
	}
}

// queryPeers asks other gateways and, if they do not confirm the configuration, agents.
func (s *Syncer) queryPeers(ctx context.Context) {
	// Before the other gateways if need be, which may take their time to answer.
	agents := s.requestStoreReads()
	version, revision := s.known()
	newer := s.peers.Newer(ctx, version, revision)
	s.apply(newer, fromGateway)
	if agents == 0 {
		agents = s.requestStoreReads()
	}
	s.logConfirmation(newer, agents)
}

// requestStoreReads asks agents to read the store unless the configuration was confirmed
// within the time of one read: some gateway that was asked then follows the store.
func (s *Syncer) requestStoreReads() int {
	if at, confirmed := s.current.ConfirmedAt(); confirmed && s.now()-at <= s.opts.PollWait {
		return 0
	}
	return s.peers.RequestStoreReads(s.known())
}

// known returns the version of the active configuration, or 0, and the revision of the
// drained zones.
func (s *Syncer) known() (version, revision uint64) {
	if c := s.current.Get(); c != nil {
		version = c.Version
	}
	return version, s.drains.Get().Revision
}

// Offer installs what an agent has read from the store.
func (s *Syncer) Offer(newer Newer) { s.apply(newer, fromAgent) }

func (s *Syncer) apply(newer Newer, from string) {
	if newer.Drains != nil {
		s.installDrains(nil, from, func(c *zones.Current) bool { return c.Install(newer.Drains) })
	}
	s.install(newer.Document, from, newer.AsOf)
}

// logConfirmation logs when the configuration becomes unconfirmed and when it is
// confirmed again. newer is the last answer of other gateways, agents the number of
// agents asked.
func (s *Syncer) logConfirmation(newer Newer, agents int) {
	age := s.Age()
	if unconfirmed := age > s.opts.MaxAge; unconfirmed == s.unconfirmed {
		return
	}
	s.unconfirmed = !s.unconfirmed
	event := events.QueuesConfirmed
	if s.unconfirmed {
		event = events.QueuesUnconfirmed
	}
	version, _ := s.known()
	event.Log(s.log).Uint64("version", version).Int64("confirmed_age_ms", age.Milliseconds()).
		Int("gateways_asked", newer.Asked).Int("gateways_answered", newer.Answered).Int("agents_asked", agents).Send()
}
