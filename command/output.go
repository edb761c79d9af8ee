package command

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/go-faster/errors"
)

// print writes the JSON body, indented, with --output json, and otherwise the table.
func (a *App) print(body []byte, table func(t *table)) error {
	if a.global.Output == "json" {
		var b bytes.Buffer
		if err := json.Indent(&b, body, "", "  "); err != nil {
			return errors.Wrap(err, "format the reply")
		}
		fmt.Fprintln(a.Stdout, strings.TrimSpace(b.String()))
		return nil
	}
	t := newTable(a)
	table(t)
	return t.flush()
}

// printValue is like print, with the JSON encoding of value as body.
func (a *App) printValue(value any, table func(t *table)) error {
	body, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode the output")
	}
	return a.print(body, table)
}

// table writes rows of cells in aligned columns.
type table struct{ w *tabwriter.Writer }

func newTable(a *App) *table {
	return &table{tabwriter.NewWriter(a.Stdout, 0, 8, 2, ' ', 0)}
}

func (t *table) row(cells ...any) {
	for i, c := range cells {
		if i > 0 {
			fmt.Fprint(t.w, "\t")
		}
		fmt.Fprint(t.w, c)
	}
	fmt.Fprintln(t.w)
}

func (t *table) flush() error {
	if err := t.w.Flush(); err != nil {
		return errors.Wrap(err, "write the output")
	}
	return nil
}

// yesNo formats a bool for a table.
func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// orDash returns s, or a dash if s is empty, so that no table cell is empty.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
