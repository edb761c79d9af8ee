package events

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// Guards against a page that lacks events: operators look up the numbers that they
// see in the log.
func TestPageMatchesCatalogue(t *testing.T) {
	goldie.New(t, goldie.WithFixtureDir("../../docs"), goldie.WithNameSuffix(".md")).
		Assert(t, "events", []byte(Markdown()))
}

// Guards against two events with the same number or name, which would make alerts
// ambiguous.
func TestNumbersAndNamesAreUnique(t *testing.T) {
	ids, names := map[int]bool{}, map[string]bool{}
	for _, e := range All() {
		if ids[e.ID] || names[e.Name] {
			t.Errorf("event %d %s is defined twice", e.ID, e.Name)
		}
		ids[e.ID], names[e.Name] = true, true
	}
}

// Guards against log lines without number, level or process, which cannot be
// attributed.
func TestLogLineHasEventLevelAndProcess(t *testing.T) {
	var b bytes.Buffer
	l, err := NewLogger(&b, "info", "gateway", "g1")
	if err != nil {
		t.Fatal(err)
	}
	LinkDown.Log(l).Str("agent", "a1").Send()
	JobFailed.Log(l).Send()
	var line map[string]any
	if err := json.Unmarshal(b.Bytes(), &line); err != nil {
		t.Fatalf("%v in %s", err, b.String())
	}
	for key, want := range map[string]any{
		"event": 4002.0, "name": "link_down", "level": "warn", "process": "gateway", "id": "g1", "agent": "a1",
	} {
		if line[key] != want {
			t.Errorf("%s is %v, want %v", key, line[key], want)
		}
	}
	if !strings.HasSuffix(line["time"].(string), "Z") {
		t.Errorf("time %v is not in UTC", line["time"])
	}
}

// Guards against a misspelled level that disables the log.
func TestUnknownLevelIsRefused(t *testing.T) {
	for _, level := range []string{"", "loud"} {
		if _, err := NewLogger(nil, level, "", ""); err == nil {
			t.Errorf("level %q was accepted", level)
		}
	}
}
