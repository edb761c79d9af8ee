package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/go-faster/errors"
)

// WriteTable writes the results as a text table with one line per result.
func WriteTable(w io.Writer, results []Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "case\tpolicy\tjobs\tdone%\tslow p50\tp99\tp99.9\tidle p50\tp99\tp99.9\tresp p99 ms\tref p99 ms\tmsg/task\twasted%\tgoodput\tfailures\t")
	for _, r := range results {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.0f\t%.0f\t%.3f\t%.2f\t%.3f\t%s\t\n",
			r.Case, r.Policy, r.Jobs, 100*float64(r.Done)/float64(max(1, r.Jobs)),
			r.Slowdown.P50, r.Slowdown.P99, r.Slowdown.P999,
			r.SlowdownIdle.P50, r.SlowdownIdle.P99, r.SlowdownIdle.P999,
			r.ResponseMS.P99, r.ReferenceMS.P99, r.MessagesPerTask, 100*r.Wasted, r.Goodput, formatFailures(r.Failures))
	}
	if err := t.Flush(); err != nil {
		return errors.Wrap(err, "write table")
	}
	return nil
}

// formatFailures returns the failure counts as reason=count pairs, sorted by
// reason.
func formatFailures(failures map[string]int) string {
	var list []string
	for reason, n := range failures {
		list = append(list, fmt.Sprintf("%s=%d", reason, n))
	}
	slices.Sort(list)
	return strings.Join(list, ",")
}

// WriteJSON writes the results as an indented JSON array.
func WriteJSON(w io.Writer, results []Result) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(results); err != nil {
		return errors.Wrap(err, "write results")
	}
	return nil
}
