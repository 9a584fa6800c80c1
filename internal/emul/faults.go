package emul

import (
	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/room"
	"corianderspur.example/corianderspur/internal/runs"
)

// Drawn runs a session with jobs and faults drawn at random from the seed, which arrive for length milliseconds, and
// returns the world at its end.
func Drawn(cfg Config, verbose bool, length clock.Millis) *World {
	w := New(cfg)
	w.Verbose = verbose
	w.Run(2 * clock.Second)
	w.scheduleJobs(length, failShare)
	w.scheduleFaults(length)
	w.scheduleReplacements(length)
	w.scheduleEvacuations(length)
	w.Run(length + 12*clock.Second)
	return w
}

// failShare is the fraction of jobs whose tasks always fail.
const failShare = 0.03

func (w *World) scheduleJobs(length clock.Millis, failing float64) {
	number := 0
	var next func()
	next = func() {
		if w.now > length {
			return
		}
		number++
		work := clock.Millis(20 + w.rng.IntN(600))
		w.Submit(number, Tasks{
			Count: 1 + w.rng.IntN(6), Need: room.Resources{CPU: int64(1000 + w.rng.IntN(2500)), MemMB: 64}, Work: work,
			Estimate: work*7/10 + clock.Millis(w.rng.IntN(int(work))), Fails: w.rng.Float64() < failing,
			Patience: clock.Millis(1000 + w.rng.IntN(3000)),
		})
		w.after(clock.Millis(5+w.rng.IntN(60)), next)
	}
	next()
}

// repeat calls a function after a delay and then again and again until a point in time; the pauses are drawn from least up to most.
func (w *World) repeat(until, delay, least, most clock.Millis, f func()) {
	w.after(delay, func() {
		if w.now > until {
			return
		}
		f()
		w.repeat(until, least+clock.Millis(w.rng.IntN(int(most-least))), least, most, f)
	})
}

// firstFault is the delay of the first fault of each kind, in milliseconds.
const firstFault = 500 * clock.Millis(1)

// scheduleLongJobs submits jobs whose tasks outlast the leases of a lost dispatcher.
func (w *World) scheduleLongJobs(length clock.Millis) {
	number := 0
	w.repeat(length, 0, 50, 250, func() {
		number++
		w.Submit(number, Tasks{
			Count: 1 + w.rng.IntN(2), Need: room.Resources{CPU: 1000, MemMB: 64}, Work: clock.Millis(1000 + w.rng.IntN(2000)), Estimate: 1500,
			Patience: 6 * clock.Second,
		})
	})
}

func (w *World) scheduleFaults(length clock.Millis) {
	w.repeat(length, firstFault, 50, 1550, w.injectFault)
}

// scheduleLateOrders leaves the orders to one backend server after another unanswered.
func (w *World) scheduleLateOrders(length clock.Millis) {
	w.repeat(length, firstFault, 200, 2200, func() {
		w.LateOrders(w.rng.IntN(len(w.agents)), clock.Millis(500+w.rng.IntN(3000)))
	})
}

// scheduleResets resets all sessions of one entry after another.
func (w *World) scheduleResets(length clock.Millis) {
	w.repeat(length, firstFault, 100, 1600, func() { w.resetSessions(w.entries[w.rng.IntN(len(w.entries))]) })
}

// scheduleKills ends one agent after another without its dispatchers hearing of it.
func (w *World) scheduleKills(length clock.Millis) {
	w.repeat(length, firstFault, 200, 1700, func() {
		w.Kill(w.agents[w.rng.IntN(len(w.agents))], true, clock.Millis(500+w.rng.IntN(2000)))
	})
}

func (w *World) resetSessions(e *proc) {
	for _, s := range w.sessionsOf(e) {
		s.close(e)
	}
}

// injectFault injects one random fault.
func (w *World) injectFault() {
	e := w.entries[w.rng.IntN(len(w.entries))]
	a := w.agents[w.rng.IntN(len(w.agents))]
	span := clock.Millis(100 + w.rng.IntN(4000))
	switch w.rng.IntN(12) {
	case 0:
		w.Kill(e, w.rng.IntN(2) == 0, span)
	case 1:
		w.Kill(a, w.rng.IntN(2) == 0, span)
	case 2:
		w.Freeze(e)
		w.after(span, func() { w.Thaw(e) })
	case 3:
		w.Freeze(a)
		w.after(span, func() { w.Thaw(a) })
	case 4:
		w.cutFor(e, a, span, true, true)
	case 5:
		w.cutFor(e, a, span, w.rng.IntN(2) == 0, false)
		w.cutFor(e, a, span, false, w.rng.IntN(2) == 0)
	case 6:
		for _, other := range w.agents {
			w.cutFor(e, other, span, true, true)
		}
	case 7:
		for _, other := range w.entries {
			w.cutFor(other, a, span, true, true)
		}
	case 8:
		w.crashBackend(a, span)
	case 9:
		a.backend.hung = true
		w.after(span, func() { a.backend.hung = false })
	case 10:
		a.backend.slowdown = 2 + 4*w.rng.Float64()
		w.after(span, func() { a.backend.slowdown = 1 })
	case 11:
		w.resetSessions(e)
	}
}

// scheduleReplacements ends backend servers at random times: most are back within a moment, under a new id or their own, and some
// leave as planned.
func (w *World) scheduleReplacements(length clock.Millis) {
	if w.cfg.ReplaceEvery == 0 || w.now > length {
		return
	}
	w.after(clock.Millis(1+w.rng.IntN(int(2*w.cfg.ReplaceEvery))), func() {
		w.replaceSomeBackend()
		w.scheduleReplacements(length)
	})
}

func (w *World) cutFor(e, a *proc, span clock.Millis, toAgent, toEntry bool) {
	if toAgent {
		w.Cut(e.name, a.name)
		w.after(span, func() { w.Heal(e.name, a.name) })
	}
	if toEntry {
		w.Cut(a.name, e.name)
		w.after(span, func() { w.Heal(a.name, e.name) })
	}
}

// quickRestart bounds the downtime of a backend server that is back before its agent has noticed the end, in milliseconds.
const quickRestart = 40

func (w *World) replaceSomeBackend() {
	agent := w.rng.IntN(len(w.agents))
	a := w.agents[agent]
	quick := clock.Millis(1 + w.rng.IntN(quickRestart))
	switch draw := w.rng.IntN(8); {
	case !a.backend.up:
	case draw < 4:
		w.ReplaceBackend(agent, 2*quick)
	case draw < 7:
		w.crashBackend(a, quick)
	default:
		w.leaveBackend(a, 20*quick)
	}
}

// ReplaceBackend crashes the backend server of the agent with a number; another one takes its place after the downtime and
// announces itself at once.
func (w *World) ReplaceBackend(agent int, downtime clock.Millis) {
	a := w.agents[agent]
	if !a.backend.up {
		return
	}
	w.logf("the backend server of %s is replaced", a.name)
	id := a.backend.id + "x"
	a.backend.crash()
	w.after(downtime, func() {
		a.backend.restart(id)
		a.push(runs.Announced{Instance: a.backend.instance(0)})
	})
}

func (w *World) crashBackend(a *proc, span clock.Millis) {
	if !a.backend.up {
		return
	}
	w.logf("crash of the backend server of %s", a.name)
	id := a.backend.id
	if w.rng.IntN(2) == 0 {
		id += "x"
	}
	a.backend.crash()
	a.backend.refuses = w.rng.IntN(2) == 0
	w.after(span, func() { a.backend.restart(id) })
}

// leaveLinger bounds how long a backend server goes on after it has announced its end, in milliseconds.
const leaveLinger = 200

// leaveBackend makes a backend server announce its end and end a little later; another one takes its place after span.
func (w *World) leaveBackend(a *proc, span clock.Millis) {
	r := a.backend
	if !r.up || r.leaving {
		return
	}
	w.logf("the backend server of %s leaves", a.name)
	r.leaving = true
	a.push(runs.InstanceLeft{ID: r.id})
	born, id, refuses := r.born, r.id, w.rng.IntN(2) == 0
	if w.rng.IntN(2) == 0 {
		id += "x"
	}
	w.after(clock.Millis(1+w.rng.IntN(leaveLinger)), func() {
		if !r.up || r.born != born {
			return
		}
		r.crash()
		r.refuses = refuses
		w.after(span, func() { r.restart(id) })
	})
}
