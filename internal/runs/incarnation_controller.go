package runs

import (
	"slices"

	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
)

// handleAnnounced processes a heartbeat of the backend server.
func (m *Machine) handleAnnounced(in Instance) {
	cur := m.instance
	switch {
	case m.departed[in.Incarnation()] || in.Total.CPU <= 0:
		return
	case cur == nil:
		m.adoptInstance(in)
	case in.Born < cur.Born, in.Born > cur.Born && m.isDenied(in):
		m.verifyIncarnation()
	case in.ID != cur.ID:
		m.endAllRuns("backend_server_replaced")
		m.adoptInstance(in)
	case in.Born > cur.Born:
		m.checkIncarnation(in.Born)
		m.updateInstance(in)
	case in.Seq >= cur.Seq || m.unannounced:
		m.updateInstance(in)
	}
}

// Knows reports whether a heartbeat is the newest one of the incarnation in use.
func (m *Machine) Knows(in Instance) bool {
	cur := m.instance
	return cur != nil && cur.ID == in.ID && cur.Born == in.Born && cur.Seq == in.Seq
}

// checkIncarnation processes the incarnation named in an answer or a heartbeat.
func (m *Machine) checkIncarnation(born int64) {
	if m.instance != nil && born > m.instance.Born {
		m.changeIncarnation(born)
	}
}

// changeIncarnation records that another incarnation has taken the place of the known one under the same id.
func (m *Machine) changeIncarnation(born int64) {
	in := m.instance
	m.note(event.Note{Name: "backend_server_reborn", Instance: in.ID, Count: len(m.runs)})
	m.rejectAllQueued()
	fresh := *in
	fresh.Born = born
	fresh.Seq = 0
	m.instance = &fresh
	m.unannounced = true
	m.leaving = false
	m.settled = false
	m.lastEndSeen, m.lastEndAcked, m.listedAt = 0, 0, 0
	// The pending poll may have been answered by the old incarnation.
	m.poll, m.probing.poll = nil, nil
	clear(m.orphans)
	for _, task := range m.sortedTasks() {
		m.enterIncarnation(m.runs[task])
	}
	m.markAllFull()
}

// olderAnswers is the number of answered polls in a row that show that the time of day was set back between two incarnations: each
// poll was sent when the later time of start was known, so that the known incarnation is over.
const olderAnswers = 2

// isOlderConfirmed reports whether an answer that names an earlier time of start than the known one is to be believed. Nothing is
// accepted until a poll has decided.
func (m *Machine) isOlderConfirmed(born int64) bool {
	if born == 0 {
		return false
	}
	if born != m.olderBorn {
		m.olderBorn, m.olderAnswers = born, 0
	}
	m.olderAnswers++
	if m.olderAnswers < olderAnswers {
		m.verifyIncarnation()
		return false
	}
	if in := m.instance.Incarnation(); in.ID != m.denied.ID || in.Born > m.denied.Born {
		m.denied = in
	}
	return true
}

// isDenied reports whether a heartbeat may be a late one of an incarnation that was followed by one with an earlier time of start.
func (m *Machine) isDenied(in Instance) bool {
	return in.ID == m.denied.ID && in.Born <= m.denied.Born
}

// verifyIncarnation makes a new poll decide which incarnation of the backend server is there; nothing is accepted until then.
func (m *Machine) verifyIncarnation() {
	m.poll, m.probing.poll = nil, nil
	m.settled = false
	m.markAllDirty()
}

// enterIncarnation ends a run that is known to belong to an earlier incarnation of the backend server. An answer to a start need
// not name the incarnation, so that any other run may belong to the current one, whose list of runs decides.
func (m *Machine) enterIncarnation(r *run) {
	if r.incarnation != 0 && r.incarnation != m.instance.Born {
		m.note(event.Note{Name: "run_lost", Job: r.task, Reason: "backend_server_reborn", Peer: r.peer})
		m.finishRun(r, proto.EndStopped)
		return
	}
	if !r.confirmed {
		r.firstPoll = 0
	}
	if r.phase == stopping {
		// The stop may have been answered by the old incarnation.
		r.halted = false
		m.sendHalt(r)
	}
}

func (m *Machine) adoptInstance(in Instance) {
	m.instance = &in
	m.awaited = nil
	m.unannounced = false
	m.leaving = false
	m.lastEndSeen = 0
	m.lastEndAcked = 0
	m.listedAt = 0
	m.settled = false
	m.poll, m.probing.poll = nil, nil
	m.backoffUntil = 0
	m.health = health{}
	m.answers = answerTimes{}
	m.pace = pace{}
	clear(m.orphans)
	m.note(event.Note{Name: "backend_server", Instance: in.ID, Count: int(in.Total.CPU)})
	m.markAllFull()
}

func (m *Machine) updateInstance(in Instance) {
	changed := in.Draining != m.instance.Draining || in.Total != m.instance.Total || in.Service != m.instance.Service ||
		!slices.Equal(in.Labels, m.instance.Labels)
	if in.Draining && !m.instance.Draining {
		m.note(event.Note{Name: "backend_server_drains", Instance: in.ID, Count: len(m.runs)})
	}
	m.instance = &in
	changed = changed || m.unannounced
	m.unannounced = false
	if changed {
		m.markAllFull()
	}
}

// handleGone processes the planned end of the backend server. Its process may go on for a moment after it has announced its end:
// nothing more starts there and its lease is not renewed, and its runs go on until their end or that of the process is known.
func (m *Machine) handleGone(id string) {
	if m.instance == nil || m.instance.ID != id {
		return
	}
	m.departed[m.instance.Incarnation()] = true
	m.note(event.Note{Name: "backend_server_left", Instance: id, Count: len(m.runs)})
	m.leaving = true
	m.rejectAllQueued()
	m.markAllDirty()
}

// forgetInstance leaves the agent without a backend server until the next one announces itself.
func (m *Machine) forgetInstance() {
	if m.instance == nil {
		return
	}
	m.instance = nil
	m.leaving = false
	m.settled = false
	m.poll, m.probing.poll = nil, nil
	m.markAllFull()
}
