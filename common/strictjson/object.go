package strictjson

import (
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"
	"sync"
)

// rules are the parsed strict tag of a field.
type rules struct {
	required bool
	min, max float64
	// one lists the allowed values of a string; empty allows each.
	one []string
}

func (r rules) bounds() string {
	switch {
	case math.IsInf(r.max, 1):
		return "at least " + formatBound(r.min)
	case math.IsInf(r.min, -1):
		return "at most " + formatBound(r.max)
	}
	return fmt.Sprintf("%s to %s", formatBound(r.min), formatBound(r.max))
}

func formatBound(x float64) string { return strconv.FormatFloat(x, 'f', -1, 64) }

// field is a member of a struct type.
type field struct {
	name  string
	index []int
	rules rules
}

// layout is the list of members of a struct type.
type layout struct {
	fields []field
	byName map[string]int
	names  string
}

var layouts sync.Map // of reflect.Type to *layout

func layoutOf(t reflect.Type) *layout {
	if l, ok := layouts.Load(t); ok {
		return l.(*layout)
	}
	l := &layout{byName: map[string]int{}}
	var names []string
	for _, f := range reflect.VisibleFields(t) {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name == "" || name == "-" || !f.IsExported() {
			continue
		}
		l.byName[name] = len(l.fields)
		l.fields = append(l.fields, field{name: name, index: f.Index, rules: parseRules(f.Tag.Get("strict"))})
		names = append(names, name)
	}
	l.names = strings.Join(names, ", ")
	actual, _ := layouts.LoadOrStore(t, l)
	return actual.(*layout)
}

// hint names the known key that differs from name in letter case or unit only,
// or all known keys.
func (l *layout) hint(name string) string {
	for _, f := range l.fields {
		if stem(f.name) == stem(name) {
			return fmt.Sprintf("the known key is %s", f.name)
		}
	}
	return "the known keys are " + l.names
}

// stem returns a key in lower case without its unit.
func stem(key string) string {
	key = strings.ToLower(key)
	for _, unit := range []string{"_bytes", "_seconds", "_ms", "_us", "_ns", "_s", "_kb", "_mb", "_kib", "_mib"} {
		if s, ok := strings.CutSuffix(key, unit); ok {
			return s
		}
	}
	return key
}

// parseRules panics on a malformed tag, which is a programming error.
func parseRules(tag string) rules {
	r := rules{min: math.Inf(-1), max: math.Inf(1)}
	for part := range strings.SplitSeq(tag, ",") {
		name, value, _ := strings.Cut(part, "=")
		switch name {
		case "":
		case "required":
			r.required = true
		case "min":
			r.min = mustFloat(value)
		case "max":
			r.max = mustFloat(value)
		case "one":
			r.one = strings.Split(value, "|")
		default:
			panic("strictjson: unknown rule " + part)
		}
	}
	return r
}

func mustFloat(s string) float64 {
	x, err := strconv.ParseFloat(s, 64)
	if err != nil {
		panic("strictjson: malformed bound " + s)
	}
	return x
}

// object decodes the members of a struct; at is the offset of its brace.
func (d *decoder) object(v reflect.Value, at int) error {
	l := layoutOf(v.Type())
	places := make([]int, len(l.fields))
	for i := range places {
		places[i] = -1
	}
	for d.tokens.more() {
		if err := d.member(v, l, places); err != nil {
			return err
		}
	}
	if _, err := d.tokens.next(); err != nil {
		return err
	}
	for i, f := range l.fields {
		if f.rules.required && places[i] < 0 {
			if err := d.faultIn(f.name, at, "missing"); err != nil {
				return err
			}
		}
	}
	return d.check(v, l, places, at)
}

func (d *decoder) member(v reflect.Value, l *layout, places []int) error {
	at := d.next()
	t, err := d.name()
	if err != nil {
		return err
	}
	i, known := l.byName[string(t.raw)]
	if t.escaped {
		i, known = l.byName[t.text()]
	}
	var name string
	if known {
		name = l.fields[i].name
	} else {
		name = shown(t.text())
	}
	d.path = append(d.path, element{name: name})
	switch {
	case !known:
		if err = d.faultAt(at, "unknown key; %s", l.hint(name)); err == nil {
			err = d.skipNext()
		}
	case places[i] >= 0:
		if err = d.faultAt(at, "duplicated key"); err == nil {
			err = d.skipNext()
		}
	default:
		places[i] = d.next()
		err = d.value(v.FieldByIndex(l.fields[i].index), l.fields[i].rules)
	}
	if err == nil {
		d.path = d.path[:len(d.path)-1]
	}
	return err
}

func (d *decoder) faultIn(member string, at int, message string) error {
	d.path = append(d.path, element{name: member})
	err := d.faultAt(at, "%s", message)
	if err == nil {
		d.path = d.path[:len(d.path)-1]
	}
	return err
}

func (d *decoder) check(v reflect.Value, l *layout, places []int, at int) error {
	if d.o.Check == nil {
		return nil
	}
	var err error
	d.o.Check(v.Addr().Interface(), Located{d: d, l: l, places: places, at: at, err: &err})
	return err
}

// Member describes a member of a struct, for schemas and pages.
type Member struct {
	Name     string
	Field    reflect.StructField
	Required bool
	// Min and Max are infinite without a bound.
	Min, Max float64
	One      []string
}

// Members returns the members of a struct type in the order of its fields.
func Members(t reflect.Type) []Member {
	var out []Member
	for _, f := range layoutOf(t).fields {
		r := f.rules
		out = append(out, Member{
			Name: f.name, Field: t.FieldByIndex(f.index), Required: r.required, Min: r.min, Max: r.max, One: r.one,
		})
	}
	return out
}
