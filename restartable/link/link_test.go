package link_test

import (
	"context"
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
	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

type ignore struct{}

func (ignore) JobEnded(dispatch.Ended)    {}
func (ignore) AttemptEnded(runner.Report) {}

// quickTarget does every task at once.
type quickTarget struct {
	mu   sync.Mutex
	ends []runner.End
}

func (q *quickTarget) Start(_ context.Context, _ runner.Target, s runner.Start, _, _ int64) (runner.StartResult, int64, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ends = append(q.ends, runner.End{Attempt: runner.Attempt{Task: s.Task, Number: s.Attempt}, Outcome: task.Done})
	return runner.StartAccepted, 1, nil
}

func (q *quickTarget) Stop(context.Context, runner.Target, runner.Attempt, int64) (int64, error) {
	return 1, nil
}

func (q *quickTarget) Look(_ context.Context, t runner.Target, l runner.LookQuery) (runner.LookReply, error) {
	time.Sleep(time.Millisecond)
	q.mu.Lock()
	defer q.mu.Unlock()
	return runner.LookReply{Clock: 1, Born: t.Born, LastEnd: int64(len(q.ends)), Ended: q.ends[min(int(l.LastEnd), len(q.ends)):]}, nil
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
	s := &http.Server{Handler: link.NewServer(d, &queues.Current{}, link.NewGateways(boottime.Now)).Handler(), Protocols: protocols}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() {
		cancel()
		_ = s.Close()
	})
	return d, l.Addr().String()
}

// startAgent returns an agent that links to the gateway at the address.
func startAgent(t *testing.T, gateway string) {
	r := runner.New(runner.NewCore(runner.DefaultOptions()), &quickTarget{}, 1, boottime.Now, zerolog.Nop(), ignore{}, runner.DefaultDriveOptions())
	c := link.NewClient("agent", "z", r, link.NewGateways(boottime.Now, gateway), zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { r.Run(ctx) })
	wg.Go(func() { c.Run(ctx) })
	r.Heartbeat(runner.Target{ID: "t", Born: 1, Service: "s", Capacity: task.Resources{CPUMillis: 4000, MemoryMB: 100}})
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
}

// awaitWork waits until the gateway can run a job. The limit only ends a failed
// test.
func awaitWork(t *testing.T, d *dispatch.Dispatcher, id string) {
	t.Helper()
	s := dispatch.Submission{
		ID: id, Queue: queues.Queue{Name: "q", Service: "s", MaxAttempts: 3, Timeout: 3 * time.Second, Stretch: 2, TargetLatency: time.Second},
		Wait:  3 * time.Second,
		Steps: []dispatch.Step{{Tasks: 3, Needs: task.Resources{CPUMillis: 1000, MemoryMB: 1}, Estimate: 20 * time.Millisecond}},
	}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if !d.CanPlace() {
			continue
		}
		if a := d.Submit(context.Background(), s); a.State == dispatch.Completed {
			return
		}
	}
	t.Fatal("no job was completed")
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
