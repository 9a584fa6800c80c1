package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the store, spelled as on the wire.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store stands in for the platform's metadata store; it answers every call and loses nothing.
type store struct {
	begin time.Time
	// links holds, by address, the link through which that address is reached.
	links map[string]string

	mu      sync.Mutex
	rows    map[string]row
	version uint64
	changed chan struct{}
}

func newStore() *store {
	return &store{begin: time.Now(), links: map[string]string{}, rows: map[string]row{}, changed: make(chan struct{})}
}

func rowKey(r row) string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// link makes an address known by the link through which it is reached.
func (s *store) link(addr, link string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.links[addr] = link
}

// set writes rows in one transaction.
func (s *store) set(rows ...row) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	for _, r := range rows {
		r.Version = s.version
		s.rows[rowKey(r)] = r
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version
}

// since returns the rows of a table that are newer than a version, and a channel that the next change closes.
func (s *store) since(table string, after uint64) (rows []row, version uint64, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows = []row{}
	for _, r := range s.rows {
		if r.Table == table && r.Version > after {
			for addr, link := range s.links {
				r.Value = bytes.ReplaceAll(r.Value, []byte(addr), []byte(link))
			}
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	return rows, s.version, s.changed
}

// count returns the number of rows of a table.
func (s *store) count(table string) int {
	rows, _, _ := s.since(table, 0)
	return len(rows)
}

// ServeHTTP answers a call.
func (s *store) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	switch q.URL.Path {
	case "/-/rows-tx":
		s.transact(w, q)
	case "/-/rows-get":
		rows, version, _ := s.since(q.FormValue("table"), 0)
		from, to := q.FormValue("from"), q.FormValue("target")
		rows = slices.DeleteFunc(rows, func(r row) bool { return r.Key < from || (to != "" && r.Key >= to) })
		s.reply(w, rows, version)
	case "/-/rows-feed":
		s.feed(w, q)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) transact(w http.ResponseWriter, q *http.Request) {
	var tx struct {
		Expected []row `json:"expectedRev"`
		Set      []row `json:"setKeys"`
		Remove   []row `json:"remove"`
	}
	if json.NewDecoder(q.Body).Decode(&tx) != nil || len(tx.Expected) > 0 || len(tx.Remove) > 0 {
		// The system under test writes without conditions and removes nothing.
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.reply(w, nil, s.set(tx.Set...))
}

func (s *store) feed(w http.ResponseWriter, q *http.Request) {
	after, _ := strconv.ParseUint(q.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(q.FormValue("waitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		rows, version, changed := s.since(q.FormValue("table"), after)
		if len(rows) > 0 {
			s.reply(w, rows, version)
			return
		}
		select {
		case <-q.Context().Done():
			return
		case <-deadline:
			s.reply(w, rows, version)
			return
		case <-changed:
		}
	}
}

func (s *store) reply(w http.ResponseWriter, rows []row, version uint64) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "hasMore": false, "ver": version, "nowMs": time.Since(s.begin).Milliseconds(),
	})
}
