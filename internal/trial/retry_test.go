package trial

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/agent"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/shard"
)

// A failure that an agent sends again, while the next attempt is on its way to it, must not be taken as that attempt's outcome.
func TestFailureSentAgainDoesNotEndTheNextAttempt(t *testing.T) {
	c, w := session(t, 2, 1)
	e0, a0 := w.proc("e0"), w.proc("a0")
	w.behave["a0"] = agent.VerdictTaskFailed
	j := w.owned(e0, check, 200)
	answer := w.submit(e0, j)
	w.run(202)
	c.Assert(w.started[j.Key], qt.Equals, 1)
	delete(w.behave, "a0")
	l := e0.links[a0.id]
	w.breakLink(l, [2]shard.ID{l.ends[0].id, l.ends[1].id})
	w.run(1000)
	c.Check(answer.status(), qt.Equals, proto.StatusComplete)
	c.Check(w.started[j.Key], qt.Equals, 2)
	w.heldAll(c)
}
