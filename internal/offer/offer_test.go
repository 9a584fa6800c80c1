package offer_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/offer"
	"corianderspur.example/corianderspur/internal/shard"
)

func offers(s *offer.Shares, n int, claims ...offer.Claim) map[shard.ID]int {
	count := map[shard.ID]int{}
	for range n {
		count[claims[s.Next(claims)].ID]++
	}
	return count
}

// A burst that the balancer spreads unevenly: a dispatcher with three times the callers gets three times the offers.
func TestOffersFollowTheWorkThatWaits(t *testing.T) {
	s := offer.NewShares()
	got := offers(s, 50, offer.Claim{ID: "e1", Waiting: 50_000}, offer.Claim{ID: "e2", Waiting: 150_000}, offer.Claim{ID: "e3", Waiting: 50_000})
	qt.Assert(t, got, qt.DeepEquals, map[shard.ID]int{"e1": 10, "e2": 30, "e3": 10})
}

// Work of a lower rank gets every offer while it waits, and its share afterwards is as if it had not waited.
func TestLowestRankIsOfferedFirst(t *testing.T) {
	s := offer.NewShares()
	started := offer.Claim{ID: "e1", Rank: 0, Waiting: 7000}
	other := offer.Claim{ID: "e2", Rank: 2, Waiting: 700_000}
	qt.Check(t, offers(s, 10, started, other), qt.DeepEquals, map[shard.ID]int{"e1": 10})
	qt.Check(t, offers(s, 10, other, offer.Claim{ID: "e1", Rank: 2, Waiting: 700_000}), qt.DeepEquals, map[shard.ID]int{"e1": 5, "e2": 5})
}

// A dispatcher that begins to wait late in a burst has saved up no offers: those that waited all along still get theirs.
func TestLateDispatcherHasNoCredit(t *testing.T) {
	s := offer.NewShares()
	first := offer.Claim{ID: "e1", Waiting: 10_000}
	offers(s, 1000, first)
	got := offers(s, 10, first, offer.Claim{ID: "e2", Waiting: 10_000})
	qt.Check(t, got, qt.DeepEquals, map[shard.ID]int{"e1": 5, "e2": 5})
}

// Dispatchers that wait by turns are each offered capacity when they wait, also those that don't say how much.
func TestEveryWaitingDispatcherIsOffered(t *testing.T) {
	s := offer.NewShares()
	qt.Check(t, s.Next(nil), qt.Equals, -1)
	got := offers(s, 9, offer.Claim{ID: "e1"}, offer.Claim{ID: "e2"}, offer.Claim{ID: "e3"})
	qt.Check(t, got, qt.DeepEquals, map[shard.ID]int{"e1": 3, "e2": 3, "e3": 3})
	s.Forget("e1")
	got = offers(s, 11, offer.Claim{ID: "e1"}, offer.Claim{ID: "e2"})
	qt.Check(t, got, qt.DeepEquals, map[shard.ID]int{"e1": 6, "e2": 5})
}
