package httpapi

import (
	"encoding/json"
	"fmt"
	"testing"
)

// BenchmarkDecodeJob measures the cost of a body at the sizes of the design: one
// task, a usual parallel job and the largest one.
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
