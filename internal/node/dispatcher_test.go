package node

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/disp"
)

// A cancel that waited while the process was suspended was answered as if its job did not exist.
func TestStaleCancelIsNotAnsweredAsNotFound(t *testing.T) {
	d := &Dispatcher{waiting: map[uint64]chan disp.Reply{}}
	ticket, ch := d.ticket()
	d.stale(disp.Cancel{Ticket: ticket, ID: "1"})
	qt.Assert(t, <-ch, qt.Equals, disp.Reply{Ticket: ticket, Result: disp.Unknown})
}
