package events

import (
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// blockedOutput is an output whose writes block until release is closed.
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

// Guards against a process that blocks because its log output is not read, against
// info lines that displace warnings, and against lines that are dropped without a
// report.
func TestBoundedWriterDoesNotBlockAndCountsDroppedLines(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	w, closeWriter := NewBoundedWriter(out)
	log := zerolog.New(w)
	w.ReportTo(log)
	start := time.Now()
	for range 5000 {
		log.Info().Msg("ordinary")
	}
	maxWritten := lineBurst + int(time.Since(start).Seconds()*maxLinesPerSecond) + 1
	log.Warn().Msg("failure")
	w.mu.Lock()
	w.lastReport = time.Time{}
	w.mu.Unlock()
	log.Warn().Msg("later")
	close(out.release)
	if err := closeWriter(); err != nil {
		t.Fatal(err)
	}
	written, dropped := out.count(t)
	if written["ordinary"] > maxWritten {
		t.Errorf("%d ordinary lines written, at most %d are allowed", written["ordinary"], maxWritten)
	}
	if written["failure"] != 1 || written["later"] != 1 {
		t.Errorf("lines written: %v", written)
	}
	// Each line was written, reported as dropped or counted for the next report.
	w.mu.Lock()
	defer w.mu.Unlock()
	if got := written["ordinary"] + dropped + w.dropped; got != 5000 {
		t.Errorf("%d of 5000 lines accounted for: %d written, %d reported as dropped, %d not yet reported",
			got, written["ordinary"], dropped, w.dropped)
	}
}

// count returns the number of written lines by message, and the total number of
// lines that were reported as dropped.
func (b *blockedOutput) count(t *testing.T) (map[string]int, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	written, dropped := map[string]int{}, 0
	for _, text := range b.lines {
		var l struct {
			Message string `json:"message"`
			Lines   int    `json:"lines"`
		}
		if err := json.Unmarshal([]byte(text), &l); err != nil {
			t.Fatal(err)
		}
		written[l.Message]++
		dropped += l.Lines
	}
	return written, dropped
}
