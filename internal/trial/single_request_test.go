package trial

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/proto"
)

// A shop's check reaches an entry that does not own it, is forwarded, run once and answered.
func TestSingleRequest(t *testing.T) {
	c, w := session(t, 2, 2)
	j := w.owned(w.proc("e1"), check, 60)
	answer := w.submit(w.proc("e0"), j)
	w.run(200)
	c.Assert(answer.status(), qt.Equals, proto.StatusComplete)
	w.golden(t)
}
