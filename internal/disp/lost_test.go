package disp

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
)

// A session that is back renews an agent's authority by its stamps before its inventory has come: what was lost must not start elsewhere
// on the bound of the loss before.
func TestLostTasksWaitWhileTheirSessionIsBackWithoutAnInventory(t *testing.T) {
	e := newEntryTest(t, "a1/1")
	j := jobOf(1, 1, 1000)
	j.SLO, j.Timeout = 5000, 9000
	e.submit(1, j)
	qt.Assert(t, e.sentTasks()["a1/1"], qt.Equals, 1)
	e.attach("a2/1")
	lastStamp, startedAt := e.now, clock.Millis(0)
	step := func(ev event.Event) {
		e.do(ev)
		if startedAt == 0 && e.sentTasks()["a2/1"] > 0 {
			startedAt = e.now
		}
		for _, a := range e.out {
			if s, ok := a.(event.Send); ok && s.To == "a1/1" {
				lastStamp = e.now
			}
		}
	}
	for i := 0; i < 400 && startedAt == 0; i++ {
		e.now += 10
		if i < 200 && i%39 == 0 {
			step(event.SessionDown{Peer: "a1/1"})
			step(event.SessionUp{Peer: "a1/1", Role: proto.RoleAgent})
		}
		r := e.reports["a2/1"]
		r.Facts, r.Inventory, r.Echo = nil, nil, e.now
		step(event.Received{From: "a2/1", Message: proto.Message{Report: &r}})
		step(event.Tick{})
	}
	cfg := e.m.cfg
	qt.Assert(t, startedAt > 0, qt.IsTrue)
	qt.Check(t, startedAt-lastStamp >= cfg.Silence+cfg.Lease+cfg.Lease/clockSlackDivisor, qt.IsTrue, qt.Commentf("%d", startedAt-lastStamp))
}
