package strictjson

import (
	"encoding/base64"
	"encoding/json"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"
)

var (
	timeType  = reflect.TypeFor[time.Time]()
	rawType   = reflect.TypeFor[json.RawMessage]()
	bytesType = reflect.TypeFor[[]byte]()
)

// The range of accepted years: Unix nanoseconds fit into an int64, also after
// durations have been added.
const (
	firstYear = 1970
	lastYear  = 2200
)

func (d *decoder) value(v reflect.Value, r rules) error {
	at := d.nextOffset()
	if d.doc.places != nil && len(d.path) > 0 {
		d.doc.places[d.key()] = at
	}
	if v.Type() == rawType {
		if err := d.skipNext(); err != nil {
			return err
		}
		v.SetBytes(slices.Clone(d.doc.data[at:d.tokens.pos]))
		return nil
	}
	t, err := d.tokens.next()
	if err != nil {
		return err
	}
	if v.Kind() == reflect.Pointer {
		if t.kind == kindNull {
			return nil
		}
		v.Set(reflect.New(v.Type().Elem()))
		v = v.Elem()
	}
	switch t.kind {
	case '{':
		if v.Kind() == reflect.Struct && v.Type() != timeType {
			return d.nested(func() error { return d.structValue(v, at) })
		}
		if v.Kind() == reflect.Map {
			return d.nested(func() error { return d.mapValue(v) })
		}
	case '[':
		if v.Kind() == reflect.Slice && v.Type() != bytesType {
			return d.nested(func() error { return d.arrayValue(v, r, at) })
		}
	case kindString:
		if v.Kind() == reflect.String || v.Type() == timeType || v.Type() == bytesType {
			return d.stringValue(v, r, t, at)
		}
	case kindNumber:
		if v.CanInt() || v.CanUint() || v.CanFloat() {
			return d.numberValue(v, r, string(t.raw), at)
		}
	case kindTrue, kindFalse:
		if v.Kind() == reflect.Bool {
			v.SetBool(t.kind == kindTrue)
			return nil
		}
	}
	if err := d.faultAt(at, "want %s, found %s", typeName(v.Type()), tokenName(t)); err != nil {
		return err
	}
	return d.skip(t)
}

func (d *decoder) nested(decode func() error) error {
	if d.depth++; d.depth > maxDepth {
		return errTooDeep
	}
	err := decode()
	d.depth--
	return err
}

func typeName(t reflect.Type) string {
	switch {
	case t == timeType:
		return "a string with a time in RFC 3339"
	case t == bytesType:
		return "a string in base64"
	}
	switch t.Kind() {
	case reflect.Struct, reflect.Map:
		return "an object"
	case reflect.Slice:
		return "an array"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	}
	return "an integer"
}

func tokenName(t token) string {
	switch t.kind {
	case '{':
		return "an object"
	case '[':
		return "an array"
	case kindString:
		return "a string"
	case kindNumber:
		return "a number"
	case kindTrue, kindFalse:
		return "true or false"
	}
	return "null"
}

func (d *decoder) stringValue(v reflect.Value, r rules, tok token, at int) error {
	if v.Type() == bytesType {
		return d.base64Value(v, tok, at)
	}
	s := tok.text()
	if v.Type() == timeType {
		t, err := time.Parse(time.RFC3339Nano, s)
		if err != nil || t.Year() < firstYear || t.Year() > lastYear {
			return d.faultAt(at, "want a time in RFC 3339 between the years %d and %d", firstYear, lastYear)
		}
		v.Set(reflect.ValueOf(t))
		return nil
	}
	if len(r.one) > 0 && !slices.Contains(r.one, s) {
		return d.faultAt(at, "want one of %s", strings.Join(r.one, ", "))
	}
	if n := float64(len(s)); n < r.min || n > r.max {
		return d.faultAt(at, "length is %d bytes; want %s", len(s), r.bounds())
	}
	v.SetString(s)
	return nil
}

func (d *decoder) base64Value(v reflect.Value, t token, at int) error {
	encoded := t.raw
	if t.escaped {
		encoded = []byte(t.text())
	}
	if limit := d.o.MaxBytes; limit > 0 && base64.StdEncoding.DecodedLen(len(encoded))-2 > limit {
		return d.faultAt(at, "decoded size is over %d bytes", limit)
	}
	b := make([]byte, base64.StdEncoding.DecodedLen(len(encoded)))
	n, err := base64.StdEncoding.Strict().Decode(b, encoded)
	b = b[:n]
	if err != nil {
		return d.faultAt(at, "want standard base64 with padding: %v", err)
	}
	if limit := d.o.MaxBytes; limit > 0 && len(b) > limit {
		return d.faultAt(at, "decoded size is over %d bytes", limit)
	}
	v.SetBytes(b)
	return nil
}

func (d *decoder) numberValue(v reflect.Value, r rules, s string, at int) error {
	var n float64
	var err error
	switch {
	case v.CanInt():
		var i int64
		i, err = strconv.ParseInt(s, 10, v.Type().Bits())
		n = float64(i)
		defer func() {
			if err == nil {
				v.SetInt(i)
			}
		}()
	case v.CanUint():
		var u uint64
		u, err = strconv.ParseUint(s, 10, v.Type().Bits())
		n = float64(u)
		defer func() {
			if err == nil {
				v.SetUint(u)
			}
		}()
	default:
		n, err = strconv.ParseFloat(s, v.Type().Bits())
		v.SetFloat(n)
	}
	if err != nil {
		return d.faultAt(at, "want %s, found %.40s", typeName(v.Type()), s)
	}
	if n < r.min || n > r.max {
		return d.faultAt(at, "%.40s is out of bounds; want %s", s, r.bounds())
	}
	return nil
}

func (d *decoder) arrayValue(v reflect.Value, r rules, at int) error {
	n := 0
	for ; d.tokens.more(); n++ {
		if n >= d.o.MaxItems {
			if n == d.o.MaxItems {
				if err := d.faultAt(d.nextOffset(), "more than %d elements", d.o.MaxItems); err != nil {
					return err
				}
			}
			if err := d.skipNext(); err != nil {
				return err
			}
			continue
		}
		v.Grow(1)
		v.SetLen(n + 1)
		v.Index(n).SetZero()
		d.path = append(d.path, element{index: n})
		if err := d.value(v.Index(n), rules{min: math.Inf(-1), max: math.Inf(1)}); err != nil {
			return err
		}
		d.path = d.path[:len(d.path)-1]
	}
	if c := float64(n); c < r.min || c > r.max {
		if err := d.faultAt(at, "%d elements; want %s", n, r.bounds()); err != nil {
			return err
		}
	}
	_, err := d.tokens.next()
	return err
}

func (d *decoder) mapValue(v reflect.Value) error {
	v.Set(reflect.MakeMap(v.Type()))
	for d.tokens.more() {
		at := d.nextOffset()
		t, err := d.memberName()
		if err != nil {
			return err
		}
		name := t.text()
		d.path = append(d.path, element{name: displayName(name)})
		k := reflect.ValueOf(name).Convert(v.Type().Key())
		item := reflect.New(v.Type().Elem()).Elem()
		switch {
		case v.MapIndex(k).IsValid():
			if err := d.faultAt(at, "duplicated key"); err != nil {
				return err
			}
			err = d.skipNext()
		case v.Len() >= d.o.MaxItems:
			if err := d.faultAt(at, "more than %d members", d.o.MaxItems); err != nil {
				return err
			}
			return errTooManyFaults
		default:
			err = d.value(item, rules{min: math.Inf(-1), max: math.Inf(1)})
			v.SetMapIndex(k, item)
		}
		if err != nil {
			return err
		}
		d.path = d.path[:len(d.path)-1]
	}
	_, err := d.tokens.next()
	return err
}

// memberName reads the name of a member.
func (d *decoder) memberName() (token, error) {
	t, err := d.tokens.next()
	if err == nil && t.kind != kindString {
		err = errSyntax
	}
	return t, err
}

// displayName returns a member name as it appears in a path. An empty name would
// be taken for an index.
func displayName(name string) string {
	if name == "" {
		return `""`
	}
	return name
}
