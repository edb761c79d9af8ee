package agent

import (
	"io"
	"net/http"
	"testing"
)

// BenchmarkSingleTask measures one task from its start frame to its report. The
// gateway's end of the link and the target run in the same process.
func BenchmarkSingleTask(b *testing.B) {
	h := startAgent(b, Options{}, Dependencies{}, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "done")
	})
	h.announce()
	l := h.dial("g1")
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		s := start(uint32(i%maxIndex), 1)
		s.Task.Key += string(rune('a' + i/maxIndex))
		l.start(reportEach, s)
		l.records(1)
	}
}
