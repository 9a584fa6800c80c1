package emul

import (
	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/runs"
)

const (
	// requestLatency is the one-way delay of a request to a backend server, pollInterval the time between a look's checks
	// for an ended run, in milliseconds.
	requestLatency = 1 * clock.Millis(1)
	pollInterval   = 2 * clock.Millis(1)
	// clockDriftDivisor says how slow a backend server's clock is: a lease lasts longer by its length divided by this.
	clockDriftDivisor = 50
)

// request executes a request at an agent's backend server and delivers the outcome to the agent. A share of the requests
// (Config.LateShare), or all of them (LateOrders), are executed late, and the agent gets noAnswer after the timeout.
func (w *World) request(p *proc, timeout clock.Millis, perform func(r *backend) event.Event, noAnswer event.Event) {
	incarnation := p.incarnation
	answer := func(ev event.Event) {
		if p.incarnation == incarnation {
			p.push(ev)
		}
	}
	if w.rng.Float64() < w.cfg.LateShare || p.backend.lateOrders {
		w.executeLate(p, func() { perform(p.backend) })
		w.after(timeout, func() { answer(noAnswer) })
		return
	}
	w.after(w.requestDelay(), func() {
		if start, ok := noAnswer.(runs.StartDone); ok && !p.backend.up && p.backend.refuses {
			start.Outcome = runs.OrderUnreachable
			w.after(w.requestDelay(), func() { answer(start) })
			return
		}
		if !p.backend.up {
			w.after(timeout, func() { answer(noAnswer) })
			return
		}
		ev := perform(p.backend)
		if w.losesAnswer() {
			w.after(timeout, func() { answer(noAnswer) })
			return
		}
		w.after(w.requestDelay(), func() { answer(ev) })
	})
}

// requestDelay returns how long a request or its answer is under way.
func (w *World) requestDelay() clock.Millis {
	if w.cfg.Jitter == 0 {
		return requestLatency + w.choices.delay(w.now)
	}
	return requestLatency + clock.Millis(w.rng.IntN(int(w.cfg.Jitter)))
}

// executeLate executes a request to an agent's backend server late.
func (w *World) executeLate(p *proc, perform func()) {
	born := p.backend.born
	w.after(w.cfg.LateMin+clock.Millis(w.rng.IntN(int(w.cfg.LateRange))), func() {
		if p.backend.up && (w.cfg.LateOutlives || p.backend.born == born) {
			perform()
		}
	})
}

// leaseEnd returns the latest end of a lease from a time, on a backend server with a slow clock.
func leaseEnd(at, lease clock.Millis) clock.Millis {
	return at + lease + lease/clockDriftDivisor
}

func (w *World) requestStart(p *proc, o runs.StartRun) {
	until := leaseEnd(o.At, o.Lease)
	w.request(p, o.Timeout, func(r *backend) event.Event {
		if r.id != o.Instance {
			return runs.StartDone{Task: o.Task, Run: o.Run, Outcome: runs.OrderGone}
		}
		return runs.StartDone{Task: o.Task, Run: o.Run, Outcome: r.start(o, r.leaseFor(o.Born, until)), Born: r.namedBorn()}
	}, runs.StartDone{Task: o.Task, Run: o.Run, Outcome: runs.OrderUnknown})
}

func (w *World) requestHalt(p *proc, o runs.HaltRun) {
	w.request(p, o.Timeout, func(r *backend) event.Event {
		if r.id != o.Instance {
			return runs.HaltDone{Task: o.Task, Run: o.Run, Outcome: runs.OrderGone}
		}
		return runs.HaltDone{Task: o.Task, Run: o.Run, Outcome: r.halt(o), Born: r.namedBorn()}
	}, runs.HaltDone{Task: o.Task, Run: o.Run, Outcome: runs.OrderUnknown})
}

func (w *World) requestPoll(p *proc, o runs.Poll) {
	until := leaseEnd(o.At, o.Lease)
	incarnation := p.incarnation
	noAnswer := runs.PollDone{Number: o.Number, Outcome: runs.OrderUnknown}
	if w.rng.Float64() < w.cfg.LateShare {
		w.executeLate(p, func() { p.backend.poll(o, p.backend.leaseFor(o.Born, until)) })
		w.after(o.Timeout, func() { w.deliverPoll(p, incarnation, noAnswer) })
		return
	}
	w.after(w.requestDelay(), func() { w.waitPoll(p, o, until, w.now+o.Wait, incarnation) })
}

// waitPoll answers a look once there is an ended run to report or its wait is over.
func (w *World) waitPoll(p *proc, o runs.Poll, until, waitEnd clock.Millis, incarnation int) {
	r := p.backend
	if !r.up && r.refuses {
		refused := runs.PollDone{Number: o.Number, Outcome: runs.OrderUnreachable}
		w.after(requestLatency, func() { w.deliverPoll(p, incarnation, refused) })
		return
	}
	if !r.up {
		w.after(o.Timeout, func() { w.deliverPoll(p, incarnation, runs.PollDone{Number: o.Number, Outcome: runs.OrderUnknown}) })
		return
	}
	if r.id != o.Instance {
		w.after(requestLatency, func() { w.deliverPoll(p, incarnation, runs.PollDone{Number: o.Number, Outcome: runs.OrderGone}) })
		return
	}
	l := r.poll(o, r.leaseFor(o.Born, until))
	if l.Outcome == runs.OrderDone && len(l.Ended) == 0 && w.now < waitEnd {
		o.Lease = 0
		w.after(pollInterval, func() { w.waitPoll(p, o, until, waitEnd, incarnation) })
		return
	}
	if w.losesAnswer() {
		w.after(max(o.At+o.Timeout-w.now, 0), func() { w.deliverPoll(p, incarnation, runs.PollDone{Number: o.Number, Outcome: runs.OrderUnknown}) })
		return
	}
	w.after(w.requestDelay(), func() { w.deliverPoll(p, incarnation, l) })
}

// losesAnswer draws whether the answer to a request that was executed is lost.
func (w *World) losesAnswer() bool {
	return w.cfg.LostShare > 0 && w.rng.Float64() < w.cfg.LostShare
}

func (w *World) deliverPoll(p *proc, incarnation int, l runs.PollDone) {
	if p.incarnation == incarnation {
		p.push(l)
	}
}
