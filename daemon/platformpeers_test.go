package daemon

import (
	"fmt"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"github.com/rhubarbsail/rhubarbsail/common/boottime"
	"github.com/rhubarbsail/rhubarbsail/platform"
	"github.com/rhubarbsail/rhubarbsail/platform/standin"
	"github.com/rhubarbsail/rhubarbsail/restartable/link"
)

// Guards against records of replaced gateways that pile up in the store and fill
// the set of a new process before it comes to those that live.
func TestRecordsOfReplacedGatewaysAreRemoved(t *testing.T) {
	store := standin.NewStore()
	server := httptest.NewServer(store.Handler())
	defer server.Close()
	directory := platform.NewDirectory(platform.NewStore(strings.TrimPrefix(server.URL, "http://")))
	peers := func(name string) *gatewayPeers {
		return &gatewayPeers{name: name, address: name + ":1", log: zerolog.Nop(), known: link.NewGateways(boottime.Now), directory: directory}
	}
	register := func(p *gatewayPeers) {
		t.Helper()
		if err := p.registerOnce(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	living := peers("living")
	for i := range 3 * recordsKept {
		register(peers(fmt.Sprintf("replaced-%d", i)))
		if i%recordsKept == 0 {
			register(living)
		}
	}
	fresh := peers("fresh")
	register(fresh)
	if !slices.Contains(fresh.known.All(), "living:1") {
		t.Error("a new gateway does not learn of one that lives")
	}
	all, err := directory.List(t.Context())
	if err != nil || len(all) > recordsKept+1 {
		t.Fatalf("%d records are left, %v", len(all), err)
	}
}
