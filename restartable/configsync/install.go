package configsync

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbsail/rhubarbsail/common/events"
	"github.com/rhubarbsail/rhubarbsail/restartable/zones"
)

// installDrains changes the drains in force. It logs each malformed record once and a
// change of the drained zones.
func (s *Syncer) installDrains(records []zones.Change, from string, change func(*zones.Current) bool) {
	for _, r := range records {
		if r.Err != nil && s.malformed.First(fmt.Sprintf("zone %s %d", r.Zone, r.Offset)) {
			events.ZoneDrainMalformed.Log(s.log).Str("zone", r.Zone).Uint64("offset", r.Offset).Err(r.Err).Send()
		}
	}
	age := s.Age()
	if change(s.drains) {
		d := s.drains.Get()
		events.ZoneDrainsApplied.Log(s.log).Strs("zones", d.Zones()).Uint64("revision", d.Revision).Str("from", from).
			Int64("known_age_ms", age.Milliseconds()).Send()
	}
}

// install puts a document in force if it is newer than the active configuration. If
// document is nil or has been read, the configuration in force is the newest as of asOf.
// A zero asOf confirms nothing.
func (s *Syncer) install(document []byte, from string, asOf time.Duration) {
	if document == nil {
		s.confirm(asOf)
		return
	}
	c, err := s.source.Parse(document)
	if err != nil {
		s.newestUnreadable.Store(true)
		if s.malformed.First(fmt.Sprintf("document %x", xxhash.Sum64(document))) {
			events.QueuesMalformed.Log(s.log).Err(err).Str("from", from).Send()
		}
		return
	}
	age := s.Age()
	installed := s.current.Install(c)
	if c.Version >= s.current.Get().Version {
		s.newestUnreadable.Store(false)
	}
	s.confirm(asOf)
	if installed {
		events.QueuesApplied.Log(s.log).Uint64("version", c.Version).Str("from", from).Int("queues", len(c.Queues)).
			Int64("known_age_ms", age.Milliseconds()).Int64("confirmed_age_ms", s.Age().Milliseconds()).Send()
		for _, f := range c.Findings[:min(len(c.Findings), maxLoggedFindings)] {
			events.QueueUnreadable.Log(s.log).Uint64("version", c.Version).Str("key", f.Place.Key).Str("error", f.Message).
				Int("findings", len(c.Findings)).Send()
		}
	}
}

// maxLoggedFindings limits the lines on one configuration.
const maxLoggedFindings = 10

// confirm records that the active configuration was the newest one at a time.
func (s *Syncer) confirm(asOf time.Duration) {
	if !s.newestUnreadable.Load() {
		s.current.Confirm(asOf)
	}
}
