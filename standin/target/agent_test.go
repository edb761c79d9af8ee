package target_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"testing"

	"github.com/rhubarbsail/rhubarbsail/agent"
	pb "github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/v1"
	"github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/v1/rhubarbsailv1connect"
	"github.com/rhubarbsail/rhubarbsail/standin/target"
)

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// runUntilEnd runs f until the test ends and checks that it stops without error.
func runUntilEnd(t *testing.T, f func(context.Context) error) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- f(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("stop: %v", err)
		}
	})
}

// Agent and stand-in each have their own definitions of the protocol between agent
// and target. If they differed, tests that start processes could not run, and a
// task could be recorded under a wrong identity.
func TestAgentAndStandinUseSameProtocol(t *testing.T) {
	links, announcements := listen(t), listen(t)
	a, err := agent.New(agent.Options{Agent: "a1"}, agent.Dependencies{LinkListener: links, TargetListener: announcements})
	if err != nil {
		t.Fatal(err)
	}
	s, err := target.New(target.Options{
		Target: "t1", Service: "s", Listener: listen(t), AgentURL: "http://" + announcements.Addr().String(),
	})
	if err != nil {
		t.Fatal(err)
	}
	runUntilEnd(t, a.Run)
	runUntilEnd(t, s.Run)

	transport := &http.Transport{Protocols: new(http.Protocols)}
	transport.Protocols.SetUnencryptedHTTP2(true)
	t.Cleanup(transport.CloseIdleConnections)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	link := rhubarbsailv1connect.NewAgentServiceClient(&http.Client{Transport: transport}, "http://"+links.Addr().String()).Link(ctx)
	send := func(f *pb.GatewayFrame) {
		if err := link.Send(f); err != nil {
			t.Fatal(err)
		}
	}
	receive := func(until func(*pb.AgentFrame) bool) *pb.AgentFrame {
		for {
			f, err := link.Receive()
			if err != nil {
				t.Fatal(err)
			}
			if until(f) {
				return f
			}
		}
	}
	send(&pb.GatewayFrame{Frame: &pb.GatewayFrame_Hello{Hello: &pb.Hello{Gateway: "g1"}}})
	f := receive(func(f *pb.AgentFrame) bool { return f.GetLoad().GetAccepting() })
	if f.GetLoad().GetSlots() != 8 {
		t.Fatalf("load %v", f.GetLoad())
	}
	send(&pb.GatewayFrame{Frame: &pb.GatewayFrame_Start{Start: &pb.StartBatch{Permit: f.GetPermit(), Starts: []*pb.Start{{
		Task: &pb.TaskID{Client: "c ü", Key: "k/\n", Index: 3}, Epoch: 1, Attempt: 2,
		JobDigest: make([]byte, 16), Service: "s", Payload: []byte(`{"run_ms":1}`),
	}}}}})
	f = receive(func(f *pb.AgentFrame) bool { return len(f.GetReport().GetRecords()) > 0 })
	var got target.Result
	if err := json.Unmarshal(f.GetReport().GetRecords()[0].GetResult(), &got); err != nil {
		t.Fatalf("%v in %v", err, f)
	}
	if want := (target.Result{Client: "c ü", Key: "k/\n", Index: 3, Target: "t1"}); got != want {
		t.Fatalf("result %+v, want %+v", got, want)
	}
	r := s.Record(false)
	if len(r.Entries) != 1 || r.Entries[0].Key != "k/\n" || r.Entries[0].Count != 1 || r.Entries[0].Runs[0].Attempt != "2" {
		t.Fatalf("record %+v", r)
	}
	if err := s.SetMode(target.ModeChange{Mode: target.ModeLeave}); err != nil {
		t.Fatal(err)
	}
	receive(func(f *pb.AgentFrame) bool { return f.GetLoad().GetLeaving() })
}
