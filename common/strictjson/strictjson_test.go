package strictjson

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
)

type inner struct {
	Name  string `json:"name" strict:"required,min=1,max=4"`
	Bytes []byte `json:"bytes"`
}

type outer struct {
	Count  int               `json:"count" strict:"min=1,max=9"`
	Ratio  float64           `json:"ratio" strict:"min=0,max=1"`
	Mode   string            `json:"mode" strict:"one=fast|slow"`
	At     time.Time         `json:"at"`
	Flag   *bool             `json:"flag"`
	Items  []inner           `json:"items"`
	Labels map[string]string `json:"labels"`
}

// Guards against faults that are accepted or reported without their position, as
// by encoding/json alone.
func TestFaultsAreReportedWithPosition(t *testing.T) {
	deep := strings.Repeat("[", 70)
	for _, c := range []struct{ name, in, want string }{
		{"unknown key", `{"cuont":1}`, `1:2 cuont: unknown key`},
		{"case of a key", `{"Count":1}`, `1:2 Count: unknown key; the known key is count`},
		{"duplicated key", `{"count":1,"count":2}`, `1:12 count: duplicated key`},
		{"duplicated map key", `{"labels":{"a":"b","a":"c"}}`, `1:20 labels.a: duplicated key`},
		{"null", `{"count":null}`, `1:10 count: want an integer, found null`},
		{"fraction", `{"count":1.5}`, `1:10 count: want an integer, found 1.5`},
		{"overflow", `{"count":99999999999999999999}`, `1:10 count: want an integer`},
		{"bound", `{"count":10}`, `1:10 count: 10 is out of bounds; want 1 to 9`},
		{"choice", `{"mode":"odd"}`, `1:9 mode: want one of fast, slow`},
		{"unit in a string", `{"count":"10ms"}`, `1:10 count: want an integer, found a string`},
		{"time", `{"at":"yesterday"}`, `1:7 at: want a time in RFC 3339`},
		{"time out of range", `{"at":"9999-01-01T00:00:00Z"}`, `1:7 at: want a time in RFC 3339`},
		{"base64", `{"items":[{"name":"a","bytes":"?"}]}`, `1:31 items[0].bytes: want standard base64`},
		{"size", `{"items":[{"name":"a","bytes":"AAAAAAAAAAAA"}]}`, `1:31 items[0].bytes: decoded size is over 8 bytes`},
		{"missing", "{\"items\":[\n {}]}", `2:2 items[0].name: missing`},
		{"too many elements", `{"items":[{"name":"a"},{"name":"a"},{"name":"a"},{"name":"a"}]}`, `1:50 items: more than 3`},
		{"object for array", `{"items":{"a":[1]},"count":0}`, `1:10 items: want an array, found an object|1:28 count: 0 is out`},
		{"trailing data", `{"count":1} {}`, `1:13 : trailing data`},
		{"trailing bracket", `{"count":1}]`, `1:12 : trailing data`},
		{"cut short", `{"count":1`, `1:11 : malformed JSON: unexpected end`},
		{"empty", ``, `1:1 : malformed JSON: unexpected end`},
		{"comma", `{"count":1,}`, `1:12 : malformed JSON`},
		{"depth", `{"count":` + deep, `1:10 count: want an integer, found an array|1:74 count: more than 64 levels`},
		{"invalid UTF-8", "{\"mode\":\"\xff\"}", `1:10 : invalid UTF-8`},
		{"all together", "{\n\"count\":0,\n\"ratio\":2}", `2:9 count: 0 is out|3:9 ratio: 2 is out`},
	} {
		t.Run(c.name, func(t *testing.T) {
			var v outer
			var got []string
			for _, f := range Decode("", []byte(c.in), &v, Options{MaxItems: 3, MaxBytes: 8}).Faults {
				got = append(got, fmt.Sprintf("%d:%d %s: %s", f.Place.Line, f.Place.Column, f.Place.Key, f.Message))
			}
			want := strings.Split(c.want, "|")
			if len(got) != len(want) {
				t.Fatalf("got %q, want %q", got, want)
			}
			for i := range want {
				if !strings.Contains(got[i], want[i]) {
					t.Errorf("got %q, want %q", got[i], want[i])
				}
			}
		})
	}
}

// Guards against a rule that rejects valid input, and so every caller.
func TestValidDocumentDecodes(t *testing.T) {
	in := `{"count":3,"ratio":0.5,"mode":"slow","at":"2026-01-02T03:04:05.000000006Z","flag":false,
		"items":[{"name":"ab","bytes":"AQI="}],"labels":{"a":"b"}}`
	var v outer
	d := Decode("", []byte(in), &v, Options{Places: true})
	if len(d.Faults) > 0 {
		t.Fatal(d.Faults)
	}
	if v.Count != 3 || v.Ratio != 0.5 || v.At.Nanosecond() != 6 || *v.Flag || v.Items[0].Bytes[1] != 2 || v.Labels["a"] != "b" {
		t.Fatalf("got %+v", v)
	}
	d.Add("items[0].absent", "conflict")
	if f := d.Faults[0].Place; f.Line != 2 || f.Column != 12 {
		t.Fatalf("fault on an absent key is at %d:%d", f.Line, f.Column)
	}
}

// Guards against a report that grows with the number of faults in a document.
func TestNumberOfFaultsIsBounded(t *testing.T) {
	var v outer
	in := `{` + strings.Repeat(`"x":1,`, 10_000) + `"x":1}`
	if n := len(Decode("", []byte(in), &v, Options{MaxFaults: 7}).Faults); n != 8 {
		t.Fatalf("%d faults", n)
	}
}

// Guards against a tokenizer that accepts more or less than encoding/json: callers
// and operators write JSON with other libraries.
func FuzzGrammar(f *testing.F) {
	for _, seed := range []string{
		`{"a":[1,-0.5e+3,true,false,null,"x\u00e9\n"],"b":{}}`, `[1,]`, `{"a":1,}`, `01`, `-`, `1.`, `1e`, `"\x"`, `"\u12g4"`, "\"\t\"",
		`{"a" 1}`, `{1:2}`, `[}`, `{]`, `tru`, `nulll`, `[] []`, ``, ` `, `"`, `{"a":}`, `[,1]`, `{,}`, `:`, `[1 2]`, `{"a":1 "b":2}`, `"\ud800"`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if invalidUTF8(data) >= 0 {
			return
		}
		tokens := tokenizer{data: data}
		var err error
		for err == nil {
			_, err = tokens.next()
		}
		if got, want := err == io.EOF, json.Valid(data); got != want {
			t.Fatalf("%q: accepted %v, encoding/json %v (%v at %d)", data, got, want, err, tokens.pos)
		}
	})
}
