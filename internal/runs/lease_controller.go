package runs

import (
	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
)

// announced takes a heartbeat of the backend server.
func (m *Machine) announced(in Instance) {
	cur := m.instance
	switch {
	case m.gone[in.ID] || in.Total.CPU <= 0:
		return
	case cur == nil:
		m.adopt(in)
	case in.Born < cur.Born:
	case in.ID != cur.ID:
		m.endAll("backend_server_replaced")
		m.adopt(in)
	case in.Born > cur.Born:
		m.checkLife(in.Born)
		m.update(in)
	case in.Seq >= cur.Seq || m.unannounced:
		m.update(in)
	}
}

// checkLife takes the life that the backend server named in an answer. If it is a new one under the same id, the runs
// of the old one are over; runs whose start has no answer yet, or one of the new life, go on.
func (m *Machine) checkLife(born int64) {
	in := m.instance
	if in == nil || born == 0 || born <= in.Born {
		return
	}
	m.note(event.Note{Name: "backend_server_reborn", Instance: in.ID, Count: len(m.runs)})
	m.giveBackAll()
	for _, task := range m.tasks() {
		r := m.runs[task]
		if r.born == born || (r.born == 0 && (r.phase == starting || r.unanswered)) {
			continue
		}
		m.note(event.Note{Name: "run_lost", Job: r.task, Reason: "backend_server_reborn", Peer: r.peer})
		m.finish(r, proto.HowStopped)
	}
	fresh := *in
	fresh.Born = born
	fresh.Seq = 0
	m.instance = &fresh
	m.unannounced = true
	m.settled = false
	m.seen, m.acked = 0, 0
	clear(m.strangers)
	m.allFull()
}

func (m *Machine) adopt(in Instance) {
	m.instance = &in
	m.unannounced = false
	m.seen = 0
	m.acked = 0
	m.settled = false
	m.look = nil
	m.unwellUntil = 0
	m.health = health{}
	clear(m.strangers)
	m.note(event.Note{Name: "backend_server", Instance: in.ID, Count: int(in.Total.CPU)})
	m.allFull()
}

func (m *Machine) update(in Instance) {
	changed := in.Draining != m.instance.Draining || in.Total != m.instance.Total || in.Service != m.instance.Service
	if in.Draining && !m.instance.Draining {
		m.note(event.Note{Name: "backend_server_drains", Instance: in.ID, Count: len(m.runs)})
	}
	m.instance = &in
	changed = changed || m.unannounced
	m.unannounced = false
	if changed {
		m.allFull()
	}
}

// leave takes the planned end of the backend server.
func (m *Machine) leave(id string) {
	if m.instance == nil || m.instance.ID != id {
		return
	}
	m.gone[id] = true
	m.note(event.Note{Name: "backend_server_left", Instance: id, Count: len(m.runs)})
	m.endAll("backend_server_left")
	m.instance = nil
	m.settled = false
	m.look = nil
	m.allFull()
}

// endAll ends every run: the life of the backend server that they belonged to is over.
func (m *Machine) endAll(reason string) {
	m.giveBackAll()
	for _, task := range m.tasks() {
		r := m.runs[task]
		m.note(event.Note{Name: "run_lost", Job: r.task, Reason: reason, Peer: r.peer})
		m.finish(r, proto.HowStopped)
	}
}

// lookNow sends a look while there is something to renew, to settle or to stop, and none is on its way.
func (m *Machine) lookNow() {
	if m.instance == nil || m.look != nil || m.now < m.lookAfter || (len(m.runs) == 0 && m.settled && m.acked >= m.seen) {
		return
	}
	m.lookNumber++
	look := Look{
		Instance: m.instance.ID, Lease: m.cfg.Lease, Seen: m.seen, Wait: m.cfg.LookWait, Number: m.lookNumber,
		Timeout: m.cfg.LookWait + m.cfg.OrderTimeout,
	}
	if m.quick {
		m.quick = false
		look.Wait = 0
		look.Timeout = m.cfg.OrderTimeout
	} else if m.stopsOnly() {
		look.Wait = stopWait
		look.Timeout = stopWait + m.cfg.OrderTimeout
	}
	if !m.settled || len(m.runs) == 0 {
		look.Lease = 0
		look.Wait = 0
		look.Timeout = m.cfg.OrderTimeout
	}
	if m.health.missed >= missedOrders {
		// What may have been renewed can't count as lapsed; looks that are not answered must not renew.
		look.Lease = 0
		look.Wait = 0
		look.Timeout = m.cfg.OrderTimeout
	}
	if len(m.strangers) > 0 {
		look.Wait = stopWait
		look.Timeout += stopWait
	}
	m.look = &look
	m.lookSent = m.now
	if look.Lease > 0 {
		m.renewed = m.now
	}
	m.act(look)
}

// lookPause is the time before the next look after one without an answer, in milliseconds: a backend server that has
// ended refuses each connection at once.
const lookPause = 30 * clock.Millis(1)

// stopWait is how long a look waits while a stop is under way, in milliseconds.
const stopWait = 20 * clock.Millis(1)

func (m *Machine) stopsOnly() bool {
	for _, r := range m.runs {
		if r.phase == stopping {
			return true
		}
	}
	return false
}

// checkLook gives a look up whose answer is overdue, and ends the runs whose lease must have lapsed.
func (m *Machine) checkLook() {
	if m.look != nil && m.now-m.lookSent > m.look.Timeout+m.cfg.OrderTimeout {
		m.look = nil
	}
}

func (m *Machine) looked(ev Looked) {
	if m.look == nil || ev.Number != m.look.Number {
		return
	}
	look := m.look
	m.look = nil
	switch {
	case ev.Outcome == OrderGone:
		m.lost()
		return
	case ev.Outcome != OrderDone:
		m.lookAfter = m.now + lookPause
		m.missed()
		m.lapse()
		return
	case m.instance == nil || ev.Born < m.instance.Born:
		return
	}
	m.checkLife(ev.Born)
	m.health.answered()
	m.acked = max(m.acked, look.Seen)
	for _, e := range ev.Ended {
		m.ended(e)
	}
	m.compare(ev)
}

// lost ends the runs of a life of the backend server that has answered that it is over.
func (m *Machine) lost() {
	m.endAll("backend_server_gone")
	if m.instance != nil {
		m.instance = nil
		m.settled = false
		m.allFull()
	}
}

// lapse ends all runs once the lease that was renewed last has lapsed on the backend server's clock.
func (m *Machine) lapse() {
	bound := m.cfg.Lease + m.cfg.Lease/ClockSlack + m.cfg.OrderTimeout
	if len(m.runs) > 0 && m.now-m.renewed > bound {
		m.endAll("lease_lapsed")
		m.settled = false
		m.allDirty()
	}
}

func (m *Machine) ended(e Ended) {
	if e.N <= m.seen {
		return
	}
	m.seen = e.N
	delete(m.strangers, e.Task)
	r := m.runs[e.Task]
	if r == nil || r.run != e.Run {
		return
	}
	if e.Lapsed {
		m.note(event.Note{Name: "run_lapsed", Job: r.task, Peer: r.peer, Took: m.now - r.began})
	}
	m.judge(r, e.How)
	if r.stalled && e.How == proto.HowStopped {
		e.How = proto.HowStalled
	}
	m.finish(r, e.How)
}

// compare settles the runs that the backend server does not list, and stops those that nobody asked for.
func (m *Machine) compare(ev Looked) {
	listed := make(map[string]int, len(ev.Running))
	for _, r := range ev.Running {
		listed[r.Task] = r.Run
		m.stranger(r)
		m.progress(r)
	}
	for _, task := range m.tasks() {
		r := m.runs[task]
		// The end of a run may have ended the wait of a held one.
		if _, ok := listed[task]; ok || r == nil || r.confirmed == 0 || ev.Number < r.confirmed {
			continue
		}
		m.note(event.Note{Name: "run_missing", Job: r.task, Peer: r.peer})
		m.finish(r, proto.HowStopped)
	}
	for task := range m.strangers {
		if _, ok := listed[task]; !ok {
			delete(m.strangers, task)
		}
	}
	settled := len(m.strangers) == 0
	if settled != m.settled {
		m.settled = settled
		m.note(event.Note{Name: "settled", Reason: boolText(settled), Count: len(m.strangers)})
		m.allDirty()
	}
}

func boolText(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// strangerEvery is the time between stops of the same run, in milliseconds.
const strangerEvery = 60 * clock.Millis(1)

// stranger stops a run that this life of the agent has not started.
func (m *Machine) stranger(r Running) {
	if own := m.runs[r.Task]; own != nil && own.run == r.Run {
		return
	}
	if last, ok := m.strangers[r.Task]; ok && m.now-last < strangerEvery {
		return
	}
	m.strangers[r.Task] = m.now
	m.note(event.Note{Name: "stranger_stopped", Job: r.Task})
	m.act(HaltRun{Instance: m.instance.ID, Task: r.Task, Run: r.Run, Timeout: m.cfg.OrderTimeout})
}
