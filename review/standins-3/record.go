package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file and to standard output.
type record struct {
	begin time.Time

	mu   sync.Mutex // guards file
	file *os.File
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{begin: time.Now(), file: f}, nil
}

// line writes one line with the time since the start of the case.
func (r *record) line(format string, args ...any) {
	text := fmt.Sprintf("%8.3f  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.file.WriteString(text)
	fmt.Print(text)
}

// at returns a time as it is written in the record.
func (r *record) at(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(r.begin).Seconds()) }

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.file.Close()
}
