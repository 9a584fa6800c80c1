package emul

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/room"
)

const (
	// exploreFrom and exploreTo bound the time in which choices are open, in milliseconds; exploreEnd is when a session ends.
	exploreFrom = 2 * clock.Second
	exploreTo   = exploreFrom + 400
	exploreEnd  = exploreTo + 3500
	// exploredDelay is how much later a message, a request or an answer may arrive, in milliseconds.
	exploredDelay = 15 * clock.Millis(1)
	// faultInterval is the time between the points at which a fault may happen, in milliseconds.
	faultInterval = 10 * clock.Millis(1)
)

// Deviation is a choice that isn't the usual one: the number of the choice in its session, and the option.
type Deviation struct {
	At, Option int
}

// choices decides every open choice of a session. The first option is the usual one: no delay and no fault.
type choices struct {
	path []Deviation
	// options holds the number of options of each choice so far.
	options []int
}

func (c *choices) choose(options int) int {
	at := len(c.options)
	c.options = append(c.options, options)
	for _, d := range c.path {
		if d.At == at {
			return d.Option
		}
	}
	return 0
}

// delay chooses how much later something arrives that is sent now.
func (c *choices) delay(now clock.Millis) clock.Millis {
	if c == nil || now < exploreFrom || now >= exploreTo {
		return 0
	}
	return clock.Millis(c.choose(2)) * exploredDelay
}

// exploredFaults are the faults that may happen at any point, to the first entry and the first agent.
var exploredFaults = []struct {
	name   string
	inject func(w *World)
}{
	{"replace", func(w *World) { w.ReplaceBackend(0, 3) }},
	{"replace slowly", func(w *World) { w.ReplaceBackend(0, 60) }},
	{"restart", func(w *World) { w.restartBackend(0, 3) }},
	{"restart, refusing", func(w *World) {
		w.restartBackend(0, 100)
		w.agents[0].backend.refuses = true
	}},
	{"reset", func(w *World) { w.resetSessions(w.entries[0]) }},
	{"half-open session", func(w *World) {
		w.resetSessions(w.entries[0])
		w.cfg.HalfOpenSessions = 1
		w.after(2*dialInterval, func() { w.cfg.HalfOpenSessions = 0 })
	}},
	{"kill entry", func(w *World) { w.Kill(w.entries[0], true, 300) }},
	{"kill agent", func(w *World) { w.Kill(w.agents[0], true, 300) }},
	{"freeze entry", func(w *World) { w.freezeFor(w.entries[0], 500) }},
	{"freeze agent", func(w *World) { w.freezeFor(w.agents[0], 500) }},
	{"cut to agent", func(w *World) { w.cutFor(w.entries[0], w.agents[0], 700, true, false) }},
	{"cut to entry", func(w *World) { w.cutFor(w.entries[0], w.agents[0], 700, false, true) }},
	{"late orders", func(w *World) { w.LateOrders(0, 100) }},
}

func (w *World) freezeFor(p *proc, span clock.Millis) {
	w.Freeze(p)
	w.after(span, func() { w.Thaw(p) })
}

// restartBackend crashes the backend server of the agent with a number; it starts again under its id after the downtime.
func (w *World) restartBackend(agent int, downtime clock.Millis) {
	r := w.agents[agent].backend
	if !r.up {
		return
	}
	r.crash()
	w.after(downtime, func() { r.restart(r.id) })
}

// explored plays a session of two entries and some agents with a backend server each. All but its path of deviations is usual.
func explored(agents int, path []Deviation, verbose bool) (w *World, options []int) {
	cfg := DefaultConfig(1)
	cfg.Entries, cfg.Agents = 2, agents
	cfg.Latency, cfg.LateMin, cfg.LateRange = 8, 50, 1
	w = New(cfg)
	w.Verbose = verbose
	w.choices = &choices{path: path}
	w.Run(exploreFrom)
	works := []clock.Millis{60, 1600, 60, 300}
	for i := range 24 {
		work := works[i%len(works)]
		w.After(clock.Millis(i)*17, func() {
			w.Submit(i+1, Tasks{Count: 2, Need: room.Resources{CPU: 1200, MemMB: 64}, Work: work, Estimate: work, Patience: 3 * clock.Second})
		})
	}
	for at := clock.Millis(0); at < exploreTo-exploreFrom; at += faultInterval {
		w.After(at, func() {
			if n := w.choices.choose(len(exploredFaults) + 1); n > 0 {
				f := exploredFaults[n-1]
				w.logf("fault: %s", f.name)
				f.inject(w)
			}
		})
	}
	w.Run(exploreEnd)
	return w, w.choices.options
}

// Exploration is the outcome of playing sessions that deviate from the usual one.
type Exploration struct {
	// Agents is the number of agents in each session.
	Agents int
	// Sessions is the number of sessions played, and Choices that of the open choices in the usual one.
	Sessions, Choices int
	// Path is the shortest path found that breaks a promise, and Violation the promise; both empty if there is none.
	Path      []Deviation
	Violation string
}

// Explore plays each session with one deviation from the usual one, and then sessions with two that are drawn from the seed, until
// a promise is broken.
func Explore(agents, pairs int, seed uint64) (e Exploration) {
	e.Agents = agents
	_, options := explored(agents, nil, false)
	e.Choices = len(options)
	if e.broken(nil) {
		return e
	}
	for at, n := range options {
		for option := 1; option < n; option++ {
			if e.broken([]Deviation{{at, option}}) {
				return e
			}
		}
	}
	rng := rand.New(rand.NewPCG(seed, seed))
	for range pairs {
		first := drawDeviation(rng, options, 0)
		_, rest := explored(agents, []Deviation{first}, false)
		e.Sessions++
		if first.At+1 < len(rest) && e.broken([]Deviation{first, drawDeviation(rng, rest, first.At+1)}) {
			return e
		}
	}
	return e
}

// drawDeviation draws a deviation from the choices from a number on; three of four are faults.
func drawDeviation(rng *rand.Rand, options []int, from int) Deviation {
	fault := rng.IntN(4) > 0
	for {
		at := from + rng.IntN(len(options)-from)
		if isFault := options[at] > 2; isFault == fault || !slices.ContainsFunc(options[from:], func(n int) bool { return (n > 2) == fault }) {
			return Deviation{at, 1 + rng.IntN(options[at]-1)}
		}
	}
}

// broken plays a path and records the first promise that it breaks.
func (e *Exploration) broken(path []Deviation) bool {
	w, _ := explored(e.Agents, path, false)
	e.Sessions++
	if len(w.Violations()) == 0 {
		return false
	}
	e.Path, e.Violation = path, w.Violations()[0]
	return true
}

// Story returns the log of the session with the path that was found.
func (e *Exploration) Story() string {
	w, _ := explored(e.Agents, e.Path, true)
	return fmt.Sprintf("path %v\n%s", e.Path, w.Log.String())
}
