package disp

import (
	"slices"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
)

const (
	// searchTimeout is how long after its arrival a cancel is answered if no other dispatcher has said that it has the job, in
	// milliseconds: the wait for the next message to the agents, and several times what the four messages of an answer take.
	searchTimeout = 600 * clock.Millis(1)
	// searchInterval is the least time between two messages with cancels to the same agent, in milliseconds.
	searchInterval = 100 * clock.Millis(1)
	// maxSearches bounds the searches under way, and so the load on agents and other dispatchers and the memory of the cancelled
	// jobs there.
	maxSearches = 64
)

// search is the cancel of a job that this dispatcher doesn't have. Dispatchers have no sessions with each other, so the agents
// relay it.
type search struct {
	id      string
	tickets []uint64
	arrived clock.Millis
	// asked is the number of agents that were sent the cancel; 0 before that.
	asked int
}

func (m *Machine) cancel(ev Cancel) {
	if j := m.jobs[ev.ID]; j != nil {
		m.emit(Reply{Ticket: ev.Ticket, Result: Cancelled})
		m.finish(j, Cancelled, "cancelled")
		return
	}
	switch m.recent[ev.ID].result {
	case Cancelled:
		m.emit(Reply{Ticket: ev.Ticket, Result: Cancelled})
	case Completed, Failed:
		m.emit(Reply{Ticket: ev.Ticket, Result: NotFound})
	default:
		m.search(ev)
	}
}

// search starts to look for a job at the other dispatchers. A job that can't be looked for is not known not to exist, so the
// answer is Unknown then.
func (m *Machine) search(ev Cancel) {
	if s := m.searchFor(ev.ID); s != nil {
		s.tickets = append(s.tickets, ev.Ticket)
		return
	}
	reason := ""
	switch {
	case !m.anyAttached():
		reason = "no_agent"
	case len(m.searches) >= maxSearches:
		reason = "too_many"
	}
	if reason != "" {
		m.note(event.Note{Name: "cancel_refused", Job: ev.ID, Reason: reason})
		m.emit(Reply{Ticket: ev.Ticket, Result: Unknown})
		return
	}
	m.rememberCancel(ev.ID)
	m.searches = append(m.searches, &search{id: ev.ID, tickets: []uint64{ev.Ticket}, arrived: m.now})
}

func (m *Machine) anyAttached() bool {
	for _, v := range m.agents {
		if v.attached {
			return true
		}
	}
	return false
}

func (m *Machine) searchFor(id string) *search {
	for _, s := range m.searches {
		if s.id == id {
			return s
		}
	}
	return nil
}

// rememberCancel remembers the cancel of a job that is not known here: its request may still be under way.
func (m *Machine) rememberCancel(id string) {
	if _, ok := m.recent[id]; !ok {
		m.rememberResult(id, NotFound)
	}
}

// askAgents sends the cancels that were not sent yet to every agent with a session: each dispatcher may be connected to only a
// few of them.
func (m *Machine) askAgents() {
	if len(m.searches) == 0 || m.now < m.nextAskAt {
		return
	}
	var unsent []*search
	var ids []string
	for _, s := range m.searches {
		if s.asked == 0 {
			unsent = append(unsent, s)
			ids = append(ids, s.id)
		}
	}
	if len(ids) == 0 {
		return
	}
	m.nextAskAt = m.now + searchInterval
	for _, id := range m.agentIDs() {
		v := m.agents[id]
		if !v.attached {
			continue
		}
		m.sendOrders(v, &proto.Orders{Cancels: ids})
		for _, s := range unsent {
			s.asked++
		}
	}
}

// checkSearches ends the searches that have lasted for searchTimeout.
func (m *Machine) checkSearches() {
	for _, s := range slices.Clone(m.searches) {
		switch {
		case m.now-s.arrived < searchTimeout:
			return
		case s.asked == 0:
			m.note(event.Note{Name: "cancel_refused", Job: s.id, Reason: "no_agent"})
			m.endSearch(s, Unknown)
		default:
			m.note(event.Note{Name: "cancel_not_found", Job: s.id, Count: s.asked, Took: m.now - s.arrived})
			m.endSearch(s, NotFound)
		}
	}
}

func (m *Machine) endSearch(s *search, r Result) {
	m.searches = slices.DeleteFunc(m.searches, func(other *search) bool { return other == s })
	for _, t := range s.tickets {
		m.emit(Reply{Ticket: t, Result: r})
	}
}

// handleCancels ends the jobs that were cancelled at other dispatchers, and the searches for jobs that another dispatcher had.
// Several agents relay the same cancel, and each gets the answer.
func (m *Machine) handleCancels(v *agentView, r *proto.Report) {
	var had []proto.RelayedCancel
	for _, c := range r.Cancels {
		if j := m.jobs[c.Job]; j != nil {
			m.finish(j, Cancelled, "cancelled_elsewhere")
		}
		if m.recent[c.Job].result == Cancelled {
			had = append(had, c)
			continue
		}
		m.rememberCancel(c.Job)
	}
	if len(had) > 0 {
		m.sendOrders(v, &proto.Orders{Cancelled: had})
	}
	for _, id := range r.Cancelled {
		m.cancelledElsewhere(v, id)
	}
}

func (m *Machine) cancelledElsewhere(v *agentView, id string) {
	if o, ok := m.recent[id]; ok && o.result == NotFound {
		o.result = Cancelled
		m.recent[id] = o
	}
	if s := m.searchFor(id); s != nil {
		m.note(event.Note{Name: "cancel_found", Job: id, Peer: v.id, Count: s.asked, Took: m.now - s.arrived})
		m.endSearch(s, Cancelled)
	}
}
