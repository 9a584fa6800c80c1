package disp

import (
	"strings"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/room"
	"corianderspur.example/corianderspur/internal/shard"
)

// forgetAfter is how long an agent without a session is remembered, in milliseconds.
const forgetAfter = 5 * clock.Second

func (m *Machine) sessionUp(id shard.ID) {
	v := m.agents[id]
	if v == nil {
		name, _, _ := strings.Cut(string(id), "/")
		v = &agentView{id: id, name: name, slow: 1}
		m.agents[id] = v
		m.sorted = nil
	}
	v.downAt = 0
	v.heard = m.now
	v.wanted = 0
	v.attached = false
	v.flight = nil
	v.seq = 0
	v.begun = 0
	m.note(event.Note{Name: "session_up", Peer: id})
	m.beat(v)
}

func (m *Machine) sessionDown(id shard.ID) {
	v := m.agents[id]
	if v == nil || v.downAt != 0 {
		return
	}
	v.downAt = m.now
	v.attached = false
	m.note(event.Note{Name: "session_down", Peer: id, Count: m.countAt(id)})
	m.lose(v)
}

func (m *Machine) countAt(id shard.ID) (n int) {
	for _, j := range m.jobs {
		for _, t := range j.tasks {
			if t.state == sent && t.agent == id {
				n++
			}
		}
	}
	return n
}

// lose marks what was sent to an agent as lost until the agent is back or all of its leases have lapsed.
func (m *Machine) lose(v *agentView) {
	// The agent stops the runs after Silence; if it died meanwhile, the backend server stops them after the lease.
	bound := m.now + m.cfg.Silence + m.cfg.Lease + m.cfg.Lease/leaseSlack
	for _, id := range m.jobIDs() {
		j := m.jobs[id]
		for _, t := range j.tasks {
			if t.state == sent && t.agent == v.id {
				t.state = lost
				t.clear = bound
				j.stuck = true
				m.note(event.Note{Name: "task_lost", Job: t.name, Class: j.Queue, Peer: v.id, Took: m.now - j.received})
			}
		}
	}
}

// leaseSlack covers that a backend server's clock may be slower, as a divisor of the lease.
const leaseSlack = 40

// checkAgent sends a heartbeat when one is due and gives a silent agent up.
func (m *Machine) checkAgent(v *agentView) {
	if v.downAt != 0 {
		if m.now-v.downAt > forgetAfter {
			m.forgetAgent(v.id)
		}
		return
	}
	if m.now-max(v.heard, v.busySince) > m.silenceOf(v) {
		m.note(event.Note{Name: "agent_silent", Peer: v.id, Took: m.now - v.heard, Count: m.countAt(v.id)})
		m.act(Drop{Peer: v.id})
		m.sessionDown(v.id)
		return
	}
	if m.now-v.beaten >= m.beatOf(v) {
		m.beat(v)
	}
}

// silenceOf returns how long an agent may be silent: an agent without tasks of this dispatcher hears and tells less often.
func (m *Machine) silenceOf(v *agentView) clock.Millis {
	if v.busy {
		return m.cfg.Silence
	}
	return m.cfg.IdleSilence
}

func (m *Machine) beatOf(v *agentView) clock.Millis {
	if v.busy {
		return m.cfg.Beat
	}
	return m.cfg.IdleBeat
}

// lateBeat is how much later than usual an agent may report before nothing more is sent to it, in milliseconds: more than a busy
// process is late by, and soon enough that little is lost with a machine that has gone.
const lateBeat = 150 * clock.Millis(1)

// isOverdue reports whether the agent should have been heard by now.
func (m *Machine) isOverdue(v *agentView) bool {
	return m.now-max(v.heard, v.busySince) > m.beatOf(v)+lateBeat
}

// checkBusy takes note of the agents that have tasks of this dispatcher.
func (m *Machine) checkBusy() {
	for _, v := range m.agents {
		v.busy = false
	}
	for _, j := range m.jobs {
		for _, t := range j.tasks {
			if v := m.agents[t.agent]; t.state == sent && v != nil {
				v.busy = true
			}
		}
	}
}

func (m *Machine) beat(v *agentView) {
	m.order(v, &proto.Orders{})
}

// wantEvery is the time after which an agent is told again that work waits, if no other message has told it, in milliseconds.
const wantEvery = 500 * clock.Millis(1)

// wantRoom tells the agents of a service that work waits, so that they offer room that becomes free. What agents hear
// anyway repeats it, and the first message after the line is empty takes it back.
func (m *Machine) wantRoom(service string, rank int) {
	m.wants[service] = rank
	for _, id := range m.agentIDs() {
		v := m.agents[id]
		if v.attached && v.facts.Service == service && (v.wanted == 0 || m.now-v.wanted >= wantEvery || rank < v.wantedRank) {
			m.order(v, &proto.Orders{})
		}
	}
}

func (m *Machine) order(v *agentView, o *proto.Orders) {
	v.wanted = 0
	if rank, ok := m.wants[v.facts.Service]; ok && m.line.Len() > 0 {
		o.Want, o.Rank = true, rank
		v.wanted, v.wantedRank = m.now, rank
	}
	o.Stamp = m.now
	o.Noted = v.noted
	v.beaten = m.now
	m.act(event.Send{To: v.id, Message: proto.Message{Orders: o}})
}

func (m *Machine) report(from shard.ID, r *proto.Report) {
	v := m.agents[from]
	if v == nil || v.downAt != 0 {
		return
	}
	if err := r.Check(); err != nil {
		m.note(event.Note{Name: "report_malformed", Peer: from, Reason: err.Error()})
		m.act(Drop{Peer: from})
		return
	}
	v.heard = m.now
	grown := r.Taking && (!v.taking || r.Free.CPU > v.free.CPU || r.Free.MemMB > v.free.MemMB || len(r.Ends) > 0)
	v.free, v.taking, v.settled, v.begun = r.Free, r.Taking, r.Settled, r.Begun
	if r.Facts != nil {
		v.facts = *r.Facts
		grown = true
	}
	for len(v.flight) > 0 && v.flight[0].seq <= v.begun {
		v.flight = v.flight[1:]
	}
	for _, e := range r.Ends {
		m.end(v, e)
	}
	if r.Inventory != nil {
		m.reattach(v, r.Inventory)
	}
	if v.settled {
		m.supersede(v)
	}
	m.work = m.work || grown
}

// reattach compares what was lost with a session to what the agent still has.
func (m *Machine) reattach(v *agentView, inv *proto.Inventory) {
	v.attached = true
	there := make(map[proto.RunRef]bool, len(inv.Runs))
	for _, ref := range inv.Runs {
		there[ref] = true
	}
	for _, id := range m.jobIDs() {
		j := m.jobs[id]
		for _, t := range j.tasks {
			if t.agent != v.id || (t.state != lost && t.state != sent) {
				continue
			}
			ref := proto.RunRef{Task: t.name, Run: t.run}
			if there[ref] {
				t.state = sent
				delete(there, ref)
			} else {
				m.wait(j, t)
			}
		}
		m.settle(j)
	}
	m.haltUnknown(v, inv, there)
}

// haltUnknown stops the runs at an agent that belong to no job any more.
func (m *Machine) haltUnknown(v *agentView, inv *proto.Inventory, there map[proto.RunRef]bool) {
	var halts []proto.RunRef
	for _, ref := range inv.Runs {
		if there[ref] {
			halts = append(halts, ref)
		}
	}
	if len(halts) > 0 {
		m.order(v, &proto.Orders{Halts: halts})
	}
}

// supersede settles what was lost with an earlier life of an agent: the new one has stopped all that ran.
func (m *Machine) supersede(v *agentView) {
	for _, id := range m.agentIDs() {
		old := m.agents[id]
		if old == v || old.name != v.name || old.downAt == 0 {
			continue
		}
		m.clear(id)
		m.forgetAgent(id)
	}
}

func (m *Machine) clear(id shard.ID) {
	for _, jid := range m.jobIDs() {
		j := m.jobs[jid]
		for _, t := range j.tasks {
			if t.state == lost && t.agent == id {
				t.ran = true
				m.wait(j, t)
			}
		}
		m.settle(j)
	}
}

// estimate returns the room that an agent has as far as this dispatcher knows.
func (v *agentView) estimate() room.Room {
	free := v.free
	for _, f := range v.flight {
		free = free.Minus(f.need)
	}
	return free
}

// usable reports whether tasks of a service may be sent to the agent.
func (m *Machine) usable(v *agentView, service string) bool {
	return v.attached && !v.unchosen && v.taking && v.facts.Service == service && m.now >= v.shunned
}
