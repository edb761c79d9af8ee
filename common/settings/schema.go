package settings

import (
	"encoding/json"
	"fmt"
	"math"
	"reflect"
	"strings"

	"github.com/go-faster/errors"

	"github.com/rhubarbsail/rhubarbsail/common/strictjson"
)

// Documented is a daemon whose settings file is documented by a schema and by
// docs/settings.md.
type Documented struct {
	// Name is the name of the daemon and part of the schema's file name.
	Name     string
	settings Settings
}

// All returns the daemons that read a settings file.
func All() []Documented {
	return []Documented{
		{"gateway", &Gateway{}}, {"agent", &Agent{}}, {"standin-log", &LogStandin{}}, {"standin-target", &TargetStandin{}},
	}
}

// Schema returns the JSON Schema of the daemon's settings file.
func (d Documented) Schema() ([]byte, error) {
	d.settings.setDefaults()
	s := schemaOf(reflect.ValueOf(d.settings).Elem())
	s["$schema"] = "https://json-schema.org/draft/2020-12/schema"
	s["title"] = "Settings of " + d.Name
	out, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return nil, errors.Wrap(err, "schema")
	}
	return append(out, '\n'), nil
}

func schemaOf(v reflect.Value) map[string]any {
	properties := map[string]any{}
	required := []string{}
	for _, m := range strictjson.Members(v.Type()) {
		p := propertyOf(v.FieldByIndex(m.Field.Index), m)
		p["description"] = m.Field.Tag.Get("doc")
		properties[m.Name] = p
		if m.Required {
			required = append(required, m.Name)
		}
	}
	return map[string]any{
		"type": "object", "properties": properties, "required": required, "additionalProperties": false,
	}
}

func propertyOf(v reflect.Value, m strictjson.Member) map[string]any {
	var p map[string]any
	var minKeyword, maxKeyword string
	switch v.Kind() {
	case reflect.Struct:
		return schemaOf(v)
	case reflect.Slice:
		p, minKeyword, maxKeyword = map[string]any{"type": "array", "items": map[string]any{"type": "string"}}, "minItems", "maxItems"
	case reflect.String:
		p, minKeyword, maxKeyword = map[string]any{"type": "string"}, "minLength", "maxLength"
	case reflect.Float64:
		p, minKeyword, maxKeyword = map[string]any{"type": "number"}, "minimum", "maximum"
	default:
		p, minKeyword, maxKeyword = map[string]any{"type": "integer"}, "minimum", "maximum"
	}
	if !math.IsInf(m.Min, 0) {
		p[minKeyword] = m.Min
	}
	if !math.IsInf(m.Max, 0) {
		p[maxKeyword] = m.Max
	}
	if len(m.One) > 0 {
		p["enum"] = m.One
	}
	if !m.Required && !v.IsZero() {
		p["default"] = v.Interface()
	}
	return p
}

// Markdown returns the content of docs/settings.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Settings files\n\nOne table a daemon. A key without a default is required or empty. Keys of nested objects are joined by dots.\n" +
		"This page is generated from common/settings; `go test ./common/settings -update` writes it.\n")
	for _, d := range All() {
		d.settings.setDefaults()
		fmt.Fprintf(&b, "\n## %s\n\nSchema: [settings-%s.schema.json](settings-%s.schema.json)\n\n| key | default | bounds | meaning |\n|---|---|---|---|\n", d.Name, d.Name, d.Name)
		writeRows(&b, "", reflect.ValueOf(d.settings).Elem())
	}
	return b.String()
}

func writeRows(b *strings.Builder, prefix string, v reflect.Value) {
	for _, m := range strictjson.Members(v.Type()) {
		f := v.FieldByIndex(m.Field.Index)
		if f.Kind() == reflect.Struct {
			writeRows(b, prefix+m.Name+".", f)
			continue
		}
		value := ""
		switch {
		case m.Required:
			value = "required"
		case !f.IsZero() || f.CanInt():
			value = fmt.Sprint(f.Interface())
		}
		fmt.Fprintf(b, "| %s%s | %s | %s | %s |\n", prefix, m.Name, value, formatBounds(m, f.Kind()), m.Field.Tag.Get("doc"))
	}
}

func formatBounds(m strictjson.Member, k reflect.Kind) string {
	switch {
	case len(m.One) > 0:
		return strings.Join(m.One, ", ")
	case k == reflect.String || k == reflect.Slice || math.IsInf(m.Max, 0):
		return ""
	}
	return fmt.Sprintf("%.12g to %.12g", m.Min, m.Max)
}
