package stand

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"corianderspur.example/corianderspur/internal/table"
)

// ErrDown is returned for the faults Down and LoseReplies.
var ErrDown = errors.New("table service is down")

// Fault is a fault to simulate.
type Fault struct {
	// Down fails every transaction without effect.
	Down bool `json:"down"`
	// LoseReplies fails every transaction after it took effect.
	LoseReplies bool `json:"lose_replies"`
	// DelayMS delays every transaction, in milliseconds.
	DelayMS int `json:"delay_ms"`
}

// Table is a transactional table in memory.
type Table struct {
	mu    sync.Mutex
	rows  map[string]table.Row
	fault Fault
	calls int
}

var _ table.Store = (*Table)(nil)

// NewTable creates an empty table.
func NewTable() *Table {
	return &Table{rows: map[string]table.Row{}}
}

// SetFault sets the fault that the table simulates.
func (t *Table) SetFault(f Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fault = f
}

// Transact runs one transaction.
func (t *Table) Transact(ctx context.Context, x table.Txn) (table.Reply, error) {
	t.mu.Lock()
	fault := t.fault
	t.mu.Unlock()
	if fault.DelayMS > 0 {
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(fault.DelayMS) * time.Millisecond):
		}
	}
	if fault.Down {
		return table.Reply{}, ErrDown
	}
	reply := t.apply(x)
	if fault.LoseReplies {
		return table.Reply{}, ErrDown
	}
	return reply, nil
}

func (t *Table) apply(x table.Txn) table.Reply {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls++
	reply := table.Reply{Applied: t.holds(x.Writes)}
	if reply.Applied {
		t.write(x.Writes)
	}
	for key, row := range t.rows {
		if wanted(x, key) {
			reply.Rows = append(reply.Rows, row)
		}
	}
	slices.SortFunc(reply.Rows, func(a, b table.Row) int { return strings.Compare(a.Key, b.Key) })
	return reply
}

func (t *Table) holds(writes []table.Write) bool {
	for _, w := range writes {
		if !w.Any && t.rows[w.Key].Version != w.IfVersion {
			return false
		}
	}
	return true
}

func (t *Table) write(writes []table.Write) {
	for _, w := range writes {
		if w.Value == nil {
			delete(t.rows, w.Key)
			continue
		}
		t.rows[w.Key] = table.Row{Key: w.Key, Version: t.rows[w.Key].Version + 1, Value: w.Value}
	}
}

func wanted(x table.Txn, key string) bool {
	if slices.Contains(x.Keys, key) {
		return true
	}
	return slices.ContainsFunc(x.Prefixes, func(p string) bool { return strings.HasPrefix(key, p) })
}

// Handler serves the table by its protocol, sets faults at POST /fault and returns the number of calls at GET /calls.
func (t *Table) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+table.TransactPath, t.transact)
	mux.HandleFunc("POST /fault", func(w http.ResponseWriter, r *http.Request) {
		var f Fault
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		t.SetFault(f)
	})
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) {
		t.mu.Lock()
		defer t.mu.Unlock()
		_ = json.NewEncoder(w).Encode(t.calls)
	})
	return mux
}

func (t *Table) transact(w http.ResponseWriter, r *http.Request) {
	var x table.Txn
	if err := json.NewDecoder(r.Body).Decode(&x); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply, err := t.Transact(r.Context(), x)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reply)
}
