package ownership

import (
	"slices"
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/model"
)

// Validity tracks which listed agents have confirmed this gateway's probes, and so
// until when it may start tasks as an owner. It is not safe for concurrent use:
// other goroutines use a copy of the result of ValidUntil. A copy from before a
// list change is as safe as a gateway that lags behind the log (see the package
// comment).
type Validity struct {
	lifetime time.Duration
	listed   []AgentRef
	sequence uint64
	probes   map[AgentRef][]probe
	// confirmed holds the time at which each agent's newest confirmed probe was
	// sent.
	confirmed map[AgentRef]time.Duration
	// newestEpoch holds the newest epoch of each partition that any agent reported.
	newestEpoch map[model.Partition]model.Epoch
}

// probe is a probe without a reply.
type probe struct {
	sequence uint64
	sent     time.Duration
}

// maxUnansweredProbes is the maximum number of unanswered probes kept for an
// agent. Replies to older probes are ignored. At an interval of 500 ms, 16 probes
// span 8 s, more than the validity of 2 s.
const maxUnansweredProbes = 16

// Confirmation is the reply of an agent to a probe.
type Confirmation struct {
	// Agent is the incarnation that sent the Welcome of the link.
	Agent    AgentRef
	Sequence uint64
	// Newer holds the epochs that the agent was fenced with and that are newer
	// than the log offset in the probe.
	Newer []PartitionEpoch
	// Stopped is true if the agent is leaving or does not hold its worker's lease.
	// Its reply then does not confirm the probe: the log may already record it as
	// departed, and a new owner counts departed agents towards its majority.
	Stopped bool
}

// NewValidity returns a Validity without agents and confirmations.
func NewValidity(s Settings) *Validity {
	return &Validity{
		lifetime: s.Validity, probes: map[AgentRef][]probe{},
		confirmed: map[AgentRef]time.Duration{}, newestEpoch: map[model.Partition]model.Epoch{},
	}
}

// SetListed replaces the agent list after the gateway has applied log records.
// The gateway must send starts only to agents of the same list.
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

// Probe records a probe that is about to be sent and returns its sequence number.
// Call it before the write. Sequence numbers are unique within an incarnation of
// the gateway, so that a late reply on an old link cannot confirm a probe of a new
// link.
func (v *Validity) Probe(now time.Duration, a AgentRef) uint64 {
	v.sequence++
	open := v.probes[a]
	if len(open) >= maxUnansweredProbes {
		open = slices.Delete(open, 0, 1)
	}
	v.probes[a] = append(open, probe{v.sequence, now})
	return v.sequence
}

// Confirm records the reply to a probe. Replies with an unknown sequence number or
// from an unlisted incarnation do not count, but the epochs that they report do.
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

// Observe records epochs that an agent reported in any frame. An agent is fenced
// only after a claim took effect, so one report proves that the ownership under an
// older epoch has ended.
func (v *Validity) Observe(newer []PartitionEpoch) {
	for _, n := range newer {
		v.newestEpoch[n.Partition] = max(v.newestEpoch[n.Partition], n.Epoch)
	}
}

// Superseded reports whether an agent has reported a newer epoch of the partition.
func (v *Validity) Superseded(p model.Partition, own model.Epoch) bool {
	return v.newestEpoch[p] > own
}

// ReachableUntil returns the time until which the confirmations of a majority of
// the listed agents count, and false if no majority has confirmed.
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

// Reachable reports whether a majority of the listed agents confirmed a probe that
// was sent within the last L, whatever epochs they reported.
func (v *Validity) Reachable(now time.Duration) bool {
	until, ok := v.ReachableUntil()
	return ok && now < until
}

// ValidUntil returns the time until which the owner with this epoch may start
// tasks, and false if it may not start any.
func (v *Validity) ValidUntil(p model.Partition, own model.Epoch) (time.Duration, bool) {
	if v.Superseded(p, own) {
		return 0, false
	}
	return v.ReachableUntil()
}

// Valid reports whether the owner with this epoch may start tasks now. The caller
// must have checked in the log's state that it is the owner.
func (v *Validity) Valid(now time.Duration, p model.Partition, own model.Epoch) bool {
	until, ok := v.ValidUntil(p, own)
	return ok && now < until
}
