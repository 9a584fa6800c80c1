package disp

import (
	"strings"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/shard"
	"corianderspur.example/corianderspur/internal/subset"
)

const (
	// chooseInterval is the time between updates of the chosen agents, in milliseconds.
	chooseInterval = 1 * clock.Second
	// connectTimeout is how long a chosen agent may be without a session before others are chosen beside it, in milliseconds.
	connectTimeout = 3 * clock.Second
)

// setMembers sets the agents of the deployment and chooses among them.
func (m *Machine) setMembers(agents []shard.Member) {
	name, _, _ := strings.Cut(string(m.cfg.ID), "/")
	m.ranked = subset.Order(name, m.cfg.Zone, agents)
	m.chooseAgents()
}

// checkChosen chooses agents again at a regular interval, as some may have become unreachable or idle.
func (m *Machine) checkChosen() {
	if m.now >= m.nextChoice && len(m.ranked) > 0 {
		m.chooseAgents()
	}
}

// chooseAgents chooses the agents to which sessions are kept open. Those in evacuated availability zones, and after connectTimeout
// those that can't be reached, don't count, so that others are added beside them. Those with tasks of this dispatcher are kept.
func (m *Machine) chooseAgents() {
	m.nextChoice = m.now + chooseInterval
	upNames, busyNames := m.connected()
	evacuated := m.evacuatedMembers()
	reachable := func(id shard.ID) bool {
		since, ok := m.chosen[id]
		return !evacuated[id] && (upNames[string(id)] || !ok || m.now-since < connectTimeout)
	}
	chosen := subset.Choose(m.cfg.Zone, m.ranked, reachable, func(id shard.ID) bool { return busyNames[string(id)] })
	chosenSince := make(map[shard.ID]clock.Millis, len(chosen))
	for _, a := range chosen {
		since, ok := m.chosen[a.ID]
		if !ok || upNames[string(a.ID)] {
			since = m.now
		}
		chosenSince[a.ID] = since
	}
	m.chosen = chosenSince
	for _, v := range m.agents {
		_, ok := chosenSince[shard.ID(v.name)]
		v.unchosen = !ok
	}
	m.emit(event.Connect{Members: chosen})
}

// connected returns, by name, the agents that have a session and those of them that have tasks of this dispatcher.
func (m *Machine) connected() (up, busy map[string]bool) {
	up, busy = map[string]bool{}, map[string]bool{}
	for _, v := range m.agents {
		if v.downAt == 0 {
			up[v.name] = true
			busy[v.name] = busy[v.name] || v.busy
		}
	}
	return up, busy
}
