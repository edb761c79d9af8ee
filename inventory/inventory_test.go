package inventory_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/rhubarbsail/rhubarbsail/common/findings"
	"github.com/rhubarbsail/rhubarbsail/inventory"
)

func readTestdata(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func parseValid(t *testing.T) *inventory.Config {
	t.Helper()
	c, err := inventory.Parse("valid.json", readTestdata(t, "valid.json"))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against a report that stops at the first fault, or that reports a fault
// of decoding again as one of the cross-checks.
func TestParseReportsAllFindings(t *testing.T) {
	for _, name := range []string{"faults", "syntax"} {
		_, err := inventory.Parse(name+".json", readTestdata(t, name+".json"))
		if err == nil {
			t.Fatalf("%s: no finding", name)
		}
		goldie.New(t).Assert(t, name, []byte(err.Error()+"\n"))
	}
}

// Guards against findings of the rules that name the inventory's file when both
// files have faults.
func TestParseFilesNamesBothFiles(t *testing.T) {
	_, err := inventory.ParseFiles(
		inventory.File{Name: "inventory.json", Data: []byte(`{"workers": [], "targets": [], "x": 1}`)},
		inventory.File{Name: "rules.json", Data: []byte(`{"clients": [{"id": "a", "share": -1}], "services": []}`)})
	want := "inventory.json:1:32: x: unknown key; the known keys are workers, targets\nrules.json:1:35: clients[0].share: -1 is not above 0"
	if err == nil || err.Error() != want {
		t.Errorf("got\n%v\nwant\n%s", err, want)
	}
}

// Guards against an encoding that depends on the order of elements in the file:
// an equal configuration would count as a change.
func TestCanonicalEncodingIgnoresOrder(t *testing.T) {
	c := parseValid(t)
	inv := inventory.Inventory{Workers: c.Workers()}
	for _, target := range c.Targets() {
		inv.Targets = append([]inventory.Target{target}, inv.Targets...)
	}
	other := inventory.New(inv, inventory.Rules{Clients: c.Clients(), Services: c.Services()})
	a, errA := c.JSON()
	b, errB := other.JSON()
	if errA != nil || errB != nil || string(a) != string(b) {
		t.Errorf("encodings differ (%v, %v):\n%s\n%s", errA, errB, a, b)
	}
	if _, err := inventory.Parse("canonical", a); err != nil {
		t.Errorf("the canonical encoding has findings: %v", err)
	}
}

// Guards against work that runs where a rule forbids it.
func TestAllowedAppliesEveryRule(t *testing.T) {
	c := parseValid(t)
	for _, tc := range []struct {
		service, client, target string
		want                    bool
	}{
		{"glue", "bond", "t1", true},
		{"glue", "bond", "t2", false},  // denied target
		{"glue", "bond", "t3", false},  // other availability zone
		{"glue", "other", "t1", false}, // client not allowed
		{"glue", "nobody", "t1", false},
		{"glue", "bond", "t4", false}, // target of another service
		{"free", "other", "t4", true},
		{"free", "nobody", "t4", false},
		{"free", "bond", "nothing", false},
		{"nothing", "bond", "t1", false},
	} {
		if got := c.Allowed(tc.service, tc.client, tc.target); got != tc.want {
			t.Errorf("%+v: got %v", tc, got)
		}
	}
}

// Guards against a change that Diff omits: operators review a configuration by its
// differences and would activate it unseen.
func TestDiffListsEachChange(t *testing.T) {
	a := parseValid(t)
	text := strings.NewReplacer(`"id": "t3"`, `"id": "t5"`, `"share": 2`, `"share": 3`, `"denied_targets": ["t2"]`, `"denied_targets": []`).
		Replace(string(readTestdata(t, "valid.json")))
	b, err := inventory.Parse("b", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	for _, c := range inventory.Diff(a, b) {
		fmt.Fprintln(&out, c)
	}
	goldie.New(t).Assert(t, "diff", []byte(out.String()))
	if same := inventory.Diff(a, parseValid(t)); len(same) != 0 {
		t.Errorf("equal configurations differ: %v", same)
	}
}

// Guards against a file with many faults that keeps a gateway busy for minutes.
func TestFindingsAreBounded(t *testing.T) {
	var inv inventory.Inventory
	for i := range 2000 {
		inv.Targets = append(inv.Targets, inventory.Target{ID: fmt.Sprint("t", i), Worker: "gone", Rack: "r", AvailabilityZone: "z", Service: "gone", Slots: 1, Connections: 1})
	}
	data, err := inventory.New(inv, inventory.Rules{}).JSON()
	if err != nil {
		t.Fatal(err)
	}
	_, err = inventory.Parse("f", data)
	var list findings.List
	if !errors.As(err, &list) || len(list) != 1001 || !strings.Contains(err.Error(), "too many findings") {
		t.Errorf("%d findings", len(list))
	}
}
