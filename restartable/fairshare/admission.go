package fairshare

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Usage is what a gateway knows of the use of one service: the sums over the agents that
// it has reports of.
type Usage struct {
	// Capacity is that of all targets in thousandths of a core. A target whose agent
	// reports no queues is part of it and counts as unused.
	Capacity float64
	// Queues is the use by queue, by all gateways together.
	Queues map[string]float64
	// Agents is the number of agents of the service, Reported that of those that have
	// reported the use of their queues.
	Agents, Reported int
}

// complete reports whether enough agents have reported for a job to be rejected.
func (u Usage) complete() bool { return 2*u.Reported >= u.Agents && u.Reported > 0 }

// key identifies a queue among those that a service runs.
type key struct{ service, queue string }

// record is what is known of one queue.
type record struct {
	window window
	// limited is set from the first rejection to demandWindow after the last one, at
	// rejectedAt.
	limited    bool
	rejectedAt time.Duration
}

// Change says that the limit of a queue starts or ends.
type Change struct {
	Service string
	Limited bool
	Share
}

// Admission decides which jobs are rejected at one gateway because their queue uses more
// than its share. It is not safe for concurrent use.
type Admission struct {
	settings Settings
	queues   map[key]*record
}

// NewAdmission returns an admission that is switched off.
func NewAdmission() *Admission { return &Admission{queues: map[key]*record{}} }

// Enabled reports whether fair shares are switched on.
func (a *Admission) Enabled() bool { return a.settings.Enabled }

// Set applies settings. Limits that are in force end with Expire if fair shares are
// switched off.
func (a *Admission) Set(s Settings) { a.settings = s }

// Observe records a job that has arrived. met is set if it was accepted and does not
// have to wait for lack of capacity.
func (a *Admission) Observe(now time.Duration, service, queue string, j Job, met bool) {
	a.record(key{service, queue}).window.add(now, j, met)
}

func (a *Admission) record(k key) *record {
	r := a.queues[k]
	if r == nil {
		r = &record{}
		a.queues[k] = r
	}
	return r
}

// Shares returns the shares of the queues that use a service or have had jobs for it
// within the demandWindow, sorted by name.
func (a *Admission) Shares(now time.Duration, service string, u Usage) []Share {
	names := map[string]bool{}
	for name, use := range u.Queues {
		names[name] = names[name] || use > 0
	}
	for k, r := range a.queues {
		if k.service == service && r.window.sum(now).work > 0 {
			names[k.queue] = true
		}
	}
	var all []Share
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if names[name] {
			use := u.Queues[name]
			demand := a.demand(now, key{service, name}, use, u.Capacity)
			all = append(all, Share{Queue: name, Weight: a.settings.weight(name), Use: use, Demand: demand})
		}
	}
	divide(u.Capacity, all)
	return all
}

// demand estimates what a queue would use if none of its jobs were rejected or had to
// wait. The gateways get like parts of a queue's jobs, so that the unmet part of the work
// at this gateway is taken for that at all of them.
func (a *Admission) demand(now time.Duration, k key, use, capacity float64) float64 {
	r := a.queues[k]
	if r == nil {
		return use
	}
	seen := r.window.sum(now)
	switch met := seen.work - seen.unmet; {
	case seen.unmet == 0:
		return use
	case use == 0 || met <= 0:
		return max(use, capacity)
	default:
		return max(use, min(use*seen.work/met, capacity))
	}
}

// Reject reports whether a job of a queue, for which there is no spare capacity, is to be
// rejected: if the queue uses more than its share while another one is entitled to more
// than it uses. It returns the queue's share, and the change if the limit starts.
func (a *Admission) Reject(now time.Duration, service, queue string, u Usage) (Share, bool, *Change) {
	if !a.settings.Enabled || !u.complete() {
		return Share{}, false, nil
	}
	shares := a.Shares(now, service, u)
	i := slices.IndexFunc(shares, func(s Share) bool { return s.Queue == queue })
	if i < 0 || !shares[i].Above() || !slices.ContainsFunc(shares, Share.below) {
		return Share{}, false, nil
	}
	r := a.record(key{service, queue})
	r.rejectedAt = now
	if r.limited {
		return shares[i], true, nil
	}
	r.limited = true
	return shares[i], true, &Change{Service: service, Limited: true, Share: shares[i]}
}

// Expire returns the limits that have ended and forgets queues without jobs. usage
// returns the use of a service.
func (a *Admission) Expire(now time.Duration, usage func(service string) Usage) []Change {
	var ended []Change
	for _, k := range a.sortedKeys() {
		r := a.queues[k]
		if r.limited && now-r.rejectedAt > demandWindow {
			r.limited = false
			ended = append(ended, Change{Service: k.service, Share: a.shareOf(now, k, usage(k.service))})
		}
		if !r.limited && r.window.sum(now).work == 0 {
			delete(a.queues, k)
		}
	}
	return ended
}

// shareOf returns the share of one queue; its amounts are 0 if it uses and wants nothing.
func (a *Admission) shareOf(now time.Duration, k key, u Usage) Share {
	for _, s := range a.Shares(now, k.service, u) {
		if s.Queue == k.queue {
			return s
		}
	}
	return Share{Queue: k.queue, Weight: a.settings.weight(k.queue)}
}

func (a *Admission) sortedKeys() []key {
	return slices.SortedFunc(maps.Keys(a.queues), func(x, y key) int {
		return cmp.Or(cmp.Compare(x.service, y.service), cmp.Compare(x.queue, y.queue))
	})
}

// minRetryAfter is the shortest time that the caller of a rejected job is told to wait.
const minRetryAfter = time.Second

// RetryAfter returns when the caller of a rejected job is to return, in whole seconds as
// its header has them: between the time after which the use of the queue has fallen to
// its share and twice that time. The queue completes its use once in the mean run time of
// its tasks. random is in [0, 1).
func (a *Admission) RetryAfter(now time.Duration, service string, s Share, random float64) time.Duration {
	falls := minRetryAfter
	if r := a.queues[key{service, s.Queue}]; r != nil && s.Use > 0 {
		if seen := r.window.sum(now); seen.needs > 0 {
			meanRun := seen.work / seen.needs
			falls = max(falls, time.Duration(meanRun*(s.Use-s.Share)/s.Use*float64(time.Second)))
		}
	}
	first := math.Ceil(falls.Seconds())
	last := max(first, math.Floor(2*falls.Seconds()))
	return time.Duration(first+math.Floor(random*(last-first+1))) * time.Second
}
