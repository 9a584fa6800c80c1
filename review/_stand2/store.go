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

// storeLatency is what an answer of the store takes.
const storeLatency = 4 * time.Millisecond

// row is a row of the store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
}

// store stands in for the platform's metadata store: linearizable rows, and a feed of their changes.
type store struct {
	world *world

	mu      sync.Mutex
	rows    map[string]row
	version uint64
	changed chan struct{}
}

func newStore(w *world) *store {
	return &store{world: w, rows: map[string]row{}, changed: make(chan struct{})}
}

func (s *store) set(rows []row) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	for _, r := range rows {
		r.Version = s.version
		s.rows[r.Table+"\x00"+r.Part+"\x00"+r.Key] = r
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version
}

// configure writes the operator's configuration.
func (s *store) configure(version int) {
	value, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "order-confirm", "host": host, "pathPrefix": prefix, "service": service, "priority": 2, "maxAttempts": 3,
			"stretch": 1.6, "sloMs": 500,
		}},
		"services": []any{map[string]any{"name": service}},
		"limits":   map[string]any{"maxBodyBytes": 262144},
	})
	if err != nil {
		panic(err)
	}
	s.set([]row{{Table: "op", Key: "config", Value: value}})
	s.world.notef("operator: configuration %d is acknowledged", version)
}

// view is the store as one machine of the system sees it: it is told the links to the agents in place of their own addresses.
type view struct {
	*store

	mu    sync.Mutex
	links map[string]string
}

func (v *view) setLink(agent, link string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.links[agent] = link
}

// newer returns the rows of a table that were written after a version, in the order of their keys.
func (v *view) newer(table string, after uint64) (rows []row, version uint64, changed chan struct{}) {
	rows, version, changed = v.store.newer(table, after)
	v.mu.Lock()
	defer v.mu.Unlock()
	for i := range rows {
		for agent, link := range v.links {
			rows[i].Value = bytes.ReplaceAll(rows[i].Value, []byte(agent), []byte(link))
		}
	}
	return rows, version, changed
}

// newer returns the rows of a table that were written after a version, in the order of their keys.
func (s *store) newer(table string, after uint64) (rows []row, version uint64, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows = []row{}
	for _, r := range s.rows {
		if r.Table == table && r.Version > after {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	return rows, s.version, s.changed
}

// ServeHTTP answers a call.
func (v *view) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	time.Sleep(storeLatency)
	switch q.URL.Path {
	case "/-/rows-tx":
		v.transact(w, q)
	case "/-/rows-get":
		rows, version, _ := v.newer(q.FormValue("table"), 0)
		from, to := q.FormValue("from"), q.FormValue("target")
		rows = slices.DeleteFunc(rows, func(r row) bool { return r.Key < from || (to != "" && r.Key >= to) })
		answer(w, http.StatusOK, map[string]any{"rows": rows, "hasMore": false, "ver": version, "nowMs": v.now()})
	case "/-/rows-feed":
		v.feed(w, q)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) now() int64 {
	return time.Since(s.world.begin).Milliseconds()
}

func (s *store) transact(w http.ResponseWriter, q *http.Request) {
	var tx struct {
		Expected []row `json:"expectedRev"`
		Set      []row `json:"setKeys"`
		Remove   []row `json:"remove"`
	}
	if json.NewDecoder(q.Body).Decode(&tx) != nil || len(tx.Expected)+len(tx.Remove) > 0 {
		// The system writes rows without a condition and removes none.
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	version := s.set(tx.Set)
	answer(w, http.StatusOK, map[string]any{"rows": []row{}, "ver": version, "nowMs": s.now()})
}

func (v *view) feed(w http.ResponseWriter, q *http.Request) {
	after, _ := strconv.ParseUint(q.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(q.FormValue("waitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		rows, version, changed := v.newer(q.FormValue("table"), after)
		if len(rows) > 0 || !waiting {
			answer(w, http.StatusOK, map[string]any{"rows": rows, "ver": version, "nowMs": v.now()})
			return
		}
		select {
		case <-q.Context().Done():
			return
		case <-deadline:
			waiting = false
		case <-changed:
		}
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
