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
	// maxLinesPerSecond and lineBurst limit the lines of level info and below and,
	// separately, those above. A gateway answers about 40 jobs a second.
	maxLinesPerSecond = 200
	lineBurst         = 400
	// queuedLines is the capacity of the queue in front of the output.
	queuedLines = 1000
	// dropReportInterval is the minimum time between two reports of dropped lines.
	dropReportInterval = time.Second
)

// BoundedWriter is a log writer that never blocks on its output. It drops lines
// above a rate limit or when its queue is full and reports how many. Lines above
// level info have a rate limit of their own, so that info lines cannot displace
// them.
type BoundedWriter struct {
	out io.Writer

	mu          sync.Mutex // guards the fields below
	infoLimiter *rate.Limiter
	warnLimiter *rate.Limiter
	dropped     int
	lastReport  time.Time
	// report logs the number of dropped lines.
	report func(n int)
}

// NewBoundedWriter returns a writer and a function that flushes the queued lines
// and closes it.
func NewBoundedWriter(out io.Writer) (*BoundedWriter, func() error) {
	w := &BoundedWriter{
		infoLimiter: rate.NewLimiter(maxLinesPerSecond, lineBurst), warnLimiter: rate.NewLimiter(maxLinesPerSecond, lineBurst),
		report: func(int) {},
	}
	queue := diode.NewWriter(out, queuedLines, 0, func(missed int) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.dropped += missed
	})
	w.out = queue
	return w, queue.Close
}

// ReportTo sets the logger for reports of dropped lines. The logger may write to w
// itself.
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
	limiter := w.infoLimiter
	if level > zerolog.InfoLevel {
		limiter = w.warnLimiter
	}
	if !limiter.Allow() {
		w.dropped++
		w.mu.Unlock()
		return len(p), nil
	}
	n, report := 0, w.report
	if w.dropped > 0 && time.Since(w.lastReport) > dropReportInterval {
		n, w.dropped, w.lastReport = w.dropped, 0, time.Now()
	}
	w.mu.Unlock()
	if n > 0 {
		report(n)
	}
	return w.out.Write(p)
}
