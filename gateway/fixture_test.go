package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/model"
	"github.com/rhubarbsail/rhubarbsail/control"
	"github.com/rhubarbsail/rhubarbsail/gateway/agentlink"
	rhubarbsailv1 "github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/v1"
	"github.com/rhubarbsail/rhubarbsail/inventory"
	"github.com/rhubarbsail/rhubarbsail/logservice/logservicetest"
	"github.com/rhubarbsail/rhubarbsail/state"
)

const (
	self            = "gateway-a"
	selfIncarnation = model.Incarnation(100)
	other           = "gateway-b"
)

// fixture runs an engine with one partition without goroutines, network or real time.
type fixture struct {
	t *testing.T
	e *engine
	// machine holds the control state, offset its newest record.
	machine  *state.Machine
	now      time.Time
	offset   uint64
	sessions map[string]*agentlink.Session
	// started holds the starts that takeFrames has read and takeStarts has not yet
	// returned, by agent.
	started map[string][]*rhubarbsailv1.Start
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	opts := Options{ID: self, Incarnation: selfIncarnation, Address: "127.0.0.1:1", Partitions: 1}.withDefaults()
	g := &Gateway{opts: opts, started: time.Unix(1_000_000, 0)}
	g.deps = Deps{Log: logservicetest.NewFake()}.withDefaults(opts)
	g.ctx, g.cancel = context.WithCancel(t.Context())
	g.control = control.New(control.Options{Log: g.deps.Log, Stream: "s", Writer: self})
	f := &fixture{
		t: t, e: newEngine(g), machine: state.NewMachine(state.Options{}),
		now: g.started.Add(time.Minute), sessions: make(map[string]*agentlink.Session),
		started: make(map[string][]*rhubarbsailv1.Start),
	}
	f.e.dial = func(agentlink.Agent) func() { return func() {} }
	cfg := inventory.New(
		inventory.Inventory{Targets: []inventory.Target{{ID: "t1", Service: "work"}, {ID: "t2", Service: "work"}, {ID: "t3", Service: "work"}}},
		inventory.Rules{Clients: []inventory.Client{{ID: "c", Share: 1}, {ID: "d", Share: 1}}, Services: []inventory.Service{{ID: "work"}}})
	doc, err := cfg.JSON()
	if err != nil {
		t.Fatal(err)
	}
	f.appendRecord(state.KindConfigChange, state.ConfigChange{Operator: "test", Config: doc})
	f.appendRecord(state.KindGatewayJoined, state.Gateway{ID: self, Incarnation: selfIncarnation, Address: "a:1"})
	f.appendRecord(state.KindGatewayJoined, state.Gateway{ID: other, Incarnation: 7, Address: "b:1"})
	return f
}

// appendRecord applies a record to the control state and passes the new snapshot to
// the engine.
func (f *fixture) appendRecord(kind state.Kind, body any) {
	f.t.Helper()
	b, err := json.Marshal(body)
	if err != nil {
		f.t.Fatal(err)
	}
	f.offset++
	data, err := json.Marshal(state.Record{ID: fmt.Sprint(f.offset), Kind: kind, Writer: other, Body: b})
	if err != nil {
		f.t.Fatal(err)
	}
	if r := f.machine.Apply(f.offset, f.now, data); r.Err() != nil {
		f.t.Fatal(r.Err())
	}
	f.e.applySnapshot(f.now, f.machine.Snapshot())
}

// claim appends a claim of the partition by a gateway.
func (f *fixture) claim(gateway string, inc model.Incarnation, handover bool) {
	f.appendRecord(state.KindClaim, state.Claim{
		Gateway: gateway, Incarnation: inc, Handover: handover,
		Partitions: []state.PartitionClaim{{Replaces: f.machine.Snapshot().Owners[0].Epoch}},
	})
}

// joinAgents appends the records of agents a1 to an with targets t1 to tn.
func (f *fixture) joinAgents(n int) {
	var list state.AgentsJoined
	for i := 1; i <= n; i++ {
		list.Agents = append(list.Agents, state.Agent{
			ID: fmt.Sprint("a", i), Incarnation: 1, Address: fmt.Sprint("agent:", i),
			Target: fmt.Sprint("t", i), Service: "work", Slots: 2, Connections: 8,
		})
	}
	f.appendRecord(state.KindAgentJoined, list)
}

// becomeFirstOwner joins n agents, makes this gateway the first owner of the partition
// and links all agents.
func (f *fixture) becomeFirstOwner(n int) {
	f.joinAgents(n)
	f.claim(self, selfIncarnation, false)
	for i := 1; i <= n; i++ {
		f.link(fmt.Sprint("a", i), 1)
	}
	f.answerProbes()
}

// link opens a session with the given incarnation of an agent.
func (f *fixture) link(agent string, inc model.Incarnation) {
	s := agentlink.NewSession(func() {})
	f.sessions[agent] = s
	f.e.LinkUp(f.e.agents[agent].listed, s, inc)
	f.runEngine()
	f.deliver(agent, &rhubarbsailv1.AgentFrame{Frame: &rhubarbsailv1.AgentFrame_Welcome{Welcome: &rhubarbsailv1.Welcome{AgentIncarnation: uint64(inc)}}})
}

// unlink closes the session with an agent.
func (f *fixture) unlink(agent string) {
	f.e.LinkDown(f.e.agents[agent].listed, f.sessions[agent], io.EOF)
	f.runEngine()
}

// runEngine handles the queued events and does what engine.run does after them.
func (f *fixture) runEngine() {
	f.e.handleQueued(f.now)
	f.e.lastHousekeeping = time.Time{}
	f.e.housekeeping(f.now)
	f.e.dispatch(f.now)
	f.e.flushCancels()
}

// advance moves the clock forward and runs the engine.
func (f *fixture) advance(d time.Duration) {
	f.now = f.now.Add(d)
	f.runEngine()
}

// deliver delivers a frame of an agent that has a permit and free slots.
func (f *fixture) deliver(agent string, m *rhubarbsailv1.AgentFrame) {
	m.Permit = &rhubarbsailv1.Permit{AgentIncarnation: 1}
	m.Load = &rhubarbsailv1.Load{Slots: 2, Accepting: true}
	f.e.LinkFrame(f.e.agents[agent].listed, f.sessions[agent], m)
	f.runEngine()
}

// report delivers a report of an agent with one task record.
func (f *fixture) report(agent string, r *rhubarbsailv1.TaskRecord) {
	f.deliver(agent, &rhubarbsailv1.AgentFrame{Frame: &rhubarbsailv1.AgentFrame_Report{Report: &rhubarbsailv1.TaskReport{
		Records: []*rhubarbsailv1.TaskRecord{r},
	}}})
}

// takeFrames returns the frames sent to the agent since the last call.
func (f *fixture) takeFrames(agent string) []*rhubarbsailv1.GatewayFrame {
	var out []*rhubarbsailv1.GatewayFrame
	for {
		select {
		case m := <-f.sessions[agent].Frames():
			out = append(out, m)
			if s := m.GetStart(); s != nil {
				f.started[agent] = append(f.started[agent], s.Starts...)
			}
		default:
			return out
		}
	}
}

// takeStarts returns the starts sent to all agents since the last call, by agent.
func (f *fixture) takeStarts() map[string][]*rhubarbsailv1.Start {
	for agent := range f.sessions {
		f.takeFrames(agent)
	}
	out := f.started
	f.started = make(map[string][]*rhubarbsailv1.Start)
	return out
}

// answerProbes replies to the open probes of all agents.
func (f *fixture) answerProbes() {
	for agent := range f.sessions {
		for _, m := range f.takeFrames(agent) {
			if p := m.GetProbe(); p != nil {
				f.deliver(agent, &rhubarbsailv1.AgentFrame{Frame: &rhubarbsailv1.AgentFrame_Probed{Probed: &rhubarbsailv1.ProbeReply{Sequence: p.Sequence}}})
			}
		}
	}
}

// answerFence replies to the open probes and fences of an agent, to the fences with
// records as its complete ledger.
func (f *fixture) answerFence(agent string, records ...*rhubarbsailv1.TaskRecord) {
	f.t.Helper()
	for _, m := range f.takeFrames(agent) {
		if p := m.GetProbe(); p != nil {
			f.deliver(agent, &rhubarbsailv1.AgentFrame{Frame: &rhubarbsailv1.AgentFrame_Probed{Probed: &rhubarbsailv1.ProbeReply{Sequence: p.Sequence}}})
		}
		if q := m.GetFence(); q != nil {
			f.deliver(agent, &rhubarbsailv1.AgentFrame{Frame: &rhubarbsailv1.AgentFrame_Fenced{Fenced: &rhubarbsailv1.FenceReply{
				Request: q.Request, Records: records, Last: true,
			}}})
		}
	}
}

// job returns a job of client c with n tasks that is submitted now.
func (f *fixture) job(key string, n int) *model.Job {
	return &model.Job{
		Key: model.JobKey{Client: "c", Key: key}, Service: "work", SubmittedAt: f.now,
		Deadline: f.now.Add(30 * time.Second), Tasks: make([]model.Task, n),
	}
}

// submit submits a job and returns the channel of the reply.
func (f *fixture) submit(j *model.Job) <-chan reply {
	to := make(chan reply, 1)
	f.e.submit(f.now, submission{job: j, digest: j.Digest(), ctx: f.t.Context()}, to)
	f.runEngine()
	return to
}

// wantAnswer fails the test unless the submission has been answered with this state
// and reason.
func (f *fixture) wantAnswer(to <-chan reply, s model.RunState, reason model.Reason) model.Answer {
	f.t.Helper()
	select {
	case r := <-to:
		if r.moved || r.answer.State != s || r.answer.Reason != reason {
			f.t.Fatalf("reply %+v, want %v %q", r, s, reason)
		}
		return r.answer
	default:
		f.t.Fatalf("no reply, want %v %q", s, reason)
	}
	return model.Answer{}
}

// wantNoReply fails the test if the submission has a reply.
func (f *fixture) wantNoReply(to <-chan reply) {
	f.t.Helper()
	select {
	case r := <-to:
		f.t.Fatalf("reply %+v, want none yet", r)
	default:
	}
}

// outcomeRecord returns a record with the outcome of a start.
func outcomeRecord(s *rhubarbsailv1.Start, st rhubarbsailv1.TaskState, result string) *rhubarbsailv1.TaskRecord {
	return &rhubarbsailv1.TaskRecord{
		Task: s.Task, Epoch: s.Epoch, Attempt: s.Attempt, State: st, Result: []byte(result), JobDigest: s.JobDigest, RunNanos: int64(time.Millisecond),
	}
}
