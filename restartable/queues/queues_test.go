package queues

import "testing"

// Guards against requests that are assigned to a queue with a shorter matching
// prefix or to a queue of another host.
func TestFindTakesTheLongestPrefixOfTheHost(t *testing.T) {
	c := New(1, []Queue{
		{Name: "short", Host: "a.example", PathPrefix: "/x/"},
		{Name: "long", Host: "a.example", PathPrefix: "/x/y/"},
		{Name: "other", Host: "b.example", PathPrefix: "/x/y/z/"},
	}, Limits{}, nil)
	cases := []struct{ host, path, name, rest string }{
		{"a.example", "/x/1", "short", "1"},
		{"A.Example:8080", "/x/y/1", "long", "1"},
		{"a.example", "/x/y/z/1", "long", "z/1"},
		{"b.example", "/x/1", "", ""},
		{"c.example", "/x/1", "", ""},
		{"a.example", "/x", "", ""},
	}
	for _, k := range cases {
		q, rest, ok := c.Find(k.host, k.path)
		if q.Name != k.name || rest != k.rest || ok != (k.name != "") {
			t.Errorf("%s%s: queue %q, rest %q, found %v", k.host, k.path, q.Name, rest, ok)
		}
	}
}

// Guards against a rollback to an older configuration that arrives late from
// another gateway.
func TestInstallAcceptsOnlyNewerVersions(t *testing.T) {
	var c CurrentConfig
	for _, k := range []struct {
		version uint64
		want    bool
	}{{5, true}, {4, false}, {5, false}, {9, true}} {
		if got := c.Install(New(k.version, nil, Limits{}, nil)); got != k.want {
			t.Errorf("Install of version %d returned %v", k.version, got)
		}
	}
	if got := c.Get().Version; got != 9 {
		t.Fatalf("version %d is active, want 9", got)
	}
}
