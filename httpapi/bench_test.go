package httpapi

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/rhubarbsail/rhubarbsail/common/model"
	"github.com/rhubarbsail/rhubarbsail/common/telemetry"
)

// BenchmarkDecodeJob measures the decoding of a body at the sizes for which the
// system is designed: one task, a typical parallel job and the largest job.
func BenchmarkDecodeJob(b *testing.B) {
	for _, tasks := range []int{1, 100, 1300} {
		body := jobBody{Client: "bondline", Key: "k1", Service: "glue", SubmittedAt: testNow}
		for i := range tasks {
			body.Tasks = append(body.Tasks, taskBody{Payload: fmt.Appendf(nil, "%0200d", i), ExpectedMS: 200})
		}
		data, err := json.Marshal(body)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			b.SetBytes(int64(len(data)))
			b.ReportAllocs()
			for b.Loop() {
				if d := decodeJob(data, DefaultLimits(), testNow); len(d.findings) > 0 {
					b.Fatal(d.findings)
				}
			}
		})
	}
}

// BenchmarkSubmit measures the overhead of the handler for a small job, with
// metrics and without tracing.
func BenchmarkSubmit(b *testing.B) {
	m := telemetry.NewMetrics("gateway", "g1", zerolog.Nop())
	defer m.Close()
	h := NewCallersHandler(&fakeJobs{answer: model.Answer{State: model.RunComplete, Results: [][]byte{{1}, {2}}}, discard: true},
		DefaultLimits(), Options{Now: func() time.Time { return testNow }, Scope: m.Scope})
	b.ReportAllocs()
	for b.Loop() {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/jobs", strings.NewReader(validBody)))
		if w.Code != http.StatusOK {
			b.Fatal(w.Body)
		}
	}
}
