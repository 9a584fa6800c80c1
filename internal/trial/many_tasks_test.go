package trial

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/proto"
)

// A job of many tasks is answered once, whole and in order, though its tasks end in the opposite order.
func TestManyTasksEndOutOfOrder(t *testing.T) {
	c, w := session(t, 2, 2)
	j := w.owned(w.proc("e0"), order, 400, 350, 300, 250, 200, 150, 100, 50, 40, 30)
	answer := w.submit(w.proc("e0"), j)
	w.run(2000)
	c.Assert(answer.status(), qt.Equals, proto.StatusComplete)
	c.Assert(w.started[j.Key], qt.Equals, 10)
	w.golden(t)
}
