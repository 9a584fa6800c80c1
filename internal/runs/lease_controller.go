package runs

import (
	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
)

// handleAnnounced processes a heartbeat of the backend server.
func (m *Machine) handleAnnounced(in Instance) {
	cur := m.instance
	switch {
	case m.departed[in.life()] || in.Total.CPU <= 0:
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
	m.lastEndSeen, m.lastEndAcked = 0, 0
	// The pending poll may have been answered by the old incarnation.
	m.poll = nil
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
	if in := m.instance.life(); in.id != m.denied.id || in.born > m.denied.born {
		m.denied = in
	}
	return true
}

// isDenied reports whether a heartbeat may be a late one of an incarnation that was followed by one with an earlier time of start.
func (m *Machine) isDenied(in Instance) bool {
	return in.ID == m.denied.id && in.Born <= m.denied.born
}

// verifyIncarnation makes a new poll decide which incarnation of the backend server is there; nothing is accepted until then.
func (m *Machine) verifyIncarnation() {
	m.poll = nil
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
	m.unannounced = false
	m.leaving = false
	m.lastEndSeen = 0
	m.lastEndAcked = 0
	m.settled = false
	m.poll = nil
	m.backoffUntil = 0
	m.health = health{}
	m.pace = pace{}
	clear(m.orphans)
	m.note(event.Note{Name: "backend_server", Instance: in.ID, Count: int(in.Total.CPU)})
	m.markAllFull()
}

func (m *Machine) updateInstance(in Instance) {
	changed := in.Draining != m.instance.Draining || in.Total != m.instance.Total || in.Service != m.instance.Service
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
	m.departed[m.instance.life()] = true
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
	m.poll = nil
	m.markAllFull()
}

// endAllRuns counts every run as ended and reports the ends, when the incarnation of the backend server has ended or the
// lease has lapsed.
func (m *Machine) endAllRuns(reason string) {
	m.endRuns(reason, func(*run) bool { return true })
}

func (m *Machine) endRuns(reason string, over func(r *run) bool) {
	m.rejectAllQueued()
	for _, task := range m.sortedTasks() {
		r := m.runs[task]
		if !over(r) {
			continue
		}
		m.note(event.Note{Name: "run_lost", Job: r.task, Reason: reason, Peer: r.peer})
		m.finishRun(r, proto.EndStopped)
	}
}

// sendPoll sends a poll if there are runs, orphans or unacknowledged ends to check and none is pending.
func (m *Machine) sendPoll() {
	if m.instance == nil || m.poll != nil || m.now < m.nextPollAt || (len(m.runs) == 0 && m.settled && m.lastEndAcked >= m.lastEndSeen) {
		return
	}
	m.lastPoll++
	m.fence.startLife(m.instance)
	poll := Poll{
		Instance: m.instance.ID, Token: m.fence.token, Born: m.instance.Born, At: m.now, Lease: m.cfg.Lease, AckedEnd: m.lastEndSeen,
		Wait: m.cfg.PollWait, Number: m.lastPoll, Timeout: m.cfg.PollWait + m.cfg.OrderTimeout,
	}
	if m.pollAtOnce {
		m.pollAtOnce = false
		poll.Wait = 0
		poll.Timeout = m.cfg.OrderTimeout
	} else if m.anyStopping() {
		poll.Wait = stopPollWait
		poll.Timeout = stopPollWait + m.cfg.OrderTimeout
	}
	if m.leaving {
		poll.Lease = 0
	}
	if !m.settled || len(m.runs) == 0 {
		poll.Lease = 0
		poll.Wait = 0
		poll.Timeout = m.cfg.OrderTimeout
	}
	if m.health.unanswered >= noRenewAfter {
		// An unanswered poll may still renew the lease, so as long as polls ask for that the lease can't count as lapsed.
		poll.Lease = 0
		poll.Wait = 0
		poll.Timeout = m.cfg.OrderTimeout
	}
	if poll.Lease > 0 && !m.mayRenew() {
		poll.Lease = 0
		poll.Wait = stopPollWait
		poll.Timeout = stopPollWait + m.cfg.OrderTimeout
	}
	if len(m.orphans) > 0 {
		poll.Wait = stopPollWait
		poll.Timeout += stopPollWait
	}
	m.poll = &poll
	m.pollSentAt = m.now
	if poll.Lease > 0 {
		m.leaseRenewedAt = m.now
	}
	m.emit(poll)
}

// mayRenew reports whether a lease may be granted, which goes to every run at the backend server. A run whose dispatcher no longer
// counts on it, and whose stop isn't acknowledged, must end with the last lease instead:
//   - The tasks of a dispatcher that lost its session run elsewhere Silence + Lease + Lease/clockSlack later. Its last stamp was
//     sent before that, the last lease is granted up to Silence after the stamp, and it lasts for Lease on the backend server's clock.
//   - A caller that has left sends its job again 1.3 s later. The last lease is granted up to OrderTimeout after the stop was
//     ordered, so it ends earlier than that of a silent dispatcher.
func (m *Machine) mayRenew() bool {
	for _, r := range m.runs {
		if r.phase == queued || r.halted {
			continue
		}
		p := m.peers[r.peer]
		if p == nil || m.now-p.lastHeard > m.cfg.Silence || m.isOverdue(r) {
			return false
		}
	}
	return true
}

// isOverdue reports whether the answer to the stop of a revoked run is overdue.
func (m *Machine) isOverdue(r *run) bool {
	return r.revokedAt > 0 && !r.halted && m.now-r.revokedAt > m.cfg.OrderTimeout
}

// checkRevoked accepts no more runs while the stop of a revoked one is overdue, and counts all as ended once the lease has lapsed.
func (m *Machine) checkRevoked() {
	overdue := 0
	for _, r := range m.runs {
		if m.isOverdue(r) {
			overdue++
		}
	}
	if lapsing := overdue > 0; lapsing != m.lapsing {
		m.lapsing = lapsing
		m.note(event.Note{Name: "leases_lapse", Reason: yesNo(lapsing), Count: overdue})
		m.markAllDirty()
	}
	if m.lapsing {
		m.expireLease()
	}
}

// revoke records that a run's dispatcher no longer counts on it.
func (m *Machine) revoke(r *run) {
	if r.revokedAt == 0 {
		r.revokedAt = m.now
	}
}

// pollBackoff is the time before the next poll after one without an answer, in milliseconds: a backend server that has
// ended refuses each connection at once.
const pollBackoff = 30 * clock.Millis(1)

// stopPollWait is how long a poll waits while a stop is under way, in milliseconds.
const stopPollWait = 20 * clock.Millis(1)

func (m *Machine) anyStopping() bool {
	for _, r := range m.runs {
		if r.phase == stopping {
			return true
		}
	}
	return false
}

// checkPollTimeout abandons a poll whose answer is overdue.
func (m *Machine) checkPollTimeout() {
	if m.poll != nil && m.now-m.pollSentAt > m.poll.Timeout+m.cfg.OrderTimeout {
		m.poll = nil
	}
}

func (m *Machine) handlePollDone(ev PollDone) {
	if m.poll == nil || ev.Number != m.poll.Number {
		return
	}
	poll := m.poll
	m.poll = nil
	switch {
	case ev.Outcome == OrderGone:
		m.handleInstanceLost()
		return
	case ev.Outcome == OrderFenced:
		m.handleFenced()
		return
	case ev.Outcome != OrderDone:
		m.nextPollAt = m.now + pollBackoff
		m.countUnanswered()
		if ev.Outcome == OrderUnreachable {
			m.handleUnreachable()
		}
		m.expireLease()
		return
	case m.instance == nil || (ev.Born < m.instance.Born && !m.isOlderConfirmed(ev.Born)):
		return
	}
	m.olderBorn, m.olderAnswers = 0, 0
	m.health.resetUnanswered()
	m.fence.accepted = true
	if ev.Born != m.instance.Born {
		m.changeIncarnation(ev.Born)
	}
	if poll.Born != m.instance.Born {
		// The next poll uses the token of the new life and lists the same again.
		return
	}
	m.lastEndAcked = max(m.lastEndAcked, poll.AckedEnd)
	for _, e := range ev.Ended {
		m.handleEnded(e)
	}
	m.reconcile(ev)
}

// handleInstanceLost ends all runs after the backend server answered that their incarnation has ended.
func (m *Machine) handleInstanceLost() {
	m.endAllRuns("backend_server_gone")
	m.forgetInstance()
}

// handleUnreachable ends the runs once the backend server's process counts as ended. A start that isn't answered yet may reach a
// process that takes its place under the same id, so its own answer or the end of its lease decides.
func (m *Machine) handleUnreachable() {
	m.health.unreachable++
	if m.health.unreachable < goneAfter || m.instance == nil {
		return
	}
	m.note(event.Note{Name: "backend_server_unreachable", Instance: m.instance.ID, Count: len(m.runs)})
	m.endRuns("backend_server_gone", func(r *run) bool { return r.phase != starting })
	m.forgetInstance()
}

// expireLease counts all runs as ended and reports their ends once the last renewed lease has lapsed on the backend server's
// clock. It sends no stops.
func (m *Machine) expireLease() {
	limit := m.cfg.Lease + m.cfg.Lease/ClockSlack + m.cfg.OrderTimeout
	if len(m.runs) > 0 && m.now-m.leaseRenewedAt > limit {
		m.endAllRuns("lease_lapsed")
		m.settled = false
		m.markAllDirty()
	}
}

func (m *Machine) handleEnded(e Ended) {
	if e.N <= m.lastEndSeen {
		return
	}
	m.lastEndSeen = e.N
	delete(m.orphans, e.Task)
	r := m.runs[e.Task]
	if r == nil || r.run != e.Run {
		return
	}
	if e.Lapsed {
		m.note(event.Note{Name: "run_lapsed", Job: r.task, Peer: r.peer, Took: m.now - r.startedAt})
	}
	m.recordOutcome(r, e.How)
	if e.How == proto.EndDone {
		m.pace.progressed(m.now, r, percentDone)
	}
	if r.stalled && e.How == proto.EndStopped {
		e.How = proto.EndStalled
	}
	m.finishRun(r, e.How)
}

// reconcile ends the runs that the backend server does not list, and stops orphan runs.
func (m *Machine) reconcile(ev PollDone) {
	listed := make(map[string]int, len(ev.Running))
	for _, r := range ev.Running {
		listed[r.Task] = r.Run
		if own := m.runs[r.Task]; own != nil && own.run == r.Run {
			own.incarnation = ev.Born
		}
		m.stopOrphan(r)
		m.checkProgress(r)
	}
	for _, task := range m.sortedTasks() {
		r := m.runs[task]
		// The end of an earlier run may have removed a queued one.
		if _, ok := listed[task]; ok || r == nil || r.firstPoll == 0 || ev.Number < r.firstPoll {
			continue
		}
		m.note(event.Note{Name: "run_missing", Job: r.task, Peer: r.peer})
		m.finishRun(r, proto.EndStopped)
	}
	for task := range m.orphans {
		if _, ok := listed[task]; !ok {
			delete(m.orphans, task)
		}
	}
	settled := len(m.orphans) == 0
	if settled != m.settled {
		m.settled = settled
		m.note(event.Note{Name: "settled", Reason: yesNo(settled), Count: len(m.orphans)})
		m.markAllDirty()
	}
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// orphanStopInterval is the time between stops of the same orphan run, in milliseconds.
const orphanStopInterval = 60 * clock.Millis(1)

// stopOrphan stops a run that this incarnation of the agent did not start.
func (m *Machine) stopOrphan(r Running) {
	if own := m.runs[r.Task]; own != nil && own.run == r.Run {
		return
	}
	if stoppedAt, ok := m.orphans[r.Task]; ok && m.now-stoppedAt < orphanStopInterval {
		return
	}
	m.orphans[r.Task] = m.now
	m.note(event.Note{Name: "stranger_stopped", Job: r.Task})
	m.emit(HaltRun{Instance: m.instance.ID, Task: r.Task, Run: r.Run, Token: m.fence.token, Timeout: m.cfg.OrderTimeout})
}
