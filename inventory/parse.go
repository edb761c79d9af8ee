package inventory

import (
	"encoding/json"
	"fmt"
	"unicode/utf8"

	"github.com/rhubarbsail/rhubarbsail/common/findings"
	"github.com/rhubarbsail/rhubarbsail/common/strictjson"
)

// maxFindings bounds the findings of a file. It is far above what anyone reads.
// Without it, a file of 19,000 targets without their workers took 92 s, since
// each finding counts the lines before it.
const maxFindings = 1000

var decoding = strictjson.Options{Places: true, MaxFaults: maxFindings}

// File is the name and content of a file, for findings.
type File struct {
	Name string
	Data []byte
}

// Parse reads a configuration with the keys "inventory" and "rules". The error
// is a findings.List with all faults.
func Parse(file string, data []byte) (*Config, error) {
	var d document
	doc := strictjson.Decode(file, data, &d, decoding)
	if isJSON(data) {
		check(d, newSection(doc, "inventory."), newSection(doc, "rules."))
	}
	return finish(d, doc.Faults)
}

// ParseFiles reads an inventory and rules from two files. The error is a
// findings.List with all faults of both.
func ParseFiles(inventory, rules File) (*Config, error) {
	var d document
	inv := strictjson.Decode(inventory.Name, inventory.Data, &d.Inventory, decoding)
	rul := strictjson.Decode(rules.Name, rules.Data, &d.Rules, decoding)
	if isJSON(inventory.Data) && isJSON(rules.Data) {
		check(d, newSection(inv, ""), newSection(rul, ""))
	}
	return finish(d, append(inv.Faults, rul.Faults...))
}

// isJSON reports whether the values of a file were read. After an error of
// syntax there is no cross-check, since each name would seem to be missing.
func isJSON(data []byte) bool { return json.Valid(data) && utf8.Valid(data) }

func finish(d document, faults findings.List) (*Config, error) {
	if err := faults.Err(); err != nil {
		return nil, err
	}
	return New(d.Inventory, d.Rules), nil
}

// section is the part of a document that holds the inventory or the rules.
type section struct {
	doc    *strictjson.Document
	prefix string
	// faulty holds the keys whose value could not be read. A check of their
	// zero value would report the same fault again.
	faulty map[string]struct{}
}

func newSection(doc *strictjson.Document, prefix string) *section {
	s := &section{doc: doc, prefix: prefix, faulty: map[string]struct{}{}}
	for _, f := range doc.Faults {
		s.faulty[f.Place.Key] = struct{}{}
	}
	return s
}

func (s *section) addf(key, format string, args ...any) {
	if _, faulty := s.faulty[s.prefix+key]; faulty || len(s.doc.Faults) > maxFindings {
		return
	}
	if len(s.doc.Faults) == maxFindings {
		s.doc.Add("", "too many findings; the rest is not listed")
		return
	}
	s.doc.Add(s.prefix+key, fmt.Sprintf(format, args...))
}

// element is one element of a list in a section.
type element struct {
	*section
	key string
}

func (s *section) element(list string, i int) element {
	return element{section: s, key: fmt.Sprintf("%s[%d]", list, i)}
}

func (e element) addf(field, format string, args ...any) {
	e.section.addf(e.key+"."+field, format, args...)
}
