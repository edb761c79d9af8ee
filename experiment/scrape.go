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

// Frames counts the frames on the links of a fleet by direction and kind, and
// those without effect.
type Frames struct {
	ByKind map[string]int
	// ByCause counts the frames or starts without effect.
	ByCause map[string]int
}

// Wasted sums what had no effect.
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

// ScrapeFrames sums the frame counters over the operators' APIs of gateways.
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

// parse adds the counters of one Prometheus text.
func (f *Frames) parse(r io.Reader) error {
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		name, value, ok := sample(lines.Text())
		if !ok {
			continue
		}
		n, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return errors.Wrapf(err, "value of %s", name)
		}
		switch {
		case strings.HasPrefix(name, messagesMetric+"{"):
			f.ByKind[label(name, "direction")+"/"+label(name, "kind")] += int(n)
		case strings.HasPrefix(name, wastedMetric+"{"):
			f.ByCause[label(name, "cause")] += int(n)
		}
	}
	if err := lines.Err(); err != nil {
		return errors.Wrap(err, "read metrics")
	}
	return nil
}

// sample splits a line of the Prometheus text format.
func sample(line string) (name, value string, ok bool) {
	if strings.HasPrefix(line, "#") {
		return "", "", false
	}
	i := strings.LastIndexByte(line, ' ')
	if i < 0 {
		return "", "", false
	}
	return line[:i], line[i+1:], true
}

// label returns the value of a label in a sample's name, or "".
func label(name, key string) string {
	_, rest, ok := strings.Cut(name, key+`="`)
	if !ok {
		return ""
	}
	value, _, _ := strings.Cut(rest, `"`)
	return value
}

// Minus returns the frames counted since an earlier scrape.
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

// TaskFrames counts the frames that tasks cause: all but probes and fences, which
// depend on time and on takeovers.
func (f Frames) TaskFrames() int {
	n := 0
	for _, k := range []string{"sent/start", "sent/revoke", "sent/cancel", "received/report", "received/revoke_reply"} {
		n += f.ByKind[k]
	}
	return n
}
