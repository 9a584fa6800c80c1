package runs

import (
	"slices"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/proto"
)

// holdFor is how long a run waits at the agent for room before it is given back, in milliseconds. It takes about as long to
// give it back, to choose another agent and to order it there.
const holdFor = 12 * clock.Millis(1)

// mayHold reports whether the run fits once others have ended.
func (m *Machine) mayHold(r *run) bool {
	return len(m.runs) > len(m.line) && m.instance.Total.Fits(r.need)
}

// hold lets a run wait for room that becomes free in a moment: dispatchers learn of each other's starts a little later and
// send more than fits, and room that waits for an order from afar serves nobody.
func (m *Machine) hold(r *run) {
	r.phase = held
	r.until = m.now + holdFor
	m.owed = m.owed.Plus(r.need)
	i := slices.IndexFunc(m.line, func(task string) bool { return m.runs[task].rank > r.rank })
	if i < 0 {
		i = len(m.line)
	}
	m.line = slices.Insert(m.line, i, r.task)
}

// release takes a held run out of the line.
func (m *Machine) release(r *run) {
	m.owed = m.owed.Minus(r.need)
	m.line = slices.DeleteFunc(m.line, func(task string) bool { return task == r.task })
}

// giveBack tells the dispatcher that a held run has not begun.
func (m *Machine) giveBack(r *run) {
	m.release(r)
	delete(m.runs, r.task)
	m.end(r.peer, r.task, r.run, proto.HowNoRoom, 0)
}

// startHeld starts the held runs that have room now, the most pressing first and among equals in the order of their arrival.
func (m *Machine) startHeld() {
	for _, task := range slices.Clone(m.line) {
		r := m.runs[task]
		p := m.peers[r.peer]
		if !m.taking() || p == nil || !p.up || m.now-p.heard > m.cfg.Silence {
			m.giveBack(r)
			continue
		}
		if !m.instance.Total.Minus(m.used).Fits(r.need) {
			return
		}
		m.release(r)
		m.start(r)
	}
}

// checkHeld gives the runs back that have waited for too long.
func (m *Machine) checkHeld() {
	for _, task := range slices.Clone(m.line) {
		if r := m.runs[task]; m.now >= r.until {
			m.giveBack(r)
		}
	}
}

// giveBackAll gives every held run back: the life of the backend server that they waited for is over.
func (m *Machine) giveBackAll() {
	for _, task := range slices.Clone(m.line) {
		m.giveBack(m.runs[task])
	}
}
