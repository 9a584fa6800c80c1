package trial

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"corianderspur.example/corianderspur/internal/proto"
)

// session starts a deployment whose messages all take one millisecond and records what happens from now on.
func session(t *testing.T, entries, agents int) (*qt.C, *world) {
	t.Helper()
	w := newWorld(1)
	w.fixed = true
	w.deployment(entries, agents)
	w.logging = true
	return qt.New(t), w
}

// golden compares the recorded session with its golden file and checks what must hold in every session.
func (w *world) golden(t *testing.T) {
	t.Helper()
	w.judge()
	qt.New(t).Check(strings.Join(w.faults, "\n"), qt.Equals, "")
	goldie.New(t).Assert(t, t.Name(), []byte(w.log.String()))
}

func (c *copyOf) status() proto.Status {
	if c.answer == nil {
		return ""
	}
	return c.answer.Status
}
