package subset

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"corianderspur.example/corianderspur/internal/shard"
)

const (
	// maxLocal is the maximum number of agents in the dispatcher's own availability zone. It bounds the dispatcher's control traffic.
	maxLocal = 256
	// minRemote is the number of agents in other availability zones, as a fallback if those in the dispatcher's zone are full or lost.
	minRemote = 16
	// minTotal is the number of agents up to which a dispatcher adds agents of other availability zones: with fewer agents, jobs
	// with many tasks find no capacity beside the work of other dispatchers.
	minTotal = 40
)

// Order returns the agents in the order in which a dispatcher prefers them: those of its own availability zone first, and within each
// group by a hash of both names (rendezvous hashing), so that dispatchers choose different agents and an agent that joins or leaves
// moves few sessions.
func Order(entry, zone string, agents []shard.Member) []shard.Member {
	hashes := make(map[shard.ID]uint64, len(agents))
	for _, a := range agents {
		hashes[a.ID] = xxhash.Sum64String(entry + "\x00" + string(a.ID))
	}
	list := slices.Clone(agents)
	slices.SortFunc(list, func(a, b shard.Member) int {
		return cmp.Or(cmp.Compare(zoneOrder(a, zone), zoneOrder(b, zone)), cmp.Compare(hashes[a.ID], hashes[b.ID]))
	})
	return list
}

func zoneOrder(a shard.Member, zone string) int {
	if a.Zone == zone {
		return 0
	}
	return 1
}

// Choose returns the first agents of order up to the limits above, which apply to the dispatcher's own zone and to the other zones
// separately. Agents that the dispatcher can't reach are included, so that it retries them, but don't count towards the limits.
// Agents that are needed are included wherever they are in order.
func Choose(zone string, order []shard.Member, reachable, needed func(id shard.ID) bool) (chosen []shard.Member) {
	localCount, remoteCount := 0, 0
	for _, a := range order {
		local := a.Zone == zone
		enough := remoteCount >= max(minRemote, minTotal-localCount)
		if local {
			enough = localCount >= maxLocal
		}
		if enough && !needed(a.ID) {
			continue
		}
		chosen = append(chosen, a)
		switch {
		case !reachable(a.ID):
		case local:
			localCount++
		default:
			remoteCount++
		}
	}
	return chosen
}
