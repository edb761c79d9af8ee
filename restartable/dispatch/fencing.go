package dispatch

import "time"

// tokenMargin is added to the highest fencing token that an agent's process has reported,
// in milliseconds like the tokens. It covers those that the process has used since.
const tokenMargin = 20_000

// fencingRecord is what a gateway remembers of the fencing tokens of an agent's processes.
// Each process derives its first token from the wall clock, which may have been set back.
type fencingRecord struct {
	// process identifies the newest process. reported is its highest token, floor exceeds
	// those of all earlier processes.
	process         uint64
	reported, floor int64
	reportedAt      time.Duration
}

// fencingRecords holds the records by the agent's name.
type fencingRecords map[string]*fencingRecord

// reported applies the token that a process of an agent has reported.
func (f fencingRecords) reported(now time.Duration, agent string, process uint64, token int64) {
	r := f[agent]
	if r == nil {
		r = &fencingRecord{process: process}
		f[agent] = r
	}
	if r.process != process {
		r.process, r.floor, r.reported = process, max(r.floor, r.reported+tokenMargin), 0
	}
	r.reported, r.reportedAt = max(r.reported, token), now
}

// floor returns the minimum token that fences all earlier processes of an agent, or 0.
func (f fencingRecords) floor(agent string) int64 {
	if r := f[agent]; r != nil {
		return r.floor
	}
	return 0
}

// prune removes the records of agents whose calls can no longer be carried out.
func (f fencingRecords) prune(now time.Duration) {
	for agent, r := range f {
		if now-r.reportedAt > doubtRetention {
			delete(f, agent)
		}
	}
}

// MinFencingToken returns the minimum token that an agent's calls to its target have to
// carry, or 0 if the agent uses such a token already.
func (c *Core) MinFencingToken(agent string) int64 {
	if r := c.fencing[agent]; r != nil && r.reported < r.floor {
		return r.floor
	}
	return 0
}
