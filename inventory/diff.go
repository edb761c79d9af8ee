package inventory

import (
	"fmt"
	"reflect"
	"strings"
)

// ChangeKind is the type of a change to an element.
type ChangeKind string

// The kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two configurations: an element that was added
// or removed, or one changed field.
type Change struct {
	Kind ChangeKind `json:"kind"`
	// List is workers, targets, clients or services.
	List string `json:"list"`
	ID   string `json:"id"`
	// Field, Old and New are set for a changed field.
	Field string `json:"field,omitempty"`
	Old   string `json:"old,omitempty"`
	New   string `json:"new,omitempty"`
}

// String returns the change in one line.
func (c Change) String() string {
	if c.Kind != Changed {
		return fmt.Sprintf("%s %s %s", c.Kind, c.List, c.ID)
	}
	return fmt.Sprintf("%s %s %s: %s from %s to %s", c.Kind, c.List, c.ID, c.Field, c.Old, c.New)
}

// Diff returns the changes from a to b, ordered by list and id.
func Diff(a, b *Config) []Change {
	out := diffList(nil, "workers", a.Workers(), b.Workers(), Worker.id)
	out = diffList(out, "targets", a.Targets(), b.Targets(), Target.id)
	out = diffList(out, "clients", a.Clients(), b.Clients(), Client.id)
	return diffList(out, "services", a.Services(), b.Services(), Service.id)
}

// diffList appends the changes between two lists that are sorted by id.
func diffList[T any](out []Change, list string, a, b []T, id func(T) string) []Change {
	for len(a)+len(b) > 0 {
		switch {
		case len(b) == 0 || len(a) > 0 && id(a[0]) < id(b[0]):
			out = append(out, Change{Kind: Removed, List: list, ID: id(a[0])})
			a = a[1:]
		case len(a) == 0 || id(b[0]) < id(a[0]):
			out = append(out, Change{Kind: Added, List: list, ID: id(b[0])})
			b = b[1:]
		default:
			out = diffFields(out, list, id(a[0]), reflect.ValueOf(a[0]), reflect.ValueOf(b[0]))
			a, b = a[1:], b[1:]
		}
	}
	return out
}

func diffFields(out []Change, list, id string, a, b reflect.Value) []Change {
	for i := range a.NumField() {
		from, to := fmt.Sprint(a.Field(i)), fmt.Sprint(b.Field(i))
		if from == to {
			continue
		}
		key, _, _ := strings.Cut(a.Type().Field(i).Tag.Get("json"), ",")
		out = append(out, Change{Kind: Changed, List: list, ID: id, Field: key, Old: from, New: to})
	}
	return out
}
