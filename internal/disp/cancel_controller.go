package disp

import (
	"slices"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/shard"
)

const (
	// searchTimeout is how long after its arrival a cancel is answered if it isn't known to be in force, in milliseconds: the wait for
	// the next message to the agents, and several times what the four messages of an answer take.
	searchTimeout = 600 * clock.Millis(1)
	// searchInterval is the least time between two messages with cancels to the same agent, in milliseconds.
	searchInterval = 100 * clock.Millis(1)
	// maxSearches bounds the searches under way, and so the load on agents and other dispatchers and the memory of the cancelled
	// jobs there.
	maxSearches = 64
)

// search is a cancel that is not known to be in force, and the search for the job if this dispatcher doesn't have it. Dispatchers have no
// sessions with each other, so the agents relay it.
type search struct {
	id string
	// result is the answer once the cancel is in force, unless another dispatcher had the job.
	result  Result
	tickets []uint64
	arrived clock.Millis
	// asked is the number of agents that were sent the cancel; 0 before that. unconfirmed are those that have not said that it is in force.
	asked       int
	unconfirmed map[shard.ID]bool
}

// knownCancel is a cancelled job, with a number that increases.
type knownCancel struct {
	id     string
	number uint64
	at     clock.Millis
}

func (m *Machine) cancel(ev Cancel) {
	m.spread(ev.ID, m.now)
	if j := m.jobs[ev.ID]; j != nil {
		m.finish(j, Cancelled, "cancelled")
	}
	old, result := m.recent[ev.ID], NotFound
	if old.result == Cancelled {
		result = Cancelled
	}
	if old.inForce && old.result != NotFound {
		m.emit(Reply{Ticket: ev.Ticket, Result: result})
		return
	}
	m.search(ev, result)
}

// search has the agents put a cancel in force, and looks for the job at the other dispatchers. The answer is Unknown if that can't be
// done.
func (m *Machine) search(ev Cancel, r Result) {
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
	m.searches = append(m.searches, &search{id: ev.ID, result: r, tickets: []uint64{ev.Ticket}, arrived: m.now, unconfirmed: map[shard.ID]bool{}})
}

// spread has the agents told of a cancel with the next messages to them, since the job's request may arrive at any dispatcher.
func (m *Machine) spread(id string, at clock.Millis) {
	if slices.ContainsFunc(m.known, func(c knownCancel) bool { return c.id == id }) {
		return
	}
	m.lastKnown++
	m.known = append(m.known, knownCancel{id: id, number: m.lastKnown, at: at})
	if excess := len(m.known) - proto.MaxCancels; excess > 0 {
		m.note(event.Note{Name: "cancels_dropped", Count: excess})
		m.known = m.known[excess:]
	}
}

// unspread returns the cancels that an agent has not been sent in its session.
func (m *Machine) unspread(v *agentView) (list []proto.KnownCancel) {
	for _, c := range m.known {
		if c.number > v.spreadTo {
			list = append(list, proto.KnownCancel{Job: c.id, AgeMS: max(m.now-c.at, 0)})
		}
	}
	return list
}

func (m *Machine) expireKnown() {
	m.known = slices.DeleteFunc(m.known, func(c knownCancel) bool { return m.now-c.at > proto.CancelRetention })
}

// checkInformed gives up the jobs of a dispatcher that agents can't have told of a cancel for as long as runs last without it: agents
// count a cancel as in force then. Before the first session nothing of a job has begun, and the first report has the cancels.
func (m *Machine) checkInformed() {
	limit, since := m.cfg.ContactLimit, m.informedAt
	if since == 0 {
		limit, since = proto.CancelRetention, m.startedAt
	}
	if len(m.jobs) == 0 || m.now-since <= limit {
		return
	}
	for _, id := range m.jobIDs() {
		m.giveUp(m.jobs[id], "cut_off")
	}
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
			s.unconfirmed[v.id] = true
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
			m.note(event.Note{Name: "cancel_refused", Job: s.id, Reason: "unconfirmed", Count: len(s.unconfirmed), Took: m.now - s.arrived})
			m.endSearch(s, Unknown)
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
		m.spread(c.Job, m.now-min(c.AgeMS, proto.CancelRetention))
		if j := m.jobs[c.Job]; j != nil {
			m.finish(j, Cancelled, "cancelled_elsewhere")
		}
		if m.recent[c.Job].result == Cancelled {
			had = append(had, c)
			continue
		}
		m.rememberCancel(c.Job)
	}
	v.seenCancel = max(v.seenCancel, r.LastCancel)
	if len(r.Cancels) > 0 {
		m.sendOrders(v, &proto.Orders{Cancelled: had})
	}
	for _, id := range r.Cancelled {
		m.cancelledElsewhere(v, id)
	}
	for _, id := range r.InForce {
		m.cancelInForce(v, id)
	}
}

// cancelInForce ends a search once all agents that were asked have said that nothing of the job can start.
func (m *Machine) cancelInForce(v *agentView, id string) {
	s := m.searchFor(id)
	if s == nil || s.asked == 0 {
		return
	}
	delete(s.unconfirmed, v.id)
	if len(s.unconfirmed) > 0 {
		return
	}
	name := "cancel_not_found"
	if s.result == Cancelled {
		name = "cancel_in_force"
	}
	m.note(event.Note{Name: name, Job: s.id, Count: s.asked, Took: m.now - s.arrived})
	if o, ok := m.recent[id]; ok {
		o.inForce = true
		m.recent[id] = o
	}
	m.endSearch(s, s.result)
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
