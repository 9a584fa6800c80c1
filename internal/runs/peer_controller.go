package runs

import (
	"slices"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/shard"
)

// wantFor is how long a dispatcher counts as having work waiting after it has said so, in milliseconds; it says so again
// twice in that time.
const wantFor = 1100 * clock.Millis(1)

// forgetPeer is how long a dispatcher without a session or runs is remembered, in milliseconds.
const forgetPeer = 10 * clock.Second

func (m *Machine) peerIDs() []shard.ID {
	ids := make([]shard.ID, 0, len(m.peers))
	for id := range m.peers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (m *Machine) sessionUp(ev event.SessionUp) {
	p := m.peers[ev.Peer]
	if p == nil {
		p = &peer{id: ev.Peer}
		m.peers[ev.Peer] = p
	}
	p.up = true
	p.heard = m.now
	p.offset = maxOffset
	p.begun = 0
	p.full = true
	p.dirty = true
	m.note(event.Note{Name: "session_up", Peer: ev.Peer})
}

// maxOffset stands for a difference between clocks that is not known yet.
const maxOffset = clock.Millis(1) << 60

func (m *Machine) sessionDown(ev event.SessionDown) {
	p := m.peers[ev.Peer]
	if p == nil || !p.up {
		return
	}
	p.up = false
	p.downAt = m.now
	m.note(event.Note{Name: "session_down", Peer: ev.Peer, Count: m.countOf(p)})
}

func (m *Machine) countOf(p *peer) int {
	n := 0
	for _, r := range m.runs {
		if r.peer == p.id {
			n++
		}
	}
	return n
}

// checkPeer stops the runs of a dispatcher whose authority has lapsed.
func (m *Machine) checkPeer(p *peer) {
	if p.up && m.now-p.heard <= m.silenceOf(p) {
		return
	}
	if p.up {
		m.note(event.Note{Name: "dispatcher_silent", Peer: p.id, Took: m.now - p.heard, Count: m.countOf(p)})
		p.up = false
		p.downAt = m.now
		m.act(Drop{Peer: p.id})
	}
	if m.now-p.heard > m.cfg.Silence || m.now-p.downAt > m.cfg.Reattach {
		m.haltPeer(p)
	}
	if m.now-p.downAt > forgetPeer && m.countOf(p) == 0 {
		delete(m.peers, p.id)
	}
}

// silenceOf returns how long a dispatcher may be silent: authority that nothing runs under needs no heartbeats.
func (m *Machine) silenceOf(p *peer) clock.Millis {
	if m.countOf(p) > 0 {
		return m.cfg.Silence
	}
	return m.cfg.IdleSilence
}

func (m *Machine) haltPeer(p *peer) {
	for _, task := range m.tasks() {
		if r := m.runs[task]; r.peer == p.id && r.phase != stopping {
			m.note(event.Note{Name: "run_stopped", Job: r.task, Reason: "dispatcher_lost", Peer: p.id, Took: m.now - p.heard})
			m.halt(r)
		}
	}
}

// driftSlack covers that the steady clocks of two machines run at different rates, as a divisor of the time passed: several
// times what the quartz of a machine is off.
const driftSlack = 1000

// hear takes a stamp of the dispatcher and reports whether the dispatcher's authority reaches to now. The least
// difference between the two clocks stands for a message without delay. It is let grow by as much as the rates of two
// clocks may differ: the difference that was least once is not the least for ever.
func (m *Machine) hear(p *peer, stamp clock.Millis) bool {
	if grown := (m.now - p.offsetAt) / driftSlack; grown > 0 && p.offset < maxOffset {
		p.offset += grown
		p.offsetAt += grown * driftSlack
	}
	if delay := m.now - stamp; delay < p.offset {
		p.offset, p.offsetAt = delay, m.now
	}
	p.heard = max(p.heard, stamp+p.offset)
	p.stamp = max(p.stamp, stamp)
	return m.now-(stamp+p.offset) <= m.cfg.Silence
}

func (m *Machine) orders(from shard.ID, o *proto.Orders) {
	p := m.peers[from]
	if p == nil || !p.up {
		return
	}
	if err := o.Check(); err != nil {
		m.note(event.Note{Name: "orders_malformed", Peer: p.id, Reason: err.Error()})
		m.act(Drop{Peer: p.id})
		return
	}
	valid := m.hear(p, o.Stamp)
	p.dirty = p.dirty || m.now-p.echoed >= echoEvery
	m.forgetEnds(p, o.Noted)
	m.takeWant(p, o)
	for _, ref := range o.Halts {
		m.haltOrder(p, ref)
	}
	for _, b := range o.Begins {
		p.begun = b.Seq
		m.begin(p, b, valid)
	}
}

// takeWant takes note of whether the dispatcher has work waiting; one that begins to wait is told of the room at once.
func (m *Machine) takeWant(p *peer, o *proto.Orders) {
	if !o.Want {
		p.wants = 0
		return
	}
	if m.now >= p.wants || o.Rank < p.rank {
		p.dirty = true
	}
	p.wants, p.rank = m.now+wantFor, o.Rank
}

// echoEvery bounds the reports that only answer heartbeats, in milliseconds.
const echoEvery = 50 * clock.Millis(1)

func (m *Machine) forgetEnds(p *peer, noted uint64) {
	for len(p.ends) > 0 && p.ends[0].N <= noted {
		p.ends = p.ends[1:]
	}
}

func (m *Machine) haltOrder(p *peer, ref proto.RunRef) {
	r := m.runs[ref.Task]
	if r == nil || r.peer != p.id || r.phase == stopping {
		return
	}
	m.note(event.Note{Name: "run_stopped", Job: r.task, Reason: "ordered", Peer: p.id, Quiet: true})
	m.halt(r)
}

// end reports to the dispatcher that a run has ended.
func (m *Machine) end(peerID shard.ID, task string, n int, how proto.How, took clock.Millis) {
	p := m.peers[peerID]
	if p == nil {
		return
	}
	p.lastN++
	p.ends = append(p.ends, proto.End{N: p.lastN, Task: task, Run: n, How: how, TookMS: took})
	p.dirty = true
}

// report sends each dispatcher what has changed for it.
func (m *Machine) report() {
	for _, id := range m.peerIDs() {
		p := m.peers[id]
		if !p.up || !p.dirty {
			continue
		}
		p.dirty = false
		p.echoed = m.now
		r := m.state()
		r.Echo = p.stamp
		r.Begun = p.begun
		r.Ends = slices.Clone(p.unsent())
		if p.full {
			p.full = false
			r.Facts = m.facts()
			r.Inventory = m.inventory(p)
			r.Ends = slices.Clone(p.ends)
		}
		p.markSent()
		m.act(event.Send{To: id, Message: proto.Message{Report: &r}})
	}
}

func (p *peer) unsent() []proto.End {
	for i, e := range p.ends {
		if e.N > p.sentN {
			return p.ends[i:]
		}
	}
	return nil
}

func (p *peer) markSent() {
	p.sentN = p.lastN
}

func (m *Machine) facts() *proto.Facts {
	f := &proto.Facts{Agent: m.cfg.Name}
	if in := m.instance; in != nil {
		f.Zone, f.Service, f.Total, f.Labels = in.Zone, in.Service, in.Total, in.Labels
	}
	return f
}

func (m *Machine) inventory(p *peer) *proto.Inventory {
	inv := &proto.Inventory{}
	for _, task := range m.tasks() {
		if r := m.runs[task]; r.peer == p.id {
			inv.Runs = append(inv.Runs, proto.RunRef{Task: r.task, Run: r.run})
		}
	}
	return inv
}
