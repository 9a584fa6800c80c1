package runs

import (
	"slices"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
)

// The load pattern of wide jobs of short tasks beside orders and answers that are lost: a job is as late as its last task, and the
// timeout of one order is most of the slack of all of them. What is overdue by the backend server's usual answer times is asked for by a
// probe, a poll that is answered at once. The server's lists decide, never the lack of an answer: a start that is listed counts as
// confirmed, and one that two lists lack while the server answers is stopped, which keeps it from being carried out later. A server that
// answers nothing is slow or silent, and the timeouts of its orders decide.

const (
	// absentLists is the number of lists without a run after which its overdue start is stopped.
	absentLists = 2
	// maxProbes is the number of probes in a row without an answer after which the timeouts of orders decide.
	maxProbes = 2
	// endCheckInterval is the time between probes for runs that should have ended, in milliseconds.
	endCheckInterval = 20 * clock.Millis(1)
)

// Wake asks for a tick after a time, since something is due before the next regular one.
type Wake struct {
	After clock.Millis
}

// probing is the state of the probes that are sent while an answer is overdue.
type probing struct {
	// poll is the probe under way, sent at sentAt; nil if there is none.
	poll   *Poll
	sentAt clock.Millis
	// unanswered counts probes in a row without an answer.
	unanswered int
	// wakeAt is when the next early tick is due.
	wakeAt clock.Millis
}

// answerLimit returns the time after which the answer to an order is overdue.
func (m *Machine) answerLimit() clock.Millis {
	return m.answers.limit(m.cfg.OrderTimeout)
}

// losesAnswers reports whether the backend server has left something unanswered of late.
func (m *Machine) losesAnswers() bool {
	return m.now < m.lossyUntil
}

// wakeForAnswer asks for a tick when the answer to an order that is sent now becomes overdue, at a backend server that loses answers.
func (m *Machine) wakeForAnswer() {
	due := m.now + m.answerLimit()
	if !m.losesAnswers() || (m.probing.wakeAt > m.now && m.probing.wakeAt <= due) {
		return
	}
	m.probing.wakeAt = due
	m.emit(Wake{After: due - m.now})
}

// checkAnswers sends a probe if an answer is overdue and none is under way.
func (m *Machine) checkAnswers() {
	if m.instance == nil {
		return
	}
	p := &m.probing
	if p.poll != nil && m.now-p.sentAt >= m.answerLimit() {
		p.poll = nil
		p.unanswered++
	}
	if p.poll != nil || p.unanswered >= maxProbes {
		return
	}
	if len(m.overdueStarts()) > 0 || m.pollOverdue() || m.endOverdue() {
		m.sendProbe()
	}
}

// overdueStarts returns the tasks whose start should have been answered.
func (m *Machine) overdueStarts() (tasks []string) {
	limit := m.answerLimit()
	for task, r := range m.runs {
		if r.phase == starting && m.now-r.startedAt >= limit {
			tasks = append(tasks, task)
		}
	}
	slices.Sort(tasks)
	return tasks
}

// pollOverdue reports whether the pending poll should have been answered, whether or not a run has ended.
func (m *Machine) pollOverdue() bool {
	return m.poll != nil && m.now-m.pollSentAt >= m.poll.Wait+m.answerLimit()
}

// endOverdue reports whether, at a backend server that loses answers, a run should have ended and the pending poll has not told of it.
func (m *Machine) endOverdue() bool {
	if m.poll == nil || !m.losesAnswers() || m.now-max(m.pollSentAt, m.probing.sentAt) < endCheckInterval {
		return false
	}
	for _, r := range m.runs {
		if r.phase == running && r.estimate > 0 && m.now >= m.expectedEnd(r) {
			return true
		}
	}
	return false
}

// expectedEnd returns when the run ends if it goes on at the pace of the backend server.
func (m *Machine) expectedEnd(r *run) clock.Millis {
	rest := float64(r.estimate) * (percentDone - r.polledPercent) / percentDone
	if pace := m.pace.value(m.now); pace > 0 {
		rest /= pace
	}
	return r.polledAt + clock.Millis(rest)
}

// sendProbe asks for the lists of the backend server beside the pending poll. It renews nothing, so that its loss means nothing.
func (m *Machine) sendProbe() {
	m.fence.startIncarnation(m.instance)
	m.lastPoll++
	probe := Poll{
		Instance: m.instance.ID, Born: m.instance.Born, Number: m.lastPoll, Token: m.fence.token, At: m.now, AckedEnd: m.lastEndSeen,
		Timeout: m.cfg.OrderTimeout,
	}
	m.probing.poll, m.probing.sentAt = &probe, m.now
	m.emit(probe)
	m.wakeForAnswer()
}

// takeAnswered returns the poll or probe that was answered, or nil if its answer is no longer awaited. An answered probe takes the place
// of a pending poll that is overdue, or that has not told of an end which the probe lists.
func (m *Machine) takeAnswered(ev PollDone) *Poll {
	p := &m.probing
	switch {
	case m.poll != nil && ev.Number == m.poll.Number:
		poll := m.poll
		m.poll = nil
		return poll
	case p.poll != nil && ev.Number == p.poll.Number:
		probe := p.poll
		p.poll = nil
		if ev.Outcome != OrderDone {
			p.unanswered++
			return nil
		}
		if m.pollOverdue() || m.listsNewEnd(ev) {
			m.lossyUntil = m.now + unansweredSpan
			m.poll = nil
		}
		return probe
	}
	return nil
}

func (m *Machine) listsNewEnd(ev PollDone) bool {
	return len(ev.Ended) > 0 && ev.Ended[len(ev.Ended)-1].N > m.lastEndSeen
}

// checkAbsent stops the overdue starts of runs that enough lists of the backend server lack.
func (m *Machine) checkAbsent(number uint64, listed map[string]int) {
	for _, task := range m.overdueStarts() {
		r := m.runs[task]
		if _, ok := listed[task]; ok || number < r.startPoll {
			continue
		}
		r.absent++
		if r.absent < absentLists {
			continue
		}
		m.note(event.Note{Name: "start_overdue", Job: r.task, Peer: r.peer, Took: m.now - r.startedAt})
		m.noteUnanswered()
		r.startUncertain = true
		m.haltRun(r)
	}
	m.checkAnswers()
}

// maxHaltRepeats is the number of stops of one run that are repeated before their timeout.
const maxHaltRepeats = 3

// haltLimit returns the time after which the run's stop is repeated: early if the backend server has answered another call since.
func (m *Machine) haltLimit(r *run) clock.Millis {
	if m.answeredAt > r.haltSentAt && r.haltRepeats < maxHaltRepeats {
		return m.answerLimit()
	}
	return m.cfg.OrderTimeout
}

// noteUnanswered records that an order was left unanswered, which may still be carried out.
func (m *Machine) noteUnanswered() {
	m.unansweredUntil = m.now + unansweredSpan
	m.lossyUntil = m.unansweredUntil
}

// noteAnswered records that the backend server has answered an order.
func (m *Machine) noteAnswered() {
	m.answeredAt = m.now
	m.probing.unanswered = 0
}
