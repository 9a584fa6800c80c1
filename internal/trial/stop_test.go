package trial

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/agent"
	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/entry"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/shard"
)

func received(from string, msg proto.Message) event.Received {
	return event.Received{From: shard.ID(from), Message: msg}
}

// An entry that is stopped as planned hands its shards and its running jobs over and answers every caller.
func TestPlannedStopOfEntry(t *testing.T) {
	c, w := session(t, 2, 2)
	e0, e1 := w.proc("e0"), w.proc("e1")
	mine := w.submit(e0, w.owned(e0, order, 900, 100))
	theirs := w.submit(e1, w.owned(e0, order, 700))
	w.run(50)
	e0.handle(event.Stop{})
	w.run(5000)
	c.Assert(e0.exited, qt.IsTrue)
	c.Assert(mine.status(), qt.Equals, proto.StatusComplete)
	c.Assert(theirs.status(), qt.Equals, proto.StatusComplete)
	c.Assert(e1.entryStatus().ShardsWithUnknownStarts, qt.Equals, 0)
	w.golden(t)
}

// Two copies of a job meet in the middle of a hand-over and start it once.
func TestResubmissionDuringHandover(t *testing.T) {
	c, w := session(t, 2, 2)
	e0, e1 := w.proc("e0"), w.proc("e1")
	j := w.owned(e0, order, 400, 400)
	w.submit(e0, j)
	e0.handle(event.Stop{})
	var answers []*copyOf
	for range 20 {
		answers = append(answers, w.submit(e1, j))
		w.run(10)
	}
	w.run(5000)
	for _, a := range answers {
		c.Check(a.status(), qt.Equals, proto.StatusComplete)
	}
	c.Assert(w.started[j.Key], qt.Equals, 2)
}

// A backend server that is leaving gets no new work, and what it runs is not cut off.
func TestLeavingBackendServer(t *testing.T) {
	c, w := session(t, 2, 2)
	e0 := w.proc("e0")
	running := w.submit(e0, w.owned(e0, order, 1500, 1500, 1500, 1500))
	w.run(50)
	left := w.now
	w.proc("a0").handle(agent.BackendLeaving{})
	var later []*copyOf
	for range 20 {
		later = append(later, w.submit(e0, w.owned(e0, order, 30)))
		w.run(100)
	}
	w.run(3000)
	c.Assert(running.status(), qt.Equals, proto.StatusComplete)
	for _, a := range later {
		c.Check(a.status(), qt.Equals, proto.StatusComplete)
	}
	c.Assert(w.lastRun["a0"] <= left+10, qt.IsTrue)
}

// An agent that is stopped as planned finishes what it runs, gives back what it has queued, and leaves its records with
// another agent: an owner that dies afterwards leaves nothing unknown.
func TestPlannedStopOfAgent(t *testing.T) {
	c, w := session(t, 2, 2)
	e0 := w.proc("e0")
	answer := w.submit(e0, w.owned(e0, order, 800, 800, 800, 800, 800, 800, 800, 800, 800, 800))
	w.run(50)
	w.proc("a0").handle(event.Stop{})
	w.run(5000)
	c.Assert(w.proc("a0").exited, qt.IsTrue)
	c.Assert(answer.status(), qt.Equals, proto.StatusComplete)
	c.Assert(e0.machine.(*entry.Machine).Map().Lost, qt.HasLen, 0)
	e0.kill()
	w.run(lease)
	again := w.submit(w.proc("e1"), answer.job)
	fresh := w.submit(w.proc("e1"), order("after the stop", 50))
	w.run(2000)
	c.Assert(again.status(), qt.Equals, proto.StatusComplete)
	c.Assert(fresh.status(), qt.Equals, proto.StatusComplete)
	w.heldAll(c)
}

const lease = 3 * clock.Second
