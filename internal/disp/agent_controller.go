package disp

import (
	"strings"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/evac"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/room"
	"corianderspur.example/corianderspur/internal/shard"
)

// agentRetention is how long an agent without a session is remembered, in milliseconds.
const agentRetention = 5 * clock.Second

func (m *Machine) sessionUp(id shard.ID) {
	v := m.agents[id]
	if v == nil {
		name, _, _ := strings.Cut(string(id), "/")
		v = &agentView{id: id, name: name}
		m.agents[id] = v
		m.sortedIDs = nil
	}
	v.downAt = 0
	v.lastReport = m.now
	v.wantSentAt = 0
	v.attached = false
	v.inFlight = nil
	v.beginSeq = 0
	v.ackedSeq = 0
	v.evacuated = evac.Session{}
	v.spreadTo = 0
	m.note(event.Note{Name: "session_up", Peer: id})
	m.heartbeat(v)
}

func (m *Machine) sessionDown(id shard.ID) {
	v := m.agents[id]
	if v == nil || v.downAt != 0 {
		return
	}
	v.downAt = m.now
	v.attached = false
	m.note(event.Note{Name: "session_down", Peer: id, Count: m.countSent(id)})
	m.markLost(v)
}

func (m *Machine) countSent(id shard.ID) (n int) {
	for _, j := range m.jobs {
		for _, t := range j.tasks {
			if t.state == sent && t.agent == id {
				n++
			}
		}
	}
	return n
}

// markLost marks the tasks sent to an agent as lost until the agent reconnects or all of its leases have lapsed.
func (m *Machine) markLost(v *agentView) {
	// The agent stops the runs after Silence; if the agent dies meanwhile, the backend server stops them after the lease.
	lapseAt := m.now + v.echo.bound(m.now) + m.cfg.Silence + m.cfg.Lease + m.cfg.Lease/clockSlackDivisor
	for _, id := range m.jobIDs() {
		j := m.jobs[id]
		for _, t := range j.tasks {
			if t.state == lost && t.agent == v.id {
				t.lapseAt = lapseAt
			}
			if t.state == sent && t.agent == v.id {
				t.state = lost
				t.lapseAt = lapseAt
				j.hasLost = true
				m.note(event.Note{Name: "task_lost", Job: t.name, Class: j.Queue, Peer: v.id, Took: m.now - j.received})
			}
		}
	}
}

// clockSlackDivisor extends the lease by 1/40, as the backend server's clock may run slower.
const clockSlackDivisor = 40

// checkAgent sends a heartbeat when one is due and drops the session of an agent that has been silent for too long.
func (m *Machine) checkAgent(v *agentView) {
	if v.downAt != 0 {
		if m.now-v.downAt > agentRetention {
			m.forgetAgent(v.id)
		}
		return
	}
	if m.now-max(v.lastReport, v.busySince) > m.silenceTimeout(v) {
		m.note(event.Note{Name: "agent_silent", Peer: v.id, Took: m.now - v.lastReport, Count: m.countSent(v.id)})
		m.emit(CloseSession{Peer: v.id})
		m.sessionDown(v.id)
		return
	}
	if m.now-v.lastOrders >= m.heartbeatInterval(v) {
		m.heartbeat(v)
	}
}

// silenceTimeout returns how long an agent may be silent, in milliseconds: heartbeats and reports are rarer while an agent has no
// tasks of this dispatcher.
func (m *Machine) silenceTimeout(v *agentView) clock.Millis {
	if v.busy {
		return m.cfg.Silence
	}
	return m.cfg.IdleSilence
}

func (m *Machine) heartbeatInterval(v *agentView) clock.Millis {
	if v.busy {
		return m.cfg.Beat
	}
	return m.cfg.IdleBeat
}

// heartbeatGrace is how much later than usual an agent may report before it gets no more tasks, in milliseconds: longer than a
// busy process is delayed, and short enough that few tasks are lost with a machine that fails.
const heartbeatGrace = 150 * clock.Millis(1)

// isOverdue reports whether the agent's report is late by more than heartbeatGrace.
func (m *Machine) isOverdue(v *agentView) bool {
	return m.now-max(v.lastReport, v.busySince) > m.heartbeatInterval(v)+heartbeatGrace
}

// updateBusy marks the agents that have tasks of this dispatcher.
func (m *Machine) updateBusy() {
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

func (m *Machine) heartbeat(v *agentView) {
	m.sendOrders(v, &proto.Orders{})
}

// wantInterval is the time after which an agent is told again that tasks are waiting, in milliseconds, unless another message
// has told it since.
const wantInterval = 500 * clock.Millis(1)

// requestRoom tells the agents of a service that tasks are waiting, so that they report free room at once. Later messages
// repeat the request, and the first message after the wait queue is empty withdraws it.
func (m *Machine) requestRoom(service string, rank int) {
	m.wantRanks[service] = rank
	for _, id := range m.agentIDs() {
		v := m.agents[id]
		if v.attached && v.facts.Service == service && (v.wantSentAt == 0 || m.now-v.wantSentAt >= wantInterval || rank < v.wantRank) {
			m.sendOrders(v, &proto.Orders{})
		}
	}
}

func (m *Machine) sendOrders(v *agentView, o *proto.Orders) {
	v.wantSentAt = 0
	if rank, ok := m.wantRanks[v.facts.Service]; ok && m.waitQueue.Len() > 0 {
		o.Want, o.Rank = true, rank
		v.wantSentAt, v.wantRank = m.now, rank
	}
	o.Stamp = m.now
	o.AckedEnd = v.lastEnd
	o.Evacuated = v.evacuated.Due(&m.evacuated)
	o.SeenCancel = v.seenCancel
	o.Spread, v.spreadTo = m.unspread(v), m.lastKnown
	v.lastOrders = m.now
	m.emit(event.Send{To: v.id, Message: proto.Message{Orders: o}})
}

func (m *Machine) handleReport(from shard.ID, r *proto.Report) {
	v := m.agents[from]
	if v == nil || v.downAt != 0 {
		return
	}
	if err := r.Check(); err != nil {
		m.note(event.Note{Name: "report_malformed", Peer: from, Reason: err.Error()})
		m.emit(CloseSession{Peer: from})
		return
	}
	v.lastReport = m.now
	wasPrompt := v.echo.isPrompt(m.now)
	v.echo.observe(m.now, r.Echo)
	m.informedAt = max(m.informedAt, min(r.Echo, m.now))
	mayFit := r.Accepting && (!wasPrompt || !v.accepting || r.Free.CPU > v.free.CPU || r.Free.MemMB > v.free.MemMB || len(r.Ends) > 0)
	v.free, v.accepting, v.settled, v.ackedSeq = r.Free, r.Accepting, r.Settled, r.LastBegin
	v.pace, v.normalPace = r.Pace, r.NormalPace
	v.warmUntil = m.now + r.WarmUpMS
	if r.Evacuated != nil {
		v.evacuated.Heard(r.Evacuated.Version)
		m.learnEvacuated(*r.Evacuated, v.id)
	}
	v.kinds = loads(r.Kinds)
	if r.Facts != nil {
		v.facts = *r.Facts
		mayFit = true
	}
	for len(v.inFlight) > 0 && v.inFlight[0].seq <= v.ackedSeq {
		v.inFlight = v.inFlight[1:]
	}
	for _, e := range r.Ends {
		m.runEnded(v, e)
	}
	if r.Inventory != nil {
		m.reattach(v, r.Inventory)
	}
	if v.settled {
		m.retireOldIncarnations(v)
	}
	m.handleCancels(v, r)
	m.placementDue = m.placementDue || mayFit
}

// reattach compares the tasks sent to an agent to its inventory: runs that the agent has go on, and the others are queued again unless
// their order may still arrive.
func (m *Machine) reattach(v *agentView, inv *proto.Inventory) {
	v.attached = true
	m.note(event.Note{Name: "inventory", Peer: v.id, Count: len(inv.Runs), Seq: v.ackedSeq})
	unmatched := make(map[proto.RunRef]bool, len(inv.Runs))
	for _, ref := range inv.Runs {
		unmatched[ref] = true
	}
	for _, id := range m.jobIDs() {
		j := m.jobs[id]
		for _, t := range j.tasks {
			if t.agent != v.id || (t.state != lost && t.state != sent) {
				continue
			}
			ref := proto.RunRef{Task: t.name, Run: t.run}
			if unmatched[ref] {
				// The number of an order of an earlier session doesn't count in this one.
				t.state, t.seq, t.ran = sent, 0, true
				delete(unmatched, ref)
			} else if p, ok := v.inventoryProof(t); ok {
				t.ran = t.ran || t.state == sent
				m.requeue(j, t, p)
			}
		}
		m.updateQueued(j)
	}
	m.haltUnmatched(v, inv, unmatched)
}

// haltUnmatched stops the runs at an agent that no longer belong to a job.
func (m *Machine) haltUnmatched(v *agentView, inv *proto.Inventory, unmatched map[proto.RunRef]bool) {
	var halts []proto.RunRef
	for _, ref := range inv.Runs {
		if unmatched[ref] {
			halts = append(halts, ref)
		}
	}
	if len(halts) > 0 {
		m.sendOrders(v, &proto.Orders{Halts: halts})
	}
}

// retireOldIncarnations queues again the tasks lost with earlier incarnations of an agent: the new one has stopped all of their
// runs.
func (m *Machine) retireOldIncarnations(v *agentView) {
	for _, id := range m.agentIDs() {
		old := m.agents[id]
		if old == v || old.name != v.name || old.downAt == 0 {
			continue
		}
		m.requeueLost(id)
		m.forgetAgent(id)
	}
}

func (m *Machine) requeueLost(id shard.ID) {
	for _, jid := range m.jobIDs() {
		j := m.jobs[jid]
		for _, t := range j.tasks {
			if t.state == lost && t.agent == id {
				t.ran = true
				m.requeue(j, t, agentRestarted)
			}
		}
		m.updateQueued(j)
	}
}

// estimatedFree returns the agent's free room by its last report, less the tasks sent since.
func (v *agentView) estimatedFree() room.Resources {
	free := v.free
	for _, f := range v.inFlight {
		free = free.Minus(f.need)
	}
	return free
}

// usable reports whether tasks of a service may be sent to the agent.
func (m *Machine) usable(v *agentView, service string) bool {
	return v.attached && !v.unchosen && !m.evacuated.Has(v.facts.Zone) && v.accepting && v.echo.isPrompt(m.now) && v.facts.Service == service && m.now >= v.backoffUntil
}
