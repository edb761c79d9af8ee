package httpapi

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/rhubarbsail/rhubarbsail/common/model"
)

const validBody = `{"client":"bondline","key":"k1","service":"glue","submitted_at":"2026-12-04T02:59:59.000000001Z",
"timeout_ms":500,"tasks":[{"payload":"AQI=","expected_ms":70},{"payload":""}]}`

// Guards against a field of the body that is missing in the job, which would
// change what runs.
func TestSubmitPassesTheWholeJob(t *testing.T) {
	jobs := &fakeJobs{answer: model.Answer{State: model.RunComplete, Results: [][]byte{{3}, nil}}}
	var got AnswerBody
	w := call(t, newTestCallersHandler(jobs, DefaultLimits()), http.MethodPost, "/v1/jobs", validBody, &got)
	want := model.Job{
		Key: model.JobKey{Client: "bondline", Key: "k1"}, Service: "glue",
		SubmittedAt: testNow.Add(-time.Second + 1), Deadline: testNow.Add(500 * time.Millisecond), Repeatable: true,
		Tasks: []model.Task{{Payload: []byte{1, 2}, Expected: 70 * time.Millisecond}, {Payload: []byte{}}},
	}
	if len(jobs.submitted) != 1 || !reflect.DeepEqual(jobs.submitted[0], want) {
		t.Fatalf("submitted %+v, want %+v", jobs.submitted, want)
	}
	if w.Code != http.StatusOK || got.State != StateComplete || got.RunState != "complete" || len(got.Results) != 2 || got.Results[1] == nil {
		t.Fatalf("%d %s", w.Code, w.Body)
	}
}

// Guards against an invalid body that is submitted, or that is refused without
// the position that the caller needs to correct it.
func TestInvalidBodyIsRefusedWithLineAndColumn(t *testing.T) {
	limits := DefaultLimits()
	limits.BodyBytes, limits.TasksPerJob, limits.PayloadBytes, limits.NameBytes = 600, 2, 4, 16
	replace := func(old, repl string) string { return strings.Replace(validBody, old, repl, 1) }
	for _, c := range []struct {
		name, body string
		code       int
		reason     model.Reason
		findings   string
	}{
		{"malformed", replace(`"k1",`, `"k1"`), 400, model.ReasonInvalid, "1:32 "},
		{"empty", "", 400, model.ReasonInvalid, "1:1 "},
		{"unknown key", replace(`"timeout_ms"`, `"timeout_s"`), 400, model.ReasonInvalid, "2:1 timeout_s"},
		{"duplicated key", replace(`"timeout_ms":500`, `"key":"k2"`), 400, model.ReasonInvalid, "2:1 key"},
		{"trailing data", validBody + "{}", 400, model.ReasonInvalid, "2:79 "},
		{"no tasks", replace(`[{"payload":"AQI=","expected_ms":70},{"payload":""}]`, `[]`), 400, model.ReasonInvalid, "2:26 tasks"},
		{"too many tasks", replace(`[{`, `[{"payload":""},{`), 400, model.ReasonInvalid, "2:78 tasks"},
		{"large payload", replace(`AQI=`, `AQIDBAU=`), 400, model.ReasonInvalid, "2:38 tasks[0].payload"},
		{"no payload", replace(`{"payload":""}`, `{}`), 400, model.ReasonInvalid, "2:63 tasks[1].payload"},
		{"timeout", replace(`500`, `9`), 400, model.ReasonInvalid, "2:14 timeout_ms"},
		{"timeout overflow", replace(`500`, `9223372036854775807`), 400, model.ReasonInvalid, "2:14 timeout_ms"},
		{"key length", replace(`"k1"`, `"12345678901234567"`), 400, model.ReasonInvalid, "1:28 key"},
		{"key character", replace(`"k1"`, `"a\u0000"`), 400, model.ReasonInvalid, "1:28 key"},
		{"unpaired surrogate", replace(`"k1"`, `"\ud800"`), 400, model.ReasonInvalid, "1:28 key"},
		{"future", replace(`02:59:59`, `03:00:06`), 400, model.ReasonClock, "1:65 submitted_at"},
		{"several", replace(`500`, `9`) + "]", 400, model.ReasonInvalid, "2:14 timeout_ms|2:77 "},
		{"too large", replace(`"k1"`, `"`+strings.Repeat("k", 600)+`"`), 413, model.ReasonInvalid, ""},
		{"wrong top level", `[]`, 400, model.ReasonInvalid, "1:1 "},
	} {
		t.Run(c.name, func(t *testing.T) {
			jobs := &fakeJobs{}
			var got AnswerBody
			w := call(t, newTestCallersHandler(jobs, limits), http.MethodPost, "/v1/jobs", c.body, &got)
			var places []string
			for _, f := range got.Findings {
				places = append(places, fmt.Sprintf("%d:%d %s", f.Line, f.Column, f.Key))
			}
			if w.Code != c.code || got.Reason != c.reason || strings.Join(places, "|") != c.findings {
				t.Errorf("%d %s %q, want %d %s %q", w.Code, got.Reason, places, c.code, c.reason, c.findings)
			}
			if got.State != StateFailed || got.RunState != "not_run" || len(jobs.submitted) > 0 {
				t.Errorf("state %s, run state %s, %d submitted", got.State, got.RunState, len(jobs.submitted))
			}
		})
	}
}

// Clients and services are checked after decoding, by Jobs: a job that ran under
// an earlier configuration must not be reported as not run. Guards against such a
// refusal without the position that the caller needs.
func TestUnknownClientOrServiceIsRefusedWithLineAndColumn(t *testing.T) {
	for reason, want := range map[model.Reason]Finding{
		model.ReasonUnknownClient:  {Line: 1, Column: 11, Key: "client", Message: "why"},
		model.ReasonUnknownService: {Line: 1, Column: 43, Key: "service", Message: "why"},
	} {
		jobs := &fakeJobs{answer: model.Failed(model.RunNotRun, reason, "why")}
		var got AnswerBody
		w := call(t, newTestCallersHandler(jobs, DefaultLimits()), http.MethodPost, "/v1/jobs", validBody, &got)
		if w.Code != statusCodes[reason] || len(got.Findings) != 1 || got.Findings[0] != want || got.RunState != "not_run" {
			t.Errorf("%d %s", w.Code, w.Body)
		}
	}
}

// After the retention time the outcome of an earlier submission of the same job is
// forgotten, so it may have run. Guards against a refusal that denies this.
func TestOldSubmissionMayHaveRun(t *testing.T) {
	var got AnswerBody
	body := strings.Replace(validBody, "02:59:59", "02:49:59", 1)
	w := call(t, newTestCallersHandler(&fakeJobs{}, DefaultLimits()), http.MethodPost, "/v1/jobs", body, &got)
	if w.Code != http.StatusGone || got.Reason != model.ReasonTooOld || got.RunState != "may_have_run" {
		t.Fatalf("%d %s", w.Code, w.Body)
	}
}

// Guards against a reason without a status code, which would be answered with 500
// and be retried without regard to its cause.
func TestEachReasonHasItsStatusCode(t *testing.T) {
	for reason, want := range map[model.Reason]int{
		model.ReasonInvalid: 400, model.ReasonClock: 400, model.ReasonUnknownClient: 403, model.ReasonConflict: 409,
		model.ReasonCancelled: 409, model.ReasonNotRepeatable: 409, model.ReasonTooOld: 410, model.ReasonAnswerForgotten: 410,
		model.ReasonUnknownService: 422, model.ReasonNoSuitable: 422, model.ReasonOverload: 429, model.ReasonQuota: 429,
		model.ReasonTaskFailed: 502, model.ReasonOutcomeLost: 502, model.ReasonAnswerTooLarge: 502,
		model.ReasonOwnerChanged: 503, model.ReasonNoOwner: 503, model.ReasonShuttingDown: 503, model.ReasonTableFull: 503,
		model.ReasonDeadline: 504, ReasonInternal: 500,
	} {
		jobs := &fakeJobs{answer: model.Failed(model.RunNotRun, reason, "why")}
		w := call(t, newTestCallersHandler(jobs, DefaultLimits()), http.MethodPost, "/v1/jobs", validBody, &AnswerBody{})
		if w.Code != want {
			t.Errorf("%s gives %d, want %d", reason, w.Code, want)
		}
		if retry := w.Header().Get("Retry-After"); (retry != "") != (want == 429 || want == 503) {
			t.Errorf("%s has Retry-After %q", reason, retry)
		}
	}
}

// Guards against a reason that is missing in the table of docs/API.md, by which
// callers decide what to do after an error.
func TestAPIDocumentationListsEachReason(t *testing.T) {
	page, err := os.ReadFile("../docs/API.md")
	if err != nil {
		t.Fatal(err)
	}
	for reason, code := range statusCodes {
		if row := fmt.Sprintf("| %d | %s |", code, reason); !strings.Contains(string(page), row) {
			t.Errorf("the row %q is missing", row)
		}
	}
}

// Guards against a Retry-After header that is rounded down, so that the caller
// tries again too early.
func TestRetryAfterIsRoundedUp(t *testing.T) {
	jobs := &fakeJobs{answer: model.Answer{State: model.RunNotRun, Reason: model.ReasonQuota, RetryAfter: 1200 * time.Millisecond}}
	var got AnswerBody
	w := call(t, newTestCallersHandler(jobs, DefaultLimits()), http.MethodPost, "/v1/jobs", validBody, &got)
	if w.Header().Get("Retry-After") != "2" || got.RetryAfterMS != 1200 {
		t.Fatalf("header %q, %d ms", w.Header().Get("Retry-After"), got.RetryAfterMS)
	}
}

// Guards against job keys that are used without decoding: they may contain
// characters that are encoded in a path.
func TestJobKeyIsDecodedFromPath(t *testing.T) {
	key := model.JobKey{Client: "bondline", Key: "lot 7/é"}
	path := "/v1/jobs/bondline/lot%207%2F%C3%A9"
	for _, c := range []struct {
		name, method, path string
		jobs               fakeJobs
		code               int
	}{
		{"lookup", "GET", path, fakeJobs{known: true, view: JobView{State: JobRunning}}, 200},
		{"cancel", "DELETE", path, fakeJobs{known: true}, 200},
		{"explain", "GET", path + "/explain", fakeJobs{known: true}, 200},
		{"unknown", "GET", path, fakeJobs{}, 404},
		{"owner unreachable", "DELETE", path, fakeJobs{err: errors.New("no owner")}, 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := call(t, newTestCallersHandler(&c.jobs, DefaultLimits()), c.method, c.path, "", &map[string]any{})
			if w.Code != c.code || c.jobs.key != key {
				t.Fatalf("%d %s for key %q", w.Code, w.Body, c.jobs.key)
			}
		})
	}
}

// Guards against unknown paths and methods that are answered in echo's own format.
func TestUnknownPathAndMethodGetAPIError(t *testing.T) {
	for path, want := range map[string]int{"GET /v2/jobs": 404, "PATCH /v1/jobs": 405} {
		method, p, _ := strings.Cut(path, " ")
		var got ErrorBody
		if w := call(t, newTestCallersHandler(&fakeJobs{}, DefaultLimits()), method, p, "", &got); w.Code != want || got.Reason == "" {
			t.Errorf("%s: %d %+v", path, w.Code, got)
		}
	}
}

// Guards against a caller that is told after a panic that nothing ran.
func TestPanicIsAnsweredAsMayHaveRun(t *testing.T) {
	jobs := &fakeJobs{submit: func(context.Context, model.Job) model.Answer { panic("fault") }}
	var got AnswerBody
	w := call(t, newTestCallersHandler(jobs, DefaultLimits()), http.MethodPost, "/v1/jobs", validBody, &got)
	if w.Code != 500 || got.RunState != "may_have_run" || got.Reason != ReasonInternal {
		t.Fatalf("%d %s", w.Code, w.Body)
	}
}

// The body of a request counts towards the total until the answer. Guards against
// slow jobs with large bodies that exhaust the memory.
func TestTotalSizeOfBodiesInMemoryIsBounded(t *testing.T) {
	limits := DefaultLimits()
	limits.BodyBytesTotal = int64(len(validBody))
	var h http.Handler
	var second AnswerBody
	jobs := &fakeJobs{}
	jobs.submit = func(context.Context, model.Job) model.Answer {
		if len(jobs.submitted) == 1 {
			call(t, h, http.MethodPost, "/v1/jobs", validBody, &second)
		}
		return model.Answer{State: model.RunComplete}
	}
	h = newTestCallersHandler(jobs, limits)
	call(t, h, http.MethodPost, "/v1/jobs", validBody, nil)
	if second.Reason != model.ReasonOverload || second.RunState != "not_run" {
		t.Fatalf("the second body was answered %+v", second)
	}
	if w := call(t, h, http.MethodPost, "/v1/jobs", validBody, nil); w.Code != 200 {
		t.Fatalf("after the first answer: %d %s", w.Code, w.Body)
	}
}

func FuzzDecodeJob(f *testing.F) {
	f.Add([]byte(validBody))
	for _, seed := range []string{
		"", "{", `{"tasks":[[[[]]]]}`, `{"tasks":[{"payload":"AQI"}]}`, `{"client":"a","client":"b"}`,
		`{"submitted_at":"9999-12-31T23:59:59Z"}`, `{"timeout_ms":1e309}`, "{\"key\":\"\xff\"}", `{"key":"\ud800"}`, validBody + "1",
	} {
		f.Add([]byte(seed))
	}
	limits := DefaultLimits()
	f.Fuzz(func(t *testing.T, data []byte) {
		d := decodeJob(data, limits, testNow)
		if len(d.findings) > 0 {
			if d.reason == "" || d.findings[0].Line < 1 || d.findings[0].Column < 1 {
				t.Fatalf("reason %q, finding %+v", d.reason, d.findings[0])
			}
			return
		}
		job := d.job
		if job.Key.Client == "" || job.Key.Key == "" || len(job.Tasks) == 0 || len(job.Tasks) > limits.TasksPerJob ||
			job.Deadline.Sub(testNow) < limits.TimeoutMin || job.Deadline.Sub(testNow) > limits.TimeoutMax {
			t.Fatalf("accepted %+v", job)
		}
	})
}
