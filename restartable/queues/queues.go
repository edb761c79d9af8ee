// Package queues has the operators' configuration of restartable jobs: which
// requests belong to which queue, and how a queue's jobs are run.
package queues

import (
	"strings"
	"sync/atomic"
	"time"
)

// Queue is one queue of jobs.
type Queue struct {
	Name string
	// Host and PathPrefix select the requests of this queue.
	Host, PathPrefix string
	// Service names the targets that run its tasks.
	Service string
	// Priority orders queues; 0 goes first.
	Priority int
	// MaxAttempts is the number of failed runs after which a task has failed.
	MaxAttempts int
	// Timeout bounds a request from its arrival to its answer.
	Timeout time.Duration
	// StretchFactor and TargetLatency give the objective: StretchFactor times the longest
	// task, and TargetLatency more.
	StretchFactor float64
	TargetLatency time.Duration
	// HasAdvisor queues need a permission for each target.
	HasAdvisor bool
}

// Limits bound requests.
type Limits struct {
	// BodyBytes is the largest body of a submission.
	BodyBytes int64
}

// Config is one version of the configuration. It does not change.
type Config struct {
	Version uint64
	Queues  []Queue
	Limits  Limits
	// Document is the configuration as the platform's store holds it.
	Document []byte

	byHost map[string][]Queue
}

// New returns a configuration that can look queues up.
func New(version uint64, qs []Queue, limits Limits, document []byte) *Config {
	c := &Config{Version: version, Queues: qs, Limits: limits, Document: document, byHost: map[string][]Queue{}}
	for _, q := range qs {
		host := strings.ToLower(q.Host)
		c.byHost[host] = append(c.byHost[host], q)
	}
	return c
}

// Find returns the queue of the host with the longest prefix of the path, and
// the rest of the path.
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

// CurrentConfig holds the configuration in force. Its version never goes back.
type CurrentConfig struct {
	config atomic.Pointer[Config]
}

// Get returns the configuration in force, or nil before the first one.
func (c *CurrentConfig) Get() *Config { return c.config.Load() }

// Install puts a configuration into force if it is newer than the present one.
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
