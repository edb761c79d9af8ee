// Package findings collects the faults of settings and input files with their
// positions, so that all of them are reported together.
package findings

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Place is a position in a file. Line and Column start at 1, and Column counts
// bytes; zero means unknown.
type Place struct {
	File   string
	Line   int
	Column int
	// Key is the path of the JSON value, such as targets[3].slots.
	Key string
}

// String returns "file:line:column: key" without unknown parts.
func (p Place) String() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d:%d", p.Line, p.Column)
	}
	if p.Key != "" {
		if b.Len() > 0 {
			b.WriteString(": ")
		}
		b.WriteString(p.Key)
	}
	return b.String()
}

// Finding is a fault and its position.
type Finding struct {
	Place   Place
	Message string
}

// String returns the position and the message in one line.
func (f Finding) String() string {
	p := f.Place.String()
	if p == "" {
		return f.Message
	}
	return p + ": " + f.Message
}

// List is a list of findings. As an error its message has one line per finding.
type List []Finding

// Addf adds a finding.
func (l *List) Addf(p Place, format string, args ...any) {
	*l = append(*l, Finding{Place: p, Message: fmt.Sprintf(format, args...)})
}

// Error returns one line per finding.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Sort sorts the findings by file and position. It is stable.
func (l List) Sort() {
	slices.SortStableFunc(l, func(a, b Finding) int {
		return cmp.Or(
			strings.Compare(a.Place.File, b.Place.File),
			cmp.Compare(a.Place.Line, b.Place.Line),
			cmp.Compare(a.Place.Column, b.Place.Column),
		)
	})
}

// Err sorts the list and returns it as an error, or nil if it is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	l.Sort()
	return l
}

// LineColumn converts a byte offset to a line and column, both starting at 1.
func LineColumn(data []byte, offset int64) (line, column int) {
	offset = min(max(offset, 0), int64(len(data)))
	before := data[:offset]
	return bytes.Count(before, []byte{'\n'}) + 1, int(offset) - bytes.LastIndexByte(before, '\n')
}
