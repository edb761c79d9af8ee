// Package strictjson decodes JSON into structs and reports every fault of a
// document together, each with line, column and key. Unknown and duplicated
// keys, values of another type, values out of bounds, null and trailing data
// are faults. Time and memory are bounded by the size of the document.
//
// Struct fields use the json tag for their name and the strict tag for rules:
//
//	TimeoutMS int64 `json:"timeout_ms" strict:"required,min=10,max=120000"`
//
// The rules are required (the key must be present), min and max (bounds of a
// number, of the length of a string or of the number of elements).
package strictjson

import (
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"github.com/rhubarbsail/rhubarbsail/common/findings"
)

const (
	// maxDepth bounds nesting, since the decoder keeps a stack entry a level.
	maxDepth = 64
	// defaultMaxFaults bounds the report on a document that is wrong throughout.
	defaultMaxFaults = 100
	// defaultMaxItems bounds arrays and maps.
	defaultMaxItems = 100_000
)

// Options bounds the decoding. The zero value uses defaults.
type Options struct {
	// MaxItems bounds the elements of each array and map; further ones are
	// skipped.
	MaxItems int
	// MaxBytes bounds the decoded size of each base64 value; 0 is no bound.
	MaxBytes int
	// MaxFaults ends the decoding when it is reached.
	MaxFaults int
	// Check is called with a pointer to each struct after its members have been
	// decoded.
	Check func(value any, at Located)
	// Places keeps the place of each key for Document.Add.
	Places bool
}

// Located knows the places of the members of a struct that was decoded.
type Located struct {
	d      *decoder
	l      *layout
	places []int
	at     int
	err    *error
}

// offset returns where the member starts, or the struct if it lacks the member.
func (s Located) offset(member string) int {
	if i, ok := s.l.byName[member]; ok && s.places[i] >= 0 {
		return s.places[i]
	}
	return s.at
}

// Report adds a fault at the place of a member.
func (s Located) Report(member, message string) {
	if *s.err == nil {
		*s.err = s.d.faultIn(member, s.offset(member), message)
	}
}

// Place returns the place of a member.
func (s Located) Place(member string) findings.Place {
	key := member
	if outer := s.d.key(); outer != "" {
		key = outer + "." + member
	}
	return s.d.doc.place(s.offset(member), key)
}

// Document is the result of a decoding.
type Document struct {
	// Faults are in the order of the document, then those added.
	Faults findings.List
	file   string
	data   []byte
	places map[string]int
}

// Add appends a fault at the place of key, or of its nearest parent that the
// document contains.
func (d *Document) Add(key, message string) {
	at := 0
	for k := key; k != ""; k = parent(k) {
		if offset, ok := d.places[k]; ok {
			at = offset
			break
		}
	}
	d.Faults.Addf(d.place(at, key), "%s", message)
}

// Has reports whether the document contains key. It needs Options.Places.
func (d *Document) Has(key string) bool {
	_, ok := d.places[key]
	return ok
}

func parent(key string) string {
	return key[:max(0, strings.LastIndexAny(key, ".["))]
}

func (d *Document) place(offset int, key string) findings.Place {
	line, column := findings.LineColumn(d.data, int64(offset))
	return findings.Place{File: d.file, Line: line, Column: column, Key: key}
}

// Decode decodes data into the struct that into points to. Values without a
// fault are set even if others have one. The file name goes into the findings
// and may be empty.
func Decode(file string, data []byte, into any, o Options) *Document {
	if o.MaxItems == 0 {
		o.MaxItems = defaultMaxItems
	}
	if o.MaxFaults == 0 {
		o.MaxFaults = defaultMaxFaults
	}
	d := &decoder{doc: &Document{file: file, data: data}, o: o, tokens: tokens{data: data}}
	if o.Places {
		d.doc.places = map[string]int{}
	}
	if i := invalidUTF8(data); i >= 0 {
		// Replacing such bytes could make two keys equal.
		d.faultAt(i, "invalid UTF-8")
		return d.doc
	}
	err := d.value(reflect.ValueOf(into).Elem(), rules{})
	if err == nil {
		err = d.end()
	}
	if err != nil && !errors.Is(err, errTooManyFaults) {
		d.syntax(err)
	}
	return d.doc
}

var (
	errTooManyFaults = errors.New("too many faults")
	errTooDeep       = errors.New("nesting is too deep")
)

// decoder walks the tokens of a document. One goroutine uses it.
type decoder struct {
	doc    *Document
	o      Options
	tokens tokens
	path   []element
	depth  int
}

// element is one step of a path: a member name, or an index if name is empty.
type element struct {
	name  string
	index int
}

func (d *decoder) key() string {
	var b strings.Builder
	for _, e := range d.path {
		if e.name == "" {
			b.WriteString("[" + strconv.Itoa(e.index) + "]")
			continue
		}
		if b.Len() > 0 {
			b.WriteByte('.')
		}
		b.WriteString(e.name)
	}
	return b.String()
}

// next returns the offset at which the next token starts.
func (d *decoder) next() int {
	i := d.tokens.pos
	for i < len(d.doc.data) && strings.IndexByte(" \t\r\n,:", d.doc.data[i]) >= 0 {
		i++
	}
	return i
}

func (d *decoder) faultAt(offset int, format string, args ...any) error {
	d.doc.Faults.Addf(d.doc.place(offset, d.key()), format, args...)
	if len(d.doc.Faults) < d.o.MaxFaults {
		return nil
	}
	d.doc.Faults.Addf(d.doc.place(offset, ""), "too many faults; the rest is not listed")
	return errTooManyFaults
}

// syntax reports an error of the grammar in the words of encoding/json.
func (d *decoder) syntax(err error) {
	offset, message := d.tokens.pos, err.Error()
	var s *json.SyntaxError
	switch {
	case errors.Is(err, errTooDeep):
		message = fmt.Sprintf("more than %d levels of nesting", maxDepth)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		offset, message = len(d.doc.data), "malformed JSON: unexpected end of the document"
	case errors.As(json.Unmarshal(d.doc.data, new(json.RawMessage)), &s):
		message = "malformed JSON: " + s.Error()
	}
	_ = d.faultAt(offset, "%s", message)
}

// end requires that nothing but white space follows the document.
func (d *decoder) end() error {
	at := d.next()
	if _, err := d.tokens.next(); errors.Is(err, io.EOF) {
		return nil
	}
	return d.faultAt(at, "trailing data after the document")
}

// skip passes over one value whose first token has been read.
func (d *decoder) skip(t token) error {
	open := 0
	for {
		switch t.kind {
		case '{', '[':
			open++
		case '}', ']':
			open--
		}
		if d.depth+open > maxDepth {
			return errTooDeep
		}
		if open == 0 {
			return nil
		}
		var err error
		if t, err = d.tokens.next(); err != nil {
			return err
		}
	}
}

func (d *decoder) skipNext() error {
	t, err := d.tokens.next()
	if err != nil {
		return err
	}
	return d.skip(t)
}
