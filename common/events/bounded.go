package events

import (
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"golang.org/x/time/rate"
)

const (
	// linesPerSecond and linesBurst bound the lines of info and below, and again
	// those above. A gateway answers about 40 jobs a second.
	linesPerSecond = 200
	linesBurst     = 400
	// waitingLines is the number of lines that may wait for the output.
	waitingLines = 1000
	// droppedEvery is the least time between two reports of dropped lines.
	droppedEvery = time.Second
)

// BoundedWriter passes log lines on without ever waiting for the output. It
// drops lines above a rate, the less important ones first, and says how many.
type BoundedWriter struct {
	out io.Writer

	mu       sync.Mutex // owns the fields below
	low      *rate.Limiter
	high     *rate.Limiter
	dropped  int
	reported time.Time
	// report writes the number of dropped lines.
	report func(n int)
}

// NewBoundedWriter returns a writer and a function that writes what waits.
func NewBoundedWriter(out io.Writer) (*BoundedWriter, func() error) {
	w := &BoundedWriter{
		low: rate.NewLimiter(linesPerSecond, linesBurst), high: rate.NewLimiter(linesPerSecond, linesBurst),
		report: func(int) {},
	}
	queue := diode.NewWriter(out, waitingLines, 0, func(missed int) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.dropped += missed
	})
	w.out = queue
	return w, queue.Close
}

// ReportTo makes the writer report dropped lines through a logger that writes
// to it.
func (w *BoundedWriter) ReportTo(log zerolog.Logger) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.report = func(n int) { LinesDropped.Log(log).Int("lines", n).Send() }
}

// Write implements io.Writer.
func (w *BoundedWriter) Write(p []byte) (int, error) { return w.WriteLevel(zerolog.InfoLevel, p) }

// WriteLevel implements zerolog.LevelWriter.
func (w *BoundedWriter) WriteLevel(level zerolog.Level, p []byte) (int, error) {
	w.mu.Lock()
	limit := w.low
	if level > zerolog.InfoLevel {
		limit = w.high
	}
	if !limit.Allow() {
		w.dropped++
		w.mu.Unlock()
		return len(p), nil
	}
	n, report := 0, w.report
	if w.dropped > 0 && time.Since(w.reported) > droppedEvery {
		n, w.dropped, w.reported = w.dropped, 0, time.Now()
	}
	w.mu.Unlock()
	if n > 0 {
		report(n)
	}
	return w.out.Write(p)
}
