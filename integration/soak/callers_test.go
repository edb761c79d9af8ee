package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"github.com/rhubarbsail/rhubarbsail/platform/standin"
)

const (
	callerCount = 12
	// thinkMax bounds the time that a caller waits between two jobs.
	thinkMax = 200 * time.Millisecond
	// answerTimeout is the timeout that a caller states with a job; resendDelay is
	// how long it waits before it sends a job without a final answer again.
	answerTimeout = 1500 * time.Millisecond
	resendDelay   = 1300 * time.Millisecond
	// longAnswerTimeout is the timeout of some callers, longer than that of the queue.
	longAnswerTimeout = 4 * answerTimeout
	sendsMax          = 4
	// failShare, longShare, overlongShare and crashShare are the shares of jobs whose
	// tasks fail, take up most of answerTimeout, take far longer than it, and crash
	// their targets.
	failShare     = 0.03
	longShare     = 0.1
	overlongShare = 0.07
	crashShare    = 0.01
)

// Each stepsInterval-th job has parallel steps.
const stepsInterval = 20

// crashSpec is the spec of jobs whose tasks crash their targets.
const crashSpec = "crash"

// First stream numbers of a seed's random generators for bursts, for calls to targets and
// for callers that cancel their jobs, and the stream numbers for targetFaults and storeFaults. Stream 0 belongs to the schedule; those of the callers start at 1.
const (
	burstStream = 1 << 32
	callsStream = 2 << 32

	targetFaultsStream = 3 << 32
	storeFaultsStream  = 4 << 32
	cancelsStream      = 5 << 32
)

// callers submits jobs from concurrent clients that behave like the platform's
// own: a client keeps its connection until a request fails or the gateway closes
// it, and sends an unanswered job again to any gateway that is in rotation.
type callers struct {
	system  *system
	checker *checker
	seed    uint64
	next    atomic.Uint64
	bursts  atomic.Uint64
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu    sync.Mutex // owns conns
	conns map[*node][]*callerConn
}

func startCallers(s *system, check *checker, seed uint64) *callers {
	c := &callers{system: s, checker: check, seed: seed, conns: map[*node][]*callerConn{}}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	for i := range callerCount * *size {
		r := rand.New(rand.NewPCG(seed, uint64(i)+1))
		c.wg.Go(func() {
			cl := c.newClient()
			defer cl.close()
			for c.ctx.Err() == nil {
				cl.run(c.newJob(r), r)
				time.Sleep(time.Duration(r.Int64N(int64(thinkMax))))
			}
		})
	}
	c.startCancellers()
	return c
}

// stop ends the load: it waits for the requests in progress and closes all
// connections.
func (c *callers) stop() {
	c.cancel()
	c.wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conns := range c.conns {
		for _, k := range conns {
			_ = k.Conn.Close()
		}
	}
}

// burst submits n jobs concurrently and waits for their answers. Each is first sent to
// the given gateway, or to any if it is nil.
func (c *callers) burst(n int, first *node) {
	var wg sync.WaitGroup
	for range n {
		r := rand.New(rand.NewPCG(c.seed, c.bursts.Add(1)+burstStream))
		wg.Go(func() {
			cl := c.newClient()
			cl.gateway = first
			defer cl.close()
			cl.run(c.newJob(r), r)
		})
	}
	wg.Wait()
}

// job is a job of a caller with the outcome of each of its submissions.
type job struct {
	standin.Job
	sends []*send
}

// send is one submission of a job and its outcome.
type send struct {
	gateway   *node
	at, ended time.Time
	answer    standin.Answer
	err       error
	// conn is the connection of the last request that was sent for the submission.
	conn *callerConn
}

func (c *callers) newJob(r *rand.Rand) *job {
	n := c.next.Add(1)
	j := &job{Job: standin.Job{ID: fmt.Sprintf("%08x%08x", uint32(c.seed), n), Tasks: 1 + r.IntN(6), Timeout: answerTimeout}}
	switch p := r.Float64(); {
	case p < failShare:
		j.Spec = "fail"
	case p < failShare+longShare:
		j.Spec = fmt.Sprintf("ms=%d", 400+r.IntN(900))
	case p < failShare+longShare+overlongShare:
		// If such a run is not stopped when its gateway or its caller is gone, it
		// overlaps with the run of the job's next submission. Half of the callers wait
		// for its end.
		j.Spec = fmt.Sprintf("ms=%d", 2500+r.IntN(2000))
		if n%2 == 0 {
			j.Timeout = longAnswerTimeout
		}
	case p < failShare+longShare+overlongShare+crashShare:
		j.Spec = crashSpec
	default:
		j.Spec = fmt.Sprintf("ms=%d", 10+r.IntN(100))
	}
	if n%stepsInterval == 0 {
		// The draws above are kept, so that the other jobs of a seed stay as they were.
		j.Spec, j.Steps = parallelSteps(n / stepsInterval)
		j.Timeout = answerTimeout
	}
	return j
}

// parallelSteps returns the spec and the steps of the n-th job with two steps that both
// follow the first one. In every other job the last step is stated to take longer than
// the caller waits, so that it is refused beside the other one. The runs of that one take
// long enough to overlap with those of the job's next submission if they are not stopped.
func parallelSteps(n uint64) (spec string, steps []standin.Step) {
	first := standin.Step{Tasks: 1, Estimate: 20 * time.Millisecond}
	second := standin.Step{Tasks: 2, Estimate: 300 * time.Millisecond, DependsOn: []int{0}}
	third := standin.Step{Tasks: 2, Estimate: 50 * time.Millisecond, DependsOn: []int{0}, MaxPerTarget: 1}
	if n%2 == 0 {
		return "ms=20,200,50", []standin.Step{first, second, third}
	}
	third.Estimate = 2 * answerTimeout
	return "ms=20,3000,50", []standin.Step{first, second, third}
}

// client is one caller with a single connection.
type client struct {
	load    *callers
	gateway *node
	http    *http.Client
}

func (c *callers) newClient() *client {
	cl := &client{load: c}
	transport := &http.Transport{MaxConnsPerHost: 1, DialContext: cl.dial, DisableCompression: true}
	cl.http = &http.Client{Transport: transport}
	return cl
}

func (cl *client) close() { cl.http.CloseIdleConnections() }

func (cl *client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	k := &callerConn{Conn: conn, closed: make(chan struct{})}
	cl.load.mu.Lock()
	defer cl.load.mu.Unlock()
	cl.load.conns[cl.gateway] = append(cl.load.conns[cl.gateway], k)
	return k, nil
}

// run submits a job until it has a final answer, at most sendsMax times, and
// records it. 502 and 504 are not final.
func (cl *client) run(j *job, r *rand.Rand) {
	for range sendsMax {
		if cl.gateway == nil {
			cl.gateway = cl.load.chooseGateway(r)
		}
		s := cl.send(j)
		j.sends = append(j.sends, s)
		if s.err != nil || s.answer.Close {
			cl.gateway = nil
			cl.http.CloseIdleConnections()
		}
		if s.err == nil && s.answer.Status != http.StatusBadGateway && s.answer.Status != http.StatusGatewayTimeout {
			break
		}
		time.Sleep(resendDelay)
	}
	cl.load.checker.add(j)
}

// chooseGateway returns a random gateway that is in rotation, or any gateway if none is.
func (c *callers) chooseGateway(r *rand.Rand) *node {
	var available []*node
	for _, g := range c.system.gateways {
		if g.inRotation.Load() {
			available = append(available, g)
		}
	}
	if len(available) == 0 {
		available = c.system.gateways
	}
	return available[r.IntN(len(available))]
}

func (cl *client) send(j *job) *send {
	// The caller waits longer than the timeout that it states, so that a late
	// answer is detected as late.
	ctx, cancel := context.WithTimeout(context.Background(), j.Timeout+slack)
	defer cancel()
	s := &send{gateway: cl.gateway, at: time.Now()}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { s.conn, _ = i.Conn.(*callerConn) }})
	caller := cl.load.system.caller(cl.gateway, jobQueue)
	caller.HTTPClient = cl.http
	s.answer, s.err = caller.Send(ctx, j.Job)
	s.ended = time.Now()
	return s
}

// callerConn is a caller's connection that faults can break. While it is silent,
// writes are discarded and reads block until it is closed.
type callerConn struct {
	net.Conn
	silent atomic.Bool
	once   sync.Once
	closed chan struct{}

	mu sync.Mutex // held while the connection is written or closed
	// reset is true if the gateway's socket had sent a reset before the caller closed
	// the connection.
	reset bool
}

// Read implements net.Conn.
func (k *callerConn) Read(b []byte) (int, error) {
	n, err := k.Conn.Read(b)
	if !k.silent.Load() {
		return n, err
	}
	<-k.closed
	return 0, os.ErrClosed
}

// Write implements net.Conn.
func (k *callerConn) Write(b []byte) (int, error) {
	if k.silent.Load() {
		return len(b), nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.Conn.Write(b)
}

// Close implements net.Conn. The socket of a silent connection stays open, so
// that the gateway does not notice the end of the connection.
func (k *callerConn) Close() error {
	k.once.Do(func() { close(k.closed) })
	if k.silent.Load() {
		return nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.reset = k.reset || wasReset(k.Conn.(*net.TCPConn))
	return k.Conn.Close()
}

// wasReset reports whether the peer has reset an open connection. A socket sends a
// reset if it is closed before all received bytes have been read, or if bytes arrive
// after its close. Loopback delivers the reset before the peer's next system call.
func wasReset(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	var info *unix.TCPInfo
	var failed error
	err = raw.Control(func(fd uintptr) { info, failed = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	return errors.Join(err, failed) == nil && info.State == unix.BPF_TCP_CLOSE
}

// wasUnread reports whether the gateway cannot have read the whole request of a
// submission without an answer.
func (s *send) wasUnread() bool {
	if s.conn == nil {
		return false
	}
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	return s.conn.reset
}

// resetConnection closes a connection with a reset.
func resetConnection(k *callerConn) {
	_ = k.Conn.(*net.TCPConn).SetLinger(0)
	_ = k.Close()
}

// loseConnection closes a connection without sending a segment to the gateway, as
// if the reset had been lost. This requires root; for other users the gateway
// receives the reset.
func loseConnection(k *callerConn) {
	raw, err := k.Conn.(*net.TCPConn).SyscallConn()
	if err == nil {
		var failed error
		err = raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_REPAIR, 1)
		})
		err = errors.Join(err, failed)
	}
	if err != nil {
		resetConnection(k)
		return
	}
	_ = k.Close()
}

// silenceConnection makes a connection lose all data while it stays open.
func silenceConnection(k *callerConn) { k.silent.Store(true) }

// breakConnections breaks all connections of callers to a gateway and waits until
// the requests that were in progress have timed out.
func (c *callers) breakConnections(g *node, breakConn func(*callerConn)) {
	endFault := g.beginFault()
	c.mu.Lock()
	conns := slices.Clone(c.conns[g])
	c.mu.Unlock()
	for _, k := range conns {
		breakConn(k)
	}
	time.Sleep(answerTimeout)
	endFault()
}

// refusedConnection reports whether no process was listening at the gateway.
func (s *send) refusedConnection() bool { return errors.Is(s.err, syscall.ECONNREFUSED) }
