package runs

import (
	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
)

// refusedBackoff is how long an agent accepts no tasks after the backend server refused a start, in milliseconds.
const refusedBackoff = 200 * clock.Millis(1)

// handleBegin starts or queues the tasks of one Begin that it can; valid says that the order is not too old.
func (m *Machine) handleBegin(p *peer, b proto.Begin, valid bool) {
	for _, t := range b.Tasks {
		target := target{service: b.Service, instance: Incarnation{ID: b.Instance, Born: b.Born}, label: t.Requires}
		how := m.refusal(b, t, target, valid)
		if how == proto.EndNoRoom {
			p.wantsUntil = m.now + wantTTL
		}
		r := &run{peer: p.id, task: t.Task, run: t.Run, need: t.Need, rank: b.Rank, spec: b.Spec, estimate: t.EstimateMS, target: target, kind: t.Kind}
		switch {
		case how == "":
			m.runs[t.Task] = r
			m.startRun(r)
			m.nextOfferAt = m.now + offerInterval
		case how == proto.EndNoRoom && m.canQueue(r):
			m.runs[t.Task] = r
			m.enqueue(r)
		default:
			m.reportEnd(p.id, t.Task, t.Run, how, 0, nil)
		}
	}
}

// startRun reserves the capacity of a run and orders the backend server to start it.
func (m *Machine) startRun(r *run) {
	r.phase = starting
	r.startedAt = m.now
	r.startPending = true
	r.startPoll = m.lastPoll + 1
	m.usage.capacityReused(m.now)
	m.used = m.used.Plus(r.need)
	m.beside.started(m.now, r)
	m.leaseRenewedAt = m.now
	m.emit(StartRun{
		Instance: m.instance.ID, Born: m.instance.Born, Task: r.task, Run: r.run, Token: m.fence.token, Spec: r.spec, At: m.now,
		Lease: m.cfg.Lease, Timeout: m.cfg.OrderTimeout,
	})
	m.wakeForAnswer()
}

// refusal returns why a task is refused, or an empty string.
func (m *Machine) refusal(b proto.Begin, t proto.TaskBegin, target target, valid bool) proto.EndReason {
	switch {
	case !valid, !m.accepting(), m.isCancelled(b.Job):
		return proto.EndNotBegun
	case !target.matches(m.instance):
		m.note(event.Note{Name: "order_outdated", Job: t.Task, Instance: m.instance.ID, Run: t.Run})
		return proto.EndOutdated
	case m.runs[t.Task] != nil:
		return proto.EndNotBegun
	case !m.mayRenew(), !m.instance.Total.Minus(m.used).Minus(m.queuedNeed).Fits(t.Need):
		return proto.EndNoRoom
	}
	return ""
}

func (m *Machine) handleStartDone(ev StartDone) {
	if ev.Outcome == OrderUnknown {
		m.noteUnanswered()
	}
	r := m.runs[ev.Task]
	if r == nil || r.run != ev.Run {
		return
	}
	r.startPending = false
	if ev.Outcome == OrderDone {
		m.noteAnswered()
		m.answers.observe(m.now - r.startedAt)
	}
	if ev.Born != 0 {
		// Set before checkIncarnation, which would otherwise end a new incarnation's own run as one of the old.
		r.incarnation = ev.Born
		m.checkIncarnation(ev.Born)
	}
	switch ev.Outcome {
	case OrderDone:
		m.confirmStart(r)
	case OrderUnknown:
		if r.confirmed {
			m.note(event.Note{Name: "start_answer_lost", Job: r.task, Peer: r.peer})
			return
		}
		m.note(event.Note{Name: "start_unanswered", Job: r.task, Peer: r.peer})
		m.countUnanswered()
		r.startUncertain = true
		m.haltRun(r)
	case OrderGone:
		// The next heartbeat of the backend server or the end of the lease decides what became of its runs.
		m.haltRun(r)
	default:
		if !r.confirmed {
			m.rejectStart(r, ev.Outcome)
		}
	}
}

func (m *Machine) confirmStart(r *run) {
	m.health.resetUnanswered()
	if r.phase == starting {
		r.phase = running
		r.workingSince = m.now
		r.polledAt = m.now
		r.progressAt = m.now
	}
	r.firstPoll = m.lastPoll + 1
	r.confirmed = true
	r.startUncertain = false
}

func (m *Machine) rejectStart(r *run, o Outcome) {
	how := proto.EndNotBegun
	if o == OrderNoRoom {
		how = proto.EndNoRoom
	}
	if o == OrderRefused || o == OrderUnreachable {
		m.backoffUntil = m.now + refusedBackoff
		m.markAllDirty()
	}
	m.note(event.Note{Name: "start_refused", Job: r.task, Reason: string(o)})
	m.finishRun(r, how)
}

// haltRun orders a stop of the run; its capacity stays taken until the end is known.
func (m *Machine) haltRun(r *run) {
	if r.phase == queued {
		m.rejectQueued(r)
		return
	}
	r.phase = stopping
	m.sendHalt(r)
}

func (m *Machine) sendHalt(r *run) {
	r.haltSentAt = m.now
	if m.instance == nil {
		return
	}
	m.emit(HaltRun{Instance: m.instance.ID, Task: r.task, Run: r.run, Token: m.fence.token, Timeout: m.cfg.OrderTimeout})
	m.wakeForAnswer()
}

// retryHalt repeats a stop that got no answer.
func (m *Machine) retryHalt(r *run) {
	if r.phase == stopping && !r.halted && m.now-r.haltSentAt > m.haltLimit(r) {
		r.haltRepeats++
		m.sendHalt(r)
	}
}

func (m *Machine) handleHaltDone(ev HaltDone) {
	if ev.Born != 0 {
		m.checkIncarnation(ev.Born)
	}
	r := m.runs[ev.Task]
	if r == nil || r.run != ev.Run || ev.Outcome != OrderDone {
		return
	}
	m.noteAnswered()
	r.halted = true
	// A poll sent after the stop was answered lists the end.
	r.firstPoll = m.lastPoll + 1
	if r.startUncertain {
		// The pending poll waits for an end that may never come; the next poll repeats what it lists.
		m.poll = nil
		m.pollAtOnce = true
	}
	m.startQueued()
}

// finishRun frees the capacity of a run that has ended and reports the end to its dispatcher.
func (m *Machine) finishRun(r *run, how proto.EndReason) {
	if r.phase == queued {
		m.rejectQueued(r)
		return
	}
	delete(m.runs, r.task)
	m.used = m.used.Minus(r.need)
	shares := m.beside.ended(m.now, r, m.totalCPU())
	m.usage.capacityFreed(m.now)
	runTime := clock.Millis(0)
	if r.workingSince > 0 {
		runTime = m.now - r.workingSince
	}
	m.reportEnd(r.peer, r.task, r.run, how, runTime, shares)
	m.startQueued()
	m.startOfferRound()
}

// offerInterval is how long capacity stays offered to one dispatcher before it is offered to the next, in
// milliseconds: one message round trip and a margin.
const offerInterval = 4 * clock.Millis(1)

// startOfferRound begins to offer freed capacity to the dispatchers that have work waiting.
func (m *Machine) startOfferRound() {
	m.offerRound++
	m.offering = true
	m.nextOfferAt = m.now
}

// offerNext offers free capacity to one dispatcher at a time until it is taken. Two dispatchers that use the same capacity
// would begin jobs whose tasks partly have to wait. Reporting each change to all dispatchers would also cost one message per
// dispatcher. The lowest rank goes first, and among equals the dispatcher whose last offer is longest ago.
func (m *Machine) offerNext() {
	if !m.offering || m.now < m.nextOfferAt {
		return
	}
	p := m.nextOfferPeer()
	if p == nil || !m.hasUsefulCapacity() {
		m.offering = false
		return
	}
	m.lastOffer++
	p.lastOfferNumber, p.offerRound = m.lastOffer, m.offerRound
	p.dirty = true
	m.nextOfferAt = m.now + offerInterval
}

// nextOfferPeer returns the dispatcher to offer the capacity of this round to next, or nil.
func (m *Machine) nextOfferPeer() (next *peer) {
	for _, id := range m.sortedPeerIDs() {
		p := m.peers[id]
		if !p.up || m.now >= p.wantsUntil || p.offerRound >= m.offerRound {
			continue
		}
		if next == nil || p.rank < next.rank || (p.rank == next.rank && p.lastOfferNumber < next.lastOfferNumber) {
			next = p
		}
	}
	return next
}

// hasUsefulCapacity reports whether a run as small as the smallest one here would fit.
func (m *Machine) hasUsefulCapacity() bool {
	if m.instance == nil {
		return false
	}
	free := m.instance.Total.Minus(m.used).Minus(m.queuedNeed)
	if len(m.runs) == 0 {
		return true
	}
	for _, r := range m.runs {
		if free.Fits(r.need) {
			return true
		}
	}
	return false
}
