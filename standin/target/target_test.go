package target

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newTarget(t *testing.T, opts Options) (*Target, *httptest.Server) {
	t.Helper()
	opts.Target, opts.Service, opts.Listen = "t1", "s", "unused"
	target, err := New(opts)
	if err != nil {
		t.Fatal(err)
	}
	s := httptest.NewServer(target.Handler())
	t.Cleanup(s.Close)
	return target, s
}

// run sends one task and returns the status code and body, or 0 and the error
// text if there was no reply.
func run(ctx context.Context, url, key, payload string) (int, string) {
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/run", strings.NewReader(payload))
	req.Header.Set(headerClient, "c")
	req.Header.Set(headerKey, key)
	req.Header.Set(headerIndex, "2")
	req.Header.Set(headerAttempt, "1")
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b)
}

// Tests check at-most-once execution against the record. A start that it misses,
// or a failed start that it does not count, would hide a duplicate.
func TestRecordCountsEachStart(t *testing.T) {
	target, s := newTarget(t, Options{RecordLimit: 2})
	for _, c := range []struct {
		key, payload string
		status       int
	}{
		{"a%0A", `{"run_ms":1}`, 200},
		{"a%0A", `{"run_ms":1}`, 200},
		{"b", `{"fail":true}`, 500},
		// A task that cannot be identified is neither run nor recorded.
		{"%zz", `{}`, 400},
		{"b", strings.Repeat("x", maxBodyBytes+1), 400},
	} {
		if code, body := run(t.Context(), s.URL, c.key, c.payload); code != c.status {
			t.Fatalf("%v: status %d, body %s", c, code, body)
		}
	}
	r := target.Record(false)
	if r.Truncated || r.Tasks != 2 || r.Starts != 4 || len(r.Entries) != 2 || r.Entries[0].Key != "a\n" || r.Entries[0].Index != 2 {
		t.Fatalf("record %+v", r)
	}
	for i, want := range []Outcome{OutcomeDone, OutcomeFailed} {
		if e := r.Entries[i]; e.Count != 2 || e.Runs[1].Outcome != want || e.Runs[1].EndedUnixNanos == 0 {
			t.Fatalf("entry %+v", e)
		}
	}
	run(t.Context(), s.URL, "c", `{}`)
	if r := target.Record(true); !r.Truncated || r.Starts != 5 || len(r.Entries) != 2 {
		t.Fatalf("record beyond its limit: %+v", r)
	}
}

// Experiments compare targets of different speeds, so the run time must scale
// exactly with the speed and the straggle factor.
func TestRunTime(t *testing.T) {
	for _, c := range []struct {
		speed   float64
		mode    ModeChange
		payload string
		expect  time.Duration
	}{
		{1, ModeChange{Mode: ModeNormal}, `{"run_ms":100}`, 100 * time.Millisecond},
		{4, ModeChange{Mode: ModeNormal}, `{"run_ms":100}`, 25 * time.Millisecond},
		{1, ModeChange{Mode: ModeStraggle, Factor: 8}, `{"run_ms":100}`, 800 * time.Millisecond},
		{2, ModeChange{Mode: ModeNormal}, `{}`, 100 * time.Millisecond},
		{1, ModeChange{Mode: ModeNormal}, `{"run_ms":-5}`, 0},
		{1, ModeChange{Mode: ModeNormal}, `{"run_ms":1e18}`, maxRun},
	} {
		target, _ := newTarget(t, Options{Speed: c.speed, Run: 200 * time.Millisecond})
		var p Payload
		if err := json.Unmarshal([]byte(c.payload), &p); err != nil {
			t.Fatal(err)
		}
		if got := target.runTime(p, c.mode); got != c.expect {
			t.Errorf("%+v: got %v", c, got)
		}
	}
}

// A target in mode fail answers with an error. One in mode hang does not answer
// until the caller cancels the request.
func TestModes(t *testing.T) {
	target, s := newTarget(t, Options{})
	if err := target.SetMode(ModeChange{Mode: ModeFail}); err != nil {
		t.Fatal(err)
	}
	if code, _ := run(t.Context(), s.URL, "a", `{}`); code != http.StatusInternalServerError {
		t.Fatalf("mode fail: status %d", code)
	}
	if err := target.SetMode(ModeChange{Mode: ModeHang}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		for target.Record(false).Starts < 2 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	if code, _ := run(ctx, s.URL, "b", `{}`); code != 0 {
		t.Fatalf("mode hang: status %d", code)
	}
	for _, m := range []ModeChange{{Mode: "other"}, {Mode: ModeStraggle}, {Mode: ModeStraggle, Factor: 0.5}} {
		if err := target.SetMode(m); err == nil {
			t.Errorf("mode %+v was accepted", m)
		}
	}
}

// No more tasks run than there are slots; MaxRunning of the record also counts the
// waiting ones, so that it reveals an agent that sends too many.
func TestSlotsLimitRunningTasks(t *testing.T) {
	target, s := newTarget(t, Options{Slots: 1})
	target.slots <- struct{}{}
	done := make(chan int)
	for _, key := range []string{"a", "b"} {
		go func() {
			code, _ := run(t.Context(), s.URL, key, `{}`)
			done <- code
		}()
	}
	for target.Record(false).MaxRunning < 2 {
		time.Sleep(time.Millisecond)
	}
	if r := target.Record(false); r.Entries[0].Runs[0].Outcome != "" {
		t.Fatalf("a task ran without a slot: %+v", r)
	}
	<-target.slots
	if a, b := <-done, <-done; a != 200 || b != 200 {
		t.Fatalf("status %d and %d", a, b)
	}
}

// fakeAgent records the target's announcements.
func fakeAgent(t *testing.T) (address string, got chan string) {
	t.Helper()
	got = make(chan string, 1000)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var a announcement
		_ = json.NewDecoder(r.Body).Decode(&a)
		got <- r.URL.Path + " " + a.Target + " " + a.Address
		_, _ = io.WriteString(w, `{"heartbeat_ms":1}`)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), got
}

// The target tells the agent that it is leaving when its mode becomes leave and
// when it stops, and announces itself again when the mode returns to normal.
func TestAnnouncesAndLeaves(t *testing.T) {
	agent, got := fakeAgent(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	target, err := New(Options{Target: "t1", Service: "s", AgentURL: "http://" + agent + "/", HeartbeatInterval: time.Millisecond, Listener: l})
	if err != nil {
		t.Fatal(err)
	}
	// If a successful announcement counted as failed, the next one would be sent
	// after announceRetry instead of the heartbeat interval.
	if wait, err := target.sendAnnounce(t.Context()); err != nil || wait != minHeartbeat {
		t.Fatalf("wait %v, error %v", wait, err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- target.Run(ctx) }()
	expect := func(path string) {
		t.Helper()
		for {
			if m := <-got; strings.HasPrefix(m, path) {
				return
			}
		}
	}
	expect("/v1/announce t1 " + l.Addr().String())
	if err := target.SetMode(ModeChange{Mode: ModeLeave}); err != nil {
		t.Fatal(err)
	}
	expect("/v1/leave")
	if err := target.SetMode(ModeChange{Mode: ModeNormal}); err != nil {
		t.Fatal(err)
	}
	expect("/v1/announce")
	cancel()
	expect("/v1/leave")
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// A stopping target serves the requests that its agent has begun but that have
// not arrived yet. Such a request was refused in TestPlannedStopInterruptsNothing
// on a machine with other busy processes.
func TestStoppingTargetServesRequestsInFlight(t *testing.T) {
	var leaveRequests atomic.Int64
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		reply := `{"heartbeat_ms":1000}`
		if r.URL.Path == "/v1/leave" {
			reply = `{"running":0}`
			if leaveRequests.Add(1) < 3 {
				reply = `{"running":1}`
			}
		}
		_, _ = io.WriteString(w, reply)
	}))
	t.Cleanup(agent.Close)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	target, err := New(Options{Target: "t1", Service: "s", AgentURL: agent.URL, HeartbeatInterval: time.Second, Listener: l})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- target.Run(ctx) }()
	cancel()
	for leaveRequests.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	// The task arrives after the agent's first reply to a leave request and before
	// the third, which reports that nothing is running.
	if status, body := run(t.Context(), "http://"+l.Addr().String(), "late", "{}"); status != http.StatusOK {
		t.Errorf("status %d %s for a request that had begun", status, body)
	}
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if got := leaveRequests.Load(); got != 3 {
		t.Errorf("%d leave requests, want 3: until the agent has nothing running", got)
	}
}
