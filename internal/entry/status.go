package entry

import (
	"slices"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/policy"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/shard"
)

// AgentStatus is an entry's view of one agent.
type AgentStatus struct {
	ID        shard.ID   `json:"id"`
	Worker    string     `json:"worker"`
	Zone      string     `json:"availability_zone"`
	Connected bool       `json:"connected"`
	Load      proto.Load `json:"load"`
	Slowness  float64    `json:"slowness"`
	InFlight  int        `json:"in_flight"`
}

// Status is an entry's view of itself and of the deployment.
type Status struct {
	ID         shard.ID       `json:"id"`
	Zone       string         `json:"availability_zone"`
	Ready      bool           `json:"ready"`
	Stopping   bool           `json:"stopping"`
	MapVersion uint64         `json:"map_version"`
	Cold       bool           `json:"cold_start"`
	Members    []shard.Member `json:"entries"`
	// Shards is the number of shards of each entry, Configs the configuration version in force at each.
	Shards                  map[shard.ID]int    `json:"shards"`
	Configs                 map[shard.ID]uint64 `json:"configuration_versions"`
	ShardsOwned             int                 `json:"shards_owned"`
	ShardsTaking            int                 `json:"shards_taking"`
	ShardsWithUnknownStarts int                 `json:"shards_with_unknown_starts"`
	ConfigVersion           uint64              `json:"configuration_version"`
	ConfigAge               clock.Millis        `json:"configuration_age_ms"`
	TableAge                clock.Millis        `json:"table_last_answer_ms"`
	Jobs                    int                 `json:"jobs_remembered"`
	Live                    int                 `json:"jobs_running"`
	Callers                 int                 `json:"callers_waiting"`
	UrgentQueued            int                 `json:"urgent_tasks_waiting"`
	NormalQueued            int                 `json:"normal_tasks_waiting"`
	Agents                  []AgentStatus       `json:"agents"`
	LostAgents              int                 `json:"agents_lost"`
	EvacuatedZones          []string            `json:"evacuated_zones,omitempty"`
}

// Zones returns the availability zones of the known entries and agents, in alphabetical order.
func (s *Status) Zones() []string {
	zones := []string{s.Zone}
	for _, m := range s.Members {
		zones = append(zones, m.Zone)
	}
	for _, a := range s.Agents {
		zones = append(zones, a.Zone)
	}
	zones = slices.DeleteFunc(zones, func(z string) bool { return z == "" })
	slices.Sort(zones)
	return slices.Compact(zones)
}

// Status returns the entry's view at the given time in milliseconds.
func (m *Machine) Status(now clock.Millis) Status {
	m.now = now
	s := Status{
		ID: m.cfg.ID, Zone: m.cfg.Zone, Ready: m.Ready(), Stopping: m.stopping,
		ShardsOwned: m.shards.Count(shardOwned), ShardsTaking: m.shards.Count(shardTaking),
		ConfigVersion: m.config.Version(), ConfigAge: now - m.config.adoptedAt, TableAge: now - m.maps.tableRepliedAt,
		Jobs: len(m.jobs.jobs), Live: len(m.jobs.live), Callers: m.routes.Callers(),
		Shards: map[shard.ID]int{}, Configs: map[shard.ID]uint64{m.cfg.ID: m.config.Version()},
		EvacuatedZones: m.config.policy.Document.Evacuated,
		UrgentQueued:   m.dispatch.Len(true), NormalQueued: m.dispatch.Len(false),
	}
	if m.maps.current != nil {
		s.MapVersion = m.maps.current.Version
		s.Cold = m.maps.current.Cold
		s.Members = m.maps.current.Members
		s.LostAgents = len(m.maps.current.Lost)
		for _, o := range m.maps.current.Shards {
			s.Shards[o.ID]++
		}
	}
	for id, p := range m.maps.peers {
		s.Configs[id] = p.configVersion
	}
	for _, st := range m.shards.shards {
		if st.is(shardOwned) && !st.startsKnown {
			s.ShardsWithUnknownStarts++
		}
	}
	for _, v := range m.agents.views {
		s.Agents = append(s.Agents, AgentStatus{
			ID: v.id, Worker: v.worker, Zone: v.zone, Connected: v.connected, Load: v.load, Slowness: v.slowness, InFlight: v.inFlight,
		})
	}
	return s
}

// Ready reports whether a request would be served now: the entry is not stopping and has a map, every shard's owner can
// be reached, no shard is being taken over here, and an agent takes tasks.
func (m *Machine) Ready() bool {
	if m.maps.current == nil || m.stopping || m.agents.Slots() == 0 {
		return false
	}
	for _, o := range m.maps.current.Shards {
		if o.ID == m.cfg.ID {
			continue
		}
		if p := m.maps.peers[o.ID]; p == nil || !p.connected {
			return false
		}
	}
	return m.shards.Count(shardTaking) == 0
}

// Config returns the configuration in force, which must not be modified.
func (m *Machine) Config() *policy.Document {
	return m.config.policy.Document
}

// Map returns the current shard map, or nil; it must not be modified.
func (m *Machine) Map() *shard.Map {
	return m.maps.current
}
