// Package strictjson decodes JSON into structs and reports all faults of a document
// together, each with line, column and key. Unknown and duplicate keys, values of
// the wrong type, values out of bounds, null and trailing data are faults. Time
// and memory are bounded by the size of the document.
//
// Struct fields use the json tag for their name and the strict tag for rules:
//
//	TimeoutMS int64 `json:"timeout_ms" strict:"required,min=10,max=120000"`
//
// The rules are required (the key must be present), min and max (bounds of a
// number, of the length of a string in bytes or of the number of elements) and one
// (the allowed values of a string, separated by |).
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
	// maxDepth limits nesting, since the decoder recurses once per level.
	maxDepth = 64
	// defaultMaxFaults limits the report on a document with many faults.
	defaultMaxFaults = 100
	// defaultMaxItems limits the number of elements of arrays and maps.
	defaultMaxItems = 100_000
)

// Options configures the decoding. Zero values select defaults.
type Options struct {
	// MaxItems limits the elements of each array and map. Exceeding it is a fault;
	// the further elements are not decoded.
	MaxItems int
	// MaxBytes limits the decoded size of each base64 value; 0 means no limit.
	MaxBytes int
	// MaxFaults is the number of faults after which decoding stops.
	MaxFaults int
	// Check is called with a pointer to each struct after its members have been
	// decoded.
	Check func(value any, at Located)
	// Places records the position of each key, for Document.Add and Document.Has.
	Places bool
}

// Located gives access to the positions of the members of a decoded struct.
type Located struct {
	d      *decoder
	l      *structInfo
	places []int
	at     int
	err    *error
}

// offset returns the offset of a member's value, or that of the struct if the
// member is absent.
func (s Located) offset(member string) int {
	if i, ok := s.l.byName[member]; ok && s.places[i] >= 0 {
		return s.places[i]
	}
	return s.at
}

// Report adds a fault at the position of a member.
func (s Located) Report(member, message string) {
	if *s.err == nil {
		*s.err = s.d.memberFault(member, s.offset(member), message)
	}
}

// Place returns the position of a member.
func (s Located) Place(member string) findings.Place {
	key := member
	if outer := s.d.key(); outer != "" {
		key = outer + "." + member
	}
	return s.d.doc.place(s.offset(member), key)
}

// Document is the result of decoding: the faults and, with Options.Places, the
// positions of the keys.
type Document struct {
	// Faults holds the faults of decoding, followed by those added with Add.
	Faults findings.List
	file   string
	data   []byte
	places map[string]int
}

// Add appends a fault at the position of key or, if the document lacks it, of its
// nearest ancestor.
func (d *Document) Add(key, message string) {
	at := 0
	for k := key; k != ""; k = parentKey(k) {
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

// parentKey returns the key that contains key: a.b for a.b[1] and a for a.b.
func parentKey(key string) string {
	return key[:max(0, strings.LastIndexAny(key, ".["))]
}

func (d *Document) place(offset int, key string) findings.Place {
	line, column := findings.LineColumn(d.data, int64(offset))
	return findings.Place{File: d.file, Line: line, Column: column, Key: key}
}

// Decode decodes data into the struct that into points to. Valid values are set
// even if others have faults. The file name is part of the faults' positions and
// may be empty.
func Decode(file string, data []byte, into any, o Options) *Document {
	if o.MaxItems == 0 {
		o.MaxItems = defaultMaxItems
	}
	if o.MaxFaults == 0 {
		o.MaxFaults = defaultMaxFaults
	}
	d := &decoder{doc: &Document{file: file, data: data}, o: o, tokens: tokenizer{data: data}}
	if o.Places {
		d.doc.places = map[string]int{}
	}
	if i := invalidUTF8(data); i >= 0 {
		// Decoding would replace the invalid bytes, which could make two keys equal.
		d.faultAt(i, "invalid UTF-8")
		return d.doc
	}
	err := d.value(reflect.ValueOf(into).Elem(), rules{})
	if err == nil {
		err = d.expectEnd()
	}
	if err != nil && !errors.Is(err, errTooManyFaults) {
		d.syntaxFault(err)
	}
	return d.doc
}

var (
	errTooManyFaults = errors.New("too many faults")
	errTooDeep       = errors.New("nesting is too deep")
)

// decoder decodes one document by recursive descent. It is not safe for concurrent
// use.
type decoder struct {
	doc    *Document
	o      Options
	tokens tokenizer
	path   []element
	depth  int
}

// element is one element of a path: a member name or, if name is empty, an index.
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

// nextOffset returns the offset at which the next token starts.
func (d *decoder) nextOffset() int {
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

// syntaxFault reports a syntax error with the message of encoding/json.
func (d *decoder) syntaxFault(err error) {
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

// expectEnd reports a fault if anything but white space follows the document.
func (d *decoder) expectEnd() error {
	at := d.nextOffset()
	if _, err := d.tokens.next(); errors.Is(err, io.EOF) {
		return nil
	}
	return d.faultAt(at, "trailing data after the document")
}

// skip skips the rest of a value whose first token is t.
func (d *decoder) skip(t token) error {
	nesting := 0
	for {
		switch t.kind {
		case '{', '[':
			nesting++
		case '}', ']':
			nesting--
		}
		if d.depth+nesting > maxDepth {
			return errTooDeep
		}
		if nesting == 0 {
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
