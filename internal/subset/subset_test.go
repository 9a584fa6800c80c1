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

func yes(shard.ID) bool { return true }
func no(shard.ID) bool  { return false }

func choose(entry, zone string, agents []shard.Member) []shard.Member {
	return subset.Choose(zone, subset.Order(entry, zone, agents), yes, no)
}

// A small deployment is served by every entry whole.
func TestSmallDeploymentIsChosenWhole(t *testing.T) {
	qt.Assert(t, choose("e1", "z0", agentsOf(3, 4)), qt.HasLen, 12)
}

// In a large fleet an entry keeps sessions with its own availability zone and some agents of the others, and every agent has
// entries of other zones for when its own entries are lost.
func TestLargeFleetIsCovered(t *testing.T) {
	agents := agentsOf(6, 27)
	degree := map[shard.ID]int{}
	for z := range 6 {
		for i := range 6 {
			zone := fmt.Sprintf("z%d", z)
			chosen := choose(fmt.Sprintf("entry-%d-%d", z, i), zone, agents)
			qt.Assert(t, chosen, qt.HasLen, 27+16)
			for _, a := range chosen {
				degree[a.ID]++
			}
		}
	}
	for _, a := range agents {
		qt.Assert(t, degree[a.ID] >= 6, qt.IsTrue)
	}
}

// An agent that joins or leaves moves no other session of the own zone and at most one of the others.
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

// Agents that can't be reached are replaced by others, and tried again; what is needed stays.
func TestUnreachableAgentsAreReplaced(t *testing.T) {
	agents := agentsOf(6, 27)
	order := subset.Order("e1", "z0", agents)
	lost := func(id shard.ID) bool { return id[:len("agent-0")] != "agent-0" }
	chosen := subset.Choose("z0", order, lost, no)
	qt.Assert(t, chosen, qt.HasLen, 27+40)

	last := order[len(order)-1].ID
	chosen = subset.Choose("z0", order, yes, func(id shard.ID) bool { return id == last })
	qt.Assert(t, chosen, qt.HasLen, 27+16+1)
	qt.Assert(t, chosen[len(chosen)-1].ID, qt.Equals, last)
}
