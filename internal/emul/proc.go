package emul

import (
	"strings"

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

// proc is a simulated process: an entry, or an agent with its backend server.
type proc struct {
	world       *World
	name        string
	isAgent     bool
	id          shard.ID
	incarnation int
	up          bool
	frozen      bool
	machine     machine
	backend     *backend
	announceSeq uint64
	lastEventAt clock.Millis
	backlog     []event.Event
}

// push delivers an event to the process, or queues it while the process is frozen.
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
	silence := p.world.cfg.Dispatcher.Silence
	if p.world.now-p.lastEventAt > silence {
		p.handleStall()
	}
	p.lastEventAt = p.world.now
	p.performAll(p.machine.Handle(p.world.now, ev))
}

// handleStall does what a process does once it detects that it was stalled: it closes its sessions, and a dispatcher
// answers its callers.
func (p *proc) handleStall() {
	p.lastEventAt = p.world.now
	p.world.logf("%s thawed", p.name)
	for _, s := range p.world.sessionsOf(p) {
		s.close(p)
	}
	if d, ok := p.machine.(*disp.Machine); ok {
		p.performAll(d.Resume(p.world.now))
	}
}

func (p *proc) performAll(actions []event.Action) {
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
		w.closeSessions(p, a.Peer)
	case runs.CloseSession:
		w.closeSessions(p, a.Peer)
	case disp.Reply:
		w.deliverReply(p, a)
	case runs.StartRun:
		w.requestStart(p, a)
	case runs.Wake:
		incarnation := p.incarnation
		w.after(a.After, func() {
			if p.incarnation == incarnation {
				p.push(event.Tick{})
			}
		})
	case runs.HaltRun:
		w.requestHalt(p, a)
	case runs.Poll:
		w.requestPoll(p, a)
	case event.Note:
		w.logf("%s %s job=%s reason=%s peer=%s count=%d took=%d run=%d seq=%d", p.name, a.Name, a.Job, a.Reason, a.Peer, a.Count, a.Took, a.Run, a.Seq)
	case event.Exit:
		p.up = false
	}
}

// session is a connection between an entry and an agent. A side that has closed it receives nothing more
// on it.
type session struct {
	world            *World
	entry, agent     *proc
	entryID, agentID shard.ID
	entryUp, agentUp bool
	// openUntil is how long the entry waits for the answer of the agent, if it has not arrived.
	openUntil clock.Millis
	// toEntry and toAgent hold the messages that are in flight or wait for a cut to heal.
	toEntry, toAgent []sentMessage
}

// sentMessage is a message that arrives at a point in time unless its link is cut.
type sentMessage struct {
	at  clock.Millis
	msg proto.Message
}

// takeDue removes and returns the messages that have arrived by now.
func takeDue(now clock.Millis, waiting *[]sentMessage) (due []sentMessage) {
	for len(*waiting) > 0 && (*waiting)[0].at <= now {
		due = append(due, (*waiting)[0])
		*waiting = (*waiting)[1:]
	}
	return due
}

func (w *World) sessionsOf(p *proc) (list []*session) {
	for _, key := range sortedPairs(w.sessions) {
		if s := w.sessions[key]; s.entry == p || s.agent == p {
			list = append(list, s)
		}
	}
	return list
}

func (w *World) send(p *proc, to shard.ID, msg proto.Message) {
	peer, _, _ := strings.Cut(string(to), "/")
	if s := w.sessions[[2]string{p.name, peer}]; s != nil && s.agentID == to && s.entryUp && s.entryID == p.id {
		w.deliver(s, &s.toAgent, msg)
	}
	if s := w.sessions[[2]string{peer, p.name}]; s != nil && s.entryID == to && s.agentUp && s.agentID == p.id {
		w.deliver(s, &s.toEntry, msg)
	}
}

// deliver puts a message behind those that are under way in its direction.
func (w *World) deliver(s *session, underWay *[]sentMessage, msg proto.Message) {
	at := w.now + w.cfg.Latency + w.choices.delay(w.now)
	if n := len(*underWay); n > 0 {
		at = max(at, (*underWay)[n-1].at)
	}
	*underWay = append(*underWay, sentMessage{at: at, msg: msg})
	w.after(at-w.now, s.flush)
}

// flush delivers the messages in flight in each direction that is not cut.
func (s *session) flush() {
	if !s.world.isCut(s.entry.name, s.agent.name) {
		for _, m := range takeDue(s.world.now, &s.toAgent) {
			if s.agentUp && s.agent.up && s.agent.id == s.agentID {
				s.agent.push(heldMessage{session: s, ev: event.Received{From: s.entryID, Message: m.msg}}.holdIfFrozen(s.agent))
			}
		}
	}
	if !s.world.isCut(s.agent.name, s.entry.name) {
		for _, m := range takeDue(s.world.now, &s.toEntry) {
			if s.entryUp && s.entry.up && s.entry.id == s.entryID {
				s.entry.push(heldMessage{session: s, ev: event.Received{From: s.agentID, Message: m.msg}}.holdIfFrozen(s.entry))
			}
		}
	}
}

// heldMessage is a message that is queued at a frozen process; it is discarded once its session has ended.
type heldMessage struct {
	session *session
	ev      event.Received
}

func (r heldMessage) holdIfFrozen(p *proc) event.Event {
	if p.frozen {
		return r
	}
	return r.ev
}

// close closes a session at one side; the other side is notified if the link to it is not cut.
func (s *session) close(p *proc) {
	other := s.agent
	if p == s.agent {
		other = s.entry
		if s.agentUp {
			s.agentUp = false
			if p.up {
				p.performAll(p.machine.Handle(s.world.now, event.SessionDown{Peer: s.entryID}))
			}
		}
	} else if s.entryUp {
		s.entryUp = false
		if p.up {
			p.performAll(p.machine.Handle(s.world.now, event.SessionDown{Peer: s.agentID}))
		}
	}
	s.world.after(s.world.cfg.Latency, func() { s.notifyClosed(p, other) })
}

func (s *session) notifyClosed(by, other *proc) {
	if s.world.isCut(by.name, other.name) {
		return
	}
	if other == s.agent && s.agentUp && s.agent.id == s.agentID {
		s.agentUp = false
		s.agent.push(event.SessionDown{Peer: s.entryID})
	}
	if other == s.entry && s.entryUp && s.entry.id == s.entryID {
		s.entryUp = false
		s.entry.push(event.SessionDown{Peer: s.agentID})
	}
}

func (w *World) closeSessions(p *proc, peer shard.ID) {
	for _, s := range w.sessionsOf(p) {
		if (s.entry == p && s.agentID == peer) || (s.agent == p && s.entryID == peer) {
			s.close(p)
		}
	}
}

// Freeze pauses a process; Thaw resumes it and delivers the events that were queued meanwhile.
func (w *World) Freeze(p *proc) {
	if p.up {
		w.logf("freeze %s", p.name)
		p.frozen = true
	}
}

// Thaw resumes a frozen process.
func (w *World) Thaw(p *proc) {
	if !p.frozen {
		return
	}
	w.logf("thaw %s", p.name)
	p.frozen = false
	backlog := p.backlog
	p.backlog = nil
	if p.up && w.now-p.lastEventAt > w.cfg.Dispatcher.Silence {
		p.handleStall()
	}
	for _, ev := range backlog {
		if r, ok := ev.(heldMessage); ok {
			if (r.session.entry == p && !r.session.entryUp) || (r.session.agent == p && !r.session.agentUp) {
				continue
			}
			ev = r.ev
		}
		if _, ok := ev.(disp.Submit); ok && w.now-p.lastEventAt <= 0 {
			w.deliverReply(p, disp.Reply{Ticket: ev.(disp.Submit).Ticket, Result: disp.Refused})
			continue
		}
		p.push(ev)
	}
}

// Kill ends a process and restarts it after downtime. On a power loss, neither peers nor callers see their connections
// close.
func (w *World) Kill(p *proc, powerLoss bool, downtime clock.Millis) {
	if !p.up {
		return
	}
	w.logf("kill %s power=%v", p.name, powerLoss)
	p.up = false
	p.frozen = false
	p.backlog = nil
	for _, s := range w.sessionsOf(p) {
		if s.entry == p {
			s.entryUp = false
		} else {
			s.agentUp = false
		}
		if !powerLoss {
			other := s.agent
			if s.agent == p {
				other = s.entry
			}
			w.after(w.cfg.Latency, func() { s.notifyClosed(p, other) })
		}
	}
	if !powerLoss && !p.isAgent {
		w.retryDisconnected(p)
	}
	w.after(downtime, func() {
		if !p.up {
			w.startProc(p)
			w.logf("start %s", p.id)
		}
	})
}
