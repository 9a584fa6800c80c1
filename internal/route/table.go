package route

import (
	"slices"
	"strings"
	"sync/atomic"

	"corianderspur.example/corianderspur/internal/clock"
)

// Queue is a class of requests and the service that runs them.
type Queue struct {
	Name string
	// Host and Prefix select the requests by host and path; the longest matching prefix wins.
	Host   string
	Prefix string
	// Service names the backend servers that run the queue's tasks.
	Service string
	// Priority orders the queues; 0 is the highest.
	Priority int
	// MaxAttempts is the maximum number of failed runs of one task.
	MaxAttempts int
	// Stretch and SLO define the response time objective of a job: Stretch times its critical path, plus SLO in milliseconds.
	Stretch float64
	SLO     clock.Millis
	// Advised is set if another service has to approve where tasks run.
	Advised bool
}

// Limits holds the limits on requests.
type Limits struct {
	MaxBodyBytes int64
}

// Table is one version of the routing table, which holds all queues.
type Table struct {
	Version      uint64
	Limits       Limits
	queuesByHost map[string][]Queue
}

// NewTable creates a table from queues.
func NewTable(version uint64, queues []Queue, limits Limits) *Table {
	t := &Table{Version: version, Limits: limits, queuesByHost: map[string][]Queue{}}
	for _, q := range queues {
		t.queuesByHost[q.Host] = append(t.queuesByHost[q.Host], q)
	}
	for _, list := range t.queuesByHost {
		slices.SortStableFunc(list, func(a, b Queue) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// Find returns the queue for a request and the rest of its path after the queue's prefix.
func (t *Table) Find(host, path string) (q Queue, rest string, ok bool) {
	for _, q := range t.queuesByHost[host] {
		if rest, ok := strings.CutPrefix(path, q.Prefix); ok {
			return q, rest, true
		}
	}
	return Queue{}, "", false
}

// Holder holds the newest table that this process has seen.
type Holder struct {
	table atomic.Pointer[Table]
}

// Table returns the current table, or nil if none has been seen.
func (h *Holder) Table() *Table {
	return h.table.Load()
}

// Offer makes t the current table if it is newer, and reports whether it did.
func (h *Holder) Offer(t *Table) bool {
	for {
		current := h.table.Load()
		if current != nil && current.Version >= t.Version {
			return false
		}
		if h.table.CompareAndSwap(current, t) {
			return true
		}
	}
}
