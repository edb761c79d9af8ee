package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxHold   = time.Second             // max_hold_ms
	heartbeat = 1500 * time.Millisecond // heartbeat_ms
)

// executor is a stand-in for the executor on a side machine. It keeps its address over
// its lives: the machine's supervisor holds the listening socket.
type executor struct {
	name, address, agent, zone string
	cpu                        int64

	// lateShare is the share of the orders without an answer that are carried out late:
	// those of the time in which the executor is silent, when it is back.
	lateShare float64
	// stopTakes is the time that a stop takes, at most kill_grace_ms.
	stopTakes time.Duration

	mu    sync.Mutex
	life  *life
	conns map[net.Conn]bool
	late  []lateOrder
	// starts are all starts of all lives.
	starts []*start
}

// life is one life of the executor. What it holds is lost with it.
type life struct {
	id, kind string
	born     int64
	began    time.Time
	seq      int
	fence    int64
	lease    time.Duration // on the clock of this life
	running  map[string]*start
	ended    []end
	ends     int
	highest  map[string]int // the highest run of a task that has ended or was stopped here
	changed  chan struct{}
	// known is when the agent first acknowledged a heartbeat of this life.
	known time.Time
	// over is set when the life has ended; replaced is closed when the next one begins.
	over     bool
	replaced chan struct{}
}

// lateOrder is an order that waits to be carried out.
type lateOrder struct {
	path, instance string
	call           call
}

type end struct {
	number int
	run    *start
}

// start is one run of a task.
type start struct {
	Task     string
	Attempt  int
	Spec     string
	Executor string
	Kind     string
	Begun    time.Time
	Ended    time.Time // zero while it runs
	How      string
	// Late is set if the order was carried out late.
	Late bool
	// KnownFor is the time since the agent had acknowledged a heartbeat of this life,
	// which names its labels; negative if it had not yet.
	KnownFor time.Duration
}

func newExecutor(name, kind string, cpu int64) *executor {
	x := &executor{name: name, cpu: cpu, conns: map[net.Conn]bool{}}
	x.life = x.newLife(kind)
	return x
}

func (x *executor) newLife(kind string) *life {
	return &life{
		id: "i-" + x.name, kind: kind, born: time.Now().UnixMilli(), began: time.Now(), running: map[string]*start{},
		highest: map[string]int{}, changed: make(chan struct{}), replaced: make(chan struct{}),
	}
}

// restart ends the present life, with all that it runs, and begins another one after
// down. Until then the executor is silent; calls of that time are not executed.
func (x *executor) restart(kind string, down time.Duration) {
	x.mu.Lock()
	x.expire()
	for _, r := range x.life.running {
		r.Ended, r.How = time.Now(), "crashed"
	}
	before := x.life
	before.over = true
	x.mu.Unlock()
	time.Sleep(down)
	x.mu.Lock()
	x.life = x.newLife(kind)
	for _, o := range x.late {
		if o.instance == "" || o.instance == x.life.id {
			x.order(o.path, o.call, true)
		}
	}
	x.late = nil
	close(before.replaced)
	for c := range x.conns {
		_ = c.Close()
	}
	x.mu.Unlock()
	x.beat()
}

// serve serves the executor's calls at a listener.
func (x *executor) serve(l net.Listener) {
	s := &http.Server{Handler: x, ConnState: func(c net.Conn, st http.ConnState) {
		x.mu.Lock()
		defer x.mu.Unlock()
		switch st {
		case http.StateNew:
			x.conns[c] = true
		case http.StateClosed, http.StateHijacked:
			delete(x.conns, c)
		}
	}}
	_ = s.Serve(l)
}

// beatUntil sends heartbeats until stop is closed.
func (x *executor) beatUntil(stop <-chan struct{}) {
	for {
		x.beat()
		select {
		case <-stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (x *executor) beat() {
	x.mu.Lock()
	v := x.life
	if v.over {
		x.mu.Unlock()
		return
	}
	v.seq++
	body, _ := json.Marshal(map[string]any{
		"service": service, "address": x.address, "zone": x.zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"capacity": map[string]int64{"cpu": x.cpu, "mem_mb": 32768, "gpu": 0}, "labels": []string{v.kind, "r1-" + x.name},
		"clock_ms": v.clock().Milliseconds(), "seq": v.seq, "born": v.born,
	})
	x.mu.Unlock()
	c := http.Client{Timeout: time.Second}
	resp, err := c.Post("http://"+x.agent+"/api/instances/"+v.id+"/heartbeat", "application/json", bytes.NewReader(body))
	if err != nil {
		return
	}
	_ = resp.Body.Close()
	x.mu.Lock()
	defer x.mu.Unlock()
	if resp.StatusCode/100 == 2 && v.known.IsZero() {
		v.known = time.Now()
	}
}

func (v *life) clock() time.Duration { return time.Since(v.began) }

// expire ends what runs if the lease has passed. The caller holds x.mu.
func (x *executor) expire() {
	v := x.life
	if v.clock() <= v.lease {
		return
	}
	for _, r := range v.running {
		x.finish(r, "lapsed", v.began.Add(v.lease))
	}
}

// finish ends a run. The caller holds x.mu.
func (x *executor) finish(r *start, how string, at time.Time) {
	v := x.life
	if v.running[r.Task] != r {
		return
	}
	delete(v.running, r.Task)
	r.Ended, r.How = at, how
	v.highest[r.Task] = max(v.highest[r.Task], r.Attempt)
	v.ends++
	v.ended = append(v.ended, end{v.ends, r})
	close(v.changed)
	v.changed = make(chan struct{})
}

type call struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	FenceToken int64  `json:"fence_token"`
	LastSeen   int    `json:"last_seen"`
	WaitMS     int64  `json:"wait_ms"`
}

func (x *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var c call
	if err != nil || json.Unmarshal(body, &c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	x.mu.Lock()
	v := x.life
	if v.over {
		if r.URL.Path != "/api/hold" && rand.Float64() < x.lateShare {
			x.late = append(x.late, lateOrder{r.URL.Path, r.Header.Get("Expected-Instance"), c})
		}
		x.mu.Unlock()
		<-v.replaced
		panic(http.ErrAbortHandler)
	}
	if id := r.Header.Get("Expected-Instance"); id != "" && id != v.id {
		x.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	status, out := x.order(r.URL.Path, c, false)
	over := v.over
	out["clock_ms"], out["born"] = v.clock().Milliseconds(), v.born
	x.mu.Unlock()
	if over {
		<-v.replaced
		panic(http.ErrAbortHandler)
	}
	reply(w, status, out)
}

// order carries out a call. The caller holds x.mu.
func (x *executor) order(path string, c call, late bool) (int, map[string]any) {
	x.expire()
	if c.FenceToken < x.life.fence {
		return http.StatusConflict, map[string]any{"reason": "fence"}
	}
	x.life.fence = c.FenceToken
	switch path {
	case "/api/run-start":
		return x.start(c, late)
	case "/api/run-stop":
		return x.stop(c)
	case "/api/hold":
		return x.hold(c)
	}
	return http.StatusNotFound, map[string]any{}
}

// extend extends the lease. The caller holds x.mu.
func (x *executor) extend(deadlineMS int64) {
	v := x.life
	v.lease = max(v.lease, min(time.Duration(deadlineMS)*time.Millisecond, v.clock()+maxHold))
}

func (x *executor) start(c call, late bool) (int, map[string]any) {
	v := x.life
	if r := v.running[c.Task]; r != nil && r.Attempt == c.Attempt {
		return http.StatusOK, map[string]any{}
	}
	if c.Attempt <= v.highest[c.Task] {
		x.extend(c.DeadlineMS)
		return http.StatusConflict, map[string]any{"reason": "old"}
	}
	if time.Duration(c.DeadlineMS)*time.Millisecond <= v.clock() {
		return http.StatusConflict, map[string]any{"reason": "late"}
	}
	x.extend(c.DeadlineMS)
	r := &start{Task: c.Task, Attempt: c.Attempt, Spec: c.Spec, Executor: x.name, Kind: v.kind, Begun: time.Now(), Late: late, KnownFor: -1}
	if !v.known.IsZero() {
		r.KnownFor = time.Since(v.known)
	}
	v.running[c.Task] = r
	x.starts = append(x.starts, r)
	time.AfterFunc(workOf(c.Spec), func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		if !v.over {
			x.expire()
			x.finish(r, "done", time.Now())
		}
	})
	return http.StatusOK, map[string]any{}
}

// workOf returns the time that a task of a spec works.
func workOf(spec string) time.Duration {
	for _, f := range strings.Fields(spec) {
		if ms, ok := strings.CutPrefix(f, "work_ms="); ok {
			n, _ := strconv.Atoi(ms)
			return time.Duration(n) * time.Millisecond
		}
	}
	return 50 * time.Millisecond
}

func (x *executor) stop(c call) (int, map[string]any) {
	v := x.life
	v.highest[c.Task] = max(v.highest[c.Task], c.Attempt)
	if r := v.running[c.Task]; r != nil && r.Attempt == c.Attempt {
		x.stopRun(v, r)
	}
	return http.StatusOK, map[string]any{}
}

// stopRun ends a run after the time that a stop takes. The caller holds x.mu.
func (x *executor) stopRun(v *life, r *start) {
	if x.stopTakes == 0 {
		x.finish(r, "stopped", time.Now())
		return
	}
	time.AfterFunc(x.stopTakes, func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		if !v.over {
			x.expire()
			x.finish(r, "stopped", time.Now())
		}
	})
}

// hold waits, with x.mu released, for an end that is not acknowledged yet.
func (x *executor) hold(c call) (int, map[string]any) {
	v := x.life
	x.extend(c.DeadlineMS)
	v.ended = slices.DeleteFunc(v.ended, func(e end) bool { return e.number <= c.LastSeen })
	for until := time.Now().Add(time.Duration(c.WaitMS) * time.Millisecond); len(v.ended) == 0 && time.Now().Before(until) && !v.over; {
		changed := v.changed
		x.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(min(time.Until(until), 5*time.Millisecond)):
		}
		x.mu.Lock()
		if !v.over {
			x.expire()
		}
	}
	running, finished := [][]any{}, [][]any{}
	for _, r := range v.running {
		running = append(running, []any{r.Task, r.Attempt, "", 100, 0})
	}
	for _, e := range v.ended {
		finished = append(finished, []any{e.number, e.run.Task, e.run.Attempt, e.run.How, ""})
	}
	return http.StatusOK, map[string]any{"running": running, "finished": finished}
}

// all returns copies of all starts so far.
func (x *executor) all() []start {
	x.mu.Lock()
	defer x.mu.Unlock()
	out := make([]start, len(x.starts))
	for i, s := range x.starts {
		out[i] = *s
	}
	return out
}

func (s start) String() string {
	ended := "-"
	if !s.Ended.IsZero() {
		ended = s.Ended.Format(clockFormat)
	}
	how := s.How
	if s.Late {
		how += ", started by an order that was carried out late"
	}
	return fmt.Sprintf("%s run %d on %s (kind %s) from %s to %s, %s; the agent had known of this life for %d ms; spec %q",
		s.Task, s.Attempt, s.Executor, s.Kind, s.Begun.Format(clockFormat), ended, how, s.KnownFor.Milliseconds(), s.Spec)
}
