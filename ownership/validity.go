package ownership

import (
	"slices"
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/model"
)

// Validity tracks which listed agents confirmed this gateway's ownership. It
// belongs to one goroutine. Traffic goroutines use a copy of ValidUntil; a copy
// that is older than a list change is as safe as a gateway that lags behind
// the log (see the package comment).
type Validity struct {
	lifetime time.Duration
	listed   []AgentRef
	sequence uint64
	probes   map[AgentRef][]probe
	// confirmed is the sending time of the newest confirmed probe.
	confirmed map[AgentRef]time.Duration
	// newest is the newest epoch that any agent reported for a partition.
	newest map[model.Partition]model.Epoch
}

// probe is one that has not been confirmed.
type probe struct {
	sequence uint64
	sent     time.Duration
}

// maxOpenProbes bounds the memory for an agent that does not answer. A reply to
// a forgotten probe is ignored; at an interval of 500 ms, 16 probes are more
// than the validity of 2 s.
const maxOpenProbes = 16

// Confirmation is the reply of an agent to a probe.
type Confirmation struct {
	// Agent is the incarnation that sent the Welcome of the link.
	Agent    AgentRef
	Sequence uint64
	// Newer are the fences above the offset that the probe named.
	Newer []PartitionEpoch
	// Stopped is set when the agent is leaving or has no lease of its worker.
	// Such an agent may be recorded as departed while it still answers, and a
	// new owner counts departed agents as ended, so it cannot confirm.
	Stopped bool
}

// NewValidity returns a tracker without confirmations.
func NewValidity(s Settings) *Validity {
	return &Validity{
		lifetime: s.Validity, probes: map[AgentRef][]probe{},
		confirmed: map[AgentRef]time.Duration{}, newest: map[model.Partition]model.Epoch{},
	}
}

// SetListed replaces the agent list after the gateway applied log records. The
// same list must bound the agents that receive starts.
func (v *Validity) SetListed(agents []AgentRef) {
	v.listed = slices.Clone(agents)
	keep := make(map[AgentRef]bool, len(agents))
	for _, a := range agents {
		keep[a] = true
	}
	for a := range v.probes {
		if !keep[a] {
			delete(v.probes, a)
		}
	}
	for a := range v.confirmed {
		if !keep[a] {
			delete(v.confirmed, a)
		}
	}
}

// Probe records a probe that is about to be sent and returns its sequence.
// Call it before the write. Sequences never repeat in the life of the gateway:
// a late reply on an old link must not confirm a probe of a new link.
func (v *Validity) Probe(now time.Duration, a AgentRef) uint64 {
	v.sequence++
	open := v.probes[a]
	if len(open) >= maxOpenProbes {
		open = slices.Delete(open, 0, 1)
	}
	v.probes[a] = append(open, probe{v.sequence, now})
	return v.sequence
}

// Confirm takes a reply. Unknown sequences and unlisted incarnations are
// ignored, except for the newer epochs that they report.
func (v *Validity) Confirm(c Confirmation) {
	v.Observe(c.Newer)
	i := slices.IndexFunc(v.probes[c.Agent], func(p probe) bool { return p.sequence == c.Sequence })
	if i < 0 {
		return
	}
	sent := v.probes[c.Agent][i].sent
	v.probes[c.Agent] = slices.Delete(v.probes[c.Agent], 0, i+1)
	if at, ok := v.confirmed[c.Agent]; !c.Stopped && (!ok || sent > at) {
		v.confirmed[c.Agent] = sent
	}
}

// Observe notes epochs that an agent reported in any frame. A fence follows
// a claim that took effect, so one report is enough to end the ownership of an
// older epoch.
func (v *Validity) Observe(newer []PartitionEpoch) {
	for _, n := range newer {
		v.newest[n.Partition] = max(v.newest[n.Partition], n.Epoch)
	}
}

// Superseded reports whether an agent knows a newer epoch of the partition.
func (v *Validity) Superseded(p model.Partition, own model.Epoch) bool {
	return v.newest[p] > own
}

// ReachableUntil returns the time before which a majority of the listed agents
// counts as confirmed, and false if there is none.
func (v *Validity) ReachableUntil() (time.Duration, bool) {
	need := len(v.listed)/2 + 1
	sent := make([]time.Duration, 0, len(v.listed))
	for _, a := range v.listed {
		if at, ok := v.confirmed[a]; ok {
			sent = append(sent, at)
		}
	}
	if len(v.listed) == 0 || len(sent) < need {
		return 0, false
	}
	slices.Sort(sent)
	return sent[len(sent)-need] + v.lifetime, true
}

// Reachable reports whether a majority of the listed agents confirmed a probe
// that was sent within L, whatever they reported.
func (v *Validity) Reachable(now time.Duration) bool {
	until, ok := v.ReachableUntil()
	return ok && now < until
}

// ValidUntil returns the time before which the owner with this epoch may start
// work, and false if it may not at all.
func (v *Validity) ValidUntil(p model.Partition, own model.Epoch) (time.Duration, bool) {
	if v.Superseded(p, own) {
		return 0, false
	}
	return v.ReachableUntil()
}

// Valid reports whether the owner with this epoch may start work now. The
// caller has checked in the log state that it is the owner.
func (v *Validity) Valid(now time.Duration, p model.Partition, own model.Epoch) bool {
	until, ok := v.ValidUntil(p, own)
	return ok && now < until
}
