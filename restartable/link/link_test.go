package link_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/rhubarbsail/rhubarbsail/common/boottime"
	"github.com/rhubarbsail/rhubarbsail/restartable/dispatch"
	"github.com/rhubarbsail/rhubarbsail/restartable/link"
	"github.com/rhubarbsail/rhubarbsail/restartable/queues"
	"github.com/rhubarbsail/rhubarbsail/restartable/runner"
	"github.com/rhubarbsail/rhubarbsail/restartable/subset"
	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

type ignore struct{}

func (ignore) JobEnded(dispatch.FinishedJob) {}
func (ignore) AttemptEnded(runner.Report)    {}

// runTime is how long a task takes on a quickTarget: longer than two frames of a
// link are apart.
const runTime = 300 * time.Millisecond

// quickTarget does every task in runTime.
type quickTarget struct {
	mu      sync.Mutex
	running map[runner.Attempt]time.Time // with the time of the end
	ends    []runner.End
}

func newQuickTarget() *quickTarget { return &quickTarget{running: map[runner.Attempt]time.Time{}} }

func (q *quickTarget) Start(_ context.Context, _ runner.Target, s runner.Start, _, _ int64) (runner.StartResult, int64, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running[runner.Attempt{Task: s.Task, Number: s.Attempt}] = time.Now().Add(runTime)
	return runner.StartAccepted, 1, nil
}

func (q *quickTarget) Stop(_ context.Context, _ runner.Target, a runner.Attempt, _ int64) (int64, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.end(a, task.Stopped)
	return 1, nil
}

// end runs with q.mu held.
func (q *quickTarget) end(a runner.Attempt, o task.Outcome) {
	if _, ok := q.running[a]; ok {
		delete(q.running, a)
		q.ends = append(q.ends, runner.End{Attempt: a, Outcome: o})
	}
}

func (q *quickTarget) Look(_ context.Context, t runner.Target, l runner.LookQuery) (runner.LookReply, error) {
	time.Sleep(time.Millisecond)
	q.mu.Lock()
	defer q.mu.Unlock()
	reply := runner.LookReply{Clock: 1, Born: t.Born}
	for a, due := range q.running {
		if time.Now().After(due) {
			q.end(a, task.Done)
			continue
		}
		reply.Running = append(reply.Running, a)
	}
	reply.LastEnd, reply.Ended = int64(len(q.ends)), q.ends[min(int(l.LastEnd), len(q.ends)):]
	return reply, nil
}

// relay passes connections on until they are silenced: then it reads on, and
// passes nothing on, as a link that has lost its route without a reset does.
type relay struct {
	listener net.Listener
	to       string
	silent   atomic.Int64 // connections up to this number are silent
	opened   atomic.Int64
}

func newRelay(t *testing.T, to string) *relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: l, to: to}
	go r.accept()
	t.Cleanup(func() { _ = l.Close() })
	return r
}

func (r *relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		d, err := net.Dial("tcp", r.to)
		if err != nil {
			_ = c.Close()
			continue
		}
		n := r.opened.Add(1)
		go r.copy(n, c, d)
		go r.copy(n, d, c)
	}
}

func (r *relay) copy(n int64, from, to net.Conn) {
	defer func() { _ = from.Close(); _ = to.Close() }()
	buf := make([]byte, 32<<10)
	for {
		size, err := from.Read(buf)
		if err != nil {
			return
		}
		if n <= r.silent.Load() {
			continue
		}
		if _, err := to.Write(buf[:size]); err != nil {
			return
		}
	}
}

// silence silences all connections that are open.
func (r *relay) silence() { r.silent.Store(r.opened.Load()) }

// startGateway returns a dispatcher and the address of its links.
func startGateway(t *testing.T) (*dispatch.Dispatcher, string) {
	d := dispatch.New(dispatch.NewCore(dispatch.DefaultOptions("z")), boottime.Now, zerolog.Nop(), ignore{})
	ctx, cancel := context.WithCancel(context.Background())
	go d.Run(ctx)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	s := &http.Server{Handler: link.NewServer(d, &queues.CurrentConfig{}, link.NewGateways(boottime.Now)).Handler(), Protocols: protocols}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() {
		cancel()
		_ = s.Close()
	})
	return d, l.Addr().String()
}

// startAgent starts an agent that links to gateways and returns the set of them.
func startAgent(t *testing.T, gateways ...string) *link.Gateways {
	r := runner.New(runner.NewCore(runner.DefaultOptions()), newQuickTarget(), 1, boottime.Now, zerolog.Nop(), ignore{}, runner.DefaultDriveOptions())
	known := link.NewGateways(boottime.Now, gateways...)
	c := link.NewClient("agent", "z", r, known, zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { r.Run(ctx) })
	wg.Go(func() { c.Run(ctx) })
	r.Heartbeat(runner.Target{ID: "t", Born: 1, Service: "s", Capacity: task.Resources{CPUMillis: 200_000, MemoryMB: 1000}})
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return known
}

// smallJob is a job of three short tasks.
func smallJob(id string) dispatch.Submission {
	return dispatch.Submission{
		ID: id, Queue: queues.Queue{Name: "q", Service: "s", MaxAttempts: 3, Timeout: 3 * time.Second, StretchFactor: 2, TargetLatency: time.Second},
		Wait:  3 * time.Second,
		Steps: []dispatch.Step{{Tasks: 3, Needs: task.Resources{CPUMillis: 1000, MemoryMB: 1}, Estimate: runTime}},
	}
}

// awaitWork waits until the gateway can run a job. The limit only ends a failed
// test.
func awaitWork(t *testing.T, d *dispatch.Dispatcher, id string) {
	t.Helper()
	s := smallJob(id)
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if !d.CanPlace() {
			continue
		}
		if a := d.Submit(context.Background(), s); a.State == dispatch.Completed {
			return
		}
	}
	t.Error("no job was completed")
}

// Guards against a link that never works again since its connection has gone
// silent without a reset: a stream that is opened anew must not share it.
func TestLinkRecoversFromASilentConnection(t *testing.T) {
	d, address := startGateway(t)
	r := newRelay(t, address)
	startAgent(t, r.listener.Addr().String())
	awaitWork(t, d, "before")
	r.silence()
	for end := time.Now().Add(20 * time.Second); d.CanPlace() && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	awaitWork(t, d, "after")
}

// gatewaysKnown are twice as many gateways as an agent keeps links to.
var gatewaysKnown = 2 * subset.DefaultOptions().Links

// Guards against jobs that are cut when an agent moves its link to another
// gateway, and against links to more gateways than it keeps: half of the gateways
// become known while jobs run at the others.
func TestMovedLinksCutNoJob(t *testing.T) {
	var all []*dispatch.Dispatcher
	var addresses []string
	for range gatewaysKnown {
		d, address := startGateway(t)
		all, addresses = append(all, d), append(addresses, address)
	}
	known := startAgent(t, addresses[:gatewaysKnown/2]...)
	var working sync.WaitGroup
	for i, d := range all[:gatewaysKnown/2] {
		working.Go(func() { awaitWork(t, d, fmt.Sprintf("first-%d", i)) })
	}
	working.Wait()
	ctx, stop := context.WithCancel(t.Context())
	var submitters sync.WaitGroup
	// Several at a time: a frame for one job finds another one at work.
	for i := range 3 * len(all) {
		submitters.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				a := all[i%len(all)].Submit(t.Context(), smallJob(fmt.Sprintf("%d-%d", i, n)))
				if a.State != dispatch.Completed && a.State != dispatch.NotRun {
					t.Errorf("gateway %d: %v, cause %s", i%len(all), a.State, a.Cause)
				}
				time.Sleep(2 * time.Millisecond)
			}
		})
	}
	for _, a := range addresses[gatewaysKnown/2:] {
		known.Add(a)
	}
	settled := awaitMove(all[:gatewaysKnown/2], all[gatewaysKnown/2:])
	stop()
	submitters.Wait()
	if !settled {
		t.Fatal("the links have not moved, or the agent does not keep links to half of the gateways")
	}
}

// awaitMove waits until some of the newer gateways have the agent, and as many
// have it together as there were first. The limit only ends a failed test.
func awaitMove(first, newer []*dispatch.Dispatcher) bool {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		old, moved := linked(first), linked(newer)
		if moved > 0 && old+moved == len(first) {
			return true
		}
	}
	return false
}

// linked counts the agent's links.
func linked(gateways []*dispatch.Dispatcher) int {
	n := 0
	for _, d := range gateways {
		n += d.Status().Agents
	}
	return n
}
