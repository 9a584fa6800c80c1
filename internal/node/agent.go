package node

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"corianderspur.example/corianderspur/internal/agent"
	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/conf"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/mesh"
	"corianderspur.example/corianderspur/internal/meter"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/shard"
	"corianderspur.example/corianderspur/internal/table"
	"corianderspur.example/corianderspur/pkg/label"
)

// Announcement is the periodic heartbeat of a backend server to the agent beside it.
type Announcement struct {
	Addr        string    `json:"addr"`
	Slots       int       `json:"slots"`
	Connections int       `json:"connections"`
	Labels      label.Set `json:"labels,omitempty"`
}

const maxAnnouncement = 64 << 10

// Agent runs an agent as a process.
type Agent struct {
	machine *agent.Machine
	loop    *Loop
	mesh    *mesh.Mesh
	tables  *tableCaller
	notes   *notes
	cancel  context.CancelFunc

	mu      sync.Mutex
	backend *backend
	aborts  map[shard.Key]map[int]context.CancelFunc
}

// RunAgent runs an agent until its context ends, which begins a planned stop, and the stop is done.
func RunAgent(ctx context.Context, cfg conf.Agent, incarnation string, log logr.Logger) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "agent %s", cfg.Name)
		}
	}()
	m, err := meter.New(cfg.Name)
	if err != nil {
		return err
	}
	running, cancel := context.WithCancel(context.Background())
	defer cancel()
	n := newAgent(cfg, incarnation, running, cancel, &notes{log: log, meter: m})
	announcements, err := Listen(cfg.BackendAddr, n.backendHandler())
	if err != nil {
		return err
	}
	admin, err := Listen(cfg.AdminAddr, n.adminHandler(m))
	if err != nil {
		return err
	}
	go func() {
		<-ctx.Done()
		n.loop.Push(event.Stop{})
	}()
	log.Info("started", "announce", cfg.BackendAddr, "admin", cfg.AdminAddr)
	n.loop.Run(running)
	n.mesh.Flush(flushLimit)
	n.mesh.Close()
	_ = announcements.Drain(flushLimit)
	_ = admin.Drain(flushLimit)
	log.Info("stopped")
	return nil
}

func newAgent(cfg conf.Agent, incarnation string, running context.Context, cancel context.CancelFunc, out *notes) *Agent {
	id := shard.ID(cfg.Name + "/" + incarnation)
	c := clock.NewSystem()
	machine := agent.New(agent.Config{
		ID: id, Worker: cfg.Worker, Zone: cfg.AvailabilityZone, Labels: cfg.Labels, PingEvery: cfg.PingMS,
		QueueLimit: cfg.QueueLimit, HoldResults: cfg.HoldResultsMS, KeepBytes: cfg.KeepBytes,
		BackendTimeout: cfg.BackendTimeoutMS, EjectAfter: cfg.EjectAfter, EjectFor: 5 * clock.Second, EjectMax: 60 * clock.Second,
		DrainLimit: cfg.DrainLimitMS,
	}, c.Now())
	n := &Agent{
		machine: machine, loop: NewLoop(c, machine), notes: out, cancel: cancel, aborts: map[shard.Key]map[int]context.CancelFunc{},
	}
	n.tables = &tableCaller{ctx: running, store: table.NewHTTPStore(cfg.TableAddr, newTableClient()), loop: n.loop}
	n.mesh = mesh.New(mesh.Config{ID: id, Role: proto.RoleAgent, Inbox: n.loop, Counter: out.meter, BatchDelay: cfg.BatchMS})
	n.loop.perform = n.perform
	n.loop.take = n.mesh.Take
	n.loop.stale = func(ev event.Event) { n.loop.handle(n.loop.last, ev) }
	n.loop.resume = func() {
		out.log.Info("thawed")
		n.mesh.Reset(n.machine.ID())
	}
	return n
}

func (n *Agent) perform(a event.Action) {
	switch a := a.(type) {
	case event.Send:
		n.mesh.Send(a.To, a.Message, a.Lazy)
	case event.Connect:
		n.mesh.Connect(a.Members)
	case event.TableCall:
		n.tables.call(a)
	case event.Note:
		n.notes.take(a)
	case event.Reset:
		n.mesh.Reset(a.ID)
	case event.Exit:
		n.cancel()
	case agent.Run:
		n.run(a)
	case agent.Abort:
		n.abort(a.Key)
	}
}

func (n *Agent) backendHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/announce", n.announce)
	mux.HandleFunc("POST /v1/leave", func(w http.ResponseWriter, _ *http.Request) {
		n.loop.Push(agent.BackendLeaving{})
		w.WriteHeader(http.StatusAccepted)
	})
	return mux
}

func (n *Agent) announce(w http.ResponseWriter, r *http.Request) {
	var in Announcement
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncement)).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if _, err := netip.ParseAddrPort(in.Addr); err != nil || in.Slots < 1 || in.Connections < 1 {
		http.Error(w, "want addr as IP address and port, slots and connections of at least 1", http.StatusBadRequest)
		return
	}
	n.mu.Lock()
	if n.backend == nil || n.backend.addr != in.Addr {
		n.backend = newBackend(in.Addr, in.Connections)
	}
	n.mu.Unlock()
	n.loop.Push(agent.BackendAnnounced{Slots: min(in.Slots, in.Connections), Labels: in.Labels})
	w.WriteHeader(http.StatusOK)
}

func (n *Agent) adminHandler(m *meter.Meter) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", m.Handler())
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if s := n.status(); !s.Current || s.Load.Slots == 0 || s.Load.Leaving || s.Load.Ejected {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(n.status())
	})
	return mux
}

func (n *Agent) status() agent.Status {
	var s agent.Status
	n.loop.Do(func(now clock.Millis) { s = n.machine.Status(now) })
	return s
}

// run sends a task to the backend server on a traffic goroutine.
func (n *Agent) run(a agent.Run) {
	ctx, cancel := context.WithTimeout(context.Background(), a.Budget.Duration()+time.Second)
	n.mu.Lock()
	b := n.backend
	if n.aborts[a.Key] == nil {
		n.aborts[a.Key] = map[int]context.CancelFunc{}
	}
	n.aborts[a.Key][a.Index] = cancel
	n.mu.Unlock()
	go func() {
		defer cancel()
		verdict, output := b.run(ctx, a)
		n.forget(a.Key, a.Index)
		n.loop.Push(agent.RunDone{Key: a.Key, Index: a.Index, Attempt: a.Attempt, Verdict: verdict, Output: output})
	}()
}

// forget removes the cancel function of a run that has ended.
func (n *Agent) forget(key shard.Key, index int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.aborts[key], index)
	if len(n.aborts[key]) == 0 {
		delete(n.aborts, key)
	}
}

func (n *Agent) abort(key shard.Key) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, cancel := range n.aborts[key] {
		cancel()
	}
}
