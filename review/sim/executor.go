package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// executor is a stand-in for an executor of the platform, as PROTOCOL.md describes it:
// it runs what its agent orders, under one lease, and lists what runs and what has ended.
// It does not guard its capacity (rejects_overload is false).
type executor struct {
	name    string
	address string
	agent   string // the agent's control address
	service string
	zone    string
	rec     *recorder
	// work returns how long a task takes.
	work func(task string) time.Duration

	mu     sync.Mutex // guards the fields below
	labels []string
	cpu    int
	life   *life
	lives  int
	runs   []*run
	// unanswered is set while calls and connections get no answer.
	unanswered bool
	server     *http.Server
	conns      map[net.Conn]struct{}
	closed     bool
	// lateShare is the share of orders that get no answer and are carried out late.
	lateShare float64
	// slowness multiplies the time that tasks take which start from now on; the share
	// failShare of them fails at its end.
	slowness, failShare float64
	// rate is that of the clock in the next lives; it may be 2% slow.
	rate float64
}

// life is one incarnation of an executor.
type life struct {
	id       string
	born     int64
	began    time.Time
	labels   []string
	lease    int64 // end of the lease on clock
	fence    int64
	seq      int
	running  map[runKey]*run
	highest  map[string]int // by task: the highest run that was stopped or has ended
	ends     []endRow
	lastEnd  int64
	changed  chan struct{}
	draining bool
	over     bool
	rate     float64 // of its clock
	// announced is when the agent first acknowledged a heartbeat of this life.
	announced time.Time
}

type runKey struct {
	task    string
	attempt int
}

type endRow struct {
	n   int64
	key runKey
	how string
}

// run is one run of a task, from the order to start it to its end.
type run struct {
	task     string
	attempt  int
	executor string
	life     string
	labels   []string
	began    time.Time
	ended    time.Time // zero while it runs
	how      string
	timer    *time.Timer
	// known is the time from the agent's acknowledgement of this life's first heartbeat.
	known time.Duration
}

func newExecutor(name, address, agent, service, zone string, cpu int, labels []string, rec *recorder, work func(string) time.Duration) *executor {
	return &executor{
		name: name, address: address, agent: agent, service: service, zone: zone, cpu: cpu, labels: labels, rec: rec, work: work,
		conns: map[net.Conn]struct{}{}, slowness: 1, rate: 1,
	}
}

// start begins a life with an id, or with the one it had if id is empty.
func (x *executor) start(id string) error {
	l, err := net.Listen("tcp", x.address)
	if err != nil {
		return err
	}
	x.mu.Lock()
	x.begin(id)
	x.serve(l)
	x.mu.Unlock()
	return nil
}

// begin begins a life. The caller holds x.mu.
func (x *executor) begin(id string) {
	x.lives++
	if id == "" && x.life != nil {
		id = x.life.id
	}
	x.life = &life{
		id: id, born: time.Now().UnixMilli(), began: time.Now(), labels: x.labels, running: map[runKey]*run{},
		highest: map[string]int{}, changed: make(chan struct{}), rate: x.rate,
	}
	x.rec.logf("executor %s begins life %s with labels %v", x.name, x.life.id, x.labels)
	go x.beat(x.life)
	go x.watchLease(x.life)
}

// serve serves a listener. The caller holds x.mu.
func (x *executor) serve(l net.Listener) {
	m := http.NewServeMux()
	m.HandleFunc("POST /api/run-start", x.endpoint(x.runStart))
	m.HandleFunc("POST /api/run-stop", x.endpoint(x.runStop))
	m.HandleFunc("POST /api/hold", x.hold)
	x.server = &http.Server{Handler: m, ConnState: func(c net.Conn, s http.ConnState) {
		x.mu.Lock()
		defer x.mu.Unlock()
		switch s {
		case http.StateNew:
			x.conns[c] = struct{}{}
		case http.StateClosed, http.StateHijacked:
			delete(x.conns, c)
		}
	}}
	go func(s *http.Server) { _ = s.Serve(l) }(x.server)
}

// crash ends the life with all that runs. The address refuses connections afterwards.
func (x *executor) crash() {
	x.mu.Lock()
	x.endLife()
	s := x.server
	x.mu.Unlock()
	_ = s.Close()
}

// goDark ends the life with all that runs; calls get no answer until wake.
func (x *executor) goDark() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.unanswered = true
	x.endLife()
}

// wake begins a new life after goDark. Connections to the earlier life are reset.
func (x *executor) wake(id string, labels []string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for c := range x.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	x.unanswered = false
	x.labels = labels
	x.begin(id)
}

// endLife ends the present life. The caller holds x.mu.
func (x *executor) endLife() {
	x.rec.logf("executor %s ends life %s", x.name, x.life.id)
	for _, r := range x.life.running {
		r.timer.Stop()
		r.ended, r.how = time.Now(), "lost"
		x.rec.logf("run of %s attempt %d on %s ends: lost", r.task, r.attempt, x.name)
	}
	x.life.running = map[runKey]*run{}
	x.life.over = true
}

// close ends the executor for good.
func (x *executor) close() {
	x.mu.Lock()
	x.closed = true
	if x.life != nil && !x.life.over {
		x.endLife()
	}
	s := x.server
	x.mu.Unlock()
	if s != nil {
		_ = s.Close()
	}
}

const heartbeatEvery = 1500 * time.Millisecond

// beat sends the heartbeats of a life.
func (x *executor) beat(l *life) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		x.mu.Lock()
		over := l.over
		l.seq++
		state := "ready"
		if l.draining {
			state = "draining"
		}
		body, _ := json.Marshal(map[string]any{
			"service": x.service, "address": x.address, "zone": x.zone, "version": "v1", "slots": 8, "state": state, "cold_left_ms": 0,
			"capacity": map[string]int{"cpu": x.cpu, "mem_mb": 65536, "gpu": 0}, "labels": l.labels, "clock_ms": l.clock(), "seq": l.seq, "born": l.born,
		})
		x.mu.Unlock()
		if over {
			return
		}
		acked := false
		resp, err := client.Post("http://"+x.agent+"/api/instances/"+l.id+"/heartbeat", "application/json", bytes.NewReader(body))
		if err == nil {
			acked = resp.StatusCode/100 == 2
			_ = resp.Body.Close()
		}
		if acked {
			x.mu.Lock()
			if l.announced.IsZero() {
				l.announced = time.Now()
				x.rec.logf("the agent of %s acknowledges the heartbeat of %s with labels %v", x.name, l.id, l.labels)
			}
			x.mu.Unlock()
			time.Sleep(heartbeatEvery)
		} else {
			time.Sleep(heartbeatEvery / 5)
		}
	}
}

// clock returns the executor's clock in milliseconds, which begins anew in each life.
func (l *life) clock() int64 { return int64(float64(time.Since(l.began).Milliseconds())*l.rate) + 1 }

// maxHold is the longest lease in milliseconds.
const maxHold = 1000

// extend extends the lease of everything that runs. The caller holds x.mu.
func (l *life) extend(deadline int64) { l.lease = max(l.lease, min(deadline, l.clock()+maxHold)) }

// lapse ends everything once the lease has expired. The caller holds x.mu.
func (x *executor) lapse(l *life) {
	if l.over || l.clock() <= l.lease {
		return
	}
	for k := range l.running {
		x.end(l, k, "lapsed")
	}
}

func (x *executor) watchLease(l *life) {
	for {
		time.Sleep(2 * time.Millisecond)
		x.mu.Lock()
		x.lapse(l)
		over := l.over
		x.mu.Unlock()
		if over {
			return
		}
	}
}

// end ends a run. The caller holds x.mu.
func (x *executor) end(l *life, k runKey, how string) {
	r := l.running[k]
	if r == nil {
		return
	}
	r.timer.Stop()
	r.ended, r.how = time.Now(), how
	delete(l.running, k)
	l.highest[k.task] = max(l.highest[k.task], k.attempt)
	l.lastEnd++
	l.ends = append(l.ends, endRow{l.lastEnd, k, how})
	close(l.changed)
	l.changed = make(chan struct{})
	x.rec.logf("run of %s attempt %d on %s ends: %s", k.task, k.attempt, x.name, how)
}

type order struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	FenceToken int64  `json:"fence_token"`
	LastSeen   int64  `json:"last_seen"`
	WaitMS     int64  `json:"wait_ms"`
}

// admit decodes a call and refuses it if it is meant for another instance or carries a
// lower fencing token. Otherwise it returns the present life; the caller then holds x.mu.
func (x *executor) admit(w http.ResponseWriter, r *http.Request) (*life, order, bool) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return nil, o, false
	}
	x.mu.Lock()
	if x.unanswered || x.life.over {
		x.mu.Unlock()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	l := x.life
	if want := r.Header.Get("Expected-Instance"); want != "" && want != l.id {
		x.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return nil, o, false
	}
	if o.FenceToken < l.fence {
		body := map[string]any{"clock_ms": l.clock(), "born": l.born, "reason": "fence"}
		x.mu.Unlock()
		writeJSON(w, http.StatusConflict, body)
		return nil, o, false
	}
	l.fence = o.FenceToken
	x.lapse(l)
	return l, o, true
}

// endpoint serves a call that is answered at once; call returns the reason of a refusal.
func (x *executor) endpoint(call func(l *life, o order) string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if x.drawLate() {
			x.carryOutLate(r, call)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		l, o, ok := x.admit(w, r)
		if !ok {
			return
		}
		reason := call(l, o)
		body := map[string]any{"clock_ms": l.clock(), "born": l.born}
		x.mu.Unlock()
		if reason != "" {
			body["reason"] = reason
			writeJSON(w, http.StatusConflict, body)
			return
		}
		writeJSON(w, http.StatusOK, body)
	}
}

func (x *executor) drawLate() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return !x.life.over && rand.Float64() < x.lateShare
}

// carryOutLate carries out an order 2 to 12 s from now, by the life of that time, if it has
// the id that the order names and has seen no higher fencing token.
func (x *executor) carryOutLate(r *http.Request, call func(l *life, o order) string) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		return
	}
	id := r.Header.Get("Expected-Instance")
	time.AfterFunc(2*time.Second+rand.N(10*time.Second), func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		l := x.life
		if x.closed || l.over || l.id != id || o.FenceToken < l.fence {
			return
		}
		l.fence = o.FenceToken
		x.lapse(l)
		if reason := call(l, o); reason == "" {
			x.rec.logf("late order on %s carried out: %s attempt %d", x.name, o.Task, o.Attempt)
		}
	})
}

func (x *executor) runStart(l *life, o order) string {
	k := runKey{o.Task, o.Attempt}
	if l.running[k] != nil {
		return ""
	}
	if o.Attempt <= l.highest[o.Task] {
		l.extend(o.DeadlineMS)
		return "old"
	}
	if o.DeadlineMS <= l.clock() {
		return "late"
	}
	l.extend(o.DeadlineMS)
	r := &run{task: o.Task, attempt: o.Attempt, executor: x.name, life: l.id, labels: l.labels, began: time.Now()}
	if !l.announced.IsZero() {
		r.known = time.Since(l.announced)
	}
	how := "done"
	if rand.Float64() < x.failShare {
		how = "failed"
	}
	r.timer = time.AfterFunc(time.Duration(x.slowness*float64(x.work(o.Task))), func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		if l.running[k] == r {
			x.end(l, k, how)
		}
	})
	l.running[k] = r
	x.runs = append(x.runs, r)
	x.rec.logf("run of %s attempt %d on %s (%v) begins", o.Task, o.Attempt, x.name, l.labels)
	return ""
}

func (x *executor) runStop(l *life, o order) string {
	x.end(l, runKey{o.Task, o.Attempt}, "stopped")
	l.highest[o.Task] = max(l.highest[o.Task], o.Attempt)
	return ""
}

func (x *executor) hold(w http.ResponseWriter, r *http.Request) {
	l, o, ok := x.admit(w, r)
	if !ok {
		return
	}
	l.extend(o.DeadlineMS)
	for len(l.ends) > 0 && l.ends[0].n <= o.LastSeen {
		l.ends = l.ends[1:]
	}
	if len(l.ends) == 0 && o.WaitMS > 0 {
		changed := l.changed
		x.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond):
		}
		x.mu.Lock()
	}
	if x.life != l || l.over {
		x.mu.Unlock()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	running, finished := [][]any{}, [][]any{}
	for k := range l.running {
		running = append(running, []any{k.task, k.attempt, "", 100, 0})
	}
	for _, e := range l.ends[:min(len(l.ends), 500)] {
		finished = append(finished, []any{e.n, e.key.task, e.key.attempt, e.how, ""})
	}
	body := map[string]any{"clock_ms": l.clock(), "born": l.born, "running": running, "finished": finished}
	x.mu.Unlock()
	writeJSON(w, http.StatusOK, body)
}

// taskParts returns the job and the step of a task's name.
func taskParts(task string) (job string, step int) {
	p := strings.Split(task, ".")
	if len(p) != 4 {
		return task, -1
	}
	step, _ = strconv.Atoi(p[2])
	return p[0], step
}

func (r *run) String() string {
	return fmt.Sprintf("%s attempt %d on %s", r.task, r.attempt, r.executor)
}
