package disp

import (
	"strings"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/shard"
	"corianderspur.example/corianderspur/internal/subset"
)

const (
	// chooseEvery is the time between looks at the choice of agents, in milliseconds.
	chooseEvery = 1 * clock.Second
	// reachIn is how long a chosen agent has for its session before others are chosen in its place, in milliseconds.
	reachIn = 3 * clock.Second
)

// members takes the agents of the deployment.
func (m *Machine) members(agents []shard.Member) {
	name, _, _ := strings.Cut(string(m.cfg.ID), "/")
	m.ranked = subset.Order(name, m.cfg.Zone, agents)
	m.choose()
}

// checkChoice chooses anew once in a while, as agents may have become unreachable or idle.
func (m *Machine) checkChoice() {
	if m.now >= m.chooseAt && len(m.ranked) > 0 {
		m.choose()
	}
}

// choose keeps sessions open to enough of the agents.
func (m *Machine) choose() {
	m.chooseAt = m.now + chooseEvery
	up, busy := m.reached()
	reachable := func(id shard.ID) bool {
		since, ok := m.chosen[id]
		return up[string(id)] || !ok || m.now-since < reachIn
	}
	chosen := subset.Choose(m.cfg.Zone, m.ranked, reachable, func(id shard.ID) bool { return busy[string(id)] })
	times := make(map[shard.ID]clock.Millis, len(chosen))
	for _, a := range chosen {
		since, ok := m.chosen[a.ID]
		if !ok || up[string(a.ID)] {
			since = m.now
		}
		times[a.ID] = since
	}
	m.chosen = times
	for _, v := range m.agents {
		_, ok := times[shard.ID(v.name)]
		v.unchosen = !ok
	}
	m.act(event.Connect{Members: chosen})
}

// reached returns by name the agents that have a session, and those that have tasks of this dispatcher.
func (m *Machine) reached() (up, busy map[string]bool) {
	up, busy = map[string]bool{}, map[string]bool{}
	for _, v := range m.agents {
		if v.downAt == 0 {
			up[v.name] = true
			busy[v.name] = busy[v.name] || v.busy
		}
	}
	return up, busy
}
