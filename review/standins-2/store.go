package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's store: keyed topics with one partition.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
}

type topic struct {
	records [][]byte // without their length
	newest  map[string]keyed
	changed chan struct{}
}

type keyed struct {
	value  []byte
	offset int
}

func newStore() *store { return &store{topics: map[string]*topic{}} }

// topic returns a topic, which is created on first use. The caller holds s.mu.
func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]keyed{}, changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).append(append(append([]byte{byte(len(key))}, key...), value...))
}

func (t *topic) append(record []byte) {
	n := 1 + int(record[0])
	key, value := string(record[1:n]), record[n:]
	if len(value) == 0 {
		delete(t.newest, key)
	} else {
		t.newest[key] = keyed{value, len(t.records)}
	}
	t.records = append(t.records, record)
	close(t.changed)
	t.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/api/log-append":
		s.appendAll(w, r, q.Get("topic"))
	case "/api/log-newest":
		s.listNewest(w, q.Get("topic"))
	case "/api/log-read":
		from, _ := strconv.Atoi(q.Get("from"))
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.read(w, q.Get("topic"), from, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) appendAll(w http.ResponseWriter, r *http.Request, name string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	offset := len(t.records)
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n < 1 || n > len(body)-4 {
			break
		}
		t.append(slices.Clone(body[4 : 4+n]))
		body = body[4+n:]
	}
	reply(w, http.StatusOK, map[string]any{"offset": offset, "end": len(t.records)})
}

func (s *store) listNewest(w http.ResponseWriter, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	items := []map[string]any{}
	for key, k := range t.newest {
		items = append(items, map[string]any{"key": key, "value": k.value, "offset": k.offset})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "end": len(t.records)})
}

func (s *store) read(w http.ResponseWriter, name string, from int, wait time.Duration) {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		t := s.topic(name)
		changed := t.changed
		out := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
		out = binary.BigEndian.AppendUint64(out, 0)
		head := len(out)
		for _, r := range t.records[min(from, len(t.records)):] {
			out = append(binary.BigEndian.AppendUint32(out, uint32(len(r))), r...)
		}
		s.mu.Unlock()
		if len(out) == head {
			select {
			case <-changed:
				continue
			case <-timeout:
			}
		}
		_, _ = w.Write(out)
		return
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
