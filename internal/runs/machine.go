package runs

import (
	"slices"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
)

// Handle takes an event and returns what is to be done.
func (m *Machine) Handle(now clock.Millis, ev event.Event) []event.Action {
	m.now = now
	m.out = nil
	switch ev := ev.(type) {
	case event.SessionUp:
		m.sessionUp(ev)
	case event.SessionDown:
		m.sessionDown(ev)
	case event.Received:
		if ev.Message.Orders != nil {
			m.orders(ev.From, ev.Message.Orders)
		}
	case Announced:
		m.announced(ev.Instance)
	case Gone:
		m.leave(ev.ID)
	case StartDone:
		m.startDone(ev)
	case HaltDone:
		m.haltDone(ev)
	case Looked:
		m.looked(ev)
	case event.Stop:
		m.stop()
	case event.Tick:
		m.tick()
	}
	m.checkHeld()
	m.lookNow()
	m.offerOn()
	m.report()
	return m.out
}

func (m *Machine) tick() {
	for _, id := range m.peerIDs() {
		m.checkPeer(m.peers[id])
	}
	for _, task := range m.tasks() {
		m.retryHalt(m.runs[task])
	}
	m.checkLook()
	if m.stopping && !m.exited && (len(m.runs) == 0 || m.now >= m.stopAt) && m.delivered() {
		m.exited = true
		m.act(event.Exit{})
	}
}

// stop begins a planned stop: nothing new is taken, and what runs may end.
func (m *Machine) stop() {
	if m.stopping {
		return
	}
	m.stopping = true
	m.stopAt = m.now + m.cfg.DrainLimit
	m.note(event.Note{Name: "stopping", Count: len(m.runs)})
	m.allDirty()
}

func (m *Machine) delivered() bool {
	if m.now >= m.stopAt {
		return true
	}
	for _, p := range m.peers {
		if p.up && len(p.ends) > 0 {
			return false
		}
	}
	return true
}

// taking reports whether new tasks are accepted.
func (m *Machine) taking() bool {
	return m.instance != nil && !m.unannounced && !m.instance.Draining && m.settled && !m.stopping && m.now >= m.unwellUntil && m.health.sound(len(m.runs))
}

func (m *Machine) allDirty() {
	for _, p := range m.peers {
		p.dirty = true
	}
}

// allFull makes the next report to each dispatcher carry the facts again.
func (m *Machine) allFull() {
	for _, p := range m.peers {
		p.full = true
		p.dirty = true
	}
}

func (m *Machine) tasks() []string {
	names := make([]string, 0, len(m.runs))
	for task := range m.runs {
		names = append(names, task)
	}
	slices.Sort(names)
	return names
}

// state returns what dispatchers are told of the agent.
func (m *Machine) state() (r proto.Report) {
	if m.instance != nil {
		r.Free = m.instance.Total.Minus(m.used).Minus(m.owed)
	}
	r.Taking = m.taking()
	r.Settled = m.settled
	return r
}
