package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
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
	callersOfSite = 12
	// thinkMax bounds a caller's pause between two jobs.
	thinkMax = 200 * time.Millisecond
	// patience is how long a caller waits for an answer; resendAfter is the pause
	// after a missing one.
	patience    = 1500 * time.Millisecond
	resendAfter = 1300 * time.Millisecond
	sendsMax    = 4
	// failShare, longShare and hopelessShare are the shares of jobs whose tasks
	// fail, take most of the caller's time, and far more than that.
	failShare     = 0.03
	longShare     = 0.1
	hopelessShare = 0.07
)

// Streams of random numbers of a seed: the callers' are numbered from 1 on.
const (
	burstStream = 1 << 32
	callsStream = 2 << 32
)

// callers submit jobs as the platform's clients do: a caller keeps its
// connection until the gateway closes it, and sends a job again after a missing
// answer, to any gateway that takes connections.
type callers struct {
	site   *site
	judge  *judge
	seed   uint64
	next   atomic.Uint64
	bursts atomic.Uint64
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu    sync.Mutex // owns conns
	conns map[*node][]*callerConn
}

func startCallers(s *site, j *judge, seed uint64) *callers {
	c := &callers{site: s, judge: j, seed: seed, conns: map[*node][]*callerConn{}}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	for i := range callersOfSite * *size {
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
	return c
}

// stop ends the load after the answers in progress.
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

// burst submits many jobs at once.
func (c *callers) burst(n int) {
	var wg sync.WaitGroup
	for range n {
		r := rand.New(rand.NewPCG(c.seed, c.bursts.Add(1)+burstStream))
		wg.Go(func() {
			cl := c.newClient()
			defer cl.close()
			cl.run(c.newJob(r), r)
		})
	}
	wg.Wait()
}

// job is what one caller wants, and what came of it.
type job struct {
	standin.Job
	sends []*send
}

// send is one submission of a job.
type send struct {
	gateway   *node
	at, ended time.Time
	answer    standin.Answer
	err       error
}

func (c *callers) newJob(r *rand.Rand) *job {
	j := &job{Job: standin.Job{ID: fmt.Sprintf("%08x%08x", uint32(c.seed), c.next.Add(1)), Tasks: 1 + r.IntN(6), Timeout: patience}}
	switch p := r.Float64(); {
	case p < failShare:
		j.Spec = "fail"
	case p < failShare+longShare:
		j.Spec = fmt.Sprintf("ms=%d", 400+r.IntN(900))
	case p < failShare+longShare+hopelessShare:
		// If such a run outlives its gateway or its caller, it meets that of the
		// job's next submission.
		j.Spec = fmt.Sprintf("ms=%d", 2500+r.IntN(2000))
	default:
		j.Spec = fmt.Sprintf("ms=%d", 10+r.IntN(100))
	}
	return j
}

// client is one caller with its connection.
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

// run submits a job until it has an answer or was sent often enough.
func (cl *client) run(j *job, r *rand.Rand) {
	for range sendsMax {
		if cl.gateway == nil {
			cl.gateway = cl.load.choose(r)
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
		time.Sleep(resendAfter)
	}
	cl.load.judge.add(j)
}

// choose returns a gateway that takes new connections.
func (c *callers) choose(r *rand.Rand) *node {
	var in []*node
	for _, g := range c.site.gateways {
		if g.inRotation.Load() {
			in = append(in, g)
		}
	}
	if len(in) == 0 {
		in = c.site.gateways
	}
	return in[r.IntN(len(in))]
}

func (cl *client) send(j *job) *send {
	// The caller waits a little longer than it says, so that a late answer is
	// seen as such.
	ctx, cancel := context.WithTimeout(context.Background(), patience+slack)
	defer cancel()
	s := &send{gateway: cl.gateway, at: time.Now()}
	caller := cl.load.site.caller(cl.gateway, jobQueue)
	caller.HTTPClient = cl.http
	s.answer, s.err = caller.Send(ctx, j.Job)
	s.ended = time.Now()
	return s
}

// callerConn is a caller's connection that can break.
type callerConn struct {
	net.Conn
	silent atomic.Bool
	once   sync.Once
	closed chan struct{}
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
	return k.Conn.Write(b)
}

// Close implements net.Conn. The gateway does not learn of the end of a silent
// connection.
func (k *callerConn) Close() error {
	k.once.Do(func() { close(k.closed) })
	if k.silent.Load() {
		return nil
	}
	return k.Conn.Close()
}

// The ways in which a connection breaks.
func resetConnection(k *callerConn) {
	_ = k.Conn.(*net.TCPConn).SetLinger(0)
	_ = k.Close()
}

// loseConnection ends a connection without a segment to the gateway, as if the
// reset had been lost. Only root may do so; otherwise the reset arrives.
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

func silenceConnection(k *callerConn) { k.silent.Store(true) }

// breakConnections breaks the callers' connections to a gateway.
func (c *callers) breakConnections(g *node, how func(*callerConn)) {
	end := g.disturb()
	c.mu.Lock()
	conns := slices.Clone(c.conns[g])
	c.mu.Unlock()
	for _, k := range conns {
		how(k)
	}
	time.Sleep(patience)
	end()
}

// refusedConnection tells whether nothing listened at the gateway.
func (s *send) refusedConnection() bool { return errors.Is(s.err, syscall.ECONNREFUSED) }
