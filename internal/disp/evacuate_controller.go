package disp

import (
	"slices"
	"strings"

	"corianderspur.example/corianderspur/internal/evac"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/shard"
)

// learnEvacuated takes a newer state of the evacuated availability zones, passes it on to all agents at once if other zones are
// evacuated now, and refuses the waiting jobs that nobody can serve any more. The sender is empty for the store.
func (m *Machine) learnEvacuated(s evac.State, from shard.ID) {
	if !m.evacuated.Learn(s) {
		return
	}
	zones := m.evacuated.State().Zones
	m.note(event.Note{Name: "zones_evacuated", Version: s.Version, Reason: strings.Join(zones, ","), Peer: from, Count: len(m.evacuatedMembers())})
	m.noteUnknownZones(zones)
	for _, id := range m.agentIDs() {
		if v := m.agents[id]; v.downAt == 0 {
			m.heartbeat(v)
		}
	}
	if len(m.ranked) > 0 {
		m.chooseAgents()
	}
	for _, id := range m.jobIDs() {
		j := m.jobs[id]
		if reason := m.refusalReason(j); reason == noWorker && !j.queued.Started {
			m.refuse(j, reason)
		}
	}
	m.placementDue = true
}

// noteUnknownZones logs each evacuated availability zone without an agent, as its name may be misspelled.
func (m *Machine) noteUnknownZones(zones []string) {
	for _, z := range zones {
		known := slices.ContainsFunc(m.ranked, func(a shard.Member) bool { return a.Zone == z })
		if len(m.ranked) > 0 && !known {
			m.note(event.Note{Name: "evacuated_zone_unknown", Version: m.evacuated.State().Version, Reason: z})
		}
	}
}

// evacuatedMembers returns the agents in evacuated availability zones.
func (m *Machine) evacuatedMembers() map[shard.ID]bool {
	members := map[shard.ID]bool{}
	for _, a := range m.ranked {
		if m.evacuated.Has(a.Zone) {
			members[a.ID] = true
		}
	}
	return members
}
