package command

import (
	"bytes"
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"github.com/rhubarbsail/rhubarbsail/common/findings"
	"github.com/rhubarbsail/rhubarbsail/inventory"
)

// csvColumns are the columns of a CSV inventory. It has one row per target, which
// includes the values of the target's worker. Rows with the same worker repeat
// these values; a row without a target describes only a worker.
var csvColumns = []string{
	"worker", "rack", "availability_zone", "processors", "memory_mb", "accelerators",
	"target", "service", "slots", "connections", "speed",
}

// optionalColumns may be missing or have empty cells.
var optionalColumns = []string{"accelerators", "speed"}

// workerColumns must have equal values in all rows of a worker.
var workerColumns = csvColumns[1:6]

func isCSV(name string) bool { return strings.EqualFold(filepath.Ext(name), ".csv") }

// rowPosition is the position in a CSV file of an element of the inventory that
// was made from the file.
type rowPosition struct {
	file string
	// elementPath is the path of the element in the JSON, such as targets[3].
	elementPath string
	line        int
}

// mapFindings replaces the JSON positions in err's findings by those in the CSV
// file that the JSON was made from. Other errors are returned unchanged.
func (f documentFile) mapFindings(err error) error {
	var list findings.List
	if len(f.positions) == 0 || !errors.As(err, &list) {
		return err
	}
	byElement := make(map[string]rowPosition, len(f.positions))
	for _, t := range f.positions {
		byElement[t.elementPath] = t
	}
	var out findings.List
	for _, finding := range list {
		prefix, member, _ := strings.Cut(finding.Place.Key, ".")
		t, ok := byElement[prefix]
		if ok && finding.Place.File == t.file {
			finding = t.mapFinding(finding, prefix, member, byElement)
		}
		// A row describes a worker and a target, so the same finding may occur for
		// both.
		if !slices.Contains(out, finding) {
			out = append(out, finding)
		}
	}
	return out.Err()
}

// mapFinding returns the finding about a member of the element with its position
// in the CSV file. Paths of other elements in the message are replaced by their
// line numbers.
func (t rowPosition) mapFinding(f findings.Finding, prefix, member string, byElement map[string]rowPosition) findings.Finding {
	if member == "id" {
		member = strings.TrimSuffix(prefix[:strings.IndexByte(prefix, '[')], "s")
	}
	return findings.Finding{
		Place: findings.Place{File: t.file, Line: t.line, Column: 1, Key: member},
		Message: elementPathPattern.ReplaceAllStringFunc(f.Message, func(name string) string {
			if other, ok := byElement[name]; ok {
				return fmt.Sprintf("line %d", other.line)
			}
			return name
		}),
	}
}

// elementPathPattern matches the path of an element in a message.
var elementPathPattern = regexp.MustCompile(`(?:workers|targets)\[\d+\]`)

// csvReader converts the rows of a CSV file to an inventory.
type csvReader struct {
	name    string
	list    findings.List
	columns map[string]int
	inv     inventory.Inventory
	// workers maps a worker's id to the first row with it.
	workers   map[string]csvRow
	positions []rowPosition
}

type csvRow struct {
	line  int
	cells []string
}

// inventoryFromCSV converts an export of an asset register to a JSON inventory. It
// reports all findings at once.
func inventoryFromCSV(name string, data []byte) (documentFile, error) {
	r := &csvReader{name: name, columns: map[string]int{}, workers: map[string]csvRow{}}
	// Spreadsheet programs may write a byte order mark.
	in := csv.NewReader(bytes.NewReader(bytes.TrimPrefix(data, []byte("\xef\xbb\xbf"))))
	in.FieldsPerRecord = -1
	header, err := in.Read()
	if err != nil {
		r.addf(1, "", "the header row cannot be read: %v", err)
		return documentFile{}, r.list.Err()
	}
	if !r.readHeader(header) {
		return documentFile{}, r.list.Err()
	}
	r.readRows(in, len(header))
	if err := r.list.Err(); err != nil {
		return documentFile{}, err
	}
	encoded, err := json.Marshal(r.inv)
	if err != nil {
		return documentFile{}, errors.Wrap(err, "encode the inventory")
	}
	return documentFile{file: inventory.File{Name: name, Data: encoded}, positions: r.positions}, nil
}

func (r *csvReader) addf(line int, column, format string, args ...any) {
	r.list.Addf(findings.Place{File: r.name, Line: line, Column: 1, Key: column}, format, args...)
}

// readHeader records the index of each column and reports whether the header is
// valid.
func (r *csvReader) readHeader(names []string) bool {
	for i, n := range names {
		n = strings.ToLower(strings.TrimSpace(n))
		if !slices.Contains(csvColumns, n) {
			r.addf(1, n, "unknown column; the known columns are %s", strings.Join(csvColumns, ", "))
			continue
		}
		if _, seen := r.columns[n]; seen {
			r.addf(1, n, "the column is given twice")
		}
		r.columns[n] = i
	}
	for _, n := range csvColumns {
		if _, ok := r.columns[n]; !ok && !slices.Contains(optionalColumns, n) {
			r.addf(1, n, "the column is missing")
		}
	}
	return len(r.list) == 0
}

// readRows adds all rows to the inventory; width is the number of columns.
func (r *csvReader) readRows(in *csv.Reader, width int) {
	for {
		cells, err := in.Read()
		if errors.Is(err, io.EOF) {
			return
		}
		var parseErr *csv.ParseError
		if errors.As(err, &parseErr) {
			// After a misplaced quote it is unclear where cells and rows end, so the
			// rest of the file is not read.
			r.addf(parseErr.Line, "", "%v", parseErr.Err)
			return
		}
		line, _ := in.FieldPos(0)
		if len(cells) != width {
			r.addf(line, "", "the row has %d fields, the header %d", len(cells), width)
			continue
		}
		r.addRow(csvRow{line, cells})
	}
}

// cell returns the trimmed value of a cell, or "" if the column is missing.
func (r *csvReader) cell(row csvRow, column string) string {
	i, ok := r.columns[column]
	if !ok {
		return ""
	}
	return strings.TrimSpace(row.cells[i])
}

// addRow adds the worker of a row, if it is new, and the target, if there is one.
func (r *csvReader) addRow(row csvRow) {
	worker := r.cell(row, "worker")
	if first, known := r.workers[worker]; known {
		r.checkWorkerColumns(worker, first, row)
	} else {
		r.workers[worker] = row
		r.addPosition("workers", len(r.inv.Workers), row.line)
		r.inv.Workers = append(r.inv.Workers, inventory.Worker{
			ID: worker, Rack: r.cell(row, "rack"), AvailabilityZone: r.cell(row, "availability_zone"),
			Processors: r.integer(row, "processors"), MemoryMB: r.integer(row, "memory_mb"),
			Accelerators: r.integer(row, "accelerators"),
		})
	}
	target := r.cell(row, "target")
	if target == "" {
		return
	}
	r.addPosition("targets", len(r.inv.Targets), row.line)
	r.inv.Targets = append(r.inv.Targets, inventory.Target{
		ID: target, Worker: worker, Rack: r.cell(row, "rack"), AvailabilityZone: r.cell(row, "availability_zone"),
		Service: r.cell(row, "service"), Slots: r.integer(row, "slots"), Connections: r.integer(row, "connections"),
		Speed: r.number(row, "speed"),
	})
}

// addPosition records the line of element i of a list of the inventory.
func (r *csvReader) addPosition(list string, i, line int) {
	r.positions = append(r.positions, rowPosition{r.name, fmt.Sprintf("%s[%d]", list, i), line})
}

// checkWorkerColumns reports values of the row that differ from those in the
// worker's first row.
func (r *csvReader) checkWorkerColumns(worker string, first, row csvRow) {
	for _, column := range workerColumns {
		if a, b := r.cell(first, column), r.cell(row, column); a != b {
			r.addf(row.line, column, "%q, but line %d has %q for the same worker %s", b, first.line, a, worker)
		}
	}
}

// integer parses a cell as an integer; an empty cell of an optional column is 0.
func (r *csvReader) integer(row csvRow, column string) int {
	s := r.cell(row, column)
	if s == "" && slices.Contains(optionalColumns, column) {
		return 0
	}
	n, err := strconv.Atoi(s)
	if err != nil {
		r.addf(row.line, column, "want an integer, found %q", s)
	}
	return n
}

// number parses a cell as a number; an empty cell is 0.
func (r *csvReader) number(row csvRow, column string) float64 {
	s := r.cell(row, column)
	if s == "" {
		return 0
	}
	n, err := strconv.ParseFloat(s, 64)
	if err != nil || n != n || n > 1e6 || n < -1e6 {
		r.addf(row.line, column, "want a number, found %q", s)
		return 0
	}
	return n
}
