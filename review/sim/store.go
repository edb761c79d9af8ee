package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store: keyed topics with one
// partition each, as PROTOCOL.md describes them. It answers every call at once.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
}

type topic struct {
	records [][]byte
	newest  map[string]keyed
	changed chan struct{}
}

type keyed struct {
	value  []byte
	offset int
}

func newStore() *store { return &store{topics: map[string]*topic{}} }

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]keyed{}, changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

func (t *topic) append(record []byte) {
	if len(record) > 0 && len(record) >= 1+int(record[0]) {
		n := 1 + int(record[0])
		key, value := string(record[1:n]), record[n:]
		if len(value) == 0 {
			delete(t.newest, key)
		} else {
			t.newest[key] = keyed{value, len(t.records)}
		}
	}
	t.records = append(t.records, record)
	close(t.changed)
	t.changed = make(chan struct{})
}

// put writes a record as the operator does.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).append(append(append([]byte{byte(len(key))}, key...), value...))
}

func (s *store) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /api/log-append", s.append)
	m.HandleFunc("GET /api/log-read", s.read)
	m.HandleFunc("GET /api/log-newest", s.list)
	return m
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	name := r.URL.Query().Get("topic")
	if err != nil {
		return
	}
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	first := len(t.records)
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 {
			break
		}
		t.append(append([]byte(nil), body[4:4+n]...))
		body = body[4+n:]
	}
	writeJSON(w, http.StatusOK, map[string]any{"offset": first, "end": len(t.records)})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for last := wait == 0; ; {
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		records, changed := t.records, t.changed
		s.mu.Unlock()
		if from < len(records) || last {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, rec := range records[min(from, len(records)):] {
				out = binary.BigEndian.AppendUint32(out, uint32(len(rec)))
				out = append(out, rec...)
			}
			w.Header().Set("Content-Type", "application/octet-stream")
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(q.Get("topic"))
	keys := make([]string, 0, len(t.newest))
	for k := range t.newest {
		if k > q.Get("depends_on") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items := []map[string]any{}
	for _, k := range keys[:min(len(keys), 500)] {
		items = append(items, map[string]any{"key": k, "value": base64.StdEncoding.EncodeToString(t.newest[k].value), "offset": t.newest[k].offset})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": len(keys) > 500, "end": len(t.records)})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
