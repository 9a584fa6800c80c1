package trial

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/agent"
	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/entry"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/pkg/label"
)

// held checks that nothing happened that must never happen.
func (w *world) heldAll(c *qt.C) {
	c.Helper()
	w.judge()
	c.Assert(w.faults, qt.HasLen, 0)
}

// An owner dies; whatever stage its job was in, a copy sent elsewhere gets the whole answer and no task starts twice.
func TestResubmissionAfterOwnerDied(t *testing.T) {
	for name, lived := range map[string]clock.Millis{
		"before the start": 1, "between start and result": 200, "after some results": 450, "after the answer": 2000,
	} {
		t.Run(name, func(t *testing.T) {
			c, w := session(t, 3, 3)
			e0 := w.proc("e0")
			j := w.owned(e0, order, 300, 500, 600)
			w.submit(e0, j)
			w.run(lived)
			e0.kill()
			again := w.submit(w.proc("e1"), j)
			w.run(lease + 2000)
			c.Assert(again.status(), qt.Equals, proto.StatusComplete)
			c.Assert(w.started[j.Key], qt.Equals, 3)
			w.heldAll(c)
		})
	}
}

// The gap that a killed entry leaves is over within the lease and two seconds.
func TestTakeoverGap(t *testing.T) {
	c, w := session(t, 3, 3)
	e0, e1 := w.proc("e0"), w.proc("e1")
	var jobs []proto.Job
	for range 10 {
		jobs = append(jobs, w.owned(e0, order, 50))
	}
	e0.kill()
	killed := w.now
	for _, j := range jobs {
		w.submit(e1, j)
	}
	w.run(6000)
	for _, x := range w.copies {
		c.Check(x.status(), qt.Equals, proto.StatusComplete)
		c.Check(x.answered-killed <= lease+2000, qt.IsTrue)
	}
	w.golden(t)
}

// An owner is frozen past its lease and taken over; when it thaws, its late starts are refused.
func TestFrozenOwnerThaws(t *testing.T) {
	c, w := session(t, 3, 3)
	e0, e1 := w.proc("e0"), w.proc("e1")
	j := w.owned(e0, order, 300)
	e0.freeze(8000)
	w.submit(e0, j)
	w.run(4000)
	again := w.submit(e1, j)
	w.run(1000)
	c.Assert(again.status(), qt.Equals, proto.StatusComplete)
	w.run(10_000)
	c.Assert(w.started[j.Key], qt.Equals, 1)
	w.heldAll(c)
}

// An owner is cut off from everything but its callers: what it sends counts for nothing, and it never says not run.
func TestOwnerCutOff(t *testing.T) {
	c, w := session(t, 3, 3)
	e0, e1 := w.proc("e0"), w.proc("e1")
	j := w.owned(e0, order, 100)
	for _, p := range w.procs {
		w.cuts[cut{"e0", p.name}] = w.now + 20_000
		w.cuts[cut{p.name, "e0"}] = w.now + 20_000
	}
	w.cuts[cut{"e0", tableName}] = w.now + 20_000
	w.run(4000)
	elsewhere := w.submit(e1, j)
	w.run(1000)
	c.Assert(elsewhere.status(), qt.Equals, proto.StatusComplete)
	denied := j
	denied.Digest++
	denied.Labels = label.Set{"kind": "denied"}
	there := w.submit(e0, denied)
	w.run(8000)
	c.Assert(there.answer.Run, qt.Equals, proto.RanUnknown)
	c.Assert(w.started[j.Key], qt.Equals, 1)
}

// An owner and an agent with its records die together: an id that nobody knows is unknown, never run twice, never "not
// run"; a repeatable job is run within its bound.
func TestOwnerAndAgentDieTogether(t *testing.T) {
	c, w := session(t, 3, 2)
	e0, e1 := w.proc("e0"), w.proc("e1")
	once := w.owned(e0, order, 300)
	twice := w.owned(e0, check, 300)
	w.submit(e0, once)
	w.submit(e0, twice)
	w.run(100)
	e0.kill()
	w.proc("a0").kill()
	w.proc("a1").kill()
	w.addAgent("a2")
	w.run(5000)
	first := w.submit(e1, once)
	second := w.submit(e1, twice)
	w.run(8000)
	c.Assert(first.answer.Run, qt.Equals, proto.RanUnknown)
	c.Assert(first.answer.Reason, qt.Equals, proto.ReasonUncertain)
	c.Assert(second.status(), qt.Equals, proto.StatusComplete)
	w.heldAll(c)
}

// A table outage alone costs nothing.
func TestTableOutageAlone(t *testing.T) {
	c, w := session(t, 3, 3)
	w.down = w.now + 60_000
	for range 60 {
		e := w.proc("e1")
		w.submit(e, w.owned(e, order, 100, 200))
		w.run(1000)
	}
	for _, x := range w.copies {
		c.Check(x.status(), qt.Equals, proto.StatusComplete)
		c.Check(x.answered-x.at < 250, qt.IsTrue)
	}
}

// An entry dies while the table is down: what may not be repeated waits, is never run twice, and goes on afterwards.
func TestEntryDiesInTableOutage(t *testing.T) {
	c, w := session(t, 3, 3)
	e0, e1 := w.proc("e0"), w.proc("e1")
	lost := w.owned(e0, order, 100)
	w.submit(e0, lost)
	w.down = w.now + 10_000
	w.run(50)
	e0.kill()
	w.run(5000)
	w.submit(e1, lost)
	waiting := w.submit(e1, w.owned(e1, order, 100))
	before := w.refused
	w.run(2000)
	c.Check(w.refused-before <= 3, qt.IsTrue, qt.Commentf("%d starts refused", w.refused-before))
	c.Check(waiting.answer, qt.IsNil)
	w.run(10_000)
	after := w.submit(e1, w.owned(e1, order, 100))
	again := w.submit(e1, lost)
	w.run(5000)
	c.Assert(after.status(), qt.Equals, proto.StatusComplete)
	c.Assert(again.status(), qt.Equals, proto.StatusComplete)
	w.heldAll(c)
}

// A write of the map takes effect though its reply is lost; nobody is current by a writer that does not know it.
func TestLostReplyOfMapWrite(t *testing.T) {
	c, w := session(t, 3, 3)
	e0, e1 := w.proc("e0"), w.proc("e1")
	j := w.owned(e0, order, 200)
	w.submit(e0, j)
	w.run(50)
	e0.kill()
	w.run(1800)
	w.lossy = w.now + 3000
	again := w.submit(e1, j)
	w.run(12_000)
	c.Assert(again.answer, qt.IsNotNil)
	w.heldAll(c)
}

// All entries are replaced at once: the newcomers take over only when every agent has confirmed.
func TestAllEntriesReplaced(t *testing.T) {
	c, w := session(t, 2, 3)
	j := w.owned(w.proc("e0"), order, 200)
	w.submit(w.proc("e0"), j)
	w.run(100)
	w.proc("e0").kill()
	w.proc("e1").kill()
	n := w.addEntry("e2")
	w.run(16_000)
	again := w.submit(n, j)
	w.run(3000)
	c.Assert(again.status(), qt.Equals, proto.StatusComplete)
	c.Assert(w.started[j.Key], qt.Equals, 1)
	c.Assert(n.entryStatus().Cold, qt.IsFalse)
	w.heldAll(c)
}

// After a cold start an agent that is gone for good holds everything up until an operator strikes it off.
func TestColdStartWaitsForStrike(t *testing.T) {
	c, w := session(t, 1, 2)
	gone := w.proc("a1")
	w.proc("e0").kill()
	gone.kill()
	n := w.addEntry("e2")
	w.run(20_000)
	c.Assert(n.entryStatus().ShardsOwned, qt.Equals, 0)
	n.handle(entry.Strike{Agent: gone.id})
	w.run(6000)
	c.Assert(n.entryStatus().ShardsOwned, qt.Equals, 4)
	w.heldAll(c)
}

// A member of the map whose write is unsettled keeps silent to agents, so that none is current by it meanwhile.
func TestUnsettledWriteLetsLeasesLapse(t *testing.T) {
	c, w := session(t, 2, 2)
	w.loseMapWrite = 9000
	w.addEntry("e2")
	w.run(lease + 3000)
	for _, name := range []string{"a0", "a1"} {
		c.Check(w.proc(name).machine.(*agent.Machine).Status(w.now).Current, qt.IsFalse)
	}
	w.run(10_000)
	for _, name := range []string{"a0", "a1"} {
		c.Check(w.proc(name).machine.(*agent.Machine).Status(w.now).Current, qt.IsTrue)
	}
}

// Two owners in a row that may have missed starts cannot both use the attempt that is kept for when records are lost.
func TestRepeatableBoundAfterTwoLosses(t *testing.T) {
	c, w := session(t, 3, 1)
	e0 := w.proc("e0")
	w.behave["a0"] = agent.VerdictTaskFailed
	w.behave["a1"] = agent.VerdictTaskFailed
	j := w.owned(e0, check, 100)
	var last *copyOf
	for i, name := range []string{"e0", "e1", "e2"} {
		last = w.submit(w.owner(w.proc(name), j), j)
		w.run(500)
		w.owner(w.proc(name), j).kill()
		w.proc(fmt.Sprint("a", i)).kill()
		w.addAgent(fmt.Sprint("a", i+1))
		w.run(6000)
	}
	c.Assert(last.answer, qt.IsNotNil)
	w.heldAll(c)
}

// An agent that was struck off a moment ago may not know it and still be current: a takeover waits its lease out.
func TestTakeoverWaitsAfterStrike(t *testing.T) {
	c, w := session(t, 2, 2)
	e1 := w.proc("e1")
	w.proc("e0").kill()
	w.run(1500)
	e1.handle(entry.Strike{Agent: w.proc("a0").id})
	w.run(2000)
	c.Check(e1.entryStatus().ShardsTaking, qt.Equals, 2)
	w.run(lease)
	c.Check(e1.entryStatus().ShardsTaking, qt.Equals, 0)
	w.heldAll(c)
}
