package runs

import (
	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
)

// unwellFor is how long an agent takes nothing after the backend server turned a start away, in milliseconds.
const unwellFor = 200 * clock.Millis(1)

// begin starts the tasks of one Begin that fit; valid says that the order is not too old.
func (m *Machine) begin(p *peer, b proto.Begin, valid bool) {
	for _, t := range b.Tasks {
		how := m.refusal(b, t, valid)
		if how == proto.HowNoRoom {
			p.wants = m.now + wantFor
		}
		r := &run{peer: p.id, task: t.Task, run: t.Run, need: t.Need, rank: b.Rank, spec: b.Spec}
		switch {
		case how == "":
			m.runs[t.Task] = r
			m.start(r)
			m.offerAt = m.now + offerLater
		case how == proto.HowNoRoom && m.mayHold(r):
			m.runs[t.Task] = r
			m.hold(r)
		default:
			m.end(p.id, t.Task, t.Run, how, 0)
		}
	}
}

// start takes the room of a run and orders the backend server to start it.
func (m *Machine) start(r *run) {
	r.phase = starting
	r.began = m.now
	m.used = m.used.Plus(r.need)
	m.renewed = m.now
	m.act(StartRun{
		Instance: m.instance.ID, Task: r.task, Run: r.run, Spec: r.spec, Lease: m.cfg.Lease, Timeout: m.cfg.OrderTimeout,
	})
}

// refusal returns why a task does not begin, or nothing.
func (m *Machine) refusal(b proto.Begin, t proto.TaskBegin, valid bool) proto.How {
	switch {
	case !valid, !m.taking(), m.instance.Service != b.Service:
		return proto.HowNotBegun
	case m.runs[t.Task] != nil:
		return proto.HowNotBegun
	case !m.instance.Total.Minus(m.used).Minus(m.owed).Fits(t.Need):
		return proto.HowNoRoom
	}
	return ""
}

func (m *Machine) startDone(ev StartDone) {
	r := m.runs[ev.Task]
	if r == nil || r.run != ev.Run {
		return
	}
	if ev.Born != 0 {
		// Known before the life is compared, so that a new life's own run is not taken for one of the old.
		r.born = ev.Born
		m.checkLife(ev.Born)
	}
	switch ev.Outcome {
	case OrderDone:
		m.startConfirmed(r)
	case OrderUnknown:
		m.note(event.Note{Name: "start_unanswered", Job: r.task, Peer: r.peer})
		m.missed()
		r.unanswered = true
		m.halt(r)
	case OrderGone:
		// The next heartbeat of the backend server or the end of the lease settles what ran there.
		m.halt(r)
	default:
		m.startRefused(r, ev.Outcome)
	}
}

func (m *Machine) startConfirmed(r *run) {
	m.health.answered()
	if r.phase == starting {
		r.phase = working
		r.worked = m.now
		r.moved = m.now
	}
	r.confirmed = m.lookNumber + 1
	r.unanswered = false
}

func (m *Machine) startRefused(r *run, o Outcome) {
	how := proto.HowNotBegun
	if o == OrderNoRoom {
		how = proto.HowNoRoom
	}
	if o == OrderRefused {
		m.unwellUntil = m.now + unwellFor
		m.allDirty()
	}
	m.note(event.Note{Name: "start_refused", Job: r.task, Reason: string(o)})
	m.finish(r, how)
}

// halt orders a stop of the run; its room stays taken until the end is known.
func (m *Machine) halt(r *run) {
	if r.phase == held {
		m.giveBack(r)
		return
	}
	r.phase = stopping
	m.sendHalt(r)
}

func (m *Machine) sendHalt(r *run) {
	r.haltSent = m.now
	if m.instance == nil {
		return
	}
	m.act(HaltRun{Instance: m.instance.ID, Task: r.task, Run: r.run, Timeout: m.cfg.OrderTimeout})
}

// retryHalt repeats a stop that got no answer.
func (m *Machine) retryHalt(r *run) {
	if r.phase == stopping && !r.halted && m.now-r.haltSent > m.cfg.OrderTimeout {
		m.sendHalt(r)
	}
}

func (m *Machine) haltDone(ev HaltDone) {
	if ev.Born != 0 {
		m.checkLife(ev.Born)
	}
	r := m.runs[ev.Task]
	if r == nil || r.run != ev.Run || ev.Outcome != OrderDone {
		return
	}
	r.halted = true
	// The end is listed in a look that is sent after the stop was answered.
	r.confirmed = m.lookNumber + 1
	if r.unanswered {
		// A look that is on its way waits for an end, and there may be none: what it lists is listed again.
		m.look = nil
		m.quick = true
	}
}

// finish frees the room of a run that is not at work any more and tells its dispatcher.
func (m *Machine) finish(r *run, how proto.How) {
	if r.phase == held {
		m.giveBack(r)
		return
	}
	delete(m.runs, r.task)
	m.used = m.used.Minus(r.need)
	took := clock.Millis(0)
	if r.worked > 0 {
		took = m.now - r.worked
	}
	m.end(r.peer, r.task, r.run, how, took)
	m.startHeld()
	m.offerRoom()
}

// offerLater is how long room stays with the dispatcher that it was offered to before the next one hears of it, in
// milliseconds: a message there, the order back, and a little more.
const offerLater = 4 * clock.Millis(1)

// offerRoom begins to offer room that has become free to the dispatchers that have work waiting.
func (m *Machine) offerRoom() {
	m.round++
	m.offering = true
	m.offerAt = m.now
}

// offerOn offers free room to one dispatcher after the other until it is taken: two that count on the same room begin jobs
// of which a part has to wait, and telling all of each change costs as many messages as there are dispatchers. The most
// pressing work goes first, and among equals the dispatcher whose last offer is longest ago.
func (m *Machine) offerOn() {
	if !m.offering || m.now < m.offerAt {
		return
	}
	first := m.nextOffer()
	if first == nil || !m.usefulRoom() {
		m.offering = false
		return
	}
	m.offers++
	first.offered, first.round = m.offers, m.round
	first.dirty = true
	m.offerAt = m.now + offerLater
}

// nextOffer returns the dispatcher that hears next of the room of this round, or nil.
func (m *Machine) nextOffer() (first *peer) {
	for _, id := range m.peerIDs() {
		p := m.peers[id]
		if !p.up || m.now >= p.wants || p.round >= m.round {
			continue
		}
		if first == nil || p.rank < first.rank || (p.rank == first.rank && p.offered < first.offered) {
			first = p
		}
	}
	return first
}

// usefulRoom reports whether a run as small as the smallest one here would fit.
func (m *Machine) usefulRoom() bool {
	if m.instance == nil {
		return false
	}
	free := m.instance.Total.Minus(m.used).Minus(m.owed)
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
