package shard_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/shard"
)

func counts(m *shard.Map) map[shard.ID]int {
	n := map[shard.ID]int{}
	for _, o := range m.Shards {
		n[o.ID]++
	}
	return n
}

func TestBalanceMovesFewShards(t *testing.T) {
	m := shard.New(shard.Member{ID: "e0"}, 64, shard.Terms{})
	for i := 1; i < 5; i++ {
		next := m.Next("e0")
		next.Add(shard.Member{ID: shard.ID(fmt.Sprintf("e%d", i))})
		next.Balance()
		moved := 0
		for s, o := range next.Shards {
			if o.ID != m.Shards[s].ID {
				moved++
				qt.Check(t, o.Epoch, qt.Equals, m.Shards[s].Epoch+1)
				qt.Check(t, o.Previous, qt.Equals, m.Shards[s].ID)
			}
		}
		qt.Check(t, moved <= 64/(i+1)+1, qt.IsTrue, qt.Commentf("%d moved for %d members", moved, i+1))
		for id, n := range counts(next) {
			qt.Check(t, n >= 64/(i+1) && n <= 64/(i+1)+1, qt.IsTrue, qt.Commentf("%s owns %d of 64", id, n))
		}
		m = next
	}
}

func TestRemovedMemberHandsNothingOver(t *testing.T) {
	m := shard.New(shard.Member{ID: "e0"}, 8, shard.Terms{})
	m.Add(shard.Member{ID: "e1"})
	m.Balance()
	next := m.Next("e1")
	next.Remove("e0")
	next.Balance()
	for i, o := range next.Shards {
		qt.Check(t, o.ID, qt.Equals, shard.ID("e1"))
		if o.Epoch != m.Shards[i].Epoch {
			qt.Check(t, o.Previous, qt.Equals, shard.ID(""), qt.Commentf("shard %d", i))
		}
	}
}

func TestLeavingMemberKeepsShardsWhenAlone(t *testing.T) {
	m := shard.New(shard.Member{ID: "e0"}, 8, shard.Terms{})
	next := m.Next("e0")
	next.Member("e0").Leaving = true
	next.Balance()
	qt.Check(t, counts(next)["e0"], qt.Equals, 8)
}
