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
	// MaxRecentRecords is the number of record IDs kept for deduplication: a
	// record whose ID is among them has no effect. At one record per second
	// they cover 34 minutes, while retries of an append end within one minute.
	// It is a constant because all gateways must use the same value.
	MaxRecentRecords = 2048
	// DefaultRetention matches the time for which an agent's ledger keeps its
	// entries (docs/design.md, section 10).
	DefaultRetention = 10 * time.Minute
	// MaxPartitions bounds the partition numbers accepted in claims, so that a
	// faulty writer cannot grow the state without limit.
	MaxPartitions = 1 << 16
)

// recentRecord is the stored result of a record, used to detect duplicates.
type recentRecord struct {
	ID      string `json:"id"`
	Offset  uint64 `json:"offset"`
	Reason  Reason `json:"reason,omitempty"`
	Version uint64 `json:"version,omitempty"`
}

// Options configures a Machine. All gateways of a cell must use the same
// options; otherwise their states diverge.
type Options struct {
	// Retention is the log time for which agents and gateways stay in the state
	// after they left; 0 means DefaultRetention.
	Retention time.Duration
}

// Machine is the replicated state machine: it applies the records of the
// control stream in order. It is not safe for concurrent use.
type Machine struct {
	retention time.Duration
	cur       Snapshot
	// published is the snapshot returned for cur, or nil if cur has changed
	// since.
	published *Snapshot
	// The shared flags mark the maps of cur that a snapshot also refers to.
	// Such a map is copied before it is modified (copy-on-write).
	sharedGateways, sharedAgents, sharedOwners, sharedDrained, sharedDrainedZones bool
	// recentByID indexes cur.recent by ID.
	recentByID map[string]recentRecord
	// departedIncarnations holds the newest incarnation of each agent in
	// cur.Departed.
	departedIncarnations map[string]model.Incarnation
	skipped              uint64
}

// NewMachine returns a Machine with an empty state, before the first record.
func NewMachine(opts Options) *Machine {
	m := &Machine{retention: opts.Retention}
	if m.retention <= 0 {
		m.retention = DefaultRetention
	}
	m.reset(Snapshot{
		Config:       inventory.New(inventory.Inventory{}, inventory.Rules{}),
		Gateways:     map[string]Gateway{},
		Agents:       map[string]Agent{},
		Owners:       map[model.Partition]Ownership{},
		Drained:      map[string]bool{},
		DrainedZones: map[string]bool{},
	})
	return m
}

// reset replaces the state with s, takes ownership of its maps and rebuilds the
// indexes.
func (m *Machine) reset(s Snapshot) {
	m.cur, m.published = s, nil
	m.setShared(false)
	m.recentByID = make(map[string]recentRecord, len(s.recent))
	for _, r := range s.recent {
		m.recentByID[r.ID] = r
	}
	m.departedIncarnations = make(map[string]model.Incarnation, len(s.Departed))
	for _, d := range s.Departed {
		m.departedIncarnations[d.ID] = max(m.departedIncarnations[d.ID], d.Incarnation)
	}
}

// setShared marks whether a snapshot refers to the maps of cur.
func (m *Machine) setShared(shared bool) {
	m.sharedGateways, m.sharedAgents, m.sharedOwners = shared, shared, shared
	m.sharedDrained, m.sharedDrainedZones = shared, shared
}

// Snapshot returns the current state. It does not copy the maps; each one is
// copied when a later record modifies it.
func (m *Machine) Snapshot() *Snapshot {
	if m.published == nil {
		// Clipping forces an append by a reader to allocate. Otherwise it would
		// overwrite the backing array shared with later snapshots.
		m.cur.Departed = slices.Clip(m.cur.Departed)
		s := m.cur
		m.published = &s
		m.setShared(true)
	}
	return m.published
}

// Applied returns the offset of the last applied record.
func (m *Machine) Applied() uint64 { return m.cur.Applied }

// Skipped returns the number of records that were malformed or of unknown kind
// since the machine was created. It is not part of the replicated state because
// replicas running different versions know different kinds.
func (m *Machine) Skipped() uint64 { return m.skipped }

// RecentResult returns the result of the record with the given ID if it is among the
// last MaxRecentRecords records.
func (m *Machine) RecentResult(id string) (Result, bool) {
	r, ok := m.recentByID[id]
	if !ok {
		return Result{}, false
	}
	return Result{ID: r.ID, Offset: r.Offset, Outcome: OutcomeDuplicate, Reason: r.Reason, Version: r.Version}, true
}

// Apply applies the record at the given offset, which the log appended at
// logTime. Records must arrive in order. After a gap only a snapshot record has
// an effect: its content replaces the state. The snapshot's Applied is below the
// offset of the snapshot record, so the caller must continue reading at
// Applied+1.
func (m *Machine) Apply(offset uint64, logTime time.Time, data []byte) Result {
	if offset <= m.cur.Applied {
		return Result{Offset: offset, Outcome: OutcomeAlreadyApplied, Version: m.cur.ConfigVersion}
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
	res := m.applyRecord(rec)
	res.ID, res.Kind, res.Offset, res.Version = rec.ID, rec.Kind, offset, m.cur.ConfigVersion
	res.Outcome = OutcomeApplied
	if res.Reason != "" {
		res.Outcome = OutcomeRejected
	}
	if res.Reason == ReasonMalformed || res.Reason == ReasonUnknownKind {
		m.skipped++
	}
	m.addRecent(res)
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

// Load replaces the state with a newer snapshot and reports whether it did. It
// ignores a snapshot that is not newer, or that has an older configuration,
// because configuration versions must never decrease.
func (m *Machine) Load(s *Snapshot) bool {
	if s.Applied <= m.cur.Applied || s.ConfigVersion < m.cur.ConfigVersion {
		return false
	}
	m.reset(*s)
	// The caller may still use s, so its maps and slices must not be modified.
	m.setShared(true)
	m.cur.Departed, m.cur.recent = slices.Clip(s.Departed), slices.Clip(s.recent)
	return true
}

// advance updates the applied offset and the log time, which never decreases,
// and removes members that left longer ago than the retention time.
func (m *Machine) advance(offset uint64, logTime time.Time) {
	m.published = nil
	m.cur.Applied = offset
	if t := logTime.UTC().Round(0); t.After(m.cur.LogTime) {
		m.cur.LogTime = t
	}
	m.dropDeparted()
	m.dropLeftGateways()
}

// addRecent adds a result to the recent records and evicts the oldest one beyond
// MaxRecentRecords. The slice shares its backing array with published snapshots;
// this is safe because append writes only beyond their length.
func (m *Machine) addRecent(r Result) {
	e := recentRecord{ID: r.ID, Offset: r.Offset, Reason: r.Reason}
	if r.Kind == KindConfigChange {
		e.Version = r.Version
	}
	m.cur.recent = append(m.cur.recent, e)
	m.recentByID[e.ID] = e
	if len(m.cur.recent) > MaxRecentRecords {
		delete(m.recentByID, m.cur.recent[0].ID)
		m.cur.recent = m.cur.recent[1:]
	}
}

// applyRecord applies a record whose ID is new. It sets Reason if the record had
// no effect, and Won, Lost and Ignored for records that list several items.
func (m *Machine) applyRecord(rec Record) Result {
	switch rec.Kind {
	case KindConfigChange:
		return decodeAndApply(rec, m.changeConfig)
	case KindGatewayJoined:
		return decodeAndApply(rec, m.gatewayJoined)
	case KindGatewayLeft:
		return decodeAndApply(rec, m.gatewayLeft)
	case KindAgentJoined:
		return decodeAndApply(rec, m.agentsJoined)
	case KindAgentLeft:
		return decodeAndApply(rec, m.agentsLeft)
	case KindTargetDrain:
		return decodeAndApply(rec, func(d TargetDrain) Result { return setMember(d.Target, d.Drain, &m.cur.Drained, &m.sharedDrained) })
	case KindZoneDrain:
		return decodeAndApply(rec, func(d ZoneDrain) Result {
			return setMember(d.Zone, d.Drain, &m.cur.DrainedZones, &m.sharedDrainedZones)
		})
	case KindClaim:
		return decodeAndApply(rec, func(c Claim) Result { return m.applyClaim(rec.Writer, c) })
	case KindSnapshot:
		// All earlier records are already applied, so the snapshot adds nothing.
		return Result{}
	}
	return rejected(ReasonUnknownKind)
}

// decodeAndApply decodes the body of a record and passes it to apply.
func decodeAndApply[T any](rec Record, apply func(T) Result) Result {
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
	m.cur.Config, m.cur.encodedConfig, m.cur.ConfigVersion = cfg, c.Config, m.cur.Applied
	m.cur.ConfigOperator, m.cur.ConfigChangedAt = c.Operator, m.cur.LogTime
	return Result{}
}

// setMember adds a name to a set or removes it. An empty name is malformed.
func setMember(name string, member bool, set *map[string]bool, shared *bool) Result {
	if name == "" {
		return rejected(ReasonMalformed)
	}
	if (*set)[name] == member {
		return Result{}
	}
	names := cloneIfShared(set, shared)
	if member {
		names[name] = true
	} else {
		delete(names, name)
	}
	return Result{}
}

// cloneIfShared returns a map that may be modified, copying it first if it is shared.
func cloneIfShared[K comparable, V any](p *map[K]V, shared *bool) map[K]V {
	if *shared {
		*p, *shared = maps.Clone(*p), false
	}
	return *p
}
