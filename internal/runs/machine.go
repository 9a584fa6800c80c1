package runs

import (
	"slices"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
)

// Handle processes an event and returns the actions to carry out.
func (m *Machine) Handle(now clock.Millis, ev event.Event) []event.Action {
	m.now = now
	m.out = nil
	m.updateUsage()
	m.checkEvacuationWait()
	switch ev := ev.(type) {
	case event.SessionUp:
		m.handleSessionUp(ev)
	case event.SessionDown:
		m.handleSessionDown(ev)
	case event.Received:
		if ev.Message.Orders != nil {
			m.handleOrders(ev.From, ev.Message.Orders)
		}
	case Announced:
		m.handleAnnounced(ev.Instance)
		m.recordWarmUp(ev.Instance)
	case Evacuated:
		m.learnEvacuated(ev.State, "")
	case InstanceLeft:
		m.handleGone(ev.ID)
	case StartDone:
		m.handleStartDone(ev)
	case HaltDone:
		m.handleHaltDone(ev)
	case PollDone:
		m.handlePollDone(ev)
	case event.Stop:
		m.beginStop()
	case event.Tick:
		m.tick()
	}
	m.expireQueued()
	if m.leaving && len(m.runs) == 0 {
		m.forgetInstance()
	}
	m.sendPoll()
	m.offerNext()
	m.sendReports()
	return m.out
}

func (m *Machine) tick() {
	for _, id := range m.sortedPeerIDs() {
		m.checkPeer(m.peers[id])
	}
	for _, task := range m.sortedTasks() {
		m.retryHalt(m.runs[task])
	}
	m.checkRevoked()
	if m.instance == nil {
		m.expireLease()
	}
	m.checkPollTimeout()
	m.checkAnswers()
	m.expireCancels()
	if m.stopping && !m.exited && (len(m.runs) == 0 || m.now >= m.drainDeadline) && m.endsDelivered() {
		m.exited = true
		m.emit(event.Exit{})
	}
}

// beginStop begins a planned stop: no new tasks are accepted, and running tasks may finish.
func (m *Machine) beginStop() {
	if m.stopping {
		return
	}
	m.stopping = true
	m.drainDeadline = m.now + m.cfg.DrainLimit
	m.note(event.Note{Name: "stopping", Count: len(m.runs)})
	m.markAllDirty()
}

func (m *Machine) endsDelivered() bool {
	if m.now >= m.drainDeadline {
		return true
	}
	for _, p := range m.peers {
		if p.up && len(p.unackedEnds) > 0 {
			return false
		}
	}
	return true
}

// accepting reports whether new tasks are accepted.
func (m *Machine) accepting() bool {
	in := m.instance
	known := in != nil && !m.unannounced && !in.Draining && !m.leaving && m.settled && !m.evacuates(in)
	return known && !m.lapsing && !m.stopping && m.now >= m.backoffUntil && m.health.accepting(len(m.runs))
}

func (m *Machine) markAllDirty() {
	for _, p := range m.peers {
		p.dirty = true
	}
}

// markAllFull makes the next report to each dispatcher carry the facts again.
func (m *Machine) markAllFull() {
	for _, p := range m.peers {
		p.full = true
		p.dirty = true
	}
}

func (m *Machine) sortedTasks() []string {
	names := make([]string, 0, len(m.runs))
	for task := range m.runs {
		names = append(names, task)
	}
	slices.Sort(names)
	return names
}

// newReport returns the part of a report that is the same for all dispatchers.
func (m *Machine) newReport() (r proto.Report) {
	if m.instance != nil {
		r.Free = m.instance.Total.Minus(m.used).Minus(m.queuedNeed)
	}
	r.Accepting = m.accepting()
	r.Pace, r.NormalPace = m.pace.value(m.now), m.pace.normal()
	r.Settled = m.settled
	r.WarmUpMS = m.warmUpLeft()
	r.Kinds = m.beside.shares(m.totalCPU())
	return r
}

// totalCPU returns the CPU of the backend server, in thousandths of a core; zero if none is known.
func (m *Machine) totalCPU() int64 {
	if m.instance == nil {
		return 0
	}
	return m.instance.Total.CPU
}
