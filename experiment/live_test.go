package experiment

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

// Guards against counting refused, partial or undecodable responses as
// completed jobs, which would hide faults of the gateways.
func TestLiveRunClassifiesAnswers(t *testing.T) {
	cases := []struct {
		name   string
		answer func(job jobRequest) any
		reason string
	}{
		{"complete", func(j jobRequest) any {
			return map[string]any{"state": "complete", "results": make([][]byte, len(j.Tasks))}
		}, ""},
		{"refused", func(jobRequest) any { return map[string]any{"state": "failed", "reason": "overload"} }, "overload"},
		{"partial", func(jobRequest) any { return map[string]any{"state": "complete", "results": [][]byte{}} }, "partial_answer"},
		{"not an answer", func(jobRequest) any { return "x" }, string(reasonTransport)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var mu sync.Mutex
			keys := map[string]bool{}
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				var j jobRequest
				if err := json.NewDecoder(r.Body).Decode(&j); err != nil || r.URL.Path != "/v1/jobs" {
					t.Errorf("request to %s: %v", r.URL.Path, err)
				}
				if len(j.Tasks) == 0 || !strings.HasPrefix(string(j.Tasks[0].Payload), `{"run_ms":`) {
					t.Errorf("tasks %v", j.Tasks)
				}
				mu.Lock()
				keys[j.Key] = true
				mu.Unlock()
				_ = json.NewEncoder(w).Encode(c.answer(j))
			}))
			defer server.Close()
			r, err := RunLive(t.Context(), LiveOptions{
				Gateways: []string{server.URL}, Service: "work", Fleet: NewFleet(2, 8, 2), Seed: 1, MaxInFlight: 100,
				Load:   Workload{Load: 0.5, Duration: time.Second, Clients: 2, Sizes: singleTaskJobs, Timeout: time.Second},
				Client: server.Client(),
			})
			if err != nil {
				t.Fatal(err)
			}
			want := r.Jobs
			if c.reason != "" {
				want = 0
			}
			if r.Jobs == 0 || r.Done != want || r.Done+r.Failures[c.reason] != r.Jobs {
				t.Fatalf("result %+v", r)
			}
			if len(keys) < r.Jobs {
				t.Fatalf("%d distinct keys for %d jobs", len(keys), r.Jobs)
			}
		})
	}
}
