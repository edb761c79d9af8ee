package inventory

import (
	"fmt"

	"github.com/rhubarbsail/rhubarbsail/common/findings"
)

// File is the name and content of a file, for findings.
type File struct {
	Name string
	Data []byte
}

// Parse reads a configuration with the keys "inventory" and "rules". The error
// is a findings.List with all faults.
func Parse(file string, data []byte) (*Config, error) {
	var list findings.List
	var d document
	doc := findings.Decode(file, data, &d, &list)
	at := func(prefix string) func(string) findings.Place {
		return func(key string) findings.Place { return doc.At(prefix + key) }
	}
	return finish(list, d, doc.Valid(), at("inventory."), at("rules."))
}

// ParseFiles reads an inventory and rules from two files. The error is a
// findings.List with all faults of both.
func ParseFiles(inventory, rules File) (*Config, error) {
	var list findings.List
	var d document
	inv := findings.Decode(inventory.Name, inventory.Data, &d.Inventory, &list)
	rul := findings.Decode(rules.Name, rules.Data, &d.Rules, &list)
	return finish(list, d, inv.Valid() && rul.Valid(), inv.At, rul.At)
}

// finish cross-checks the parts. After an error of syntax it does not, since
// each name would seem to be missing.
func finish(list findings.List, d document, valid bool, inv, rules func(string) findings.Place) (*Config, error) {
	if valid {
		c := checker{list: &list, inv: inv, rules: rules, faulty: map[findings.Place]struct{}{}}
		for _, f := range list {
			c.faulty[keyOnly(f.Place)] = struct{}{}
		}
		c.inventory(d.Inventory)
		c.checkRules(d.Rules, d.Inventory.Targets)
	}
	if err := list.Err(); err != nil {
		return nil, err
	}
	return New(d.Inventory, d.Rules), nil
}

func keyOnly(p findings.Place) findings.Place { return findings.Place{File: p.File, Key: p.Key} }

// item returns the key path of a field of a list's element.
func item(list string, i int, field string) string {
	if field == "" {
		return fmt.Sprintf("%s[%d]", list, i)
	}
	return fmt.Sprintf("%s[%d].%s", list, i, field)
}
