package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store. It serves keyed topics as
// PROTOCOL.md describes them.
type store struct {
	mu     sync.Mutex // guards topics and what is in them
	topics map[string]*topic
}

// topic is one keyed topic with one partition, whose records are all retained.
type topic struct {
	records [][]byte
	newest  map[string]keyedValue
	// changed is closed and replaced when a record is added.
	changed chan struct{}
}

type keyedValue struct {
	value  []byte
	offset int
}

func newStore() *store { return &store{topics: map[string]*topic{}} }

// topic returns a topic, which is created on first use. The caller holds s.mu.
func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]keyedValue{}, changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// put appends a record as the operator does.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	content := append([]byte{byte(len(key))}, key...)
	s.topic(name).append(append(content, value...))
}

func (t *topic) append(content []byte) {
	n := 1 + int(content[0])
	key, value := string(content[1:n]), content[n:]
	if len(value) == 0 {
		delete(t.newest, key)
	} else {
		t.newest[key] = keyedValue{value, len(t.records)}
	}
	t.records = append(t.records, content)
	close(t.changed)
	t.changed = make(chan struct{})
}

// appendMS is the time that an append takes, readMS that of another call.
const (
	appendMS = 7
	readMS   = 4
)

func (s *store) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /api/log-append", s.handleAppend)
	m.HandleFunc("GET /api/log-read", s.handleRead)
	m.HandleFunc("GET /api/log-newest", s.handleNewest)
	return m
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(appendMS * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	offset := len(t.records)
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n < 1 || n > len(body)-4 || 1+int(body[4]) > n {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		t.append(slices.Clone(body[4 : 4+n]))
		body = body[4+n:]
	}
	writeJSON(w, http.StatusOK, map[string]int{"offset": offset, "end": len(t.records)})
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	time.Sleep(readMS * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		end, changed := len(t.records), t.changed
		records := t.records[min(from, end):]
		s.mu.Unlock()
		if len(records) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-timeout:
			}
		}
		out := binary.BigEndian.AppendUint64(nil, uint64(end))
		out = binary.BigEndian.AppendUint64(out, 0)
		for _, rec := range records {
			out = binary.BigEndian.AppendUint32(out, uint32(len(rec)))
			out = append(out, rec...)
		}
		_, _ = w.Write(out)
		return
	}
}

// pageItems is the most items of a page of newest records.
const pageItems = 500

func (s *store) handleNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	time.Sleep(readMS * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	after, items, more := r.URL.Query().Get("depends_on"), []item{}, false
	for _, key := range slices.Sorted(maps.Keys(t.newest)) {
		if key <= after {
			continue
		}
		if len(items) == pageItems {
			more = true
			break
		}
		items = append(items, item{key, t.newest[key].value, t.newest[key].offset})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end": len(t.records)})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
