package httpapi

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"github.com/rhubarbsail/rhubarbsail/common/events"
	"github.com/rhubarbsail/rhubarbsail/common/telemetry"
)

// Operators have alerts on these events. Guards against a change that is logged
// twice or not at all.
func TestWatchLogsChangesOnce(t *testing.T) {
	target := func(ejected bool) []TargetStatus {
		return []TargetStatus{{ID: "t1", Ejected: ejected, Reason: "failures"}}
	}
	var w statusWatcher
	for i, c := range []struct {
		status Status
		want   []events.Event
	}{
		{Status{NotReadyReason: "no configuration"}, []events.Event{events.ReadyChanged}},
		{Status{NotReadyReason: "no owner"}, nil},
		{Status{Ready: true, ConfigVersion: 7}, []events.Event{events.ReadyChanged, events.ConfigApplied}},
		{Status{Ready: true, ConfigVersion: 7, Targets: target(true)}, []events.Event{events.TargetEjected}},
		{Status{Ready: true, ConfigVersion: 7, Targets: target(true)}, nil},
		{Status{Ready: true, ConfigVersion: 7, Targets: target(false)}, []events.Event{events.TargetReadmitted}},
	} {
		var b bytes.Buffer
		w.observe(c.status, zerolog.New(&b))
		if n := strings.Count(b.String(), "\n"); n != len(c.want) {
			t.Errorf("step %d: %d events: %s", i, n, &b)
		}
		for _, e := range c.want {
			if !strings.Contains(b.String(), fmt.Sprintf(`"event":%d,`, e.ID)) {
				t.Errorf("step %d: event %d is missing in %s", i, e.ID, &b)
			}
		}
	}
}

// Guards against a scrape that does not show the gateway's present status.
func TestScrapeShowsStatus(t *testing.T) {
	m := telemetry.NewMetrics("gateway", "g1", zerolog.Nop())
	defer m.Close()
	ops := &fakeOperations{status: Status{Queued: 5, LogReachable: true, Targets: []TargetStatus{{Connected: true, Outstanding: 3}, {Ejected: true}}}}
	w := call(t, NewOperatorsHandler(ops, Options{Metrics: m.Handler}), http.MethodGet, "/metrics", "", nil)
	for _, want := range []string{"tasks_queued{", "log_reachable{", "links_up{", "targets_ejected{", "tasks_outstanding{", "ready{"} {
		if !strings.Contains(w.Body.String(), "\nrhubarbsail_"+want) {
			t.Errorf("%s is missing in\n%s", want, w.Body)
		}
	}
	if !strings.Contains(w.Body.String(), `rhubarbsail_tasks_outstanding{id="g1",process="gateway"} 3`) {
		t.Errorf("3 outstanding tasks are missing in\n%s", w.Body)
	}
}
