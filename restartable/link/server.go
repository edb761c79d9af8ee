package link

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"github.com/rhubarbsail/rhubarbsail/common/hostport"
	"github.com/rhubarbsail/rhubarbsail/common/streamend"
	pb "github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/restart/v1"
	"github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/restart/v1/restartv1connect"
	"github.com/rhubarbsail/rhubarbsail/restartable/configsync"
	"github.com/rhubarbsail/rhubarbsail/restartable/dispatch"
	"github.com/rhubarbsail/rhubarbsail/restartable/queues"
	"github.com/rhubarbsail/rhubarbsail/restartable/task"
	"github.com/rhubarbsail/rhubarbsail/restartable/zones"
)

var errReceiveTimeout = errors.New("no frame was received in time")

// Server is the gateway's end of all links.
type Server struct {
	dispatcher *dispatch.Dispatcher
	config     *queues.CurrentConfig
	drains     *zones.Current
	gateways   *Gateways
	links      linkSet
	// onStoreRead receives what agents have read from the store; it may be nil.
	onStoreRead func(configsync.Newer)
	// lastLinkNumber is the number of the newest link.
	lastLinkNumber atomic.Uint64
}

// NewServer returns the dispatch service of a gateway.
func NewServer(d *dispatch.Dispatcher, config *queues.CurrentConfig, drains *zones.Current, gateways *Gateways) *Server {
	return &Server{dispatcher: d, config: config, drains: drains, gateways: gateways}
}

// Handler returns the HTTP handler of the service.
func (s *Server) Handler() http.Handler {
	_, h := restartv1connect.NewDispatchServiceHandler(s, connect.WithReadMaxBytes(maxFrameBytes),
		connect.WithCompression("gzip", nil, nil))
	return streamend.Handler(h)
}

// Configuration returns the active configuration and the drained zones as far as they
// are newer than the caller's.
func (s *Server) Configuration(_ context.Context, r *connect.Request[pb.ConfigurationRequest]) (*connect.Response[pb.ConfigurationReply], error) {
	reply := &pb.ConfigurationReply{}
	// Read before the configuration, which is then at least as new.
	if at, confirmed := s.config.ConfirmedAt(); confirmed {
		// Rounded up: a caller must not believe the reply to be newer than it is.
		reply.ConfirmedAgeMs = uint64((s.gateways.now()-at)/time.Millisecond) + 1
	}
	if c := s.config.Get(); c != nil {
		reply.Version = c.Version
		if c.Version > r.Msg.NewerThan {
			reply.Document = c.Document
		}
	}
	d := s.drains.Get()
	reply.DrainsRevision = d.Revision
	if d.Revision > r.Msg.DrainsNewerThan {
		reply.DrainedZones = d.Zones()
	}
	return connect.NewResponse(reply), nil
}

// Introduce adds a gateway to those that are advertised to agents. It refuses a
// malformed address.
func (s *Server) Introduce(_ context.Context, r *connect.Request[pb.IntroduceRequest]) (*connect.Response[pb.IntroduceReply], error) {
	if err := hostport.Check(r.Msg.Gateway); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	s.gateways.MarkReached(r.Msg.Gateway)
	return connect.NewResponse(&pb.IntroduceReply{Gateways: s.gateways.Reachable()}), nil
}

// CancelJobs cancels jobs at this gateway on behalf of another one.
func (s *Server) CancelJobs(_ context.Context, r *connect.Request[pb.CancelJobsRequest]) (*connect.Response[pb.CancelJobsReply], error) {
	reply := &pb.CancelJobsReply{}
	for _, job := range r.Msg.Jobs {
		if s.dispatcher.CancelForPeer(job, r.Msg.Gateway) {
			reply.Found = append(reply.Found, job)
		}
	}
	return connect.NewResponse(reply), nil
}

type attachStream = connect.BidiStream[pb.RunReport, pb.RunOrder]

// Attach serves one agent until either side closes the link.
func (s *Server) Attach(ctx context.Context, stream *attachStream) error {
	first, err := stream.Receive()
	if err != nil {
		return err
	}
	hello := first.GetHello()
	if hello.GetAgent() == "" {
		return connect.NewError(connect.CodeInvalidArgument, errors.New("the first frame has no hello"))
	}
	info := dispatch.AgentInfo{
		Link: hello.Agent + "#" + strconv.FormatUint(s.lastLinkNumber.Add(1), 10), Name: hello.Agent, Zone: hello.Zone, Process: hello.Incarnation,
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	l := newGatewayLink()
	l.setStamp(first.Stamp)
	s.links.add(l)
	defer s.links.remove(l)
	s.dispatcher.AgentUp(info, l)
	s.handleFrame(info.Link, first)
	endReceive, endSend := streamend.Functions(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { cancel(s.write(ctx, stream, l, info)) })
	wg.Go(func() { cancel(s.read(stream, l, info.Link, cancel)) })
	<-ctx.Done()
	s.dispatcher.AgentDown(info, context.Cause(ctx))
	// The stream must not be used after the handler has returned.
	endReceive()
	endSend()
	wg.Wait()
	return connect.NewError(connect.CodeUnavailable, context.Cause(ctx))
}

func (s *Server) read(stream *attachStream, l *gatewayLink, link string, cancel context.CancelCauseFunc) error {
	watchdog := time.AfterFunc(receiveTimeout, func() { cancel(errReceiveTimeout) })
	defer watchdog.Stop()
	for {
		f, err := stream.Receive()
		if err != nil {
			return err
		}
		watchdog.Reset(receiveTimeout)
		l.setStamp(f.Stamp)
		s.handleFrame(link, f)
	}
}

// handleFrame applies a frame received from an agent.
func (s *Server) handleFrame(link string, f *pb.RunReport) {
	if t := f.Target; t != nil {
		s.dispatcher.AgentTarget(link, dispatch.TargetInfo{
			Target: t.Target, Service: t.Service, Kind: t.Kind, Labels: t.Labels, Capacity: resourcesFromProto(t.Capacity),
		})
	}
	for _, g := range f.Gateways {
		s.gateways.Add(g)
	}
	if m := f.StoreRead; m != nil {
		s.handleStoreRead(m)
	}
	var load *dispatch.Load
	if m := f.Load; m != nil {
		load = &dispatch.Load{
			Accepting: m.Accepting, Committed: resourcesFromProto(m.Committed), Backlog: fromMillis(m.BacklogMs),
			Slowness: float64(m.SlownessPermille) / 1000,
			Anomaly:  float64(m.AnomalyPermille) / 1000, Samples: int(m.Samples), FailedShare: float64(m.FailedPermille) / 1000, OrdersSeen: m.OrdersSeen,
			FencingToken: m.FencingToken, Fenced: m.Fenced,
			DoubtsChanged: m.DoubtsChanged, TasksInDoubt: taskIDsFromProto(m.TasksInDoubt),
			QueueUseChanged: m.QueueUseChanged, QueueUse: queueUseFromProto(m.QueueUse),
		}
	}
	runEvents := make([]dispatch.AttemptEvent, 0, len(f.Events))
	for _, e := range f.Events {
		runEvents = append(runEvents, dispatch.AttemptEvent{
			Task:    task.ID{StepID: task.StepID{Job: e.Job, Occurrence: int(e.Occurrence), Step: int(e.Step)}, Index: int(e.Index)},
			Attempt: int(e.Attempt), Outcome: outcomeFromProto(e.Outcome), Reason: task.Reason(e.Reason), RunTime: fromMillis(e.RunMs),
		})
	}
	if f.RelayedChanged {
		s.dispatcher.TasksRelayed(link, doubtsFromProto(f.RelayedTasksInDoubt))
	}
	for _, m := range f.Crashes {
		s.dispatcher.TargetCrashed(link, crashFromProto(m))
	}
	s.dispatcher.Report(link, load, runEvents)
}

func crashFromProto(m *pb.TargetCrash) dispatch.Crash {
	c := dispatch.Crash{Incarnation: m.Incarnation, Certain: m.Certain, Age: fromMillis(m.AgeMs)}
	for _, r := range m.Runs {
		c.Runs = append(c.Runs, dispatch.LostRun{
			Task:    task.ID{StepID: task.StepID{Job: r.Job, Occurrence: int(r.Occurrence), Step: int(r.Step)}, Index: int(r.Index)},
			Attempt: int(r.Attempt), Queue: r.Queue, Accepted: r.Accepted, Suspicion: float64(r.SuspicionPermille) / 1000,
		})
	}
	return c
}

func (s *Server) write(ctx context.Context, stream *attachStream, l *gatewayLink, info dispatch.AgentInfo) error {
	echo := time.NewTimer(0)
	defer echo.Stop()
	var sentVersion, sentRevision uint64
	var sentDoubts []dispatch.TaskInDoubt
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.wake:
		case <-echo.C:
		}
		f := l.nextFrame()
		if tasks := s.dispatcher.TasksInDoubt(); !slices.Equal(tasks, sentDoubts) {
			sentDoubts, f.DoubtsChanged, f.TasksInDoubt = tasks, true, doubtsToProto(tasks)
		}
		f.ReportQueueUse = s.dispatcher.WantsQueueUse()
		f.MinFencingToken = s.dispatcher.MinFencingToken(info.Name)
		if version, all := s.gateways.ChangesSince(sentVersion); version != sentVersion {
			sentVersion, f.Gateways = version, all
		}
		if d := s.drains.Get(); d.Revision != sentRevision {
			sentRevision, f.ZoneDrain = d.Revision, &pb.ZoneDrain{Revision: d.Revision, Drained: d.Contains(info.Zone)}
		}
		if err := stream.Send(f); err != nil {
			return err
		}
		echo.Reset(echoInterval)
	}
}
