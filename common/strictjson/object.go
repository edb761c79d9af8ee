package strictjson

import (
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"
	"sync"
)

// rules is the parsed strict tag of a field.
type rules struct {
	required bool
	min, max float64
	// one lists the allowed values of a string; if empty, all are allowed.
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

// structInfo describes the members of a struct type.
type structInfo struct {
	fields     []field
	byName     map[string]int
	fieldNames string
}

var structInfos sync.Map // of reflect.Type to *structInfo

func structInfoOf(t reflect.Type) *structInfo {
	if l, ok := structInfos.Load(t); ok {
		return l.(*structInfo)
	}
	l := &structInfo{byName: map[string]int{}}
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
	l.fieldNames = strings.Join(names, ", ")
	actual, _ := structInfos.LoadOrStore(t, l)
	return actual.(*structInfo)
}

// knownKeys suggests the known key that differs from name only in letter case or
// unit, or lists all known keys.
func (l *structInfo) knownKeys(name string) string {
	for _, f := range l.fields {
		if withoutUnit(f.name) == withoutUnit(name) {
			return fmt.Sprintf("the known key is %s", f.name)
		}
	}
	return "the known keys are " + l.fieldNames
}

// withoutUnit returns a key in lower case without its unit suffix.
func withoutUnit(key string) string {
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
			r.min = mustParseBound(value)
		case "max":
			r.max = mustParseBound(value)
		case "one":
			r.one = strings.Split(value, "|")
		default:
			panic("strictjson: unknown rule " + part)
		}
	}
	return r
}

func mustParseBound(s string) float64 {
	x, err := strconv.ParseFloat(s, 64)
	if err != nil {
		panic("strictjson: malformed bound " + s)
	}
	return x
}

// structValue decodes the members of a struct. at is the offset of its opening
// brace.
func (d *decoder) structValue(v reflect.Value, at int) error {
	l := structInfoOf(v.Type())
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
			if err := d.memberFault(f.name, at, "missing"); err != nil {
				return err
			}
		}
	}
	return d.runCheck(v, l, places, at)
}

func (d *decoder) member(v reflect.Value, l *structInfo, places []int) error {
	at := d.nextOffset()
	t, err := d.memberName()
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
		name = displayName(t.text())
	}
	d.path = append(d.path, element{name: name})
	switch {
	case !known:
		if err = d.faultAt(at, "unknown key; %s", l.knownKeys(name)); err == nil {
			err = d.skipNext()
		}
	case places[i] >= 0:
		if err = d.faultAt(at, "duplicated key"); err == nil {
			err = d.skipNext()
		}
	default:
		places[i] = d.nextOffset()
		err = d.value(v.FieldByIndex(l.fields[i].index), l.fields[i].rules)
	}
	if err == nil {
		d.path = d.path[:len(d.path)-1]
	}
	return err
}

func (d *decoder) memberFault(member string, at int, message string) error {
	d.path = append(d.path, element{name: member})
	err := d.faultAt(at, "%s", message)
	if err == nil {
		d.path = d.path[:len(d.path)-1]
	}
	return err
}

func (d *decoder) runCheck(v reflect.Value, l *structInfo, places []int, at int) error {
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
	// Min and Max are infinite if there is no bound.
	Min, Max float64
	One      []string
}

// Members returns the members of a struct type in the order of its fields.
func Members(t reflect.Type) []Member {
	var out []Member
	for _, f := range structInfoOf(t).fields {
		r := f.rules
		out = append(out, Member{
			Name: f.name, Field: t.FieldByIndex(f.index), Required: r.required, Min: r.min, Max: r.max, One: r.one,
		})
	}
	return out
}
