// Package memlog is an in-memory log and lease service with fault injection. It
// is used by the stand-in server of package logserver and by tests, never by the
// gateway or agent.
package memlog

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/rhubarbsail/rhubarbsail/logservice"
)

// defaultLimit is the number of records that a read without a limit returns.
const defaultLimit = 1000

// Options configures a Store. Zero values mean no limit.
type Options struct {
	// Now is the clock; default time.Now.
	Now func() time.Time
	// RetainCount is the maximum number of records that a stream retains.
	RetainCount int
	// RetainFor is the time for which a stream retains a record.
	RetainFor time.Duration
	// AppendsPerSecond limits the rate of appends to all streams together.
	AppendsPerSecond float64
}

// Faults are the faults that a Store injects.
type Faults struct {
	// Outage makes every request fail with ErrUnavailable.
	Outage bool
	// Slow delays the reply to each request. An append or renewal takes effect
	// before the delay.
	Slow time.Duration
	// LoseReplies is the number of appends and renewals, from the next one on,
	// that take effect but whose reply is lost. It is decremented by each.
	LoseReplies int
	// LoseRequests is the number of appends and renewals, from the next one on,
	// that have no effect; like with a lost reply, the caller gets
	// ErrUnknownOutcome. It is decremented by each.
	LoseRequests int
	// HoldAppends is the number of appends, from the next one on, whose reply is
	// lost and that take effect at the next call of Release. It is decremented by
	// each.
	HoldAppends int
}

// Store implements logservice.Log and logservice.Lease in memory.
type Store struct {
	opts    Options
	limiter *rate.Limiter

	mu          sync.Mutex // guards the fields below
	streams     map[string]*stream
	leases      map[string]lease
	faults      Faults
	heldAppends []func()
	// changed is closed and replaced when waiting readers have to retry.
	changed chan struct{}
}

type stream struct {
	first   uint64
	entries []logservice.Entry
}

type lease struct {
	holder string
	until  time.Time
}

var (
	_ logservice.Log   = (*Store)(nil)
	_ logservice.Lease = (*Store)(nil)
)

// New returns an empty store.
func New(opts Options) *Store {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	s := &Store{opts: opts, streams: map[string]*stream{}, leases: map[string]lease{}, changed: make(chan struct{})}
	if opts.AppendsPerSecond > 0 {
		s.limiter = rate.NewLimiter(rate.Limit(opts.AppendsPerSecond), max(int(opts.AppendsPerSecond), 1))
	}
	return s
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyReaders()
}

// Faults returns the faults that are still to be injected.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Release applies the appends held by Faults.HoldAppends, in order.
func (s *Store) Release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, add := range s.heldAppends {
		add()
	}
	s.heldAppends = nil
}

// Trim drops the records of a stream before the offset first.
func (s *Store) Trim(name string, first uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stream(name).dropBefore(first)
	s.notifyReaders()
}

// Append implements logservice.Log.
func (s *Store) Append(ctx context.Context, name string, data []byte) (uint64, error) {
	offset, effect, err := s.append(ctx, name, data)
	if err != nil {
		return 0, err
	}
	if err := effect.wait(ctx); err != nil {
		return 0, err
	}
	return offset, nil
}

func (s *Store) append(ctx context.Context, name string, data []byte) (uint64, faultEffect, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkAvailable(ctx); err != nil {
		return 0, faultEffect{}, err
	}
	if s.limiter != nil && !s.limiter.AllowN(s.opts.Now(), 1) {
		return 0, faultEffect{}, fmt.Errorf("%w: append rate exceeded", logservice.ErrUnavailable)
	}
	if s.faults.HoldAppends > 0 {
		s.faults.HoldAppends--
		s.heldAppends = append(s.heldAppends, func() { s.add(name, data) })
		return 0, faultEffect{replyLost: true}, nil
	}
	f := s.nextEffect()
	if f.noEffect {
		return 0, f, nil
	}
	return s.add(name, data), f, nil
}

// add appends a record; the caller holds the lock.
func (s *Store) add(name string, data []byte) uint64 {
	st := s.stream(name)
	offset := st.next()
	st.entries = append(st.entries, logservice.Entry{Offset: offset, Appended: s.opts.Now(), Data: append([]byte(nil), data...)})
	s.applyRetention(st)
	s.notifyReaders()
	return offset
}

// Read implements logservice.Log.
func (s *Store) Read(ctx context.Context, name string, from uint64, limit int, wait time.Duration) (logservice.Page, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		page, changed, delay, err := s.read(ctx, name, from, limit)
		if err != nil || len(page.Entries) > 0 || wait <= 0 {
			_ = faultEffect{delay: delay}.wait(ctx)
			return page, err
		}
		select {
		case <-changed:
		case <-timeout.C:
			return page, nil
		case <-ctx.Done():
			return logservice.Page{}, fmt.Errorf("%w: %w", logservice.ErrUnavailable, ctx.Err())
		}
	}
}

func (s *Store) read(ctx context.Context, name string, from uint64, limit int) (logservice.Page, <-chan struct{}, time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkAvailable(ctx); err != nil {
		return logservice.Page{}, nil, 0, err
	}
	st := s.stream(name)
	s.applyRetention(st)
	page := logservice.Page{First: st.first, Next: st.next()}
	if from < st.first {
		return page, nil, s.faults.Slow, fmt.Errorf("%w: offset %d, first is %d", logservice.ErrTrimmed, from, st.first)
	}
	if limit <= 0 {
		limit = defaultLimit
	}
	if from < page.Next {
		rest := st.entries[from-st.first:]
		page.Entries = append(page.Entries, rest[:min(limit, len(rest))]...)
	}
	return page, s.changed, s.faults.Slow, nil
}

// Renew implements logservice.Lease.
func (s *Store) Renew(ctx context.Context, worker, holder string, ttl time.Duration) (time.Duration, error) {
	f, err := s.renew(ctx, worker, holder, ttl)
	if err != nil {
		return 0, err
	}
	if err := f.wait(ctx); err != nil {
		return 0, err
	}
	return ttl, nil
}

func (s *Store) renew(ctx context.Context, worker, holder string, ttl time.Duration) (faultEffect, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkAvailable(ctx); err != nil {
		return faultEffect{}, err
	}
	if ttl <= 0 || holder == "" {
		return faultEffect{}, fmt.Errorf("%w: a lease needs a holder and a time to live", logservice.ErrInvalid)
	}
	now := s.opts.Now()
	if l, ok := s.leases[worker]; ok && l.holder != holder && now.Before(l.until) {
		return faultEffect{}, fmt.Errorf("%w: %s", logservice.ErrLeaseHeld, l.holder)
	}
	f := s.nextEffect()
	if !f.noEffect {
		s.leases[worker] = lease{holder: holder, until: now.Add(ttl)}
	}
	return f, nil
}

// checkAvailable returns an error during an outage or if ctx is done; the caller
// holds the lock.
func (s *Store) checkAvailable(ctx context.Context) error {
	if s.faults.Outage {
		return fmt.Errorf("%w: outage", logservice.ErrUnavailable)
	}
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", logservice.ErrUnavailable, err)
	}
	return nil
}

// faultEffect is the effect of the injected faults on one append or renewal.
type faultEffect struct {
	replyLost, noEffect bool
	delay               time.Duration
}

// nextEffect returns the effect of the faults on the next append or renewal and
// decrements the counter of the fault; the caller holds the lock.
func (s *Store) nextEffect() faultEffect {
	f := faultEffect{delay: s.faults.Slow}
	switch {
	case s.faults.LoseRequests > 0:
		s.faults.LoseRequests--
		f.replyLost, f.noEffect = true, true
	case s.faults.LoseReplies > 0:
		s.faults.LoseReplies--
		f.replyLost = true
	}
	return f
}

// wait delays the reply. It returns an error if the reply is lost or ctx is done
// before the delay ends.
func (f faultEffect) wait(ctx context.Context) error {
	if f.delay > 0 {
		select {
		case <-time.After(f.delay):
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", logservice.ErrUnknownOutcome, ctx.Err())
		}
	}
	if f.replyLost {
		return fmt.Errorf("%w: reply lost", logservice.ErrUnknownOutcome)
	}
	return nil
}

// notifyReaders makes waiting readers retry; the caller holds the lock.
func (s *Store) notifyReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) stream(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = &stream{first: 1}
		s.streams[name] = st
	}
	return st
}

// applyRetention drops the records that exceed RetainCount or RetainFor; the
// caller holds the lock.
func (s *Store) applyRetention(st *stream) {
	if n := s.opts.RetainCount; n > 0 && len(st.entries) > n {
		st.dropBefore(st.next() - uint64(n))
	}
	if s.opts.RetainFor > 0 {
		oldest := s.opts.Now().Add(-s.opts.RetainFor)
		for len(st.entries) > 0 && st.entries[0].Appended.Before(oldest) {
			st.dropBefore(st.first + 1)
		}
	}
}

func (st *stream) next() uint64 { return st.first + uint64(len(st.entries)) }

func (st *stream) dropBefore(offset uint64) {
	offset = min(offset, st.next())
	if offset > st.first {
		st.entries = st.entries[offset-st.first:]
		st.first = offset
	}
}
