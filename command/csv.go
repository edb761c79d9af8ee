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

// A CSV inventory has one row a target, with the columns of its worker. Rows of
// the same worker repeat the worker's values; a row without a target describes
// a worker only.
var csvColumns = []string{
	"worker", "rack", "availability_zone", "processors", "memory_mb", "accelerators",
	"target", "service", "slots", "connections", "speed",
}

// optionalColumns may be absent or empty.
var optionalColumns = []string{"accelerators", "speed"}

// workerColumns must agree in all rows of a worker.
var workerColumns = csvColumns[1:6]

func isCSV(name string) bool { return strings.EqualFold(filepath.Ext(name), ".csv") }

// translation gives the place in a CSV file of an element of the inventory.
type translation struct {
	file string
	// prefix is the path of the element, such as targets[3].
	prefix string
	line   int
}

// places replaces the places of findings in JSON that was made from CSV.
func (f partFile) places(err error) error {
	var list findings.List
	if len(f.translate) == 0 || !errors.As(err, &list) {
		return err
	}
	lines := make(map[string]translation, len(f.translate))
	for _, t := range f.translate {
		lines[t.prefix] = t
	}
	var out findings.List
	for _, finding := range list {
		prefix, member, _ := strings.Cut(finding.Place.Key, ".")
		t, ok := lines[prefix]
		if ok && finding.Place.File == t.file {
			finding = t.translate(finding, prefix, member, lines)
		}
		// A row is a worker and a target, so that both may have the finding.
		if !slices.Contains(out, finding) {
			out = append(out, finding)
		}
	}
	return out.Err()
}

// translate returns the finding about a member of the element with the place in
// the CSV file. Elements that the message names become lines too.
func (t translation) translate(f findings.Finding, prefix, member string, lines map[string]translation) findings.Finding {
	if member == "id" {
		member = strings.TrimSuffix(prefix[:strings.IndexByte(prefix, '[')], "s")
	}
	return findings.Finding{
		Place: findings.Place{File: t.file, Line: t.line, Column: 1, Key: member},
		Message: elementName.ReplaceAllStringFunc(f.Message, func(name string) string {
			if other, ok := lines[name]; ok {
				return fmt.Sprintf("line %d", other.line)
			}
			return name
		}),
	}
}

// elementName matches the path of another element in a message.
var elementName = regexp.MustCompile(`(?:workers|targets)\[\d+\]`)

// csvReader turns rows into an inventory.
type csvReader struct {
	name    string
	list    findings.List
	columns map[string]int
	inv     inventory.Inventory
	// workers maps a worker to the row in which it first appears.
	workers map[string]csvRow
	places  []translation
}

type csvRow struct {
	line  int
	cells []string
}

// inventoryFromCSV converts an asset register's export. All findings are
// reported together.
func inventoryFromCSV(name string, data []byte) (partFile, error) {
	r := &csvReader{name: name, columns: map[string]int{}, workers: map[string]csvRow{}}
	// Spreadsheets write a byte order mark.
	in := csv.NewReader(bytes.NewReader(bytes.TrimPrefix(data, []byte("\xef\xbb\xbf"))))
	in.FieldsPerRecord = -1
	header, err := in.Read()
	if err != nil {
		r.addf(1, "", "the header row cannot be read: %v", err)
		return partFile{}, r.list.Err()
	}
	if !r.header(header) {
		return partFile{}, r.list.Err()
	}
	r.rows(in, len(header))
	if err := r.list.Err(); err != nil {
		return partFile{}, err
	}
	encoded, err := json.Marshal(r.inv)
	if err != nil {
		return partFile{}, errors.Wrap(err, "inventory")
	}
	return partFile{file: inventory.File{Name: name, Data: encoded}, translate: r.places}, nil
}

func (r *csvReader) addf(line int, column, format string, args ...any) {
	r.list.Addf(findings.Place{File: r.name, Line: line, Column: 1, Key: column}, format, args...)
}

// header reads the names of the columns.
func (r *csvReader) header(names []string) bool {
	for i, n := range names {
		n = strings.ToLower(strings.TrimSpace(n))
		if !slices.Contains(csvColumns, n) {
			r.addf(1, n, "unknown column; the known columns are %s", strings.Join(csvColumns, ", "))
			continue
		}
		if _, twice := r.columns[n]; twice {
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

func (r *csvReader) rows(in *csv.Reader, width int) {
	for {
		cells, err := in.Read()
		if errors.Is(err, io.EOF) {
			return
		}
		var parse *csv.ParseError
		if errors.As(err, &parse) {
			// What follows a misplaced quote cannot be told from its text.
			r.addf(parse.Line, "", "%v", parse.Err)
			return
		}
		line, _ := in.FieldPos(0)
		if len(cells) != width {
			r.addf(line, "", "the row has %d fields, the header %d", len(cells), width)
			continue
		}
		r.row(csvRow{line, cells})
	}
}

// cell returns a trimmed value, or "" for a column that is absent.
func (r *csvReader) cell(row csvRow, column string) string {
	i, ok := r.columns[column]
	if !ok {
		return ""
	}
	return strings.TrimSpace(row.cells[i])
}

func (r *csvReader) row(row csvRow) {
	worker := r.cell(row, "worker")
	if first, known := r.workers[worker]; known {
		r.sameWorker(worker, first, row)
	} else {
		r.workers[worker] = row
		r.place("workers", len(r.inv.Workers), row.line)
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
	r.place("targets", len(r.inv.Targets), row.line)
	r.inv.Targets = append(r.inv.Targets, inventory.Target{
		ID: target, Worker: worker, Rack: r.cell(row, "rack"), AvailabilityZone: r.cell(row, "availability_zone"),
		Service: r.cell(row, "service"), Slots: r.integer(row, "slots"), Connections: r.integer(row, "connections"),
		Speed: r.number(row, "speed"),
	})
}

func (r *csvReader) place(list string, i, line int) {
	r.places = append(r.places, translation{r.name, fmt.Sprintf("%s[%d]", list, i), line})
}

// sameWorker finds rows that contradict each other about a worker.
func (r *csvReader) sameWorker(worker string, first, row csvRow) {
	for _, column := range workerColumns {
		if a, b := r.cell(first, column), r.cell(row, column); a != b {
			r.addf(row.line, column, "%q, but line %d has %q for the same worker %s", b, first.line, a, worker)
		}
	}
}

// integer reads a whole number; an empty optional cell is 0.
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
