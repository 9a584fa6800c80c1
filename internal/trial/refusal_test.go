package trial

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/pkg/label"
)

// A job that no worker may run is refused at once, as not run, after an agent confirmed that this owner is current.
func TestRefusalSaysNotRun(t *testing.T) {
	c, w := session(t, 2, 2)
	j := w.owned(w.proc("e0"), order, 50)
	j.Labels = label.Set{"kind": "nowhere"}
	answer := w.submit(w.proc("e0"), j)
	w.run(10)
	c.Assert(answer.status(), qt.Equals, proto.StatusRefused)
	c.Assert(answer.answer.Run, qt.Equals, proto.RanNo)
	c.Assert(answer.answer.Reason, qt.Equals, proto.ReasonNoWorker)
	w.golden(t)
}

// An owner that cannot reach any agent does not know whether it is still the owner, so it must not say not run.
func TestRefusalWithoutAgentsIsUnknown(t *testing.T) {
	c, w := session(t, 2, 2)
	e0 := w.proc("e0")
	w.proc("a0").kill()
	w.proc("a1").kill()
	w.run(1000)
	j := w.owned(e0, order, 50)
	j.Labels = label.Set{"kind": "denied"}
	answer := w.submit(e0, j)
	w.run(1000)
	c.Assert(answer.status(), qt.Equals, proto.StatusRefused)
	c.Assert(answer.answer.Run, qt.Equals, proto.RanUnknown)
}

// The same id with other content is refused and starts nothing.
func TestSameIDOtherContent(t *testing.T) {
	c, w := session(t, 2, 2)
	j := w.owned(w.proc("e0"), order, 50)
	w.submit(w.proc("e0"), j)
	w.run(20)
	other := j
	other.Digest++
	answer := w.submit(w.proc("e1"), other)
	w.run(500)
	c.Assert(answer.status(), qt.Equals, proto.StatusRefused)
	c.Assert(answer.answer.Reason, qt.Equals, proto.ReasonConflict)
	c.Assert(w.started[j.Key], qt.Equals, 1)
	w.golden(t)
}

// Two callers of one entry give the same id other content: each gets the answer to its own request.
func TestEachCallerGetsItsOwnAnswer(t *testing.T) {
	c, w := session(t, 2, 2)
	j := w.owned(w.proc("e0"), order, 50)
	other := j
	other.Digest++
	first := w.submit(w.proc("e1"), j)
	second := w.submit(w.proc("e1"), other)
	w.run(500)
	c.Assert(first.status(), qt.Equals, proto.StatusComplete)
	c.Assert(second.answer.Reason, qt.Equals, proto.ReasonConflict)
	w.heldAll(c)
}
