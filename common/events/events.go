// Package events is the catalogue of log events. Each event has a number that
// never changes and is never reused, so that operators can search for it and alert
// on it. docs/events.md is generated from the catalogue.
package events

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
)

// Event is one entry of the catalogue.
type Event struct {
	// ID is the stable number of the event.
	ID int
	// Name is the identifier that is logged with the number.
	Name  string
	Level zerolog.Level
	// Message is the text of the log line.
	Message string
	// Action is what the operator should do.
	Action string
}

// Log starts a log line for the event. The caller adds fields and calls Send.
func (e Event) Log(l zerolog.Logger) *zerolog.Event {
	return l.WithLevel(e.Level).Int("event", e.ID).Str("name", e.Name).Str(zerolog.MessageFieldName, e.Message)
}

// NewLogger returns a logger that writes one JSON object per line to w, each with
// the time in UTC, the process and its id. level is debug, info, warn or error.
func NewLogger(w io.Writer, level, process, id string) (zerolog.Logger, error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil || level == "" {
		return zerolog.Nop(), errors.Errorf("unknown log level %q", level)
	}
	l := zerolog.New(w).Level(parsed).With().Str("process", process).Str("id", id).Logger()
	return l.Hook(zerolog.HookFunc(addTimestamp)), nil
}

// addTimestamp is a hook, since zerolog's own timestamps take their format from
// global settings.
func addTimestamp(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Str(zerolog.TimestampFieldName, time.Now().UTC().Format(time.RFC3339Nano))
}

var catalogue []Event

func define(id int, name string, level zerolog.Level, message, action string) Event {
	e := Event{ID: id, Name: name, Level: level, Message: message, Action: action}
	catalogue = append(catalogue, e)
	return e
}

// All returns the catalogue sorted by number.
func All() []Event {
	all := slices.Clone(catalogue)
	slices.SortFunc(all, func(a, b Event) int { return a.ID - b.ID })
	return all
}

// Markdown returns the content of docs/events.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Log events\n\nEach log line is a JSON object on stderr. The field `event` is the stable number below, `name` its identifier.\n" +
		"This page is generated from common/events; `go test ./common/events -update` writes it.\n\n" +
		"| event | name | level | message | what to do |\n|---|---|---|---|---|\n")
	for _, e := range All() {
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s |\n", e.ID, e.Name, e.Level, e.Message, e.Action)
	}
	return b.String()
}
