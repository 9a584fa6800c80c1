package emul

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/disp"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/room"
	"corianderspur.example/corianderspur/internal/runs"
	"corianderspur.example/corianderspur/internal/shard"
)

const (
	service = "svc"
	// tickEvery is the time between ticks of a state machine, announceEvery between heartbeats of a backend server.
	tickEvery     = 10 * clock.Millis(1)
	announceEvery = 1500 * clock.Millis(1)
	// resendAfter is how long a caller without a final answer waits before it sends a job again.
	resendAfter = 1300 * clock.Millis(1)
	// latency is the delay of a message, redial the time between tries to open a session.
	latency = 1 * clock.Millis(1)
	redial  = 20 * clock.Millis(1)
)

// Config is what a deployment is built from.
type Config struct {
	Seed    uint64
	Entries int
	Agents  int
	// Total is the room of each backend server.
	Total      room.Resources
	Dispatcher disp.Config
	Keeper     runs.Config
	// LateShare is the share of orders that get no answer and are carried out 2 to 12 s later.
	LateShare float64
	// HoldMost is the longest lease that a backend server grants, in milliseconds.
	HoldMost clock.Millis
}

// DefaultConfig returns a small deployment with the terms that the processes use by default.
func DefaultConfig(seed uint64) Config {
	return Config{
		Seed: seed, Entries: 3, Agents: 4, Total: room.Resources{CPU: 32000, MemMB: 64000}, HoldMost: holdMost,
		Dispatcher: disp.Config{
			Beat: 100, Silence: 400, IdleBeat: 400, IdleSilence: 1000, Lease: 800, ReattachTimeout: 200, AnswerMargin: 60, DrainLimit: 5000,
		},
		Keeper: runs.Config{
			Lease: 800, Silence: 400, IdleSilence: 1000, Reattach: 200, PollWait: 120, OrderTimeout: 40, DrainLimit: 5000,
		},
	}
}

// World holds the processes and fakes of one session.
type World struct {
	cfg      Config
	now      clock.Millis
	agenda   clock.Agenda
	rng      *rand.Rand
	entries  []*proc
	agents   []*proc
	sessions map[[2]string]*session
	cuts     map[[2]string]bool
	plans    map[string]taskPlan
	callers  map[string]*Caller
	check    *check
	lives    int
	Log      strings.Builder
	// Verbose writes every note to Log.
	Verbose bool
}

type taskPlan struct {
	Plan
	need room.Resources
}

// New creates a deployment whose processes have just started.
func New(cfg Config) *World {
	w := &World{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), sessions: map[[2]string]*session{}, cuts: map[[2]string]bool{},
		plans: map[string]taskPlan{}, callers: map[string]*Caller{},
	}
	w.check = &check{world: w, at: map[string]map[string]bool{}, done: map[string]bool{}, begun: map[string]bool{}}
	for i := range cfg.Agents {
		p := &proc{world: w, name: fmt.Sprintf("a%d", i), agent: true}
		p.runner = newRunner(w, p.name, "r-"+p.name, cfg.Total)
		w.agents = append(w.agents, p)
		w.startProc(p)
		w.announceLoop(p)
	}
	for i := range cfg.Entries {
		p := &proc{world: w, name: fmt.Sprintf("e%d", i)}
		w.entries = append(w.entries, p)
		w.startProc(p)
	}
	w.dialLoop()
	return w
}

func (w *World) after(d clock.Millis, f func()) {
	w.agenda.Add(w.now+d, f)
}

// Run goes on until a point in time.
func (w *World) Run(until clock.Millis) {
	for at, f, ok := w.agenda.Next(until); ok; at, f, ok = w.agenda.Next(until) {
		w.now = at
		for _, a := range w.agents {
			a.runner.advance()
		}
		f()
	}
	w.now = until
}

// Violations returns what broke a rule, in order.
func (w *World) Violations() []string {
	return w.check.violations
}

func (w *World) logf(format string, args ...any) {
	if w.Verbose {
		fmt.Fprintf(&w.Log, "%6d "+format+"\n", append([]any{int64(w.now)}, args...)...)
	}
}

func (w *World) plan(task string) taskPlan {
	return w.plans[task]
}

// startProc starts a process with empty memory.
func (w *World) startProc(p *proc) {
	w.lives++
	p.up = true
	p.frozen = false
	p.id = shard.ID(fmt.Sprintf("%s/%d", p.name, w.lives))
	p.last = w.now
	life := w.lives
	p.life = life
	if p.agent {
		cfg := w.cfg.Keeper
		cfg.ID, cfg.Name = p.id, p.name
		p.machine = runs.New(cfg)
	} else {
		cfg := w.cfg.Dispatcher
		cfg.ID, cfg.Seed = p.id, w.rng.Uint64()
		p.machine = disp.New(cfg)
	}
	w.tickLoop(p, life)
	if p.agent && p.runner.up && w.now > 0 {
		// The agent's row names the backend server that its last life knew.
		w.after(recallTime, func() {
			if p.life == life {
				p.push(runs.Announced{Instance: p.runner.instance(0)})
			}
		})
	}
}

// recallTime is how long an agent that starts takes to recall its backend server, in milliseconds.
const recallTime = 20 * clock.Millis(1)

func (w *World) tickLoop(p *proc, life int) {
	w.after(tickEvery, func() {
		if p.life != life || !p.up {
			return
		}
		p.push(event.Tick{})
		w.tickLoop(p, life)
	})
}

func (w *World) announceLoop(p *proc) {
	w.after(clock.Millis(w.rng.IntN(int(announceEvery))), func() { w.announce(p) })
}

func (w *World) announce(p *proc) {
	p.seq++
	if p.up && p.runner.up {
		p.push(runs.Announced{Instance: p.runner.instance(p.seq)})
	}
	w.after(announceEvery, func() { w.announce(p) })
}

// dialLoop opens the sessions that entries lack.
func (w *World) dialLoop() {
	for _, e := range w.entries {
		for _, a := range w.agents {
			w.dial(e, a)
		}
	}
	w.after(redial, w.dialLoop)
}

func (w *World) dial(e, a *proc) {
	if !e.up || !a.up || e.frozen || a.frozen || w.cut(e.name, a.name) || w.cut(a.name, e.name) {
		return
	}
	key := [2]string{e.name, a.name}
	if s := w.sessions[key]; s != nil && s.eUp {
		return
	}
	s := &session{world: w, e: e, a: a, eUp: true, aUp: true}
	if old := w.sessions[key]; old != nil && old.aUp {
		old.aUp = false
		a.push(event.SessionDown{Peer: old.eID})
	}
	s.eID, s.aID = e.id, a.id
	w.sessions[key] = s
	e.push(event.SessionUp{Peer: a.id, Role: "agent"})
	a.push(event.SessionUp{Peer: e.id, Role: "entry"})
}

func (w *World) cut(from, to string) bool {
	return w.cuts[[2]string{from, to}]
}

// Cut makes packets from one process to another wait, until Heal.
func (w *World) Cut(from, to string) {
	w.logf("cut %s to %s", from, to)
	w.cuts[[2]string{from, to}] = true
}

// Heal ends a cut; what waited arrives, unless its session was closed.
func (w *World) Heal(from, to string) {
	if !w.cut(from, to) {
		return
	}
	w.logf("heal %s to %s", from, to)
	delete(w.cuts, [2]string{from, to})
	for _, key := range sortedKeysFunc(w.sessions) {
		w.sessions[key].flush()
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func sortedKeysFunc[V any](m map[[2]string]V) [][2]string {
	keys := make([][2]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b [2]string) int { return cmp.Or(cmp.Compare(a[0], b[0]), cmp.Compare(a[1], b[1])) })
	return keys
}
