package local

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"
)

// startTimeout limits the start of a deployment on a busy machine.
const startTimeout = 20 * time.Second

type jobAnswer struct {
	State    string   `json:"state"`
	RunState string   `json:"run_state"`
	Reason   string   `json:"reason"`
	Message  string   `json:"message"`
	Results  []string `json:"results"`
}

func submit(t *testing.T, base, key string, tasks int) jobAnswer {
	t.Helper()
	type task struct {
		Payload string `json:"payload"`
	}
	body := map[string]any{
		"client": "demo", "key": key, "service": "grade-check",
		"submitted_at": time.Now().UTC().Format(time.RFC3339Nano), "timeout_ms": 30000,
	}
	list := make([]task, tasks)
	for i := range list {
		list[i].Payload = base64.StdEncoding.EncodeToString(fmt.Appendf(nil, `{"run_ms":5,"result":"%d"}`, i))
	}
	body["tasks"] = list
	b, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.Post(base+"/v1/jobs", "application/json", bytes.NewReader(b))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var out jobAnswer
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		t.Fatal(err)
	}
	return out
}

// Guards against components that each work alone but do not carry a job from the
// caller to the targets and back.
func TestJobsCompleteThroughEveryGateway(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	d, err := Start(ctx, Options{})
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := d.Stop(); err != nil {
			t.Error(err)
		}
	}()
	for i, base := range d.Callers {
		for _, n := range []int{1, 40, 1300} {
			out := submit(t, base, fmt.Sprintf("job-%d-%d", i, n), n)
			if out.State != "complete" || len(out.Results) != n {
				t.Errorf("gateway %d, %d tasks: %+v", i, n, out)
			}
		}
	}
	for _, tg := range d.Targets {
		if dup := tg.Record(true); len(dup.Entries) > 0 || dup.Truncated {
			t.Errorf("tasks started more than once: %+v", dup)
		}
	}
}
