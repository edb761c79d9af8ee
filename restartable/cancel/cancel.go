// Package cancel passes the cancellation of jobs on to all gateways of a cell. A caller's
// request may reach another gateway than the one that has its job, for example after a
// gateway was added.
package cancel

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/rhubarbsail/rhubarbsail/common/boottime"
	"github.com/rhubarbsail/rhubarbsail/common/events"
	"github.com/rhubarbsail/rhubarbsail/common/wait"
)

// Conn is a connection to another gateway.
type Conn interface {
	// CancelJobs cancels jobs there. It returns those that were in progress.
	CancelJobs(ctx context.Context, jobs []string) (found []string, err error)
	Close()
}

// Options are the settings of a Canceller.
type Options struct {
	// CallTimeout limits one call to a peer.
	CallTimeout time.Duration
	// AnswerWithin is how long a caller waits for peers that do not answer. It exceeds the
	// time after which the runs of a gateway that has died have ended (1.2 s).
	AnswerWithin time.Duration
	// KeepFor is how long a cancellation is repeated at a peer that does not answer, whose
	// jobs may go on if it is only cut off from this gateway, and how long one that is
	// reached for the first time is told of it. It is longer than callers wait for their
	// jobs.
	KeepFor time.Duration
	// RetryMin and RetryMax bound the delay after a failed call, which doubles with each.
	RetryMin, RetryMax time.Duration
	// MaxBatch is the maximum number of jobs in a call, MaxPending that of cancellations
	// kept in all and for a peer.
	MaxBatch, MaxPending int
}

// DefaultOptions returns options for cells of up to hundreds of gateways.
func DefaultOptions() Options {
	return Options{
		CallTimeout: 300 * time.Millisecond, AnswerWithin: 1500 * time.Millisecond, KeepFor: time.Minute,
		RetryMin: 50 * time.Millisecond, RetryMax: 500 * time.Millisecond, MaxBatch: 1000, MaxPending: 10_000,
	}
}

// Canceller cancels jobs at this gateway and at all others.
type Canceller struct {
	// local cancels a job at this gateway and reports whether it was in progress.
	local func(job string) bool
	// addresses returns the addresses of the other gateways, dial connects to one.
	addresses func() []string
	dial      func(address string) Conn
	now       boottime.Clock
	log       zerolog.Logger
	opts      Options

	mu sync.Mutex // guards the fields below and those of peers and requests
	// peers are the gateways that cancellations are being sent to, by address.
	peers map[string]*peer
	// recent are the cancellations of the last KeepFor, the oldest first.
	recent []*request
	// ctx is that of all calls. calls counts the goroutines that make them.
	ctx   context.Context
	stop  context.CancelFunc
	calls sync.WaitGroup
}

// request is one cancellation.
type request struct {
	job    string
	sentAt time.Duration
	found  bool
	// waitsFor is the number of peers whose answer the caller waits for; answered is closed
	// when it becomes 0.
	waitsFor int
	answered chan struct{}
}

// peer is a gateway with cancellations that it has not answered. One call at a time takes
// all that have come since the last one, which bounds the calls in a wave of cancellations.
type peer struct {
	address string
	pending []pendingRequest
	// failingSince is when the first call since the last answer was sent, 0 if there is an
	// answer since. reported is set once that was logged.
	failingSince time.Duration
	reported     bool
}

// pendingRequest is a request that a peer has not answered.
type pendingRequest struct {
	*request
	// awaited is set if the caller waits for the answer of this peer.
	awaited bool
}

// New returns a canceller. Stop ends it.
func New(local func(job string) bool, addresses func() []string, dial func(address string) Conn, now boottime.Clock, log zerolog.Logger, opts Options) *Canceller {
	ctx, stop := context.WithCancel(context.Background())
	return &Canceller{local: local, addresses: addresses, dial: dial, now: now, log: log, opts: opts, peers: map[string]*peer{}, ctx: ctx, stop: stop}
}

// Stop ends all calls.
func (c *Canceller) Stop() {
	c.mu.Lock()
	c.stop()
	c.mu.Unlock()
	c.calls.Wait()
}

// Cancel cancels a job and reports whether it was in progress at any gateway that has
// answered. It returns once all other gateways have answered, or after AnswerWithin; those
// that have not are told as soon as they answer.
func (c *Canceller) Cancel(ctx context.Context, job string) bool {
	found := c.local(job)
	r := c.send(job)
	timeout := time.NewTimer(c.opts.AnswerWithin)
	defer timeout.Stop()
	select {
	case <-r.answered:
	case <-timeout.C:
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return found || r.found
}

// send adds a cancellation to what each other gateway is to be told.
func (c *Canceller) send(job string) *request {
	addresses := c.addresses()
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &request{job: job, sentAt: c.now(), answered: make(chan struct{})}
	for _, a := range addresses {
		p := c.peer(a)
		silent := p.failingSince != 0 && r.sentAt-p.failingSince >= c.opts.AnswerWithin
		if !silent {
			r.waitsFor++
		}
		p.pending = append(p.pending, pendingRequest{r, !silent})
	}
	if r.waitsFor == 0 {
		close(r.answered)
	}
	c.recent = append(c.recent, r)
	c.dropOld()
	return r
}

// peer returns the peer with an address, adding it if necessary. The caller holds c.mu and
// adds what is pending for it.
func (c *Canceller) peer(address string) *peer {
	p := c.peers[address]
	if p == nil {
		p = &peer{address: address}
		c.peers[address] = p
		if c.ctx.Err() == nil {
			c.calls.Go(func() { c.run(p) })
		}
	}
	return p
}

// dropOld forgets cancellations that are too old or too many. The caller holds c.mu.
func (c *Canceller) dropOld() {
	now := c.now()
	n := max(0, len(c.recent)-c.opts.MaxPending)
	for n < len(c.recent) && now-c.recent[n].sentAt > c.opts.KeepFor {
		n++
	}
	c.recent = c.recent[n:]
}

// Reached sends the cancellations of the last KeepFor to a gateway that has answered for
// the first time, or again: it was not known when they came, or has been replaced since.
func (c *Canceller) Reached(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropOld()
	if len(c.recent) == 0 {
		return
	}
	p := c.peer(address)
	for _, r := range c.recent {
		p.pending = append(p.pending, pendingRequest{r, false})
	}
}

// run sends a peer what is pending until nothing is.
func (c *Canceller) run(p *peer) {
	var conn Conn
	hangUp := func() {
		if conn != nil {
			conn.Close()
			conn = nil
		}
	}
	defer hangUp()
	delay := c.opts.RetryMin
	for {
		batch := c.nextBatch(p)
		if len(batch) == 0 {
			return
		}
		if conn == nil {
			conn = c.dial(p.address)
		}
		sentAt := c.now()
		call, cancel := context.WithTimeout(c.ctx, c.opts.CallTimeout)
		found, err := conn.CancelJobs(call, batch)
		cancel()
		if c.ctx.Err() != nil {
			return
		}
		if err == nil {
			c.answered(p, len(batch), found)
			delay = c.opts.RetryMin
			continue
		}
		// The connection may be dead without a reset.
		hangUp()
		c.failed(p, sentAt, err)
		wait.For(c.ctx, delay)
		delay = min(2*delay, c.opts.RetryMax)
	}
}

// nextBatch returns the jobs of the oldest pending cancellations of a peer. If there are
// none, it forgets the peer.
func (c *Canceller) nextBatch(p *peer) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	for len(p.pending) > 0 && (len(p.pending) > c.opts.MaxPending || now-p.pending[0].sentAt > c.opts.KeepFor) {
		c.take(p, false)
	}
	if len(p.pending) == 0 {
		delete(c.peers, p.address)
	}
	var jobs []string
	for _, r := range p.pending[:min(len(p.pending), c.opts.MaxBatch)] {
		jobs = append(jobs, r.job)
	}
	return jobs
}

// answered applies a peer's answer to its oldest n cancellations.
func (c *Canceller) answered(p *peer, n int, found []string) {
	inProgress := make(map[string]bool, len(found))
	for _, job := range found {
		inProgress[job] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p.failingSince, p.reported = 0, false
	for range n {
		c.take(p, inProgress[p.pending[0].job])
	}
}

// take removes the oldest cancellation of a peer. The caller holds c.mu.
func (c *Canceller) take(p *peer, found bool) {
	r := p.pending[0]
	p.pending = p.pending[1:]
	r.found = r.found || found
	if r.awaited {
		r.waitsFor--
		if r.waitsFor == 0 {
			close(r.answered)
		}
	}
}

// failed records that a call to a peer was not answered.
func (c *Canceller) failed(p *peer, sentAt time.Duration, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p.failingSince == 0 {
		p.failingSince = sentAt
	}
	if !p.reported && c.now()-p.failingSince >= c.opts.AnswerWithin {
		p.reported = true
		events.CancelUnanswered.Log(c.log).Str("gateway", p.address).Int("jobs", len(p.pending)).Str("job", p.pending[0].job).Err(err).Send()
	}
}
