package emul

import (
	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/disp"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/runs"
	"corianderspur.example/corianderspur/internal/shard"
)

type machine interface {
	Handle(now clock.Millis, ev event.Event) []event.Action
}

// proc is a process: an entry or an agent with its backend server.
type proc struct {
	world   *World
	name    string
	agent   bool
	id      shard.ID
	life    int
	up      bool
	frozen  bool
	machine machine
	runner  *runner
	seq     uint64
	last    clock.Millis
	backlog []event.Event
}

// push hands an event to the process as soon as it is not frozen.
func (p *proc) push(ev event.Event) {
	switch {
	case !p.up:
	case p.frozen:
		p.backlog = append(p.backlog, ev)
	default:
		p.handle(ev)
	}
}

func (p *proc) handle(ev event.Event) {
	gap := p.world.cfg.Dispatcher.Silence
	if p.world.now-p.last > gap {
		p.thaw()
	}
	p.last = p.world.now
	p.carryOut(p.machine.Handle(p.world.now, ev))
}

// thaw does what a process does that finds that it stood still: its sessions end, and a dispatcher answers its callers.
func (p *proc) thaw() {
	p.last = p.world.now
	p.world.logf("%s thawed", p.name)
	for _, s := range p.world.sessionsOf(p) {
		s.close(p)
	}
	if d, ok := p.machine.(*disp.Machine); ok {
		p.carryOut(d.Resume(p.world.now))
	}
}

func (p *proc) carryOut(actions []event.Action) {
	for _, a := range actions {
		p.perform(a)
	}
}

func (p *proc) perform(a event.Action) {
	w := p.world
	switch a := a.(type) {
	case event.Send:
		w.send(p, a.To, a.Message)
	case disp.CloseSession:
		w.drop(p, a.Peer)
	case runs.CloseSession:
		w.drop(p, a.Peer)
	case disp.Reply:
		w.reply(p, a)
	case runs.StartRun:
		w.orderStart(p, a)
	case runs.HaltRun:
		w.orderHalt(p, a)
	case runs.Poll:
		w.orderLook(p, a)
	case event.Note:
		w.logf("%s %s job=%s reason=%s peer=%s count=%d took=%d", p.name, a.Name, a.Job, a.Reason, a.Peer, a.Count, a.Took)
	case event.Exit:
		p.up = false
	}
}

// session is a connection between an entry and an agent. A side that has closed it hears nothing more of it.
type session struct {
	world    *World
	e, a     *proc
	eID, aID shard.ID
	eUp, aUp bool
	// toE and toA hold what waits for a cut to heal.
	toE, toA []proto.Message
}

func (w *World) sessionsOf(p *proc) (list []*session) {
	for _, key := range sortedKeysFunc(w.sessions) {
		if s := w.sessions[key]; s.e == p || s.a == p {
			list = append(list, s)
		}
	}
	return list
}

func (w *World) send(p *proc, to shard.ID, msg proto.Message) {
	for _, s := range w.sessionsOf(p) {
		switch {
		case s.e == p && s.aID == to && s.eUp && s.eID == p.id:
			s.toA = append(s.toA, msg)
			w.after(latency, s.flush)
		case s.a == p && s.eID == to && s.aUp && s.aID == p.id:
			s.toE = append(s.toE, msg)
			w.after(latency, s.flush)
		}
	}
}

// flush delivers what is on its way in the directions that are not cut.
func (s *session) flush() {
	if !s.world.cut(s.e.name, s.a.name) {
		msgs := s.toA
		s.toA = nil
		for _, m := range msgs {
			if s.aUp && s.a.up && s.a.id == s.aID {
				s.a.push(received{session: s, ev: event.Received{From: s.eID, Message: m}}.orFrozen(s.a))
			}
		}
	}
	if !s.world.cut(s.a.name, s.e.name) {
		msgs := s.toE
		s.toE = nil
		for _, m := range msgs {
			if s.eUp && s.e.up && s.e.id == s.eID {
				s.e.push(received{session: s, ev: event.Received{From: s.aID, Message: m}}.orFrozen(s.e))
			}
		}
	}
}

// received is a message that waits at a frozen process; it is void once its session has ended.
type received struct {
	session *session
	ev      event.Received
}

func (r received) orFrozen(p *proc) event.Event {
	if p.frozen {
		return r
	}
	return r.ev
}

// close ends a session at one side; the other hears of it if the link is whole.
func (s *session) close(p *proc) {
	other := s.a
	if p == s.a {
		other = s.e
		if s.aUp {
			s.aUp = false
			if p.up {
				p.carryOut(p.machine.Handle(s.world.now, event.SessionDown{Peer: s.eID}))
			}
		}
	} else if s.eUp {
		s.eUp = false
		if p.up {
			p.carryOut(p.machine.Handle(s.world.now, event.SessionDown{Peer: s.aID}))
		}
	}
	s.world.after(latency, func() { s.closed(p, other) })
}

func (s *session) closed(by, other *proc) {
	if s.world.cut(by.name, other.name) {
		return
	}
	if other == s.a && s.aUp && s.a.id == s.aID {
		s.aUp = false
		s.a.push(event.SessionDown{Peer: s.eID})
	}
	if other == s.e && s.eUp && s.e.id == s.eID {
		s.eUp = false
		s.e.push(event.SessionDown{Peer: s.aID})
	}
}

func (w *World) drop(p *proc, peer shard.ID) {
	for _, s := range w.sessionsOf(p) {
		if (s.e == p && s.aID == peer) || (s.a == p && s.eID == peer) {
			s.close(p)
		}
	}
}

// Freeze makes a process stand still, and Thaw lets it go on with all that waited.
func (w *World) Freeze(p *proc) {
	if p.up {
		w.logf("freeze %s", p.name)
		p.frozen = true
	}
}

// Thaw lets a frozen process go on.
func (w *World) Thaw(p *proc) {
	if !p.frozen {
		return
	}
	w.logf("thaw %s", p.name)
	p.frozen = false
	backlog := p.backlog
	p.backlog = nil
	if p.up && w.now-p.last > w.cfg.Dispatcher.Silence {
		p.thaw()
	}
	for _, ev := range backlog {
		if r, ok := ev.(received); ok {
			if (r.session.e == p && !r.session.eUp) || (r.session.a == p && !r.session.aUp) {
				continue
			}
			ev = r.ev
		}
		if _, ok := ev.(disp.Submit); ok && w.now-p.last <= 0 {
			w.reply(p, disp.Reply{Ticket: ev.(disp.Submit).Ticket, Result: disp.Refused})
			continue
		}
		p.push(ev)
	}
}

// Kill ends a process; with power, nobody hears of it. It starts again after a while.
func (w *World) Kill(p *proc, power bool, back clock.Millis) {
	if !p.up {
		return
	}
	w.logf("kill %s power=%v", p.name, power)
	p.up = false
	p.frozen = false
	p.backlog = nil
	for _, s := range w.sessionsOf(p) {
		if s.e == p {
			s.eUp = false
		} else {
			s.aUp = false
		}
		if !power {
			other := s.a
			if s.a == p {
				other = s.e
			}
			w.after(latency, func() { s.closed(p, other) })
		}
	}
	if !power && !p.agent {
		w.brokenCallers(p)
	}
	w.after(back, func() {
		if !p.up {
			w.startProc(p)
			w.logf("start %s", p.id)
		}
	})
}
