package stand

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"corianderspur.example/corianderspur/internal/node"
)

// Control sets the behaviour of a backend server.
type Control struct {
	// Slow multiplies run times; zero means 1.
	Slow float64 `json:"slow"`
	// FailAll fails every task at once.
	FailAll bool `json:"fail_all"`
	// Leave stops the announcements and tells the agent that the server is leaving.
	Leave bool `json:"leave"`
	// Freeze suspends every task until it is set to false.
	Freeze bool `json:"freeze"`
}

// Work is the payload that the stand-in understands: how long to run, in milliseconds, and whether to fail.
type Work struct {
	MS   int  `json:"ms"`
	Fail bool `json:"fail,omitempty"`
}

// Starts counts what a backend server started.
type Starts struct {
	Total   int            `json:"total"`
	Most    int            `json:"most_at_once"`
	ByTask  map[string]int `json:"by_task"`
	LastMS  int64          `json:"last_start_unix_ms"`
	Running int            `json:"running"`
}

// Backend is a backend server in memory that runs tasks by waiting.
type Backend struct {
	Addr  string
	Agent string
	Slots int

	mu      sync.Mutex
	control Control
	starts  Starts
}

// NewBackend creates a backend server that serves at addr beside the agent at agent.
func NewBackend(addr, agent string, slots int) *Backend {
	return &Backend{Addr: addr, Agent: agent, Slots: slots, starts: Starts{ByTask: map[string]int{}}}
}

// announceEvery is the time between announcements.
const announceEvery = time.Second

// Announce sends heartbeats to the agent until the context ends.
func (b *Backend) Announce(ctx context.Context) {
	ticker := time.NewTicker(announceEvery)
	defer ticker.Stop()
	for {
		b.mu.Lock()
		leave := b.control.Leave
		b.mu.Unlock()
		if !leave {
			b.post("/v1/announce", node.Announcement{Addr: b.Addr, Slots: b.Slots, Connections: b.Slots * 8})
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (b *Backend) post(path string, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		return
	}
	w, err := http.Post("http://"+b.Agent+path, "application/json", bytes.NewReader(data))
	if err == nil {
		w.Body.Close()
	}
}

// Handler runs tasks, sets the behaviour at POST /control and returns the number of starts at GET /starts.
func (b *Backend) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+node.RunPath, b.run)
	mux.HandleFunc("POST /control", b.order)
	mux.HandleFunc("GET /starts", func(w http.ResponseWriter, _ *http.Request) {
		b.mu.Lock()
		defer b.mu.Unlock()
		_ = json.NewEncoder(w).Encode(b.starts)
	})
	return mux
}

func (b *Backend) order(w http.ResponseWriter, r *http.Request) {
	var c Control
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b.mu.Lock()
	b.control = c
	b.mu.Unlock()
	if c.Leave {
		b.post("/v1/leave", struct{}{})
	}
}

func (b *Backend) run(w http.ResponseWriter, r *http.Request) {
	var in node.RunRequest
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var work Work
	if err := json.Unmarshal(in.Payload, &work); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	control := b.begin(in)
	defer b.end()
	if control.FailAll {
		http.Error(w, "told to fail", http.StatusInternalServerError)
		return
	}
	if !b.wait(r.Context(), work, control) {
		return
	}
	if work.Fail {
		http.Error(w, "asked to fail", http.StatusUnprocessableEntity)
		return
	}
	fmt.Fprintf(w, `{"job":%q,"task":%d}`, in.JobID, in.Task)
}

func (b *Backend) begin(in node.RunRequest) Control {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.starts.Total++
	b.starts.Running++
	b.starts.Most = max(b.starts.Most, b.starts.Running)
	b.starts.ByTask[fmt.Sprintf("%s/%d", in.JobID, in.Task)]++
	b.starts.LastMS = time.Now().UnixMilli()
	return b.control
}

func (b *Backend) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.starts.Running--
}

// frozenCheck is the time between checks for the end of a freeze.
const frozenCheck = 50 * time.Millisecond

func (b *Backend) wait(ctx context.Context, work Work, control Control) bool {
	took := time.Duration(work.MS) * time.Millisecond
	if control.Slow > 0 {
		took = time.Duration(float64(took) * control.Slow)
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(took):
	}
	for b.frozen() {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(frozenCheck):
		}
	}
	return true
}

func (b *Backend) frozen() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.control.Freeze
}
