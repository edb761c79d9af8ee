package control

import "sync"

// subscribers notifies of changes without blocking.
type subscribers struct {
	mu  sync.Mutex // owns all
	all map[chan struct{}]struct{}
}

func (s *subscribers) add() (<-chan struct{}, func()) {
	c := make(chan struct{}, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all == nil {
		s.all = map[chan struct{}]struct{}{}
	}
	s.all[c] = struct{}{}
	return c, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.all, c)
	}
}

func (s *subscribers) notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.all {
		select {
		case c <- struct{}{}:
		default: // a value that was not yet received covers this change
		}
	}
}
