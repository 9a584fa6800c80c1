package subset_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/shard"
	"corianderspur.example/corianderspur/internal/subset"
)

func agentsOf(zones, each int) (list []shard.Member) {
	for z := range zones {
		for i := range each {
			list = append(list, shard.Member{ID: shard.ID(fmt.Sprintf("agent-%d-%d", z, i)), Zone: fmt.Sprintf("z%d", z)})
		}
	}
	return list
}

func always(shard.ID) bool { return true }
func never(shard.ID) bool  { return false }

func choose(entry, zone string, agents []shard.Member) []shard.Member {
	return subset.Choose(zone, subset.Order(entry, zone, agents), always, never)
}

// In a small deployment, every entry keeps sessions with all agents.
func TestSmallDeploymentIsChosenWhole(t *testing.T) {
	qt.Assert(t, choose("e1", "z0", agentsOf(3, 4)), qt.HasLen, 12)
}

// In a large deployment, an entry keeps sessions with the agents of its own availability zone and some of the others, and every
// agent has sessions with entries of other zones, as a fallback if the entries of its own zone are lost.
func TestLargeFleetIsCovered(t *testing.T) {
	agents := agentsOf(6, 27)
	sessions := map[shard.ID]int{}
	for z := range 6 {
		for i := range 6 {
			zone := fmt.Sprintf("z%d", z)
			chosen := choose(fmt.Sprintf("entry-%d-%d", z, i), zone, agents)
			qt.Assert(t, chosen, qt.HasLen, 27+16)
			for _, a := range chosen {
				sessions[a.ID]++
			}
		}
	}
	for _, a := range agents {
		qt.Assert(t, sessions[a.ID] >= 6, qt.IsTrue)
	}
}

// An agent that joins moves no other session of the entry's own zone and at most one of the other zones.
func TestChangeMovesFewSessions(t *testing.T) {
	agents := agentsOf(6, 27)
	before := map[shard.ID]bool{}
	for _, a := range choose("e1", "z0", agents) {
		before[a.ID] = true
	}
	moved := 0
	for _, a := range choose("e1", "z0", append(agents, shard.Member{ID: "agent-new", Zone: "z3"})) {
		if !before[a.ID] {
			moved++
		}
	}
	qt.Assert(t, moved <= 1, qt.IsTrue)
}

// Unreachable agents are replaced by others but still retried, and needed agents stay chosen.
func TestUnreachableAgentsAreReplaced(t *testing.T) {
	agents := agentsOf(6, 27)
	order := subset.Order("e1", "z0", agents)
	otherZones := func(id shard.ID) bool { return id[:len("agent-0")] != "agent-0" }
	chosen := subset.Choose("z0", order, otherZones, never)
	qt.Assert(t, chosen, qt.HasLen, 27+40)

	last := order[len(order)-1].ID
	chosen = subset.Choose("z0", order, always, func(id shard.ID) bool { return id == last })
	qt.Assert(t, chosen, qt.HasLen, 27+16+1)
	qt.Assert(t, chosen[len(chosen)-1].ID, qt.Equals, last)
}

// Cancels are relayed by agents: any two entries of a large deployment have sessions with an agent in common.
func TestAnyTwoEntriesOfALargeFleetShareAnAgent(t *testing.T) {
	for _, fleet := range []struct{ zones, agents, entries int }{{2, 60, 10}, {3, 54, 12}, {6, 27, 6}, {6, 80, 6}, {1, 600, 20}} {
		agents := agentsOf(fleet.zones, fleet.agents)
		var chosen []map[shard.ID]bool
		for z := range fleet.zones {
			for i := range fleet.entries {
				ids := map[shard.ID]bool{}
				for _, a := range choose(fmt.Sprintf("entry-%d-%d", z, i), fmt.Sprintf("z%d", z), agents) {
					ids[a.ID] = true
				}
				chosen = append(chosen, ids)
			}
		}
		for i, a := range chosen {
			for k, b := range chosen[:i] {
				qt.Assert(t, shared(a, b) > 0, qt.IsTrue, qt.Commentf("%+v: entries %d and %d", fleet, i, k))
			}
		}
	}
}

func shared(a, b map[shard.ID]bool) (n int) {
	for id := range a {
		if b[id] {
			n++
		}
	}
	return n
}
