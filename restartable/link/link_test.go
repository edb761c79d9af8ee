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
	"github.com/rhubarbsail/rhubarbsail/restartable/zones"
)

type nopObserver struct{}

func (nopObserver) JobEnded(dispatch.FinishedJob) {}
func (nopObserver) AttemptEnded(runner.Report)    {}
func (nopObserver) TargetCrashed(task.Reason)     {}

// runTime is the run time of a task on a fakeTarget. It is longer than the time
// between two frames of a link.
const runTime = 300 * time.Millisecond

// fakeTarget completes every task in runTime.
type fakeTarget struct {
	mu sync.Mutex
	// runFor is the run time of tasks that start from now on.
	runFor  time.Duration
	running map[runner.Attempt]time.Time // with the time of the end
	ends    []runner.End
	polls   int
	// loseAnswers makes the answers to starts get lost.
	loseAnswers atomic.Bool
	// incarnation is that of testTarget until restart.
	incarnation int64
}

func newFakeTarget() *fakeTarget {
	return &fakeTarget{runFor: runTime, running: map[runner.Attempt]time.Time{}, incarnation: testTarget.Incarnation}
}

func (f *fakeTarget) Start(_ context.Context, _ runner.Target, s runner.Start, _, _ int64) (runner.StartResult, int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[runner.Attempt{Task: s.Task, Number: s.Attempt}] = time.Now().Add(f.runFor)
	if f.loseAnswers.Load() {
		return runner.StartUnanswered, 0, nil
	}
	return runner.StartAccepted, 1, nil
}

func (f *fakeTarget) Stop(_ context.Context, _ runner.Target, a runner.Attempt, _ int64) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.end(a, task.Stopped)
	return 1, nil
}

// setRunTime sets the run time of tasks that start from now on.
func (f *fakeTarget) setRunTime(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runFor = d
}

// awaitRuns waits until n runs have begun and the agent has learned of them: it takes the
// answers to the starts long before those to later polls. The time limit is only reached if
// the test fails.
func (f *fakeTarget) awaitRuns(t *testing.T, n int) {
	t.Helper()
	const laterPolls = 20
	polls := -1
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		f.mu.Lock()
		switch {
		case polls < 0 && len(f.running) == n:
			polls = f.polls
		case polls >= 0 && f.polls >= polls+laterPolls:
			f.mu.Unlock()
			return
		}
		f.mu.Unlock()
	}
	t.Fatalf("the target did not get %d runs", n)
}

// restart begins an incarnation, which has no runs.
func (f *fakeTarget) restart(incarnation int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.incarnation = incarnation
	clear(f.running)
	f.ends = nil
}

// end records the end of a run. The caller holds f.mu.
func (f *fakeTarget) end(a runner.Attempt, o task.Outcome) {
	if _, ok := f.running[a]; ok {
		delete(f.running, a)
		f.ends = append(f.ends, runner.End{Attempt: a, Outcome: o})
	}
}

func (f *fakeTarget) Poll(_ context.Context, _ runner.Target, req runner.PollRequest) (runner.PollReply, error) {
	time.Sleep(time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.polls++
	reply := runner.PollReply{Clock: 1, Incarnation: f.incarnation}
	for a, due := range f.running {
		if time.Now().After(due) {
			f.end(a, task.Done)
			continue
		}
		reply.Running = append(reply.Running, a)
	}
	reply.LastEndSeq, reply.Ended = int64(len(f.ends)), f.ends[min(int(req.LastEndSeq), len(f.ends)):]
	return reply, nil
}

// blackholeProxy forwards connections until blackhole is called. From then on it
// reads from the open ones but forwards nothing, like a connection that has lost
// its route without a reset.
type blackholeProxy struct {
	listener       net.Listener
	to             string
	blackholedUpTo atomic.Int64 // connections up to this number are blackholed
	opened         atomic.Int64
}

func newBlackholeProxy(t *testing.T, to string) *blackholeProxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &blackholeProxy{listener: l, to: to}
	go p.accept()
	t.Cleanup(func() { _ = l.Close() })
	return p
}

func (p *blackholeProxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		d, err := net.Dial("tcp", p.to)
		if err != nil {
			_ = c.Close()
			continue
		}
		n := p.opened.Add(1)
		go p.copy(n, c, d)
		go p.copy(n, d, c)
	}
}

func (p *blackholeProxy) copy(n int64, from, to net.Conn) {
	defer func() { _ = from.Close(); _ = to.Close() }()
	buf := make([]byte, 32<<10)
	for {
		size, err := from.Read(buf)
		if err != nil {
			return
		}
		if n <= p.blackholedUpTo.Load() {
			continue
		}
		if _, err := to.Write(buf[:size]); err != nil {
			return
		}
	}
}

// blackhole stops forwarding on all open connections.
func (p *blackholeProxy) blackhole() { p.blackholedUpTo.Store(p.opened.Load()) }

// startGateway starts a gateway and returns its dispatcher and the address for
// links.
func startGateway(t *testing.T) (*dispatch.Dispatcher, string) {
	d, address, _ := startGatewayWithDrains(t)
	return d, address
}

// startGatewayWithDrains also returns the drained zones that the gateway knows.
func startGatewayWithDrains(t *testing.T) (*dispatch.Dispatcher, string, *zones.Current) {
	drains := &zones.Current{}
	d := dispatch.New(dispatch.NewCore(dispatch.DefaultOptions("z")), boottime.Now, zerolog.Nop(), nopObserver{})
	ctx, cancel := context.WithCancel(context.Background())
	go d.Run(ctx)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	s := &http.Server{Handler: link.NewServer(d, &queues.CurrentConfig{}, drains, link.NewGateways(boottime.Now)).Handler(), Protocols: protocols}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() {
		cancel()
		_ = s.Close()
	})
	return d, l.Addr().String(), drains
}

// startAgent starts an agent that links to gateways, and returns its set of known
// gateways.
func startAgent(t *testing.T, gateways ...string) *link.Gateways {
	known, _, _ := startAgentWithTarget(t, gateways...)
	return known
}

// startAgentWithTarget also returns the agent's runner and its target.
func startAgentWithTarget(t *testing.T, gateways ...string) (*link.Gateways, *runner.Runner, *fakeTarget) {
	f := newFakeTarget()
	known, r, _ := startAgentOf(t, f, gateways...)
	return known, r, f
}

// startAgentOf starts the agent of a target, and also returns a function that ends it.
func startAgentOf(t *testing.T, f *fakeTarget, gateways ...string) (*link.Gateways, *runner.Runner, func()) {
	r := runner.New(runner.NewCore(runner.DefaultCoreOptions()), f, 1, boottime.Now, zerolog.Nop(), nopObserver{}, runner.DefaultOptions())
	known := link.NewGateways(boottime.Now, gateways...)
	c := link.NewClient("agent", "z", r, known, zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { r.Run(ctx) })
	wg.Go(func() { c.Run(ctx) })
	r.Heartbeat(testTarget)
	end := func() {
		cancel()
		wg.Wait()
	}
	t.Cleanup(end)
	return known, r, end
}

var testTarget = runner.Target{ID: "t", Incarnation: 1, Service: "s", Capacity: task.Resources{CPUMillis: 200_000, MemoryMB: 1000}}

// smallJob is a job of three short tasks.
func smallJob(id string) dispatch.Submission {
	return dispatch.Submission{
		ID: id, Queue: queues.Queue{Name: "q", Service: "s", MaxAttempts: 3, Timeout: 3 * time.Second, StretchFactor: 2, TargetLatency: time.Second},
		Wait:  3 * time.Second,
		Steps: []dispatch.Step{{Tasks: 3, Needs: task.Resources{CPUMillis: 1000, MemoryMB: 1}, Estimate: runTime}},
	}
}

// awaitCompletedJob waits until the gateway completes a job. The time limit is
// only reached if the test fails.
func awaitCompletedJob(t *testing.T, d *dispatch.Dispatcher, id string) {
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

// Guards against a link that never recovers after its connection has stopped
// delivering data without a reset: a new stream must not share that connection.
func TestLinkRecoversFromABlackholedConnection(t *testing.T) {
	d, address := startGateway(t)
	proxy := newBlackholeProxy(t, address)
	startAgent(t, proxy.listener.Addr().String())
	awaitCompletedJob(t, d, "before")
	proxy.blackhole()
	for end := time.Now().Add(20 * time.Second); d.CanPlace() && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	awaitCompletedJob(t, d, "after")
}

// Guards against a job that waits for its deadline, and against an agent that stays out
// of service, after all links have gone silent at the same time: a silent link tells
// nobody of its end, and all gateways lose the agent at once.
func TestJobsOfLinksThatGoSilentAreAnsweredAndTheLinksReplaced(t *testing.T) {
	var gateways []*dispatch.Dispatcher
	var proxies []*blackholeProxy
	var addresses []string
	for range 2 {
		d, address := startGateway(t)
		proxy := newBlackholeProxy(t, address)
		gateways, proxies, addresses = append(gateways, d), append(proxies, proxy), append(addresses, proxy.listener.Addr().String())
	}
	startAgent(t, addresses...)
	for _, d := range gateways {
		awaitCompletedJob(t, d, "before")
	}
	for _, p := range proxies {
		p.blackhole()
	}
	var wg sync.WaitGroup
	for i, d := range gateways {
		wg.Go(func() {
			job := smallJob(fmt.Sprintf("during-%d", i))
			job.Wait, job.Queue.Timeout = time.Minute, time.Minute
			// On a busy machine the gateway may miss the agent's reports before it places the job.
			if a := d.Submit(t.Context(), job); a.Cause != dispatch.CauseAgentLost && a.Cause != dispatch.CauseNoTarget {
				t.Errorf("gateway %d answers %v (%s), want an answer because of the lost agent", i, a.State, a.Cause)
			}
			awaitCompletedJob(t, d, fmt.Sprintf("after-%d", i))
		})
	}
	wg.Wait()
}

// gatewayCount is twice the number of gateways that an agent keeps links to.
var gatewayCount = 2 * subset.DefaultOptions().Links

// Guards against jobs that are interrupted when an agent moves its link to
// another gateway, and against keeping too many links: half of the gateways
// become known while jobs run at the others.
func TestMovedLinksInterruptNoJob(t *testing.T) {
	var all []*dispatch.Dispatcher
	var addresses []string
	for range gatewayCount {
		d, address := startGateway(t)
		all, addresses = append(all, d), append(addresses, address)
	}
	known := startAgent(t, addresses[:gatewayCount/2]...)
	var working sync.WaitGroup
	for i, d := range all[:gatewayCount/2] {
		working.Go(func() { awaitCompletedJob(t, d, fmt.Sprintf("first-%d", i)) })
	}
	working.Wait()
	ctx, stop := context.WithCancel(t.Context())
	var submitters sync.WaitGroup
	// Several jobs at a time, so that a frame for one job is sent while another
	// one runs.
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
	for _, a := range addresses[gatewayCount/2:] {
		known.Add(a)
	}
	settled := awaitMovedLinks(all[:gatewayCount/2], all[gatewayCount/2:])
	stop()
	submitters.Wait()
	if !settled {
		t.Fatal("the links have not moved, or the agent does not keep links to half of the gateways")
	}
}

// awaitMovedLinks waits until the agent has links to some of the newer gateways
// and to len(first) gateways in total. The time limit is only reached if the test
// fails.
func awaitMovedLinks(first, newer []*dispatch.Dispatcher) bool {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		old, moved := countLinks(first), countLinks(newer)
		if moved > 0 && old+moved == len(first) {
			return true
		}
	}
	return false
}

// countLinks counts the agent's links to the gateways.
func countLinks(gateways []*dispatch.Dispatcher) int {
	n := 0
	for _, d := range gateways {
		n += d.Status().Agents
	}
	return n
}

// awaitPlacement waits until each gateway can place tasks, or none can. The time limit
// is only reached if the test fails.
func awaitPlacement(t *testing.T, want bool, gateways ...*dispatch.Dispatcher) {
	t.Helper()
	for _, d := range gateways {
		end := time.Now().Add(20 * time.Second)
		for d.CanPlace() != want {
			if time.Now().After(end) {
				t.Fatalf("a gateway's ability to place tasks is still %v", !want)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// Guards against a gateway that starts tasks in a drained zone because it alone cannot
// read the store: its agents have learned of the drain, and of its end, from others.
func TestAgentTellsAllGatewaysOfItsDrainedZone(t *testing.T) {
	informed, first, drains := startGatewayWithDrains(t)
	cutOff, second, _ := startGatewayWithDrains(t)
	startAgent(t, first, second)
	awaitPlacement(t, true, informed, cutOff)
	drains.Install(zones.New(5, "other"))
	drains.Install(zones.New(7, "other", "z"))
	awaitPlacement(t, false, informed, cutOff)
	if a := cutOff.Submit(t.Context(), smallJob("drained")); a.State != dispatch.NotRun {
		t.Fatalf("a job at a gateway without placeable targets: %v, cause %s", a.State, a.Cause)
	}
	drains.Install(zones.New(9, "other"))
	awaitPlacement(t, true, informed, cutOff)
	awaitCompletedJob(t, cutOff, "returned")
}

// Guards against an agent that starts tasks before it knows of the drain of its zone,
// after all processes were restarted: the first frame of a link tells it.
func TestNewLinkTellsOfADrainBeforeTheFirstTask(t *testing.T) {
	d, address, drains := startGatewayWithDrains(t)
	drains.Install(zones.New(7, "z"))
	startAgent(t, address)
	for range 20 {
		if a := d.Submit(t.Context(), smallJob("drained")); a.State != dispatch.NotRun {
			t.Fatalf("a job for a drained zone: %v, cause %s", a.State, a.Cause)
		}
		time.Sleep(20 * time.Millisecond)
	}
	drains.Install(zones.New(8))
	awaitCompletedJob(t, d, "returned")
}

// Guards against gateways that place tasks by the capacity that a target had when it was
// announced: a target's capacity may shrink and grow again while it runs, and the agent
// then refuses what no longer fits.
func TestGatewaysLearnAChangedCapacity(t *testing.T) {
	d, address := startGateway(t)
	_, r, _ := startAgentWithTarget(t, address)
	for seq, cpu := range []int64{200_000, 50_000, 200_000} {
		target := testTarget
		target.Seq, target.Capacity.CPUMillis = int64(seq+1), cpu
		r.Heartbeat(target)
		// The time limit is only reached if the test fails.
		for end := time.Now().Add(10 * time.Second); d.Status().Capacity != cpu; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("the gateway knows a capacity of %d, want %d", d.Status().Capacity, cpu)
			}
		}
	}
}

// Guards against a crash that only the gateway of the lost runs learns of: a job with a
// task that crashes its targets may come to any other gateway next, also to one that
// links to the agent later.
func TestAllGatewaysLearnOfACrash(t *testing.T) {
	first, address := startGateway(t)
	known, r, f := startAgentWithTarget(t, address)
	awaitCompletedJob(t, first, "before")
	// The runs must not end before the crash, however late the test notices them.
	f.setRunTime(time.Hour)
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		first.Submit(t.Context(), smallJob("lost"))
	}()
	defer func() { <-answered }()
	// A start that reaches the target after the crash is no lost run.
	f.awaitRuns(t, 3)
	const lastIncarnation = 3
	f.setRunTime(runTime)
	f.restart(lastIncarnation)
	for incarnation := testTarget.Incarnation + 1; incarnation <= lastIncarnation; incarnation++ {
		restarted := testTarget
		restarted.Incarnation = incarnation
		r.Heartbeat(restarted)
	}
	second, later := startGateway(t)
	known.Add(later)
	// Each gateway learns of the crash on its own link, in either order. The time limit is
	// only reached if the test fails.
	for name, d := range map[string]*dispatch.Dispatcher{"of the lost runs": first, "linked to after the crash": second} {
		for end := time.Now().Add(10 * time.Second); d.Status().CrashedJobs != 1; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("the gateway %s knows of crashes under %d jobs, want 1", name, d.Status().CrashedJobs)
			}
		}
	}
}

// Guards against two runs of a task at the same time: a start got no answer, the gateway of
// its job and the agent died, and the other gateways did not remember the start when the
// target crashed.
func TestAgentTellsAllGatewaysOfLateTasks(t *testing.T) {
	d, address := startGateway(t)
	other, otherAddress := startGateway(t)
	f := newFakeTarget()
	_, r, endAgent := startAgentOf(t, f, address, otherAddress)
	awaitCompletedJob(t, d, "first")
	awaitCompletedJob(t, other, "second")
	f.loseAnswers.Store(true)
	f.setRunTime(time.Minute)
	ctx, leave := context.WithCancel(t.Context())
	go func() {
		// On a busy machine the gateway may refuse the job, since it misses a report.
		for ctx.Err() == nil {
			d.Submit(ctx, smallJob("late"))
		}
	}()
	f.awaitRuns(t, 3)
	leave()
	awaitTrue(t, "three tasks are late", func() bool {
		_, load, _ := r.Load()
		return len(load.LateTasks) == 3
	})
	// Longer than the interval of reports.
	time.Sleep(500 * time.Millisecond)
	if tasks := other.TasksInDoubt(); len(tasks) != 0 {
		t.Errorf("%v are in doubt while the target answers, want none", tasks)
	}
	endAgent()
	awaitTrue(t, "three tasks are in doubt", func() bool { return len(other.TasksInDoubt()) == 3 })
}

// awaitTrue waits until a condition holds. The time limit is only reached if the test fails.
func awaitTrue(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("not within 10 s: %s", what)
}
