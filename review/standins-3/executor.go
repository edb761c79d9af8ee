package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of a small deployment.
const (
	heartbeatMS  = 1500
	maxHoldMS    = 1000
	killGraceMS  = 50
	maxWaitMS    = 2000
	maxEnds      = 500
	executorCPU  = 32000
	executorMem  = 65536
	serviceName  = "expiry-alerts"
	executorKind = "a"
)

// executor is a stand-in for an executor. It does not guard its capacity.
type executor struct {
	id, rack string
	// agent is the address of the control interface on its machine.
	agent  string
	record *record
	// stopTime is how long a stop takes.
	stopTime time.Duration

	mu sync.Mutex // guards the fields below
	life
	// number counts the lives. dark is closed at the end of a darkness, in which no call is
	// answered, and nil at other times.
	number int
	dark   chan struct{}
	// late chooses the starts that get no answer and are carried out later; it may be nil.
	// postponed holds them.
	late      func(b callBody) bool
	postponed []callBody
	// starts are all starts, in their order.
	starts []taskStart
}

// life is what an executor loses when it starts again.
type life struct {
	born time.Time
	// fence is the highest fencing token that was seen.
	fence int64
	// lease is when the lease of all runs ends, on the executor's clock in milliseconds.
	lease   int64
	running map[runKey]*taskRun
	// highest is the highest attempt of each task that has ended or was stopped here.
	highest map[string]int
	ends    []runEnd
	lastEnd int64
	// changed is closed and replaced when a run ends.
	changed chan struct{}
	// announced is closed when the executor has started again.
	announced chan struct{}
}

func newLife() life {
	return life{born: time.Now(), running: map[runKey]*taskRun{}, highest: map[string]int{}, changed: make(chan struct{}), announced: make(chan struct{})}
}

type runKey struct {
	task    string
	attempt int
}

type taskRun struct {
	started  time.Time
	timer    *time.Timer
	stopping bool
}

type runEnd struct {
	n   int64
	key runKey
	how string
}

// taskStart is one start of a task. Ended is zero while it runs. Late tells that it was
// carried out late.
type taskStart struct {
	key            runKey
	executor       string
	late           bool
	started, ended time.Time
	how            string
}

func newExecutor(id, rack, agent string, r *record) *executor {
	return &executor{id: id, rack: rack, agent: agent, record: r, life: newLife()}
}

func (x *executor) clock() int64 { return time.Since(x.born).Milliseconds() }

// callBody is the union of the bodies of all calls to an executor.
type callBody struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	FenceToken int64  `json:"fence_token"`
	LastSeen   int64  `json:"last_seen"`
	WaitMS     int64  `json:"wait_ms"`
}

func (x *executor) handler() http.Handler {
	m := http.NewServeMux()
	for path, call := range map[string]func(w http.ResponseWriter, b callBody){
		startPath: x.start, "/api/run-stop": x.stop, "/api/hold": x.hold,
	} {
		m.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
			if want := r.Header.Get("Expected-Instance"); want != "" && want != x.id {
				w.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			var b callBody
			if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			x.mu.Lock()
			number, dark := x.number, x.dark
			if dark == nil && b.FenceToken < x.fence {
				x.refuse(w, "fence")
				x.mu.Unlock()
				return
			}
			postponed := dark == nil && path == startPath && x.late != nil && x.late(b)
			if postponed {
				x.postponed = append(x.postponed, b)
				x.record.line("%s: %s attempt %d gets no answer and will be carried out late", x.id, b.Task, b.Attempt)
			} else if dark == nil {
				x.fence = b.FenceToken
			}
			x.mu.Unlock()
			switch {
			case dark != nil:
				<-dark
				panic(http.ErrAbortHandler)
			case postponed:
				<-r.Context().Done()
				panic(http.ErrAbortHandler)
			}
			answer := &heldAnswer{header: http.Header{}}
			call(answer, b)
			x.mu.Lock()
			gone, dark := x.number != number || x.dark != nil, x.dark
			x.mu.Unlock()
			if gone {
				// The life that took the call has ended.
				if dark != nil {
					<-dark
				}
				panic(http.ErrAbortHandler)
			}
			answer.send(w)
		})
	}
	return m
}

const startPath = "/api/run-start"

// heldAnswer holds an answer until it is known that the executor has lived on.
type heldAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (a *heldAnswer) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter.
func (a *heldAnswer) WriteHeader(status int) { a.status = status }

// Write implements http.ResponseWriter.
func (a *heldAnswer) Write(b []byte) (int, error) { return a.body.Write(b) }

func (a *heldAnswer) send(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body.Bytes())
}

// crash ends the executor's process: it answers no call until it starts again, after a time,
// under the same id. It then carries out the starts that it has left unanswered.
func (x *executor) crash(darkFor time.Duration) {
	x.mu.Lock()
	for key := range x.running {
		x.end(key, "crashed")
	}
	x.dark = make(chan struct{})
	x.record.line("%s crashes", x.id)
	x.mu.Unlock()
	time.Sleep(darkFor)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.number++
	announced := x.announced
	x.life = newLife()
	close(announced)
	x.record.line("%s has started again", x.id)
	for _, b := range x.postponed {
		x.record.line("%s: the late start of %s attempt %d is carried out", x.id, b.Task, b.Attempt)
		x.begin(b, true)
	}
	x.postponed = nil
	close(x.dark)
	x.dark = nil
}

func (x *executor) refuse(w http.ResponseWriter, reason string) {
	writeJSON(w, http.StatusConflict, map[string]any{"clock_ms": x.clock(), "born": x.born.UnixMilli(), "reason": reason})
}

func (x *executor) accept(w http.ResponseWriter) {
	writeJSON(w, http.StatusOK, map[string]any{"clock_ms": x.clock(), "born": x.born.UnixMilli()})
}

// extendLease applies a deadline. The caller holds x.mu.
func (x *executor) extendLease(deadline int64) {
	x.lease = max(x.lease, min(deadline, x.clock()+maxHoldMS))
}

// lapse ends all runs if the lease has ended. The caller holds x.mu.
func (x *executor) lapse() {
	if x.clock() <= x.lease {
		return
	}
	for key := range x.running {
		x.end(key, "lapsed")
	}
}

// watchLease ends runs whose lease has ended, until stopped is closed.
func (x *executor) watchLease(stopped <-chan struct{}) {
	for tick := time.NewTicker(2 * time.Millisecond); ; {
		select {
		case <-stopped:
			return
		case <-tick.C:
		}
		x.mu.Lock()
		x.lapse()
		x.mu.Unlock()
	}
}

// end ends a run. The caller holds x.mu.
func (x *executor) end(key runKey, how string) {
	run := x.running[key]
	if run == nil {
		return
	}
	run.timer.Stop()
	delete(x.running, key)
	x.highest[key.task] = max(x.highest[key.task], key.attempt)
	x.lastEnd++
	x.ends = append(x.ends, runEnd{x.lastEnd, key, how})
	for i := range x.starts {
		if s := &x.starts[i]; s.key == key && s.ended.IsZero() {
			s.ended, s.how = time.Now(), how
		}
	}
	close(x.changed)
	x.changed = make(chan struct{})
	x.record.line("%s: %s attempt %d ends %s", x.id, key.task, key.attempt, how)
}

func (x *executor) start(w http.ResponseWriter, b callBody) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lapse()
	key := runKey{b.Task, b.Attempt}
	if x.running[key] != nil {
		x.accept(w)
		return
	}
	if b.Attempt <= x.highest[b.Task] {
		x.extendLease(b.DeadlineMS)
		x.refuse(w, "old")
		return
	}
	if b.DeadlineMS <= x.clock() {
		x.refuse(w, "late")
		return
	}
	x.begin(b, false)
	x.accept(w)
}

// begin begins a run. The caller holds x.mu.
func (x *executor) begin(b callBody, late bool) {
	key := runKey{b.Task, b.Attempt}
	x.extendLease(b.DeadlineMS)
	ms, _ := strconv.Atoi(strings.TrimPrefix(b.Spec, "ms="))
	run := &taskRun{started: time.Now()}
	run.timer = time.AfterFunc(time.Duration(ms)*time.Millisecond, func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.lapse()
		if x.running[key] == run {
			x.end(key, "done")
		}
	})
	x.running[key] = run
	x.starts = append(x.starts, taskStart{key: key, executor: x.id, started: run.started, late: late})
	x.record.line("%s: %s attempt %d starts", x.id, key.task, key.attempt)
}

func (x *executor) stop(w http.ResponseWriter, b callBody) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lapse()
	x.highest[b.Task] = max(x.highest[b.Task], b.Attempt)
	key := runKey{b.Task, b.Attempt}
	if run := x.running[key]; run != nil && !run.stopping {
		run.stopping = true
		time.AfterFunc(x.stopTime, func() {
			x.mu.Lock()
			defer x.mu.Unlock()
			if x.running[key] == run {
				x.end(key, "stopped")
			}
		})
	}
	x.accept(w)
}

func (x *executor) hold(w http.ResponseWriter, b callBody) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lapse()
	x.extendLease(b.DeadlineMS)
	for len(x.ends) > 0 && x.ends[0].n <= b.LastSeen {
		x.ends = x.ends[1:]
	}
	if len(x.ends) == 0 && b.WaitMS > 0 {
		changed := x.changed
		x.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(b.WaitMS, maxWaitMS)) * time.Millisecond):
		}
		x.mu.Lock()
		x.lapse()
	}
	running, finished := [][]any{}, [][]any{}
	for key := range x.running {
		running = append(running, []any{key.task, key.attempt, "", 100, 3.1})
	}
	for _, e := range x.ends[:min(len(x.ends), maxEnds)] {
		finished = append(finished, []any{e.n, e.key.task, e.key.attempt, e.how, ""})
	}
	writeJSON(w, http.StatusOK, map[string]any{"clock_ms": x.clock(), "born": x.born.UnixMilli(), "running": running, "finished": finished})
}

// started returns the starts so far.
func (x *executor) started() []taskStart {
	x.mu.Lock()
	defer x.mu.Unlock()
	return append([]taskStart(nil), x.starts...)
}

// sendHeartbeats sends heartbeats to the control address of the executor's machine until
// stopped is closed.
func (x *executor) sendHeartbeats(address string, stopped <-chan struct{}) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for seq, number, tick := 1, 0, time.NewTicker(heartbeatMS*time.Millisecond); ; seq++ {
		x.mu.Lock()
		if x.number != number {
			number, seq = x.number, 1
		}
		dark, announced, born, clock := x.dark, x.announced, x.born, x.clock()
		x.mu.Unlock()
		if dark != nil {
			<-dark
			seq--
			continue
		}
		body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"bkk-a","version":"v1","slots":8,"state":"ready","cold_left_ms":0,`+
			`"capacity":{"cpu":%d,"mem_mb":%d,"gpu":0},"labels":[%q,%q],"clock_ms":%d,"seq":%d,"born":%d}`,
			serviceName, address, executorCPU, executorMem, executorKind, x.rack, clock, seq, born.UnixMilli())
		resp, err := client.Post("http://"+x.agent+"/api/instances/"+x.id+"/heartbeat", "application/json", bytes.NewReader([]byte(body)))
		if err == nil {
			_ = resp.Body.Close()
		}
		select {
		case <-stopped:
			return
		case <-announced:
		case <-tick.C:
		}
	}
}
