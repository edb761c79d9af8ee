// Package memlog is an in-memory log and lease service with faults, for the
// stand-in server and for tests. It is no part of the product.
package memlog

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/rhubarbsail/rhubarbsail/logservice"
)

const defaultLimit = 1000

// Options configures a Store. Zero values set no bound.
type Options struct {
	// Now is the clock; nil is time.Now.
	Now func() time.Time
	// RetainCount is the number of records that a stream keeps.
	RetainCount int
	// RetainFor is the time for which a stream keeps records.
	RetainFor time.Duration
	// AppendsPerSecond bounds the appends over all streams.
	AppendsPerSecond float64
}

// Faults are the faults in force.
type Faults struct {
	// Outage refuses every request.
	Outage bool
	// Slow delays the reply of each request; an append takes effect before.
	Slow time.Duration
	// LoseReplies is the number of next appends and renewals that take effect
	// and whose reply is lost.
	LoseReplies int
	// LoseRequests is the number of next appends and renewals that have no
	// effect although their caller cannot know.
	LoseRequests int
	// HoldAppends is the number of next appends whose reply is lost and that
	// take effect at the next Release.
	HoldAppends int
}

// Store implements logservice.Log and logservice.Lease.
type Store struct {
	opts    Options
	limiter *rate.Limiter

	mu      sync.Mutex // owns the fields below
	streams map[string]*stream
	leases  map[string]lease
	faults  Faults
	held    []func()
	// changed is closed and replaced when waiting readers have to look again.
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

// SetFaults replaces the faults in force.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// Faults returns the faults that are still in force.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Release lets the held appends take effect, in their order.
func (s *Store) Release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, add := range s.held {
		add()
	}
	s.held = nil
}

// Trim drops the records of a stream below the offset.
func (s *Store) Trim(name string, first uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stream(name).dropBefore(first)
	s.wake()
}

// Append implements logservice.Log.
func (s *Store) Append(ctx context.Context, name string, data []byte) (uint64, error) {
	offset, fate, err := s.append(ctx, name, data)
	if err != nil {
		return 0, err
	}
	if err := fate.wait(ctx); err != nil {
		return 0, err
	}
	return offset, nil
}

func (s *Store) append(ctx context.Context, name string, data []byte) (uint64, fate, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.refuse(ctx); err != nil {
		return 0, fate{}, err
	}
	if s.limiter != nil && !s.limiter.AllowN(s.opts.Now(), 1) {
		return 0, fate{}, fmt.Errorf("%w: append rate exceeded", logservice.ErrUnavailable)
	}
	if s.faults.HoldAppends > 0 {
		s.faults.HoldAppends--
		s.held = append(s.held, func() { s.add(name, data) })
		return 0, fate{lost: true}, nil
	}
	f := s.fate()
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
	s.retain(st)
	s.wake()
	return offset
}

// Read implements logservice.Log.
func (s *Store) Read(ctx context.Context, name string, from uint64, limit int, wait time.Duration) (logservice.Page, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		page, changed, slow, err := s.read(ctx, name, from, limit)
		if err != nil || len(page.Entries) > 0 || wait <= 0 {
			_ = fate{slow: slow}.wait(ctx)
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
	if err := s.refuse(ctx); err != nil {
		return logservice.Page{}, nil, 0, err
	}
	st := s.stream(name)
	s.retain(st)
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

func (s *Store) renew(ctx context.Context, worker, holder string, ttl time.Duration) (fate, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.refuse(ctx); err != nil {
		return fate{}, err
	}
	if ttl <= 0 || holder == "" {
		return fate{}, fmt.Errorf("%w: a lease needs a holder and a time to live", logservice.ErrInvalid)
	}
	now := s.opts.Now()
	if l, ok := s.leases[worker]; ok && l.holder != holder && now.Before(l.until) {
		return fate{}, fmt.Errorf("%w: %s", logservice.ErrLeaseHeld, l.holder)
	}
	f := s.fate()
	if !f.noEffect {
		s.leases[worker] = lease{holder: holder, until: now.Add(ttl)}
	}
	return f, nil
}

// refuse returns the error of an outage or an ended context; the caller holds
// the lock.
func (s *Store) refuse(ctx context.Context) error {
	if s.faults.Outage {
		return fmt.Errorf("%w: outage", logservice.ErrUnavailable)
	}
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", logservice.ErrUnavailable, err)
	}
	return nil
}

// fate is what happens to a request because of the faults in force.
type fate struct {
	lost, noEffect bool
	slow           time.Duration
}

// fate takes the fate of the next change; the caller holds the lock.
func (s *Store) fate() fate {
	f := fate{slow: s.faults.Slow}
	switch {
	case s.faults.LoseRequests > 0:
		s.faults.LoseRequests--
		f.lost, f.noEffect = true, true
	case s.faults.LoseReplies > 0:
		s.faults.LoseReplies--
		f.lost = true
	}
	return f
}

// wait delays the reply and fails if it is lost or the caller gave up.
func (f fate) wait(ctx context.Context) error {
	if f.slow > 0 {
		select {
		case <-time.After(f.slow):
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", logservice.ErrUnknownOutcome, ctx.Err())
		}
	}
	if f.lost {
		return fmt.Errorf("%w: reply lost", logservice.ErrUnknownOutcome)
	}
	return nil
}

// wake lets waiting readers look again; the caller holds the lock.
func (s *Store) wake() {
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

func (s *Store) retain(st *stream) {
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
