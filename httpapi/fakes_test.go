package httpapi

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/model"
)

var testNow = time.Date(2026, 12, 4, 3, 0, 0, 0, time.UTC)

// fakeJobs returns fixed values and records its arguments.
type fakeJobs struct {
	answer    model.Answer
	submit    func(ctx context.Context, job model.Job) model.Answer
	submitted []model.Job
	// discard is true if submitted jobs are not recorded.
	discard bool
	key     model.JobKey
	view    JobView
	known   bool
	err     error
}

func (f *fakeJobs) Submit(ctx context.Context, job model.Job) model.Answer {
	if !f.discard {
		f.submitted = append(f.submitted, job)
	}
	if f.submit != nil {
		return f.submit(ctx, job)
	}
	return f.answer
}

func (f *fakeJobs) Lookup(_ context.Context, key model.JobKey) (JobView, bool, error) {
	f.key = key
	return f.view, f.known, f.err
}

func (f *fakeJobs) Cancel(_ context.Context, key model.JobKey) (bool, error) {
	f.key = key
	return f.known, f.err
}

func (f *fakeJobs) Explain(_ context.Context, key model.JobKey) (Explanation, bool, error) {
	f.key = key
	return Explanation{Owner: "g1"}, f.known, f.err
}

// call sends a request to the handler and decodes the JSON response into out
// unless that is nil.
func call(t *testing.T, h http.Handler, method, path, body string, out any) *httptest.ResponseRecorder {
	t.Helper()
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	if out != nil {
		if err := json.Unmarshal(w.Body.Bytes(), out); err != nil {
			t.Fatalf("%v in the answer %q", err, w.Body.String())
		}
	}
	return w
}

func newTestCallersHandler(jobs Jobs, limits Limits) http.Handler {
	return NewCallersHandler(jobs, limits, Options{Now: func() time.Time { return testNow }})
}
