package subset

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"corianderspur.example/corianderspur/internal/shard"
)

const (
	// mostLocal is the greatest number of agents of the entry's own availability zone. It bounds an entry's control traffic.
	mostLocal = 256
	// away is the number of agents of other availability zones, for when those of the own one are full or lost.
	away = 16
	// least is the number of agents below which an entry keeps sessions with agents of any availability zone: with fewer,
	// wide jobs find no room beside the work of others.
	least = 40
)

// Order returns the agents in the order in which an entry prefers sessions with them: its own availability zone first, and
// within each part by a hash of both names, so that entries choose differently and a change of the agents moves few sessions.
func Order(entry, zone string, agents []shard.Member) []shard.Member {
	ranks := make(map[shard.ID]uint64, len(agents))
	for _, a := range agents {
		ranks[a.ID] = xxhash.Sum64String(entry + "\x00" + string(a.ID))
	}
	list := slices.Clone(agents)
	slices.SortFunc(list, func(a, b shard.Member) int {
		return cmp.Or(cmp.Compare(outside(a, zone), outside(b, zone)), cmp.Compare(ranks[a.ID], ranks[b.ID]))
	})
	return list
}

func outside(a shard.Member, zone string) int {
	if a.Zone == zone {
		return 0
	}
	return 1
}

// Choose returns the first agents of an order that are enough. Agents that the entry can't reach are chosen too, so that they
// are tried again, but do not count; agents that it needs are chosen wherever they stand.
func Choose(zone string, order []shard.Member, reachable, needed func(id shard.ID) bool) (chosen []shard.Member) {
	local, remote := 0, 0
	for _, a := range order {
		inside := a.Zone == zone
		full := remote >= max(away, least-local)
		if inside {
			full = local >= mostLocal
		}
		if full && !needed(a.ID) {
			continue
		}
		chosen = append(chosen, a)
		switch {
		case !reachable(a.ID):
		case inside:
			local++
		default:
			remote++
		}
	}
	return chosen
}
