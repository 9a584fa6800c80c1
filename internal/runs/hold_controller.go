package runs

import (
	"slices"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/proto"
)

// queueTimeout is how long a run waits at the agent for capacity before it is rejected, in milliseconds. It takes about as
// long to reject it, to choose another agent and to order it there.
const queueTimeout = 12 * clock.Millis(1)

// canQueue reports whether there is a run that isn't queued and the total capacity is enough for this run; the runs ahead of
// it in the queue are ignored.
func (m *Machine) canQueue(r *run) bool {
	return len(m.runs) > len(m.queue) && m.instance.Total.Fits(r.need)
}

// enqueue queues a run for capacity that soon becomes free: dispatchers learn of each other's starts with a delay and
// send more than fits, and capacity is idle while an order is on its way.
func (m *Machine) enqueue(r *run) {
	r.phase = queued
	r.queueDeadline = m.now + queueTimeout
	m.queuedNeed = m.queuedNeed.Plus(r.need)
	i := slices.IndexFunc(m.queue, func(task string) bool { return m.runs[task].rank > r.rank })
	if i < 0 {
		i = len(m.queue)
	}
	m.queue = slices.Insert(m.queue, i, r.task)
}

// dequeue removes a run from the queue.
func (m *Machine) dequeue(r *run) {
	m.queuedNeed = m.queuedNeed.Minus(r.need)
	m.queue = slices.DeleteFunc(m.queue, func(task string) bool { return task == r.task })
}

// rejectQueued removes a queued run and reports to the dispatcher that it did not begin.
func (m *Machine) rejectQueued(r *run) {
	m.dequeue(r)
	delete(m.runs, r.task)
	m.reportEnd(r.peer, r.task, r.run, proto.EndNoRoom, 0)
}

// startQueued starts the queued runs that fit now, the lowest rank first and among equals in the order of their arrival.
func (m *Machine) startQueued() {
	for _, task := range slices.Clone(m.queue) {
		r := m.runs[task]
		p := m.peers[r.peer]
		if !m.accepting() || !r.target.matches(m.instance) || p == nil || !p.up || m.now-p.lastHeard > m.cfg.Silence {
			m.rejectQueued(r)
			continue
		}
		if !m.mayRenew() || !m.instance.Total.Minus(m.used).Fits(r.need) {
			return
		}
		m.dequeue(r)
		m.startRun(r)
	}
}

// expireQueued rejects the queued runs that have waited for too long.
func (m *Machine) expireQueued() {
	for _, task := range slices.Clone(m.queue) {
		if r := m.runs[task]; m.now >= r.queueDeadline {
			m.rejectQueued(r)
		}
	}
}

// rejectAllQueued rejects every queued run, when the incarnation of the backend server has ended or the lease has lapsed.
func (m *Machine) rejectAllQueued() {
	for _, task := range slices.Clone(m.queue) {
		m.rejectQueued(m.runs[task])
	}
}
