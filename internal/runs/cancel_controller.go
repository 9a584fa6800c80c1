package runs

import (
	"slices"
	"strings"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
)

// maxCancelled bounds the cancelled jobs that an agent remembers; those beyond it are not in force.
const maxCancelled = 16 * proto.MaxCancels

// cancel is a cancel that dispatchers other than its asker are sent.
type cancel struct {
	proto.RelayedCancel
	// number increases with each cancel.
	number uint64
	at     clock.Millis
	// awaited says that the asker is to be told when the cancel is in force.
	awaited bool
}

// handleCancels takes in the cancels of a dispatcher and passes its answers on to the askers.
func (m *Machine) handleCancels(p *peer, o *proto.Orders) {
	p.seenCancel = max(p.seenCancel, o.SeenCancel)
	for _, id := range o.Cancels {
		if m.rememberCancel(id, m.now) {
			m.relay(p, id, m.now, true)
		}
	}
	for _, c := range o.Spread {
		at := m.now - c.AgeMS
		if !m.isCancelled(c.Job) && c.AgeMS < proto.CancelRetention && m.rememberCancel(c.Job, at) {
			m.relay(p, c.Job, at, false)
		}
	}
	if excess := len(m.cancels) - proto.MaxCancels; excess > 0 {
		m.cancels = m.cancels[excess:]
		m.note(event.Note{Name: "cancels_dropped", Peer: p.id, Count: excess})
	}
	for _, c := range o.Cancelled {
		if asker := m.peers[c.Asker]; asker != nil && asker.up {
			asker.cancelled = append(asker.cancelled, c.Job)
			asker.dirty = true
		}
	}
	m.confirmCancels()
}

// rememberCancel ends the runs of a cancelled job, whichever dispatcher started them, and lets no more start. It reports whether there
// is room to remember the job.
func (m *Machine) rememberCancel(id string, at clock.Millis) bool {
	if old, ok := m.cancelledAt[id]; !ok && len(m.cancelledAt) >= maxCancelled {
		m.note(event.Note{Name: "cancel_refused", Job: id, Reason: "too_many"})
		return false
	} else if ok {
		at = max(at, old)
	}
	m.cancelledAt[id] = at
	for _, task := range m.sortedTasks() {
		r := m.runs[task]
		if job, _, _ := strings.Cut(task, "."); r == nil || job != id {
			continue
		}
		m.revoke(r)
		if r.phase != stopping {
			m.note(event.Note{Name: "run_stopped", Job: task, Reason: "cancelled", Peer: r.peer})
			m.haltRun(r)
		}
	}
	return true
}

func (m *Machine) relay(p *peer, id string, at clock.Millis, awaited bool) {
	m.lastCancel++
	relayed := proto.RelayedCancel{Job: id, Asker: p.id}
	m.cancels = append(m.cancels, cancel{RelayedCancel: relayed, number: m.lastCancel, at: at, awaited: awaited})
	m.note(event.Note{Name: "cancel_relayed", Job: id, Peer: p.id, Quiet: true})
}

// isCancelled reports whether nothing of a job may start.
func (m *Machine) isCancelled(id string) bool {
	_, ok := m.cancelledAt[id]
	return ok
}

// confirmCancels tells the askers which of their cancels hold.
func (m *Machine) confirmCancels() {
	for i := range m.cancels {
		c := &m.cancels[i]
		if !c.awaited || !m.isInForce(c) {
			continue
		}
		c.awaited = false
		if asker := m.peers[c.Asker]; asker != nil && asker.up {
			asker.inForce = append(asker.inForce, c.Job)
			asker.dirty = true
		}
	}
}

// isInForce reports whether every other dispatcher has handled the cancel or has no jobs of before it.
func (m *Machine) isInForce(c *cancel) bool {
	for _, p := range m.peers {
		if p.id != c.Asker && p.seenCancel < c.number && !m.hasNoJobs(p) {
			return false
		}
	}
	return true
}

// hasNoJobs reports whether a dispatcher is known to have no jobs: it gives up its jobs when it has heard of no agent for
// as long as its runs may last without it, and none outlives its process.
func (m *Machine) hasNoJobs(p *peer) bool {
	if p.up {
		return false
	}
	if m.now-max(p.lastHeard, p.upAt) > m.cfg.Silence+m.cfg.Lease+m.cfg.Lease/ClockSlack {
		return true
	}
	name, _, named := strings.Cut(string(p.id), "/")
	for _, other := range m.peers {
		otherName, _, _ := strings.Cut(string(other.id), "/")
		if named && other != p && otherName == name && other.up && other.upAt >= p.downAt {
			return true
		}
	}
	return false
}

// cancelsDue reports whether the dispatcher gets a report for the sake of its cancels.
func (m *Machine) cancelsDue(p *peer) bool {
	return p.lastCancel < m.lastCancel && m.now-p.reportedAt >= echoInterval && len(m.unsentCancels(p)) > 0
}

// unsentCancels returns the cancels of others that the dispatcher has not been sent.
func (m *Machine) unsentCancels(p *peer) (list []proto.RelayedCancel) {
	for _, c := range m.cancels {
		if c.number > p.lastCancel && c.Asker != p.id {
			c.AgeMS = max(m.now-c.at, 0)
			list = append(list, c.RelayedCancel)
		}
	}
	return list
}

func (m *Machine) expireCancels() {
	m.cancels = slices.DeleteFunc(m.cancels, func(c cancel) bool { return m.now-c.at > proto.CancelRetention })
	for id, at := range m.cancelledAt {
		if m.now-at > proto.CancelRetention {
			delete(m.cancelledAt, id)
		}
	}
	m.confirmCancels()
}
