package inventory

import (
	"encoding/json"
	"fmt"
	"unicode/utf8"

	"github.com/rhubarbsail/rhubarbsail/common/findings"
	"github.com/rhubarbsail/rhubarbsail/common/strictjson"
)

// maxFindings limits the findings of a file, far above what anyone reads. Each
// finding counts the lines before it: without the limit, a file of 19,000 targets
// whose workers are missing took 92 s.
const maxFindings = 1000

var decodeOptions = strictjson.Options{Places: true, MaxFaults: maxFindings}

// File is the content of a file and the name by which findings refer to it.
type File struct {
	Name string
	Data []byte
}

// Parse decodes and validates a configuration with the keys "inventory" and
// "rules". The error is a findings.List with all faults.
func Parse(file string, data []byte) (*Config, error) {
	var d document
	doc := strictjson.Decode(file, data, &d, decodeOptions)
	if isValidJSON(data) {
		check(d, newSection(doc, "inventory."), newSection(doc, "rules."))
	}
	return newConfig(d, doc.Faults)
}

// ParseFiles decodes and validates an inventory and rules from two files. The
// error is a findings.List with all faults of both.
func ParseFiles(inventory, rules File) (*Config, error) {
	var d document
	inv := strictjson.Decode(inventory.Name, inventory.Data, &d.Inventory, decodeOptions)
	rul := strictjson.Decode(rules.Name, rules.Data, &d.Rules, decodeOptions)
	if isValidJSON(inventory.Data) && isValidJSON(rules.Data) {
		check(d, newSection(inv, ""), newSection(rul, ""))
	}
	return newConfig(d, append(inv.Faults, rul.Faults...))
}

// isValidJSON reports whether data is JSON in UTF-8. After a syntax error the
// cross-checks are skipped, since the values behind it were not decoded and
// references to them would be reported as undefined.
func isValidJSON(data []byte) bool { return json.Valid(data) && utf8.Valid(data) }

func newConfig(d document, faults findings.List) (*Config, error) {
	if err := faults.Err(); err != nil {
		return nil, err
	}
	return New(d.Inventory, d.Rules), nil
}

// section is the part of a document that holds the inventory or the rules. prefix
// is the path of its keys in the document.
type section struct {
	doc    *strictjson.Document
	prefix string
	// invalidKeys holds the keys that already have a finding. Checking their value
	// as well would report the same fault twice.
	invalidKeys map[string]struct{}
}

func newSection(doc *strictjson.Document, prefix string) *section {
	s := &section{doc: doc, prefix: prefix, invalidKeys: map[string]struct{}{}}
	for _, f := range doc.Faults {
		s.invalidKeys[f.Place.Key] = struct{}{}
	}
	return s
}

func (s *section) addf(key, format string, args ...any) {
	if _, faulty := s.invalidKeys[s.prefix+key]; faulty || len(s.doc.Faults) > maxFindings {
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
