package control_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/memnet"
	"github.com/rhubarbsail/rhubarbsail/control"
	"github.com/rhubarbsail/rhubarbsail/logservice"
	"github.com/rhubarbsail/rhubarbsail/standin/logserver"
	"github.com/rhubarbsail/rhubarbsail/standin/memlog"
)

// Guards against a change that is not in force in time at a gateway whose connections
// to the log went silent: a read was given up after 15 s, and the next one took another
// connection that was as dead.
func TestChangeIsInForceInTimeAlthoughConnectionsWentSilent(t *testing.T) {
	const bound = 6 * time.Second
	synctest.Test(t, func(t *testing.T) {
		network, store := memnet.New(), memlog.New(memlog.Options{})
		server := &http.Server{Handler: logserver.New(store)}
		go func() { _ = server.Serve(network) }()
		defer time.Sleep(2 * time.Minute) // the stand-in's waiting reads end
		defer func() { _ = server.Close() }()
		client := &http.Client{Transport: &http.Transport{DialContext: network.Dial}}
		defer client.CloseIdleConnections()
		g := start(t, nil, "g1", func(o *control.Options) { o.Log = logservice.NewHTTP("http://log", client) })
		defer g.stop()
		mustDrain(t, g, "t1") // leaves an idle connection behind
		other := start(t, nil, "g2", func(o *control.Options) { o.Log = store })
		defer other.stop()
		time.Sleep(time.Second)
		network.Silence()
		mustDrain(t, other, "t2")
		time.Sleep(bound)
		if !g.Snapshot().Drained["t2"] {
			t.Errorf("a drain is not in force %v after it was accepted: %+v", bound, g.Status())
		}
	})
}
