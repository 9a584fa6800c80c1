package trial

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/agent"
	"corianderspur.example/corianderspur/internal/entry"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
)

// A job whose only task has failed and waits to be started again has run: its answer must not say otherwise.
func TestFailedTaskThatWaitsForARetryHasRun(t *testing.T) {
	c, w := session(t, 2, 1)
	e0, a0 := w.proc("e0"), w.proc("a0")
	w.behave["a0"] = agent.VerdictTaskFailed
	j := w.owned(e0, check, 200)
	answer := w.submit(e0, j)
	w.run(50)
	c.Assert(w.started[j.Key], qt.Equals, 1)
	a0.handle(agent.BackendLeaving{})
	w.run(500)
	e0.handle(entry.CancelJob{Key: j.Key})
	w.run(500)
	c.Assert(answer.answer.Reason, qt.Equals, proto.ReasonCancelled)
	c.Check(answer.answer.Run, qt.Not(qt.Equals), proto.RanNo)
	w.heldAll(c)
}

// A job whose only task was given up with its agent and waits to be started again may have run.
func TestTaskLostWithItsAgentMayHaveRun(t *testing.T) {
	c, w := session(t, 2, 2)
	e0 := w.proc("e0")
	w.proc("a1").handle(agent.BackendLeaving{})
	w.run(1500)
	j := w.owned(e0, check, 5000)
	answer := w.submit(e0, j)
	w.run(50)
	c.Assert(w.started[j.Key], qt.Equals, 1)
	w.proc("a0").kill()
	w.run(8000)
	c.Assert(answer.answer.Reason, qt.Equals, proto.ReasonDeadline)
	c.Check(answer.answer.Run, qt.Not(qt.Equals), proto.RanNo)
	w.heldAll(c)
}

// A job that has run and waits for a retry must not count as never started after its shard was handed over.
func TestFailedTaskIsRememberedAcrossHandover(t *testing.T) {
	c, w := session(t, 2, 1)
	e0, e1, a0 := w.proc("e0"), w.proc("e1"), w.proc("a0")
	w.behave["a0"] = agent.VerdictTaskFailed
	j := w.owned(e0, check, 200)
	w.submit(e1, j)
	w.run(50)
	a0.handle(agent.BackendLeaving{})
	w.run(500)
	c.Assert(w.started[j.Key], qt.Equals, 1)
	e0.handle(event.Stop{})
	w.run(1000)
	c.Assert(w.owner(e1, j), qt.Equals, e1)
	e1.handle(entry.CancelJob{Key: j.Key})
	w.run(500)
	c.Assert(w.copies[0].answer, qt.IsNotNil)
	c.Check(w.copies[0].answer.Run, qt.Not(qt.Equals), proto.RanNo)
	w.heldAll(c)
}

// A task that failed at an agent which then refused it has run, although the agent's record shows the refusal only.
func TestFailureBeforeARefusalIsRememberedAcrossTakeover(t *testing.T) {
	c, w := session(t, 2, 1)
	e0, e1, a0 := w.proc("e0"), w.proc("e1"), w.proc("a0")
	w.behave["a0"] = agent.VerdictTaskFailed
	j := w.owned(e0, check, 200)
	w.submit(e1, j)
	w.run(203)
	c.Assert(w.started[j.Key], qt.Equals, 1)
	a0.handle(agent.BackendLeaving{})
	w.run(5)
	c.Assert(w.refused, qt.Equals, 1)
	e0.kill()
	w.run(lease + 2000)
	c.Assert(w.owner(e1, j), qt.Equals, e1)
	e1.handle(entry.CancelJob{Key: j.Key})
	w.run(500)
	c.Assert(w.copies[0].answer, qt.IsNotNil)
	c.Check(w.copies[0].answer.Run, qt.Not(qt.Equals), proto.RanNo)
	w.heldAll(c)
}

// A former owner's answer that arrives when the new owner has started the job must not tell the caller that nothing ran.
func TestLateAnswerOfAFormerOwnerIsNotTold(t *testing.T) {
	c, w := session(t, 3, 1)
	e0, a0 := w.proc("e0"), w.proc("a0")
	a0.handle(agent.BackendLeaving{})
	w.run(50)
	for _, to := range []string{"e1", "e2"} {
		w.cuts[cut{"e0", to}] = w.now + 4000
	}
	j := w.owned(e0, check, 3000)
	answer := w.submit(w.proc("e1"), j)
	w.run(50)
	e0.handle(entry.CancelJob{Key: j.Key})
	w.run(50)
	a0.handle(agent.BackendAnnounced{Slots: agentSlots})
	w.run(3890)
	c.Assert(w.started[j.Key], qt.Equals, 1)
	c.Assert(answer.status(), qt.Equals, proto.Status(""))
	w.run(5000)
	c.Check(answer.status(), qt.Equals, proto.StatusComplete)
	w.heldAll(c)
}

// An owner that is cut off and was taken over must not say of an id with other content that it has not run.
func TestConflictAtAnOwnerThatWasTakenOverIsUnknown(t *testing.T) {
	c, w := session(t, 3, 1)
	e0, e1, a0 := w.proc("e0"), w.proc("e1"), w.proc("a0")
	a0.handle(agent.BackendLeaving{})
	w.run(50)
	j := w.owned(e0, check, 100)
	w.submit(e0, j)
	w.run(50)
	for _, p := range []string{"e1", "e2", "a0", tableName} {
		w.cuts[cut{"e0", p}] = w.now + 20_000
		w.cuts[cut{p, "e0"}] = w.now + 20_000
	}
	a0.handle(agent.BackendAnnounced{Slots: agentSlots})
	w.run(3000)
	elsewhere := w.submit(e1, j)
	w.run(1000)
	c.Assert(elsewhere.status(), qt.Equals, proto.StatusComplete)
	other := j
	other.Digest++
	there := w.submit(e0, other)
	w.run(1000)
	c.Assert(there.answer, qt.IsNotNil)
	c.Check(there.answer.Reason, qt.Equals, proto.ReasonConflict)
	c.Check(there.answer.Run, qt.Equals, proto.RanUnknown)
	c.Check(w.faults, qt.HasLen, 0)
}
