package runs

import (
	"strings"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/evac"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/shard"
)

// learnEvacuated takes a newer state of the evacuated availability zones. Runs at work in an evacuated zone go on; queued ones are
// returned, and all dispatchers are told at once. The sender is empty for the store.
func (m *Machine) learnEvacuated(s evac.State, from shard.ID) {
	before := m.accepting()
	changed := m.evacuated.Learn(s)
	m.awaitsEvacuated = m.awaitsEvacuated && !m.evacuated.Known()
	if changed {
		zones := m.evacuated.State().Zones
		m.note(event.Note{Name: "zones_evacuated", Version: s.Version, Reason: strings.Join(zones, ","), Peer: from, Count: len(zones)})
		if m.instance != nil && m.evacuates(m.instance) {
			m.rejectAllQueued()
		}
	}
	if changed || m.accepting() != before {
		m.markAllDirty()
	}
}

// evacuates reports whether no task may start at a backend server because its availability zone is, or may be, evacuated.
func (m *Machine) evacuates(in *Instance) bool {
	return m.awaitsEvacuated || m.evacuated.Has(in.Zone) || m.evacuated.Has(m.cfg.Zone)
}

// checkEvacuationWait accepts tasks without knowledge of evacuated zones when none can be had in time.
func (m *Machine) checkEvacuationWait() {
	if !m.awaitsEvacuated {
		return
	}
	if m.evacuatedBy == 0 {
		m.evacuatedBy = m.now + m.cfg.EvacuationWait
	}
	if m.now >= m.evacuatedBy {
		m.awaitsEvacuated = false
		m.note(event.Note{Name: "zones_evacuated_unknown", Took: m.cfg.EvacuationWait})
		m.markAllDirty()
	}
}

// recordWarmUp records how long the backend server is slow after its start, by its newest heartbeat.
func (m *Machine) recordWarmUp(in Instance) {
	if m.Knows(in) {
		m.warmUntil = m.now + in.WarmUp
		m.pace.warmUntil = m.warmUntil
	}
}

// warmUpLeft returns how much longer the backend server is slow after its start, in milliseconds.
func (m *Machine) warmUpLeft() clock.Millis {
	if m.instance == nil {
		return 0
	}
	return max(m.warmUntil-m.now, 0)
}
