package events

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// blockedOutput takes nothing until it is released.
type blockedOutput struct {
	release chan struct{}
	mu      sync.Mutex
	lines   []string
}

func (b *blockedOutput) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lines = append(b.lines, string(p))
	return len(p), nil
}

// Guards against a process that stands still since its log is not read, against
// a flood of lines that hides failures, and against drops that nobody learns of.
func TestBoundedWriterNeverWaitsAndCountsDrops(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	w, closeWriter := NewBoundedWriter(out)
	log := zerolog.New(w)
	w.ReportTo(log)
	for range 5000 {
		log.Info().Msg("ordinary")
	}
	w.mu.Lock()
	dropped := w.dropped
	w.reported = time.Time{}
	w.mu.Unlock()
	log.Warn().Msg("failure")
	if dropped < 4000 {
		t.Errorf("%d of 5000 lines dropped", dropped)
	}
	log.Warn().Msg("later")
	close(out.release)
	if err := closeWriter(); err != nil {
		t.Fatal(err)
	}
	out.mu.Lock()
	defer out.mu.Unlock()
	all := strings.Join(out.lines, "")
	for _, want := range []string{"failure", "later", "lines_dropped"} {
		if !strings.Contains(all, want) {
			t.Errorf("no line %q in the output", want)
		}
	}
}
