package findings

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// Document gives the location of each value of a decoded JSON file.
type Document struct {
	file   string
	lines  []int64 // offset of the first byte of each line
	places map[string]int64
	valid  bool
}

// Valid is false if the file is not JSON, so that no value was read.
func (d *Document) Valid() bool { return d.valid }

// At returns the location of the value with the key path, such as
// targets[3].slots. If the file lacks the key, it is that of the nearest
// enclosing value.
func (d *Document) At(key string) Place {
	p := Place{File: d.file, Key: key}
	for k := key; ; k = parent(k) {
		if off, ok := d.places[k]; ok {
			p.Line, p.Column = d.lineColumn(off)
			return p
		}
		if k == "" {
			return p
		}
	}
}

func (d *Document) lineColumn(off int64) (int, int) {
	i, found := slices.BinarySearch(d.lines, off)
	if !found {
		i--
	}
	return i + 1, int(off-d.lines[i]) + 1
}

func parent(key string) string {
	return key[:max(strings.LastIndexAny(key, ".["), 0)]
}

// Decode reads one JSON document into the value that v points to. It reports
// each unknown key, repeated key and value of a wrong type, sets the values
// that are right, and returns the locations for further checks. Keys match by
// exact case. Only an error of syntax ends the reading early.
func Decode(file string, data []byte, v any, list *List) *Document {
	d := &Document{file: file, lines: lineStarts(data), places: map[string]int64{}}
	if err := json.Unmarshal(data, new(json.RawMessage)); err != nil {
		p := Place{File: file}
		var syntax *json.SyntaxError
		if errors.As(err, &syntax) {
			// The offset is that after the byte at fault.
			p.Line, p.Column = LineColumn(data, syntax.Offset-1)
		}
		list.Addf(p, "JSON syntax: %s", err)
		return d
	}
	d.valid = true
	w := walker{doc: d, data: data, dec: json.NewDecoder(bytes.NewReader(data)), list: list}
	w.value(reflect.ValueOf(v).Elem(), "")
	return d
}

func lineStarts(data []byte) []int64 {
	starts := []int64{0}
	for i, b := range data {
		if b == '\n' {
			starts = append(starts, int64(i)+1)
		}
	}
	return starts
}

// walker goes through the tokens of a document that is known to be valid.
type walker struct {
	doc  *Document
	data []byte
	dec  *json.Decoder
	list *List
}

// start returns the offset of the next value or key. The decoder's own offset
// is at the end of the last token, before separators.
func (w *walker) start() int64 {
	off := w.dec.InputOffset()
	for int(off) < len(w.data) && strings.IndexByte(" \t\r\n,:", w.data[off]) >= 0 {
		off++
	}
	return off
}

func (w *walker) value(v reflect.Value, path string) {
	off := w.start()
	if _, known := w.doc.places[path]; !known {
		w.doc.places[path] = off
	}
	for v.Kind() == reflect.Pointer && !isLeaf(v) {
		if w.data[off] == 'n' {
			break
		}
		if v.IsNil() {
			v.Set(reflect.New(v.Type().Elem()))
		}
		v = v.Elem()
	}
	switch kind := v.Kind(); {
	case isLeaf(v):
		w.leaf(v, path)
	case kind == reflect.Struct && w.data[off] == '{':
		w.object(path, func(key, sub string, at int64) (reflect.Value, func()) {
			f, ok := fieldByKey(v, key)
			if !ok {
				w.addAt(at, sub, "unknown key%s", suggestion(v.Type(), key))
			}
			return f, func() {}
		})
	case kind == reflect.Map && w.data[off] == '{':
		if v.IsNil() {
			v.Set(reflect.MakeMap(v.Type()))
		}
		w.object(path, func(key, _ string, _ int64) (reflect.Value, func()) {
			item := reflect.New(v.Type().Elem()).Elem()
			return item, func() { v.SetMapIndex(reflect.ValueOf(key).Convert(v.Type().Key()), item) }
		})
	case kind == reflect.Slice && w.data[off] == '[':
		w.array(v, path)
	default:
		w.leaf(v, path)
	}
}

// object reads an object; field returns the value for a key, or the zero Value
// to skip it, and what to do after it was read.
func (w *walker) object(path string, field func(key, sub string, at int64) (reflect.Value, func())) {
	w.token()
	seen := map[string]bool{}
	for w.dec.More() {
		at := w.start()
		key, _ := w.token().(string)
		sub := key
		if path != "" {
			sub = path + "." + key
		}
		if seen[key] {
			w.addAt(at, sub, "the key is given twice")
		}
		seen[key] = true
		v, done := field(key, sub, at)
		if !v.IsValid() {
			w.skip()
			continue
		}
		w.value(v, sub)
		done()
	}
	w.token()
}

func (w *walker) array(v reflect.Value, path string) {
	w.token()
	v.Set(reflect.MakeSlice(v.Type(), 0, 0))
	for i := 0; w.dec.More(); i++ {
		// A wrong value keeps its place, so that indexes match the file.
		item := reflect.New(v.Type().Elem()).Elem()
		w.value(item, fmt.Sprintf("%s[%d]", path, i))
		v.Set(reflect.Append(v, item))
	}
	w.token()
}

func (w *walker) leaf(v reflect.Value, path string) {
	at := w.start()
	raw := w.skip()
	if string(raw) == "null" && v.Kind() != reflect.Pointer && v.Type() != rawMessage {
		w.addAt(at, path, "null is not allowed; the key expects %s", expected(v.Type(), path))
		return
	}
	if err := json.Unmarshal(raw, v.Addr().Interface()); err != nil {
		w.addAt(at, path, "%s", leafMessage(raw, v.Type(), path, err))
	}
}

func leafMessage(raw json.RawMessage, t reflect.Type, path string, err error) string {
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		return fmt.Sprintf("%s where the key expects %s", excerpt(raw), expected(t, path))
	}
	return err.Error()
}

const excerptBytes = 40

func excerpt(raw []byte) string {
	if len(raw) > excerptBytes {
		return string(raw[:excerptBytes]) + "..."
	}
	return string(raw)
}

func (w *walker) skip() json.RawMessage {
	var raw json.RawMessage
	_ = w.dec.Decode(&raw) // the document was checked for syntax
	return raw
}

func (w *walker) token() json.Token {
	t, _ := w.dec.Token() // the document was checked for syntax
	return t
}

func (w *walker) addAt(off int64, key, format string, args ...any) {
	line, column := w.doc.lineColumn(off)
	w.list.Addf(Place{File: w.doc.file, Line: line, Column: column, Key: key}, format, args...)
}

var (
	rawMessage      = reflect.TypeFor[json.RawMessage]()
	jsonUnmarshaler = reflect.TypeFor[json.Unmarshaler]()
	textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// isLeaf reports whether the type reads its JSON itself.
func isLeaf(v reflect.Value) bool {
	p := reflect.PointerTo(v.Type())
	return p.Implements(jsonUnmarshaler) || p.Implements(textUnmarshaler)
}

func fieldByKey(v reflect.Value, key string) (reflect.Value, bool) {
	for _, f := range reflect.VisibleFields(v.Type()) {
		if f.IsExported() && !f.Anonymous && keyOf(f) == key {
			return v.FieldByIndex(f.Index), true
		}
	}
	return reflect.Value{}, false
}

func keyOf(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	if name == "" {
		return f.Name
	}
	return name
}

// suggestion names a known key that differs in case or in its unit only.
func suggestion(t reflect.Type, key string) string {
	for _, f := range reflect.VisibleFields(t) {
		known := keyOf(f)
		if stem(known) == stem(key) {
			return fmt.Sprintf("; the known key is %q", known)
		}
	}
	return ""
}

// units are the endings of keys that give the unit of a number.
var units = map[string]string{
	"_ms": "milliseconds", "_s": "seconds", "_mb": "megabytes", "_gb": "gigabytes",
	"_bytes": "bytes", "_per_second": "a rate per second",
}

// unitOrder has the longest endings first, since one may end with another.
var unitOrder = []string{"_per_second", "_bytes", "_ms", "_mb", "_gb", "_s"}

func stem(key string) string {
	key = strings.ToLower(key)
	for _, u := range unitOrder {
		if s, ok := strings.CutSuffix(key, u); ok {
			return strings.ReplaceAll(s, "_", "")
		}
	}
	return strings.ReplaceAll(key, "_", "")
}

// expected describes a type in the terms of JSON, with the unit of the key.
func expected(t reflect.Type, path string) string {
	s := typeName(t)
	if strings.Contains(s, "number") {
		for _, u := range unitOrder {
			if strings.HasSuffix(path, u) {
				return s + " (" + units[u] + ")"
			}
		}
	}
	return s
}

func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Pointer:
		return typeName(t.Elem())
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "a string"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Slice, reflect.Array:
		return "a list"
	case reflect.Struct, reflect.Map:
		return "an object"
	}
	if t.Kind() >= reflect.Int && t.Kind() <= reflect.Uint64 {
		return "a whole number"
	}
	return t.String()
}
