package emul

import (
	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/runs"
)

const (
	// orderTime is how long an order takes each way, pollEvery how often a look checks for an end, in milliseconds.
	orderTime = 1 * clock.Millis(1)
	pollEvery = 2 * clock.Millis(1)
	// lateFrom and lateSpan say how much later a late order is carried out.
	lateFrom = 2000
	lateSpan = 10000
	// slowClock is by how much a backend server's clock is slow, as a divisor of the lease.
	slowClock = 50
)

// order carries an order out at the backend server beside an agent, at once or late, and passes its outcome on.
func (w *World) order(p *proc, timeout clock.Millis, carry func(r *runner) event.Event, none event.Event) {
	life := p.life
	answer := func(ev event.Event) {
		if p.life == life {
			p.push(ev)
		}
	}
	if w.rng.Float64() < w.cfg.LateShare {
		w.after(clock.Millis(lateFrom+w.rng.IntN(lateSpan)), func() {
			if p.runner.up {
				carry(p.runner)
			}
		})
		w.after(timeout, func() { answer(none) })
		return
	}
	w.after(orderTime, func() {
		if !p.runner.up {
			w.after(timeout, func() { answer(none) })
			return
		}
		ev := carry(p.runner)
		w.after(orderTime, func() { answer(ev) })
	})
}

// leaseEnd returns when a lease that is granted now ends at the latest, on a backend server with a slow clock.
func (w *World) leaseEnd(lease clock.Millis) clock.Millis {
	return w.now + lease + lease/slowClock
}

func (w *World) orderStart(p *proc, o runs.StartRun) {
	until := w.leaseEnd(o.Lease)
	w.order(p, o.Timeout, func(r *runner) event.Event {
		if r.id != o.Instance {
			return runs.StartDone{Task: o.Task, Run: o.Run, Outcome: runs.OrderGone, Born: r.born}
		}
		return runs.StartDone{Task: o.Task, Run: o.Run, Outcome: r.start(o, until), Born: r.born}
	}, runs.StartDone{Task: o.Task, Run: o.Run, Outcome: runs.OrderUnknown})
}

func (w *World) orderHalt(p *proc, o runs.HaltRun) {
	w.order(p, o.Timeout, func(r *runner) event.Event {
		if r.id != o.Instance {
			return runs.HaltDone{Task: o.Task, Run: o.Run, Outcome: runs.OrderGone}
		}
		return runs.HaltDone{Task: o.Task, Run: o.Run, Outcome: r.halt(o), Born: r.born}
	}, runs.HaltDone{Task: o.Task, Run: o.Run, Outcome: runs.OrderUnknown})
}

func (w *World) orderLook(p *proc, o runs.Poll) {
	until := w.leaseEnd(o.Lease)
	life := p.life
	none := runs.PollDone{Number: o.Number, Outcome: runs.OrderUnknown}
	if w.rng.Float64() < w.cfg.LateShare {
		w.after(clock.Millis(lateFrom+w.rng.IntN(lateSpan)), func() {
			if p.runner.up {
				p.runner.look(o, until)
			}
		})
		w.after(o.Timeout, func() { w.looked(p, life, none) })
		return
	}
	w.after(orderTime, func() { w.lookPoll(p, o, until, w.now+o.Wait, life) })
}

// lookPoll answers a look when there is an end to tell, or when it has waited for as long as it may.
func (w *World) lookPoll(p *proc, o runs.Poll, until, waitEnd clock.Millis, life int) {
	r := p.runner
	if !r.up {
		w.after(o.Timeout, func() { w.looked(p, life, runs.PollDone{Number: o.Number, Outcome: runs.OrderUnknown}) })
		return
	}
	if r.id != o.Instance {
		w.after(orderTime, func() { w.looked(p, life, runs.PollDone{Number: o.Number, Outcome: runs.OrderGone}) })
		return
	}
	l := r.look(o, until)
	if len(l.Ended) == 0 && w.now < waitEnd {
		o.Lease = 0
		w.after(pollEvery, func() { w.lookPoll(p, o, until, waitEnd, life) })
		return
	}
	w.after(orderTime, func() { w.looked(p, life, l) })
}

func (w *World) looked(p *proc, life int, l runs.PollDone) {
	if p.life == life {
		p.push(l)
	}
}
