package findings_test

import (
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/rhubarbsail/rhubarbsail/common/findings"
)

type inner struct {
	WaitMS int      `json:"wait_ms"`
	Names  []string `json:"names"`
}

type outer struct {
	Name  string           `json:"name"`
	Count *int             `json:"count"`
	Items []inner          `json:"items"`
	Map   map[string]inner `json:"map"`
}

// An operator must see every fault of a file at once, each with its line;
// encoding/json alone stops at the first.
func TestDecodeReportsAllFaultsTogether(t *testing.T) {
	for name, data := range map[string]string{
		"faults": `{
  "nmae": 1,
  "name": 7,
  "name": "second",
  "count": 1.5,
  "items": [
    {"wait_ms": "3s", "names": ["a", 2]},
    {"wait_s": 3, "Names": []},
    "text"
  ],
  "map": {"x": {"wait_ms": true, "extra": {"deep": [1, {}]}}, "y": null}
}`,
		"syntax":   "{\n  \"name\": \"a\",\n}",
		"trailing": "{}\n{}",
		"empty":    "",
		"toplevel": "[1]",
	} {
		t.Run(name, func(t *testing.T) {
			var list findings.List
			findings.Decode("file.json", []byte(data), &outer{}, &list)
			err := list.Err()
			if err == nil {
				t.Fatal("no finding")
			}
			goldie.New(t).Assert(t, name, []byte(err.Error()+"\n"))
		})
	}
}

// Checks after decoding need the values that are right and their places, even
// if another value is at fault.
func TestDecodeKeepsRightValuesAndPlaces(t *testing.T) {
	var v outer
	var list findings.List
	d := findings.Decode("f", []byte("{\"count\": 3,\n \"items\": [5,\n  {\"wait_ms\": 8}]}"), &v, &list)
	if len(list) != 1 || v.Count == nil || *v.Count != 3 || len(v.Items) != 2 || v.Items[1].WaitMS != 8 {
		t.Fatalf("got %+v with findings %v", v, list)
	}
	if p := d.At("items[1].wait_ms"); p.Line != 3 || p.Column != 15 {
		t.Errorf("place of the value: %v", p)
	}
	if p := d.At("items[1].names"); p.Line != 3 || p.Column != 3 {
		t.Errorf("place of a missing key: %v", p)
	}
}
