package control

import "sync"

// subscribers notifies any number of channels of changes without blocking.
type subscribers struct {
	mu       sync.Mutex // guards channels
	channels map[chan struct{}]struct{}
}

func (s *subscribers) add() (<-chan struct{}, func()) {
	c := make(chan struct{}, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.channels == nil {
		s.channels = map[chan struct{}]struct{}{}
	}
	s.channels[c] = struct{}{}
	return c, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.channels, c)
	}
}

func (s *subscribers) notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.channels {
		select {
		case c <- struct{}{}:
		default: // the pending value covers this change too
		}
	}
}
