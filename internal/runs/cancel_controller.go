package runs

import (
	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
)

// cancelRetention is how long a cancel is relayed to dispatchers whose session begins after it arrived, in milliseconds.
const cancelRetention = 3 * clock.Second

// cancel is a cancel that dispatchers other than its asker are sent.
type cancel struct {
	proto.RelayedCancel
	// number increases with each cancel.
	number uint64
	at     clock.Millis
}

// handleCancels takes in the cancels of a dispatcher and passes its answers on to the askers.
func (m *Machine) handleCancels(p *peer, o *proto.Orders) {
	for _, id := range o.Cancels {
		m.lastCancel++
		relayed := proto.RelayedCancel{Job: id, Asker: p.id}
		m.cancels = append(m.cancels, cancel{RelayedCancel: relayed, number: m.lastCancel, at: m.now})
		m.note(event.Note{Name: "cancel_relayed", Job: id, Peer: p.id, Quiet: true})
	}
	if excess := len(m.cancels) - proto.MaxCancels; excess > 0 {
		m.cancels = m.cancels[excess:]
		m.note(event.Note{Name: "cancels_dropped", Peer: p.id, Count: excess})
	}
	for _, c := range o.Cancelled {
		if asker := m.peers[c.Asker]; asker != nil && asker.up {
			asker.cancelled = append(asker.cancelled, c.Job)
			asker.dirty = true
		}
	}
}

// cancelsDue reports whether the dispatcher gets a report for the sake of its cancels.
func (m *Machine) cancelsDue(p *peer) bool {
	return p.lastCancel < m.lastCancel && m.now-p.reportedAt >= echoInterval && len(m.unsentCancels(p)) > 0
}

// unsentCancels returns the cancels of others that the dispatcher has not been sent.
func (m *Machine) unsentCancels(p *peer) (list []proto.RelayedCancel) {
	for _, c := range m.cancels {
		if c.number > p.lastCancel && c.Asker != p.id {
			list = append(list, c.RelayedCancel)
		}
	}
	return list
}

func (m *Machine) expireCancels() {
	for len(m.cancels) > 0 && m.now-m.cancels[0].at > cancelRetention {
		m.cancels = m.cancels[1:]
	}
}
