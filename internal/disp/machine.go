package disp

import (
	"slices"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/shard"
)

// Handle takes an event and returns what is to be done.
func (m *Machine) Handle(now clock.Millis, ev event.Event) []event.Action {
	m.now = now
	m.out = nil
	if m.born == 0 {
		m.born = now
	}
	switch ev := ev.(type) {
	case event.SessionUp:
		if ev.Role == proto.RoleAgent {
			m.sessionUp(ev.Peer)
		}
	case event.SessionDown:
		m.sessionDown(ev.Peer)
	case event.Received:
		if ev.Message.Report != nil {
			m.report(ev.From, ev.Message.Report)
		}
	case Members:
		m.members(ev.Agents)
	case Submit:
		m.submit(ev)
	case Leave:
		m.leave(ev.Ticket)
	case Cancel:
		m.cancel(ev)
	case event.Stop:
		m.stop()
	case event.Tick:
		m.tick()
	}
	if m.work {
		m.work = false
		m.placeAll()
	}
	return m.out
}

func (m *Machine) tick() {
	m.checkBusy()
	for _, id := range m.agentIDs() {
		m.checkAgent(m.agents[id])
	}
	m.checkChoice()
	m.checkJobs()
	m.forget()
	if m.stopping && !m.exited && (len(m.jobs) == 0 || m.now >= m.stopAt) {
		m.exited = true
		m.act(event.Exit{})
	}
}

func (m *Machine) stop() {
	if m.stopping {
		return
	}
	m.stopping = true
	m.stopAt = m.now + m.cfg.DrainLimit
	m.note(event.Note{Name: "stopping", Count: len(m.jobs)})
}

// Ready reports whether an agent can be reached.
func (m *Machine) Ready() bool {
	for _, v := range m.agents {
		if v.attached && v.facts.Service != "" {
			return true
		}
	}
	return false
}

// Thaw answers every job after the process stood still for longer than its agents bear.
func (m *Machine) Thaw(now clock.Millis) []event.Action {
	m.now = now
	m.out = nil
	for _, id := range m.jobIDs() {
		m.giveUp(m.jobs[id], "thawed")
	}
	return m.out
}

func (m *Machine) agentIDs() []shard.ID {
	if len(m.sorted) == len(m.agents) {
		return m.sorted
	}
	m.sorted = make([]shard.ID, 0, len(m.agents))
	for id := range m.agents {
		m.sorted = append(m.sorted, id)
	}
	slices.Sort(m.sorted)
	return m.sorted
}

// forgetAgent forgets an agent.
func (m *Machine) forgetAgent(id shard.ID) {
	delete(m.agents, id)
	m.sorted = nil
}

func (m *Machine) jobIDs() []string {
	ids := make([]string, 0, len(m.jobs))
	for id := range m.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// State returns what is known of a job.
func (m *Machine) State(id string) (state string, known bool) {
	if r, ok := m.recent[id]; ok {
		return string(r.result), true
	}
	j := m.jobs[id]
	if j == nil {
		return "", false
	}
	if j.line.Begun {
		return "running", true
	}
	return "queued", true
}

// Pending returns the number of jobs of a queue of which nothing has begun.
func (m *Machine) Pending(queue string) (n int) {
	for _, j := range m.jobs {
		if j.Queue == queue && !j.line.Begun {
			n++
		}
	}
	return n
}
