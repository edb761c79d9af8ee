package zones

import (
	"slices"
	"testing"

	"github.com/go-faster/errors"
)

var errMalformed = errors.New("malformed")

// Guards against changes that are lost, applied in the wrong order or undone by
// records that an earlier read has already covered.
func TestChangesApplyInOrderOfTheirOffsets(t *testing.T) {
	cases := map[string]struct {
		before  *Drains
		changes []Change
		want    []string
		changed bool
	}{
		"a zone is drained": {New(5), []Change{{Zone: "a", Drained: true, Offset: 5}}, []string{"a"}, true},
		"a drain ends":      {New(5, "a", "b"), []Change{{Zone: "a", Offset: 7}}, []string{"b"}, true},
		"drained, returned and drained again in one read": {
			New(5), []Change{{Zone: "a", Drained: true, Offset: 5}, {Zone: "a", Offset: 6}, {Zone: "a", Drained: true, Offset: 7}}, []string{"a"}, true},
		"drained and returned in one read": {
			New(5), []Change{{Zone: "a", Drained: true, Offset: 5}, {Zone: "a", Offset: 6}}, nil, false},
		"two zones at once": {
			New(5), []Change{{Zone: "b", Drained: true, Offset: 5}, {Zone: "a", Drained: true, Offset: 6}}, []string{"a", "b"}, true},
		"drained twice":           {New(5, "a"), []Change{{Zone: "a", Drained: true, Offset: 8}}, []string{"a"}, false},
		"returned twice":          {New(5), []Change{{Zone: "a", Offset: 8}}, nil, false},
		"already included":        {New(9, "a"), []Change{{Zone: "a", Offset: 8}, {Zone: "b", Drained: true, Offset: 7}}, []string{"a"}, false},
		"partly already included": {New(9, "a"), []Change{{Zone: "a", Offset: 8}, {Zone: "b", Drained: true, Offset: 9}}, []string{"a", "b"}, true},
		"malformed": {
			New(5, "a"), []Change{{Zone: "b", Drained: true, Offset: 5, Err: errMalformed}, {Zone: "c", Drained: true, Offset: 6}}, []string{"a", "c"}, true},
		"none": {New(5, "a"), nil, []string{"a"}, false},
	}
	for name, k := range cases {
		var c Current
		c.Install(k.before)
		before := slices.Clone(k.before.Zones())
		if changed := c.Apply(k.changes); changed != k.changed || !slices.Equal(c.Get().Zones(), k.want) {
			t.Errorf("%s: drained %v, changed %v; want %v, %v", name, c.Get().Zones(), changed, k.want, k.changed)
		}
		if !slices.Equal(k.before.Zones(), before) {
			t.Errorf("%s: the set before the change was modified", name)
		}
	}
}

// Guards against a complete list that misses the end of a drain, that forgets a drain
// because its record cannot be read, or that undoes newer changes because it is old.
func TestCompleteListReplacesOnlyOlderDrains(t *testing.T) {
	cases := map[string]struct {
		revision uint64
		records  []Change
		want     []string
	}{
		"the end of a drain was missed":        {20, []Change{{Zone: "b", Drained: true, Offset: 3}}, []string{"b"}},
		"no records":                           {20, nil, nil},
		"a stale read":                         {9, []Change{{Zone: "b", Drained: true, Offset: 3}}, []string{"a"}},
		"the same revision":                    {10, nil, []string{"a"}},
		"malformed record of a drained zone":   {20, []Change{{Zone: "a", Drained: true, Offset: 12, Err: errMalformed}}, []string{"a"}},
		"malformed record of a zone in use":    {20, []Change{{Zone: "c", Drained: true, Offset: 12, Err: errMalformed}}, nil},
		"a later page includes a later record": {11, []Change{{Zone: "c", Drained: true, Offset: 15}}, []string{"c"}},
	}
	for name, k := range cases {
		var c Current
		c.Install(New(10, "a"))
		c.Replace(k.revision, k.records)
		if got := c.Get().Zones(); !slices.Equal(got, k.want) {
			t.Errorf("%s: drained %v, want %v", name, got, k.want)
		}
	}
}

// Guards against an older set from another gateway that reverts a newer one, for a
// drain as for its end.
func TestInstallAcceptsOnlyNewerRevisions(t *testing.T) {
	var c Current
	if c.Get().Contains("a") || c.Get().Revision != 0 {
		t.Fatalf("drains %+v before the first set", c.Get())
	}
	for _, k := range []struct {
		next    *Drains
		changed bool
		want    []string
	}{
		{New(5, "b", "a", "a"), true, []string{"a", "b"}},
		{New(4), false, []string{"a", "b"}},
		{New(5, "c"), false, []string{"a", "b"}},
		{New(8), true, nil},
		{New(7, "a"), false, nil},
		{New(9), false, nil},
	} {
		if changed := c.Install(k.next); changed != k.changed || !slices.Equal(c.Get().Zones(), k.want) {
			t.Errorf("after revision %d: drained %v, changed %v", k.next.Revision, c.Get().Zones(), changed)
		}
	}
	if !New(1, "b", "a").Contains("a") || New(1, "a").Contains("") {
		t.Error("Contains is wrong")
	}
}
