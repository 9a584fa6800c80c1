package runs

import (
	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
)

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

// sendPoll sends a poll if there are runs, orphans, unacknowledged ends or unanswered orders to check and none is pending.
func (m *Machine) sendPoll() {
	if m.poll != nil || m.now < m.nextPollAt {
		return
	}
	if m.instance == nil {
		m.pollAwaited()
		return
	}
	idle := len(m.runs) == 0 && m.settled && m.lastEndAcked >= m.lastEndSeen
	if idle && m.now >= m.unansweredUntil {
		return
	}
	m.fence.startIncarnation(m.instance)
	lease, wait := m.pollTerms(idle)
	if lease > 0 {
		m.leaseRenewedAt = m.now
	}
	m.emitPoll(Poll{Instance: m.instance.ID, Born: m.instance.Born, Lease: lease, AckedEnd: m.lastEndSeen, Wait: wait})
}

// pollTerms returns the lease that the next poll grants and how long it waits for the end of a run.
func (m *Machine) pollTerms(idle bool) (lease, wait clock.Millis) {
	lease, wait = m.cfg.Lease, m.cfg.PollWait
	if m.pollAtOnce {
		m.pollAtOnce = false
		wait = 0
	} else if m.anyStopping() {
		wait = stopPollWait
	}
	if m.leaving {
		lease = 0
	}
	if !m.settled || len(m.runs) == 0 {
		lease, wait = 0, 0
	}
	if idle {
		wait = m.cfg.PollWait
	}
	if m.health.unanswered >= noRenewAfter {
		// An unanswered poll may still renew the lease, so as long as polls ask for that the lease can't count as lapsed.
		lease, wait = 0, 0
	}
	if lease > 0 && !m.mayRenew() {
		lease, wait = 0, stopPollWait
	}
	if len(m.orphans) > 0 {
		wait = stopPollWait
	}
	return lease, wait
}

// emitPoll numbers a poll and sends it.
func (m *Machine) emitPoll(poll Poll) {
	m.lastPoll++
	poll.Number, poll.Token, poll.At, poll.Timeout = m.lastPoll, m.fence.token, m.now, poll.Wait+m.cfg.OrderTimeout
	m.poll, m.pollSentAt = &poll, m.now
	m.emit(poll)
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
	poll := m.takeAnswered(ev)
	if poll == nil {
		return
	}
	switch {
	case ev.Outcome == OrderGone:
		m.handleInstanceLost()
		return
	case ev.Outcome == OrderFenced:
		m.handleFenced()
		return
	case ev.Outcome != OrderDone:
		m.nextPollAt = m.now + m.pollPause()
		m.countUnanswered()
		if ev.Outcome == OrderUnknown {
			m.lossyUntil = m.now + unansweredSpan
		}
		if ev.Outcome == OrderUnreachable {
			m.handleUnreachable()
		}
		m.expireLease()
		return
	}
	if m.instance == nil && !m.resumeAwaited() {
		return
	}
	if ev.Born < m.instance.Born && !m.isOlderConfirmed(ev.Born) {
		return
	}
	m.olderBorn, m.olderAnswers = 0, 0
	m.health.resetUnanswered()
	m.noteAnswered()
	m.fence.accepted = true
	if ev.Born != m.instance.Born {
		m.changeIncarnation(ev.Born)
	}
	if poll.Born != m.instance.Born {
		// The next poll uses the token of the new incarnation and lists the same again.
		return
	}
	m.lastEndAcked = max(m.lastEndAcked, poll.AckedEnd)
	if ev.Clock < m.listedAt {
		// Answers overtake each other: this one still lists runs whose end is known, and no end that a later one lacks.
		return
	}
	m.listedAt = ev.Clock
	for _, e := range ev.Ended {
		m.handleEnded(e)
	}
	m.reconcile(ev)
}

// handleInstanceLost ends all runs after the backend server answered that their incarnation has ended.
func (m *Machine) handleInstanceLost() {
	m.endAllRuns("backend_server_gone")
	m.awaited = nil
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
	m.endRuns("backend_server_gone", func(r *run) bool { return !r.startPending })
	m.awaited = m.instance
	m.fence.raise()
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
			if own.phase == starting {
				m.confirmStart(own)
			}
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
	m.checkAbsent(ev.Number, listed)
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
