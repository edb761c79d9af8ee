package experiment

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// Frames holds counts of the protocol frames between gateways and agents.
type Frames struct {
	// ByKind counts frames by direction and kind, such as sent/start.
	ByKind map[string]int
	// ByCause counts frames and starts that had no effect, by cause.
	ByCause map[string]int
}

// Wasted returns the number of frames and starts that had no effect.
func (f Frames) Wasted() int {
	n := 0
	for _, c := range f.ByCause {
		n += c
	}
	return n
}

const (
	messagesMetric = "rhubarbsail_link_messages_total"
	wastedMetric   = "rhubarbsail_link_messages_wasted_total"
)

// ScrapeFrames reads the frame counters from the metrics of each gateway and
// sums them. The operators are the base URLs of the gateways' operators' APIs.
func ScrapeFrames(ctx context.Context, client *http.Client, operators []string) (Frames, error) {
	out := Frames{ByKind: make(map[string]int), ByCause: make(map[string]int)}
	for _, base := range operators {
		if err := out.scrape(ctx, client, base); err != nil {
			return Frames{}, errors.Wrapf(err, "scrape %s", base)
		}
	}
	return out, nil
}

func (f *Frames) scrape(ctx context.Context, client *http.Client, base string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/metrics", nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return f.parse(resp.Body)
}

// parse adds the frame counters of metrics in the Prometheus text format.
func (f *Frames) parse(r io.Reader) error {
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		name, value, ok := splitSample(lines.Text())
		if !ok {
			continue
		}
		n, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return errors.Wrapf(err, "parse value of %s", name)
		}
		switch {
		case strings.HasPrefix(name, messagesMetric+"{"):
			f.ByKind[labelValue(name, "direction")+"/"+labelValue(name, "kind")] += int(n)
		case strings.HasPrefix(name, wastedMetric+"{"):
			f.ByCause[labelValue(name, "cause")] += int(n)
		}
	}
	if err := lines.Err(); err != nil {
		return errors.Wrap(err, "read metrics")
	}
	return nil
}

// splitSample splits a line of the Prometheus text format into the metric name
// with its labels and the value. It returns false for comments and other lines.
func splitSample(line string) (name, value string, ok bool) {
	if strings.HasPrefix(line, "#") {
		return "", "", false
	}
	i := strings.LastIndexByte(line, ' ')
	if i < 0 {
		return "", "", false
	}
	return line[:i], line[i+1:], true
}

// labelValue returns the value of a label in a metric name with labels, or "" if
// it is missing.
func labelValue(name, key string) string {
	_, rest, ok := strings.Cut(name, key+`="`)
	if !ok {
		return ""
	}
	value, _, _ := strings.Cut(rest, `"`)
	return value
}

// Minus returns the counts since an earlier scrape.
func (f Frames) Minus(earlier Frames) Frames {
	return Frames{ByKind: difference(f.ByKind, earlier.ByKind), ByCause: difference(f.ByCause, earlier.ByCause)}
}

func difference(now, earlier map[string]int) map[string]int {
	out := make(map[string]int, len(now))
	for k, n := range now {
		out[k] = n - earlier[k]
	}
	return out
}

// TaskFrames returns the number of frames that tasks cause. Probes and fences
// are left out, since their number depends on time and on takeovers.
func (f Frames) TaskFrames() int {
	n := 0
	for _, k := range []string{"sent/start", "sent/revoke", "sent/cancel", "received/report", "received/revoke_reply"} {
		n += f.ByKind[k]
	}
	return n
}
