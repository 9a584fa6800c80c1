package trial

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/entry"
	"corianderspur.example/corianderspur/internal/proto"
)

// A cancelled job that waits for a slot is never started, and its answer says so.
func TestCancelBeforeStart(t *testing.T) {
	c, w := session(t, 2, 1)
	e0 := w.proc("e0")
	first := w.owned(e0, order, 500, 500, 500, 500, 500)
	w.submit(e0, first)
	w.run(10)
	j := w.owned(e0, order, 50)
	answer := w.submit(e0, j)
	w.run(10)
	w.proc("e1").handle(entry.CancelJob{Key: j.Key})
	w.run(1500)
	c.Assert(answer.answer.Reason, qt.Equals, proto.ReasonCancelled)
	c.Assert(answer.answer.Run, qt.Equals, proto.RanNo)
	c.Assert(w.started[j.Key], qt.Equals, 0)
	w.golden(t)
}
