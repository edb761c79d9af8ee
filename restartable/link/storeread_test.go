package link

import (
	"bytes"
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	pb "github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/restart/v1"
	"github.com/rhubarbsail/rhubarbsail/restartable/configsync"
	"github.com/rhubarbsail/rhubarbsail/restartable/zones"
)

// Guards against a gateway that takes a configuration for the newest one although the
// agent's read began before the gateway asked, against a read for each gateway, and
// against a read that fails without a log line.
func TestStoreReadAnswersOnlyRequestsBeforeIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var reads atomic.Uint64
		var logged bytes.Buffer
		r := &storeReader{log: zerolog.New(&logged), read: func(context.Context) (configsync.Contents, error) {
			n := reads.Add(1)
			c := configsync.Contents{Document: []byte("d"), Version: n, Drains: zones.New(n, "a")}
			time.Sleep(100 * time.Millisecond)
			if n == 3 {
				return configsync.Contents{}, errors.New("rejected")
			}
			return c, nil
		}}
		links := []*agentLink{newAgentLink(&Client{}, "g0", nil), newAgentLink(&Client{}, "g1", nil), newAgentLink(&Client{}, "g2", nil)}
		reply := func(l *agentLink) *pb.StoreReadReply {
			l.mu.Lock()
			defer l.mu.Unlock()
			defer func() { l.pendingStoreRead = nil }()
			return l.pendingStoreRead
		}
		r.request(links[0], &pb.StoreReadRequest{RequestedAt: 1})
		time.Sleep(50 * time.Millisecond)
		r.request(links[1], &pb.StoreReadRequest{RequestedAt: 2, NewerThan: 1, DrainsNewerThan: 9})
		r.request(links[2], &pb.StoreReadRequest{RequestedAt: 3, NewerThan: 2})
		time.Sleep(60 * time.Millisecond)
		if m := reply(links[0]); m == nil || m.RequestedAt != 1 || string(m.Document) != "d" || m.DrainsRevision != 1 {
			t.Errorf("reply %v to the first request", m)
		}
		if m := reply(links[1]); m != nil {
			t.Errorf("reply %v of a read that began before the request", m)
		}
		time.Sleep(100 * time.Millisecond)
		if m := reply(links[1]); m == nil || m.RequestedAt != 2 || len(m.Document) == 0 || m.DrainsRevision != 0 {
			t.Errorf("reply %v, want the document and no drains", m)
		}
		if m := reply(links[2]); m == nil || len(m.Document) != 0 || m.DrainsRevision != 2 {
			t.Errorf("reply %v, want the drains and no document", m)
		}
		r.request(links[0], &pb.StoreReadRequest{RequestedAt: 4})
		time.Sleep(time.Second)
		if m := reply(links[0]); m != nil || reads.Load() != 3 {
			t.Errorf("reply %v after a read that failed, %d reads", m, reads.Load())
		}
		synctest.Wait() // orders the write of the log line before its reading
		if line := logged.String(); strings.Count(line, "\n") != 1 || !strings.Contains(line, `"gateways":1,"error":"rejected"`) {
			t.Errorf("log %q, want one line with the error of the failed read", line)
		}
	})
}
