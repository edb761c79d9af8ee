package daemon

import (
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/rs/zerolog"

	"github.com/rhubarbsail/rhubarbsail/common/drain/draintest"
)

// Guards against requests that a stopping gateway drops because they arrive while it
// closes idle connections, although it has read them or could still read them.
func TestStopAnswersRequestsThatArriveAsItClosesConnections(t *testing.T) {
	draintest.TestStop(t, func(t *testing.T, l net.Listener) (*http.Server, func(), func() error) {
		set := &serverSet{budget: newTestBudget(), env: Env{Listen: func(string, string) (net.Listener, error) { return l, nil }}}
		set.add("127.0.0.1:0", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), testCallers)
		if set.err != nil {
			t.Fatal(set.err)
		}
		serve := func() {
			var wg sync.WaitGroup
			set.start(&wg, zerolog.Nop())
			t.Cleanup(wg.Wait)
			t.Cleanup(func() { _ = set.close() })
		}
		return set.servers[0].http, serve, func() error { return set.stop(draintest.StopLimit) }
	})
}
