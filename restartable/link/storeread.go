package link

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/rhubarbsail/rhubarbsail/common/events"
	pb "github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/restart/v1"
	"github.com/rhubarbsail/rhubarbsail/restartable/configsync"
	"github.com/rhubarbsail/rhubarbsail/restartable/zones"
)

// storeReadTimeout limits an agent's read of the store for gateways. They ask again,
// and other agents, more often than that.
const storeReadTimeout = time.Second

// ReadStore reads what is in force from the platform's store.
type ReadStore func(ctx context.Context) (configsync.Contents, error)

// storeReader reads the store for the gateways that ask an agent to.
type storeReader struct {
	read ReadStore
	log  zerolog.Logger

	mu sync.Mutex // guards the fields below
	// waiting are the requests that no read has begun for.
	waiting map[*agentLink]*pb.StoreReadRequest
	reading bool
}

// request answers a request on its link. There is one read at a time; one that began
// before a request does not answer it, since a change may have been published between.
func (r *storeReader) request(l *agentLink, m *pb.StoreReadRequest) {
	if r.read == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.waiting == nil {
		r.waiting = map[*agentLink]*pb.StoreReadRequest{}
	}
	r.waiting[l] = m
	if !r.reading {
		r.reading = true
		go r.run()
	}
}

// run reads the store until no request waits.
func (r *storeReader) run() {
	for {
		requests := r.next()
		if requests == nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), storeReadTimeout)
		c, err := r.read(ctx)
		cancel()
		if err != nil {
			events.StoreReadFailed.Log(r.log).Int("gateways", len(requests)).Err(err).Send()
			continue
		}
		for l, m := range requests {
			l.sendStoreRead(storeReadReply(c, m))
		}
	}
}

// next returns the requests that wait, or nil if there is none.
func (r *storeReader) next() map[*agentLink]*pb.StoreReadRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.waiting) == 0 {
		r.reading = false
		return nil
	}
	requests := r.waiting
	r.waiting = nil
	return requests
}

// storeReadReply returns what is newer than a request says.
func storeReadReply(c configsync.Contents, m *pb.StoreReadRequest) *pb.StoreReadReply {
	reply := &pb.StoreReadReply{RequestedAt: m.RequestedAt}
	if c.Version > m.NewerThan {
		reply.Document = c.Document
	}
	if d := c.Drains; d != nil && d.Revision > m.DrainsNewerThan {
		reply.DrainsRevision, reply.DrainedZones = d.Revision, d.Zones()
	}
	return reply
}

// sendStoreRead queues a reply, which is sent with the next frame.
func (l *agentLink) sendStoreRead(reply *pb.StoreReadReply) {
	l.mu.Lock()
	l.pendingStoreRead = reply
	l.mu.Unlock()
	notify(l.eventsReady)
}

// linkSet is the set of links of a gateway.
type linkSet struct {
	mu    sync.Mutex
	links map[*gatewayLink]struct{}
}

func (s *linkSet) add(l *gatewayLink) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.links == nil {
		s.links = map[*gatewayLink]struct{}{}
	}
	s.links[l] = struct{}{}
}

func (s *linkSet) remove(l *gatewayLink) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.links, l)
}

// draw returns up to n links, chosen at random.
func (s *linkSet) draw(n int) []*gatewayLink {
	s.mu.Lock()
	all := make([]*gatewayLink, 0, len(s.links))
	for l := range s.links {
		all = append(all, l)
	}
	s.mu.Unlock()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}

// RequestStoreReads asks up to n agents, chosen at random, to read the platform's store
// for this gateway, and returns how many it asked. What they read is passed to the
// function that OnStoreRead has set.
func (s *Server) RequestStoreReads(n int, version, revision uint64) int {
	drawn := s.links.draw(n)
	for _, l := range drawn {
		l.update(func(next *pb.RunOrder) {
			next.StoreRead = &pb.StoreReadRequest{NewerThan: version, DrainsNewerThan: revision, RequestedAt: int64(s.gateways.now())}
		})
	}
	return len(drawn)
}

// OnStoreRead sets the function that receives what agents have read from the store. It
// has to be called before the server is used.
func (s *Server) OnStoreRead(f func(configsync.Newer)) { s.onStoreRead = f }

func (s *Server) handleStoreRead(m *pb.StoreReadReply) {
	if s.onStoreRead == nil {
		return
	}
	// The read began after the request. A time that is not in the past is no time of
	// this process.
	newer := configsync.Newer{AsOf: time.Duration(m.RequestedAt)}
	if newer.AsOf <= 0 || newer.AsOf > s.gateways.now() {
		return
	}
	if len(m.Document) > 0 {
		newer.Document = m.Document
	}
	if m.DrainsRevision > 0 {
		newer.Drains = zones.New(m.DrainsRevision, m.DrainedZones...)
	}
	s.onStoreRead(newer)
}
