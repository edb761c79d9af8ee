package state

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/model"
	"github.com/rhubarbsail/rhubarbsail/inventory"
)

const (
	// RecentRecords is the number of records whose ids are remembered. A
	// second record with an id of these has no effect. At one record a second
	// they reach back 34 minutes; a retried append ends within a minute. It is
	// a constant since it must be the same in all gateways.
	RecentRecords = 2048
	// DefaultRetention is the time for which an agent's ledger keeps its
	// entries (docs/design.md, section 10).
	DefaultRetention = 10 * time.Minute
	// MaxPartitions bounds the partitions that claims may name, so that a
	// faulty writer cannot grow the state without bound.
	MaxPartitions = 1 << 16
)

// recentRecord remembers what became of a record.
type recentRecord struct {
	ID      string `json:"id"`
	Offset  uint64 `json:"offset"`
	Reason  Reason `json:"reason,omitempty"`
	Version uint64 `json:"version,omitempty"`
}

// Options configures a Machine. All gateways of a cell need the same options,
// or their states differ.
type Options struct {
	// Retention is the time for which departed agents and gateways that left
	// stay listed, by log time; 0 is DefaultRetention.
	Retention time.Duration
}

// Machine applies records. Its methods are called from one goroutine.
type Machine struct {
	retention time.Duration
	cur       Snapshot
	// published is the snapshot of cur, or nil after a change.
	published *Snapshot
	// The flags are true while a published snapshot shares the map, which is
	// then copied before the next change.
	sharedGateways, sharedAgents, sharedOwners, sharedDrained bool
	// seen indexes cur.recent by id.
	seen map[string]recentRecord
	// gone holds the newest departed incarnation of each agent in
	// cur.Departed.
	gone    map[string]model.Incarnation
	skipped uint64
}

// NewMachine returns a machine in the state before the first record.
func NewMachine(opts Options) *Machine {
	m := &Machine{retention: opts.Retention}
	if m.retention <= 0 {
		m.retention = DefaultRetention
	}
	m.reset(Snapshot{
		Config:   inventory.New(inventory.Inventory{}, inventory.Rules{}),
		Gateways: map[string]Gateway{},
		Agents:   map[string]Agent{},
		Owners:   map[model.Partition]Ownership{},
		Drained:  map[string]bool{},
	})
	return m
}

// reset replaces the state by s and takes over its maps.
func (m *Machine) reset(s Snapshot) {
	m.cur, m.published = s, nil
	m.sharedGateways, m.sharedAgents, m.sharedOwners, m.sharedDrained = false, false, false, false
	m.seen = make(map[string]recentRecord, len(s.recent))
	for _, r := range s.recent {
		m.seen[r.ID] = r
	}
	m.gone = make(map[string]model.Incarnation, len(s.Departed))
	for _, d := range s.Departed {
		m.gone[d.ID] = max(m.gone[d.ID], d.Incarnation)
	}
}

// Snapshot returns the present state. It copies no map: a map is copied when
// the next record changes it.
func (m *Machine) Snapshot() *Snapshot {
	if m.published == nil {
		// Without the clip, an append by a reader would write into the array
		// that later snapshots share.
		m.cur.Departed = slices.Clip(m.cur.Departed)
		s := m.cur
		m.published = &s
		m.sharedGateways, m.sharedAgents, m.sharedOwners, m.sharedDrained = true, true, true, true
	}
	return m.published
}

// Applied returns the offset of the last applied record.
func (m *Machine) Applied() uint64 { return m.cur.Applied }

// Skipped counts the malformed records and those of unknown kinds since the
// machine was made. It is not part of the state, since replicas of different
// versions know different kinds.
func (m *Machine) Skipped() uint64 { return m.skipped }

// RecentResult returns what became of the record with the id, if it is among the
// last RecentRecords.
func (m *Machine) RecentResult(id string) (Result, bool) {
	r, ok := m.seen[id]
	if !ok {
		return Result{}, false
	}
	return Result{ID: r.ID, Offset: r.Offset, Outcome: OutcomeDuplicate, Reason: r.Reason, Version: r.Version}, true
}

// Apply applies the record at the offset, which the log appended at logTime.
// Records are expected in order without gaps. After a gap only a snapshot
// record has an effect: it replaces the state by its own, whose Applied may be
// below the offset of the record; reading goes on at Applied+1.
func (m *Machine) Apply(offset uint64, logTime time.Time, data []byte) Result {
	if offset <= m.cur.Applied {
		return Result{Offset: offset, Outcome: OutcomeOld, Version: m.cur.ConfigVersion}
	}
	var rec Record
	malformed := json.Unmarshal(data, &rec) != nil || rec.ID == ""
	if offset > m.cur.Applied+1 {
		return m.applyAfterGap(offset, rec, malformed)
	}
	m.advance(offset, logTime)
	if malformed {
		m.skipped++
		return Result{Offset: offset, Outcome: OutcomeRejected, Reason: ReasonMalformed, Version: m.cur.ConfigVersion}
	}
	if r, seen := m.RecentResult(rec.ID); seen {
		r.Kind = rec.Kind
		return r
	}
	res := m.record(rec)
	res.ID, res.Kind, res.Offset, res.Version = rec.ID, rec.Kind, offset, m.cur.ConfigVersion
	res.Outcome = OutcomeApplied
	if res.Reason != "" {
		res.Outcome = OutcomeRejected
	}
	if res.Reason == ReasonMalformed || res.Reason == ReasonUnknownKind {
		m.skipped++
	}
	m.remember(res)
	return res
}

func (m *Machine) applyAfterGap(offset uint64, rec Record, malformed bool) Result {
	res := Result{ID: rec.ID, Kind: rec.Kind, Offset: offset, Outcome: OutcomeGap, Version: m.cur.ConfigVersion}
	if malformed || rec.Kind != KindSnapshot {
		return res
	}
	s, err := DecodeSnapshot(rec.Body)
	if err != nil || s.Applied >= offset {
		m.skipped++
		res.Reason = ReasonMalformed
		return res
	}
	if m.Load(s) {
		res.Outcome, res.Version = OutcomeLoaded, m.cur.ConfigVersion
	}
	return res
}

// Load replaces the state by a newer snapshot and reports whether it did. An
// older snapshot has no effect, nor has one with an older configuration, since
// versions never go down.
func (m *Machine) Load(s *Snapshot) bool {
	if s.Applied <= m.cur.Applied || s.ConfigVersion < m.cur.ConfigVersion {
		return false
	}
	m.reset(*s)
	// The snapshot stays usable by its other holders.
	m.sharedGateways, m.sharedAgents, m.sharedOwners, m.sharedDrained = true, true, true, true
	m.cur.Departed, m.cur.recent = slices.Clip(s.Departed), slices.Clip(s.recent)
	return true
}

// advance moves offset and log time and drops what is beyond retention.
func (m *Machine) advance(offset uint64, logTime time.Time) {
	m.published = nil
	m.cur.Applied = offset
	if t := logTime.UTC().Round(0); t.After(m.cur.LogTime) {
		m.cur.LogTime = t
	}
	m.dropDeparted()
	m.dropLeftGateways()
}

// remember adds the record to the recent ones. The slice is shared with
// published snapshots: appending writes only behind their ends.
func (m *Machine) remember(r Result) {
	e := recentRecord{ID: r.ID, Offset: r.Offset, Reason: r.Reason}
	if r.Kind == KindConfigChange {
		e.Version = r.Version
	}
	m.cur.recent = append(m.cur.recent, e)
	m.seen[e.ID] = e
	if len(m.cur.recent) > RecentRecords {
		delete(m.seen, m.cur.recent[0].ID)
		m.cur.recent = m.cur.recent[1:]
	}
}

// record applies a record with a new id. The result has Reason set if the
// record had no effect, and the parts of lists.
func (m *Machine) record(rec Record) Result {
	switch rec.Kind {
	case KindConfigChange:
		return body(rec, m.changeConfig)
	case KindGatewayJoined:
		return body(rec, m.gatewayJoined)
	case KindGatewayLeft:
		return body(rec, m.gatewayLeft)
	case KindAgentJoined:
		return body(rec, m.agentsJoined)
	case KindAgentLeft:
		return body(rec, m.agentsLeft)
	case KindTargetDrain:
		return body(rec, m.drain)
	case KindClaim:
		return body(rec, func(c Claim) Result { return m.claim(rec.Writer, c) })
	case KindSnapshot:
		// Everything before this record is applied, so it brings nothing new.
		return Result{}
	}
	return rejected(ReasonUnknownKind)
}

func body[T any](rec Record, apply func(T) Result) Result {
	var b T
	if err := json.Unmarshal(rec.Body, &b); err != nil {
		return rejected(ReasonMalformed)
	}
	return apply(b)
}

func rejected(r Reason) Result { return Result{Reason: r} }

func (m *Machine) changeConfig(c ConfigChange) Result {
	if c.Base != m.cur.ConfigVersion {
		return rejected(ReasonVersionConflict)
	}
	if len(c.Config) == 0 || c.Config[0] != '{' {
		return rejected(ReasonMalformed)
	}
	cfg, err := inventory.Decode(c.Config)
	if err != nil {
		return rejected(ReasonMalformed)
	}
	m.cur.Config, m.cur.config, m.cur.ConfigVersion = cfg, c.Config, m.cur.Applied
	m.cur.ConfigOperator, m.cur.ConfigChangedAt = c.Operator, m.cur.LogTime
	return Result{}
}

func (m *Machine) drain(d TargetDrain) Result {
	if d.Target == "" {
		return rejected(ReasonMalformed)
	}
	if m.cur.Drained[d.Target] == d.Drain {
		return Result{}
	}
	drained := own(&m.cur.Drained, &m.sharedDrained)
	if d.Drain {
		drained[d.Target] = true
	} else {
		delete(drained, d.Target)
	}
	return Result{}
}

// own returns the map for changes and copies it first if it is shared.
func own[K comparable, V any](p *map[K]V, shared *bool) map[K]V {
	if *shared {
		*p, *shared = maps.Clone(*p), false
	}
	return *p
}
