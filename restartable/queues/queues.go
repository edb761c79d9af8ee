// Package queues holds the operator's configuration of restartable jobs: which
// requests belong to which queue, and how the jobs of a queue are run.
package queues

import (
	"strings"
	"sync/atomic"
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/findings"
)

// Queue is the configuration of one queue of jobs.
type Queue struct {
	Name string
	// Host and PathPrefix select the requests that belong to this queue.
	Host, PathPrefix string
	// Service is the service whose targets run the queue's tasks.
	Service string
	// Priority orders tasks that are due at the same time; 0 goes first.
	Priority int
	// MaxAttempts is the number of failed runs after which a task, and with it its
	// job, has failed.
	MaxAttempts int
	// Timeout is the longest time from a job's arrival to the start of its first task, and
	// to its answer if the caller does not say how long it waits.
	Timeout time.Duration
	// StretchFactor and TargetLatency set the latency objective of a job:
	// StretchFactor times the expected run time of its critical path, plus
	// TargetLatency.
	StretchFactor float64
	TargetLatency time.Duration
	// HasAdvisor is set if an advisor must permit each target that runs the queue's
	// tasks.
	HasAdvisor bool
	// Malformed is set if a field other than Host and PathPrefix cannot be decoded. Jobs
	// of the queue can then be neither run nor refused as unknown.
	Malformed bool
}

// Limits are the limits on requests.
type Limits struct {
	// BodyBytes is the largest accepted body of a submission.
	BodyBytes int64
}

// Config is one version of the configuration. It is immutable.
type Config struct {
	Version uint64
	Queues  []Queue
	Limits  Limits
	// Document is the encoded configuration as the platform's store holds it.
	Document []byte
	// Incomplete is set if the document has queues of which not even Host and
	// PathPrefix can be decoded.
	Incomplete bool
	// Findings are the parts of the document that cannot be decoded.
	Findings findings.List

	byHost map[string][]Queue
}

// New returns a configuration with an index of its queues by host.
func New(version uint64, qs []Queue, limits Limits, document []byte) *Config {
	c := &Config{Version: version, Queues: qs, Limits: limits, Document: document, byHost: map[string][]Queue{}}
	for _, q := range qs {
		host := strings.ToLower(q.Host)
		c.byHost[host] = append(c.byHost[host], q)
	}
	return c
}

// Find returns the queue of the host whose path prefix is the longest match, and
// the part of the path after the prefix. A port in host is ignored.
func (c *Config) Find(host, path string) (q Queue, rest string, ok bool) {
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	for _, candidate := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, candidate.PathPrefix) && (!ok || len(candidate.PathPrefix) > len(q.PathPrefix)) {
			q, rest, ok = candidate, path[len(candidate.PathPrefix):], true
		}
	}
	return q, rest, ok
}

// CurrentConfig holds the active configuration. Its version never decreases. It is
// safe for concurrent use.
type CurrentConfig struct {
	config atomic.Pointer[Config]
	// confirmedAt is as of when no newer version existed, in nanoseconds of the
	// process's clock; 0 before the first confirmation.
	confirmedAt atomic.Int64
}

// Confirm records that no newer version than the active one existed at a time. An
// earlier time than the last one has no effect.
func (c *CurrentConfig) Confirm(at time.Duration) {
	for {
		old := c.confirmedAt.Load()
		if int64(at) <= old || c.confirmedAt.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// ConfirmedAt returns as of when the active configuration is known to be the newest
// one. It returns false before the first confirmation.
func (c *CurrentConfig) ConfirmedAt() (time.Duration, bool) {
	at := time.Duration(c.confirmedAt.Load())
	return at, at > 0
}

// Get returns the active configuration, or nil if none has been installed yet.
func (c *CurrentConfig) Get() *Config { return c.config.Load() }

// Install makes next the active configuration if it is newer than the present one,
// and reports whether it did.
func (c *CurrentConfig) Install(next *Config) bool {
	for {
		old := c.config.Load()
		if old != nil && old.Version >= next.Version {
			return false
		}
		if c.config.CompareAndSwap(old, next) {
			return true
		}
	}
}
