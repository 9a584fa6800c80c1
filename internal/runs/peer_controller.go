package runs

import (
	"slices"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/evac"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/shard"
)

// wantTTL is how long a dispatcher counts as having work waiting after it has said so, in milliseconds; it repeats this
// twice in that time.
const wantTTL = 1100 * clock.Millis(1)

// peerRetention is how long a dispatcher without a session or runs is remembered, in milliseconds.
const peerRetention = 10 * clock.Second

func (m *Machine) sortedPeerIDs() []shard.ID {
	ids := make([]shard.ID, 0, len(m.peers))
	for id := range m.peers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (m *Machine) handleSessionUp(ev event.SessionUp) {
	p := m.peers[ev.Peer]
	if p == nil {
		p = &peer{id: ev.Peer, offset: unknownOffset}
		m.peers[ev.Peer] = p
	}
	p.up = true
	p.upAt = m.now
	p.lastBegin = 0
	p.lastCancel = 0
	p.evacuated = evac.Session{}
	p.full = true
	p.dirty = true
	m.note(event.Note{Name: "session_up", Peer: ev.Peer})
}

// unknownOffset marks a clock difference that is not known yet.
const unknownOffset = clock.Millis(1) << 60

func (m *Machine) handleSessionDown(ev event.SessionDown) {
	p := m.peers[ev.Peer]
	if p == nil || !p.up {
		return
	}
	p.up = false
	p.downAt = m.now
	m.note(event.Note{Name: "session_down", Peer: ev.Peer, Count: m.runCount(p)})
}

func (m *Machine) runCount(p *peer) int {
	n := 0
	for _, r := range m.runs {
		if r.peer == p.id {
			n++
		}
	}
	return n
}

// checkPeer drops the session of a dispatcher that is silent for too long, stops its runs once its authority has lapsed, and
// forgets it after peerRetention without a session if it has no runs.
func (m *Machine) checkPeer(p *peer) {
	if p.up && m.now-max(p.lastHeard, p.upAt) > m.silenceLimit(p) {
		m.note(event.Note{Name: "dispatcher_silent", Peer: p.id, Took: m.now - p.lastHeard, Count: m.runCount(p)})
		p.up = false
		p.downAt = m.now
		m.emit(CloseSession{Peer: p.id})
	}
	// A session that has just begun gives no authority: its dispatcher may not know of it.
	if m.now-p.lastHeard > m.cfg.Silence || (!p.up && m.now-p.downAt > m.cfg.Reattach) {
		m.haltRunsOf(p)
	}
	if !p.up && m.now-p.downAt > peerRetention && m.runCount(p) == 0 {
		delete(m.peers, p.id)
	}
}

// silenceLimit returns how long a dispatcher may be silent. A session without runs gives no run the authority to
// continue, so it may be silent for longer.
func (m *Machine) silenceLimit(p *peer) clock.Millis {
	if m.runCount(p) > 0 {
		return m.cfg.Silence
	}
	return m.cfg.IdleSilence
}

func (m *Machine) haltRunsOf(p *peer) {
	for _, task := range m.sortedTasks() {
		r := m.runs[task]
		if r.peer != p.id {
			continue
		}
		m.revoke(r)
		if r.phase != stopping {
			m.note(event.Note{Name: "run_stopped", Job: r.task, Reason: "dispatcher_lost", Peer: p.id, Took: m.now - p.lastHeard})
			m.haltRun(r)
		}
	}
}

// driftDivisor allows for steady clocks that run at different rates, as a divisor of the elapsed time: several
// times the error of a machine's quartz.
const driftDivisor = 1000

// recordStamp records a stamp of the dispatcher and reports whether its authority is still valid. The smallest
// difference between the two clocks counts as a message without delay. It is raised by as much as the rates of two
// clocks may differ, since drift makes an old minimum too small.
func (m *Machine) recordStamp(p *peer, stamp clock.Millis) bool {
	if grown := (m.now - p.offsetAt) / driftDivisor; grown > 0 && p.offset < unknownOffset {
		p.offset += grown
		p.offsetAt += grown * driftDivisor
	}
	if delay := m.now - stamp; delay < p.offset {
		p.offset, p.offsetAt = delay, m.now
	}
	p.lastHeard = max(p.lastHeard, stamp+p.offset)
	p.lastStamp = max(p.lastStamp, stamp)
	return m.now-(stamp+p.offset) <= m.cfg.Silence
}

func (m *Machine) handleOrders(from shard.ID, o *proto.Orders) {
	p := m.peers[from]
	if p == nil || !p.up {
		return
	}
	if err := o.Check(); err != nil {
		m.note(event.Note{Name: "orders_malformed", Peer: p.id, Reason: err.Error()})
		m.emit(CloseSession{Peer: p.id})
		return
	}
	// The dispatcher sends nothing else before the echo of its first stamp.
	p.dirty = p.dirty || p.lastStamp == 0 || m.now-p.reportedAt >= echoInterval
	valid := m.recordStamp(p, o.Stamp)
	m.dropAckedEnds(p, o.AckedEnd)
	m.updateWant(p, o)
	m.handleCancels(p, o)
	if o.Evacuated != nil {
		p.evacuated.Heard(o.Evacuated.Version)
		m.learnEvacuated(*o.Evacuated, p.id)
	}
	for _, ref := range o.Halts {
		m.handleHalt(p, ref)
	}
	for _, b := range o.Begins {
		p.lastBegin = b.Seq
		m.handleBegin(p, b, valid)
	}
}

// updateWant records whether the dispatcher has work waiting; one that begins to wait gets a report at once.
func (m *Machine) updateWant(p *peer, o *proto.Orders) {
	if !o.Want {
		p.wantsUntil = 0
		return
	}
	if m.now >= p.wantsUntil || o.Rank < p.rank {
		p.dirty = true
	}
	p.wantsUntil, p.rank = m.now+wantTTL, o.Rank
}

// echoInterval is the least time between reports that only answer heartbeats, in milliseconds.
const echoInterval = 50 * clock.Millis(1)

func (m *Machine) dropAckedEnds(p *peer, acked uint64) {
	for len(p.unackedEnds) > 0 && p.unackedEnds[0].N <= acked {
		p.unackedEnds = p.unackedEnds[1:]
	}
}

func (m *Machine) handleHalt(p *peer, ref proto.RunRef) {
	r := m.runs[ref.Task]
	if r == nil || r.peer != p.id {
		return
	}
	m.revoke(r)
	if r.phase == stopping {
		return
	}
	m.note(event.Note{Name: "run_stopped", Job: r.task, Reason: "ordered", Peer: p.id, Quiet: true})
	m.haltRun(r)
}

// reportEnd reports to the dispatcher that a run has ended.
func (m *Machine) reportEnd(peerID shard.ID, task string, run int, how proto.EndReason, took clock.Millis, shares []proto.KindShare) {
	p := m.peers[peerID]
	if p == nil {
		return
	}
	m.lastEndReported++
	p.lastEnd = m.lastEndReported
	p.unackedEnds = append(p.unackedEnds, proto.End{N: p.lastEnd, Task: task, Run: run, How: how, TookMS: took, Beside: shares})
	p.dirty = true
}

// sendReports sends a report to each dispatcher for which something has changed.
func (m *Machine) sendReports() {
	for _, id := range m.sortedPeerIDs() {
		p := m.peers[id]
		if !p.up || (!p.dirty && !m.cancelsDue(p)) {
			continue
		}
		p.dirty = false
		p.reportedAt = m.now
		r := m.newReport()
		r.Echo = p.lastStamp
		r.LastBegin = p.lastBegin
		r.Ends = slices.Clone(p.unsent())
		if p.full {
			p.full = false
			r.Facts = m.facts()
			r.Inventory = m.inventory(p)
			r.Ends = slices.Clone(p.unackedEnds)
			m.note(event.Note{Name: "inventory_sent", Peer: id, Count: len(r.Inventory.Runs), Seq: p.lastBegin})
		}
		r.Cancels, p.lastCancel = m.unsentCancels(p), m.lastCancel
		if len(r.Cancels) > 0 {
			r.LastCancel = m.lastCancel
		}
		r.Cancelled, p.cancelled = p.cancelled, nil
		r.Evacuated = p.evacuated.Due(&m.evacuated)
		r.InForce, p.inForce = p.inForce, nil
		p.markSent()
		m.emit(event.Send{To: id, Message: proto.Message{Report: &r}})
	}
}

func (p *peer) unsent() []proto.End {
	for i, e := range p.unackedEnds {
		if e.N > p.lastSentEnd {
			return p.unackedEnds[i:]
		}
	}
	return nil
}

func (p *peer) markSent() {
	p.lastSentEnd = p.lastEnd
}

func (m *Machine) facts() *proto.Facts {
	f := &proto.Facts{Agent: m.cfg.Name}
	if in := m.instance; in != nil {
		f.Zone, f.Service, f.Total, f.Labels = in.Zone, in.Service, in.Total, in.Labels
		f.Instance, f.Born = in.ID, in.Born
	}
	return f
}

func (m *Machine) inventory(p *peer) *proto.Inventory {
	inv := &proto.Inventory{}
	for _, task := range m.sortedTasks() {
		if r := m.runs[task]; r.peer == p.id {
			inv.Runs = append(inv.Runs, proto.RunRef{Task: r.task, Run: r.run})
		}
	}
	return inv
}
