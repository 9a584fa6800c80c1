package subset_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/shard"
	"corianderspur.example/corianderspur/internal/subset"
)

// A burst fills the agents that a dispatcher knows: it adds agents from the first moment on while work waits, and drops them after
// a time without.
func TestWideningFollowsWaitingWork(t *testing.T) {
	w := &subset.Widening{}
	connected := func() int { return 0 }
	qt.Check(t, w.Update(10_000, false, connected), qt.Equals, 0)
	qt.Check(t, w.Update(10_010, true, connected), qt.Equals, 8)
	qt.Check(t, w.Update(10_020, true, connected), qt.Equals, 8)
	qt.Check(t, w.Update(10_110, true, connected), qt.Equals, 16)
	extra, now := 0, clock.Millis(10_110)
	for range 20 {
		now += 100
		extra = w.Update(now, true, connected)
	}
	qt.Check(t, extra, qt.Equals, 64)
	qt.Check(t, w.Update(now+9_999, false, connected), qt.Equals, 64)
	qt.Check(t, w.Update(now+10_000, false, connected), qt.Equals, 0)
}

// All machines have lost power, and the entries are back before the agents: callers wait, but more agents wouldn't help while those
// chosen can't be reached yet.
func TestWideningWaitsForTheSessionsThatAreBeingOpened(t *testing.T) {
	w := &subset.Widening{}
	opening := 40
	count := func() int { return opening }
	qt.Check(t, w.Update(10_000, true, count), qt.Equals, 0)
	opening = 7
	qt.Check(t, w.Update(10_100, true, count), qt.Equals, 8)
}

// Extra agents are the next of the order, so that they are the same ones each time, and they come from every zone.
func TestExtraAgentsFollowInOrder(t *testing.T) {
	agents := agentsOf(3, 25)
	order := subset.Order("e1", "z0", agents)
	usual := subset.Choose("z0", order, 0, always, never)
	qt.Assert(t, usual, qt.HasLen, 41)
	qt.Check(t, subset.Choose("z0", order, 8, always, never), qt.DeepEquals, order[:49])
	qt.Check(t, subset.Choose("z0", order, 64, always, never), qt.HasLen, 75)
	// Agents that can't be reached are replaced by others, and retried.
	reachable := func(id shard.ID) bool { return id != order[45].ID }
	qt.Check(t, subset.Choose("z0", order, 8, reachable, never), qt.DeepEquals, order[:50])

	large := agentsOf(9, 278)
	chosen := subset.Choose("z0", subset.Order("e1", "z0", large), 64, always, never)
	qt.Check(t, chosen, qt.HasLen, 256+16+64)
}
