package disp

import (
	"slices"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/shard"
)

// Handle processes an event and returns the resulting actions.
func (m *Machine) Handle(now clock.Millis, ev event.Event) []event.Action {
	m.now = now
	m.out = nil
	if m.startedAt == 0 {
		m.startedAt = now
	}
	m.checkInformed()
	switch ev := ev.(type) {
	case event.SessionUp:
		if ev.Role == proto.RoleAgent {
			m.sessionUp(ev.Peer)
		}
	case event.SessionDown:
		m.sessionDown(ev.Peer)
	case event.Received:
		if ev.Message.Report != nil {
			m.handleReport(ev.From, ev.Message.Report)
		}
	case Members:
		m.setMembers(ev.Agents)
	case Evacuated:
		m.learnEvacuated(ev.State, "")
	case Submit:
		m.submit(ev)
	case CallerLeft:
		m.callerLeft(ev.Ticket)
	case Cancel:
		m.cancel(ev)
	case Closing:
		m.close(ev)
	case event.Stop:
		m.stop()
	case event.Tick:
		m.tick()
	}
	if m.placementDue {
		m.placementDue = false
		m.placeAll()
	}
	m.askAgents()
	return m.out
}

func (m *Machine) tick() {
	m.updateBusy()
	for _, id := range m.agentIDs() {
		m.checkAgent(m.agents[id])
	}
	m.checkChosen()
	m.checkJobs()
	m.checkSearches()
	m.expireResults()
	m.expireKnown()
	if m.stopping && !m.exited && (len(m.jobs)+len(m.searches) == 0 || m.now >= m.drainDeadline) {
		m.exited = true
		m.emit(event.Exit{})
	}
}

// close makes all jobs end before the connections of their callers do; a job that can't is refused when it comes.
func (m *Machine) close(ev Closing) {
	m.closesAt = m.now + ev.Within
	for _, id := range m.jobIDs() {
		j := m.jobs[id]
		j.deadline = m.answerBy(j.deadline)
	}
}

// answerBy returns when a job has to be answered at the latest.
func (m *Machine) answerBy(deadline clock.Millis) clock.Millis {
	if m.closesAt == 0 {
		return deadline
	}
	return min(deadline, m.closesAt-m.cfg.AnswerMargin)
}

func (m *Machine) stop() {
	if m.stopping {
		return
	}
	m.stopping = true
	m.drainDeadline = m.now + m.cfg.DrainLimit
	m.note(event.Note{Name: "stopping", Count: len(m.jobs)})
}

// Ready reports whether a session with an agent is up and its service is known.
func (m *Machine) Ready() bool {
	for _, v := range m.agents {
		if v.attached && v.facts.Service != "" {
			return true
		}
	}
	return false
}

// Resume answers every job after the process was paused for longer than agents keep the runs of a silent dispatcher.
func (m *Machine) Resume(now clock.Millis) []event.Action {
	m.now = now
	m.out = nil
	for _, id := range m.jobIDs() {
		m.giveUp(m.jobs[id], "thawed")
	}
	for len(m.searches) > 0 {
		m.endSearch(m.searches[0], Unknown)
	}
	return m.out
}

func (m *Machine) agentIDs() []shard.ID {
	if len(m.sortedIDs) == len(m.agents) {
		return m.sortedIDs
	}
	m.sortedIDs = make([]shard.ID, 0, len(m.agents))
	for id := range m.agents {
		m.sortedIDs = append(m.sortedIDs, id)
	}
	slices.Sort(m.sortedIDs)
	return m.sortedIDs
}

// forgetAgent removes an agent.
func (m *Machine) forgetAgent(id shard.ID) {
	delete(m.agents, id)
	m.sortedIDs = nil
}

func (m *Machine) jobIDs() []string {
	ids := make([]string, 0, len(m.jobs))
	for id := range m.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// State returns the state of a job, and whether the job is known.
func (m *Machine) State(id string) (state string, known bool) {
	if r, ok := m.recent[id]; ok && r.result != NotFound {
		return string(r.result), true
	}
	j := m.jobs[id]
	if j == nil {
		return "", false
	}
	if j.queued.Started {
		return "running", true
	}
	return "queued", true
}

// Pending returns the number of a queue's jobs of which nothing has begun.
func (m *Machine) Pending(queue string) (n int) {
	for _, j := range m.jobs {
		if j.Queue == queue && !j.queued.Started {
			n++
		}
	}
	return n
}
