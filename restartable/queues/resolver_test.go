package queues

import (
	"testing"
	"time"
)

// Guards against a final refusal of a queue that a newer configuration has (CONFIG):
// a gateway that the store rejected answered 404 by a configuration of any age, or by
// the first one that it had received when it started.
func TestQueueIsNotFoundOnlyByAConfirmedConfiguration(t *testing.T) {
	const now, maxAge = time.Hour, 2 * time.Second
	config := New(3, []Queue{{Name: "r", Host: "h", PathPrefix: "/p/"}, {Host: "h", PathPrefix: "/malformed/", Malformed: true}}, Limits{}, nil)
	incomplete := New(3, config.Queues, Limits{}, nil)
	incomplete.Incomplete = true
	cases := map[string]struct {
		config      *Config
		confirmedAt time.Duration // or 0 for never
		path        string
		want        Status
	}{
		"known queue":                     {config, now - time.Second, "/p/1", Found},
		"known queue, never confirmed":    {config, 0, "/p/1", Found},
		"known queue, confirmed long ago": {config, now - time.Minute, "/p/1", Found},
		"unknown queue":                   {config, now - maxAge, "/q/1", NotFound},
		"confirmed too long ago":          {config, now - maxAge - time.Millisecond, "/q/1", Unconfirmed},
		"never confirmed":                 {config, 0, "/q/1", Unconfirmed},
		"malformed queue":                 {config, now, "/malformed/1", Unreadable},
		"beside an unknown malformed one": {incomplete, now, "/q/1", Unreadable},
		"known queue beside such a one":   {incomplete, now, "/p/1", Found},
		"no configuration":                {nil, 0, "/p/1", NoConfiguration},
	}
	for name, k := range cases {
		current := &CurrentConfig{}
		if k.config != nil {
			current.Install(k.config)
		}
		current.Confirm(k.confirmedAt)
		got := NewResolver(current, func() time.Duration { return now }, maxAge).Resolve("h", k.path)
		if got.Status != k.want {
			t.Errorf("%s: status %d, want %d", name, got.Status, k.want)
		}
		if k.config != nil && got.Version != 3 {
			t.Errorf("%s: version %d, want 3", name, got.Version)
		}
	}
}

// Guards against a configuration that counts as older, or newer, than it is known to be.
func TestLaterConfirmationsCount(t *testing.T) {
	c := &CurrentConfig{}
	if _, confirmed := c.ConfirmedAt(); confirmed {
		t.Error("confirmed before the first confirmation")
	}
	for _, at := range []time.Duration{5, 9, 7, 0} {
		c.Confirm(at)
	}
	if at, confirmed := c.ConfirmedAt(); !confirmed || at != 9 {
		t.Errorf("confirmed %v at %v, want at 9ns", confirmed, at)
	}
}
