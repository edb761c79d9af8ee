package findings_test

import (
	"testing"

	"github.com/rhubarbsail/rhubarbsail/common/findings"
)

// Guards against findings in the order of the checks, which would make the reader
// jump back and forth in the file.
func TestFindingsAreSortedByPosition(t *testing.T) {
	var list findings.List
	if list.Err() != nil {
		t.Error("an empty list is an error")
	}
	list.Addf(findings.Place{File: "b", Line: 2, Column: 9, Key: "x[1].y"}, "%d is too small", 3)
	list.Addf(findings.Place{File: "b", Line: 2, Column: 1}, "second")
	list.Addf(findings.Place{File: "a"}, "without a line")
	list.Addf(findings.Place{}, "without a place")
	want := "without a place\na: without a line\nb:2:1: second\nb:2:9: x[1].y: 3 is too small"
	if got := list.Err().Error(); got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}

// Guards against a wrong line or column at the edges of lines and of the file.
func TestLineColumnCountsFromOne(t *testing.T) {
	data := []byte("ab\n\ncd")
	for _, tc := range []struct {
		offset       int64
		line, column int
	}{{0, 1, 1}, {2, 1, 3}, {3, 2, 1}, {4, 3, 1}, {6, 3, 3}, {99, 3, 3}, {-1, 1, 1}} {
		if line, column := findings.LineColumn(data, tc.offset); line != tc.line || column != tc.column {
			t.Errorf("offset %d: %d:%d, want %d:%d", tc.offset, line, column, tc.line, tc.column)
		}
	}
}
