package agent

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"

	pb "github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/v1"
)

// observations collects which attempts the target ran and which ones the agent
// reported as not started. Each attempt of the test has its own number.
type observations struct {
	mu         sync.Mutex // guards the fields below
	ran        map[string]int
	byTask     map[string]int
	notStarted map[uint32]string
	permit     *pb.Permit
}

func (s *observations) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ran[r.Header.Get(HeaderAttempt)]++
	s.byTask[r.Header.Get(HeaderKey)+"#"+r.Header.Get(HeaderIndex)]++
}

// readFrames records the frames received on a link until the link ends.
func (s *observations) readFrames(l *link) {
	for {
		f, err := l.stream.Receive()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.permit = f.GetPermit()
		for _, recs := range [][]*pb.TaskRecord{f.GetReport().GetRecords(), f.GetRevoked().GetRecords(), f.GetFenced().GetRecords()} {
			for _, r := range recs {
				if r.GetState() == pb.TaskState_TASK_STATE_NOT_STARTED {
					s.notStarted[r.GetAttempt()] = r.GetRefusal().String()
				}
			}
		}
		s.mu.Unlock()
	}
}

// Owners place a task elsewhere when an agent reports that an attempt was not
// started. For any order of starts, revokes, fences, cancellations and lost links,
// such an attempt must not have run, and no task may run twice.
func TestNotStartedAttemptsDoNotRunUnderRandomMessages(t *testing.T) {
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 0))
	s := &observations{ran: map[string]int{}, byTask: map[string]int{}, notStarted: map[uint32]string{}}
	h := startAgent(t, Options{QueueLimit: 3}, Dependencies{}, s.ServeHTTP)
	h.announce()
	var readers sync.WaitGroup
	links := map[string]*link{}
	epoch, number := uint64(1), uint32(0)
	var sent []*pb.TaskAttempt
	for range 600 {
		gateway := fmt.Sprintf("g%d", rng.IntN(2))
		l := links[gateway]
		if l == nil || rng.IntN(30) == 0 {
			// The older link stays open, as after a network fault that only the
			// gateway has detected.
			l = h.dial(gateway)
			links[gateway] = l
			readers.Go(func() { s.readFrames(l) })
		}
		f := &pb.GatewayFrame{}
		switch op := rng.IntN(10); {
		case op < 6:
			b := &pb.StartBatch{Report: pb.ReportMode(1 + rng.IntN(3))}
			s.mu.Lock()
			b.Permit = s.permit
			s.mu.Unlock()
			for range 1 + rng.IntN(6) {
				number++
				st := start(uint32(rng.IntN(20)), number)
				st.Task.Key = fmt.Sprintf("k%d", rng.IntN(10))
				st.Epoch = epoch - uint64(rng.IntN(2))
				b.Starts = append(b.Starts, st)
				sent = append(sent, &pb.TaskAttempt{Task: st.Task, Partition: 3, Epoch: st.Epoch, Attempt: number})
			}
			f.Frame = &pb.GatewayFrame_Start{Start: b}
		case op < 8 && len(sent) > 0:
			f.Frame = &pb.GatewayFrame_Revoke{Revoke: &pb.Revoke{Attempts: []*pb.TaskAttempt{sent[max(0, len(sent)-1-rng.IntN(12))]}}}
		case op == 8:
			epoch++
			f.Frame = &pb.GatewayFrame_Fence{Fence: &pb.Fence{Partitions: []*pb.PartitionEpoch{{Partition: 3, Epoch: epoch}}}}
		default:
			job := &pb.JobKey{Client: "c", Key: fmt.Sprintf("k%d", 8+rng.IntN(2))}
			f.Frame = &pb.GatewayFrame_Cancel{Cancel: &pb.CancelJobs{Jobs: []*pb.JobKey{job}}}
		}
		l.send(f)
	}
	// The agent replies to this fence after it has handled all earlier frames of
	// this link.
	h.dial("g2").fence(epoch + 1)
	if err := h.agent.await(t.Context(), func() bool { return len(h.agent.running)+len(h.agent.queue) == 0 }); err != nil {
		t.Fatal(err)
	}
	h.stop()
	readers.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, n := range s.byTask {
		if n > 1 {
			t.Errorf("task %s ran %d times", id, n)
		}
	}
	for n, reason := range s.notStarted {
		if s.ran[fmt.Sprint(n)] > 0 {
			t.Errorf("attempt %d was stated as not started (%s) and ran", n, reason)
		}
	}
	if len(s.byTask) == 0 || len(s.notStarted) == 0 {
		t.Fatalf("%d tasks ran, %d attempts were refused", len(s.byTask), len(s.notStarted))
	}
	t.Logf("%d attempts, %d tasks ran, %d attempts stated as not started", number, len(s.byTask), len(s.notStarted))
}
