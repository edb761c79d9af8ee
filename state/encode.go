package state

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/rhubarbsail/rhubarbsail/common/model"
	"github.com/rhubarbsail/rhubarbsail/inventory"
)

// snapshotFormat is the format version of encoded snapshots. It must change when
// older software could not read a new snapshot.
const snapshotFormat = 1

// snapshotBody is the body of a snapshot record. Maps are encoded as sorted lists
// so that equal states have equal encodings.
type snapshotBody struct {
	Format        int              `json:"format"`
	Applied       uint64           `json:"applied"`
	LogTime       time.Time        `json:"log_time"`
	ConfigVersion uint64           `json:"config_version"`
	Config        json.RawMessage  `json:"config,omitempty"`
	Operator      string           `json:"config_operator,omitempty"`
	ChangedAt     time.Time        `json:"config_changed_at,omitzero"`
	Gateways      []Gateway        `json:"gateways"`
	Agents        []Agent          `json:"agents"`
	Departed      []DepartedAgent  `json:"departed"`
	Owners        []ownedPartition `json:"owners"`
	Drained       []string         `json:"drained"`
	DrainedZones  []string         `json:"drained_zones,omitempty"`
	Recent        []recentRecord   `json:"recent"`
}

type ownedPartition struct {
	Partition model.Partition `json:"partition"`
	Ownership
}

// Encode returns the encoding of the snapshot that is used in snapshot records
// and sent to other gateways.
func (s *Snapshot) Encode() ([]byte, error) {
	b := snapshotBody{
		Format: snapshotFormat, Applied: s.Applied, LogTime: s.LogTime,
		ConfigVersion: s.ConfigVersion, Config: s.encodedConfig, Operator: s.ConfigOperator, ChangedAt: s.ConfigChangedAt,
		Gateways: sortedValues(s.Gateways), Agents: sortedValues(s.Agents),
		Departed: s.Departed, Drained: slices.Sorted(maps.Keys(s.Drained)), Recent: s.recent,
		DrainedZones: slices.Sorted(maps.Keys(s.DrainedZones)),
	}
	for _, p := range slices.Sorted(maps.Keys(s.Owners)) {
		b.Owners = append(b.Owners, ownedPartition{p, s.Owners[p]})
	}
	data, err := json.Marshal(b)
	if err != nil {
		return nil, errors.Wrap(err, "encode snapshot")
	}
	return data, nil
}

// DecodeSnapshot decodes a snapshot that Encode returned.
func DecodeSnapshot(data []byte) (*Snapshot, error) {
	var b snapshotBody
	if err := json.Unmarshal(data, &b); err != nil {
		return nil, errors.Wrap(err, "decode snapshot")
	}
	if b.Format != snapshotFormat {
		return nil, errors.Errorf("snapshot has format %d, want %d", b.Format, snapshotFormat)
	}
	s := &Snapshot{
		Applied: b.Applied, LogTime: b.LogTime, ConfigVersion: b.ConfigVersion, encodedConfig: b.Config,
		ConfigOperator: b.Operator, ConfigChangedAt: b.ChangedAt,
		Gateways: make(map[string]Gateway, len(b.Gateways)), Agents: make(map[string]Agent, len(b.Agents)),
		Departed: b.Departed, recent: b.Recent,
		Owners: make(map[model.Partition]Ownership, len(b.Owners)), Drained: make(map[string]bool, len(b.Drained)),
		DrainedZones: make(map[string]bool, len(b.DrainedZones)),
		Config:       inventory.New(inventory.Inventory{}, inventory.Rules{}),
	}
	for _, g := range b.Gateways {
		s.Gateways[g.ID] = g
	}
	for _, a := range b.Agents {
		s.Agents[a.ID] = a
	}
	for _, o := range b.Owners {
		s.Owners[o.Partition] = o.Ownership
	}
	for _, t := range b.Drained {
		s.Drained[t] = true
	}
	for _, z := range b.DrainedZones {
		s.DrainedZones[z] = true
	}
	if len(b.Config) == 0 {
		return s, nil
	}
	var err error
	if s.Config, err = inventory.Decode(b.Config); err != nil {
		return nil, errors.Wrap(err, "decode snapshot")
	}
	return s, nil
}

// sortedValues returns the values of m in the order of their keys.
func sortedValues[V any](m map[string]V) []V {
	out := make([]V, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[k])
	}
	return out
}
