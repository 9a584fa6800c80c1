package disp

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/shard"
)

// replaced sends the report of an agent whose backend server was replaced: no runs, after a number of orders.
func (e *entryTest) replaced(id shard.ID, lastBegin uint64) {
	r := e.reports[id]
	r.LastBegin, r.Inventory, r.Accepting, r.Settled = lastBegin, &proto.Inventory{}, false, false
	e.receive(id, r)
}

// A task whose order is not in the list of runs because it is under way must not be sent to another agent.
func TestOrderUnderWayBehindAnInventoryIsNotSentAgain(t *testing.T) {
	e := newEntryTest(t, "a1/1", "a2/1")
	e.submit(1, jobOf(1, 1, 1000))
	qt.Assert(t, e.sentTasks(), qt.HasLen, 1)
	agent := e.m.jobs[jobOf(1, 1, 1000).ID].tasks[0].agent
	e.replaced(agent, 0)
	qt.Assert(t, e.sentTasks(), qt.HasLen, 0)
	e.reportEnd(agent, taskName(0), proto.EndDone)
	qt.Assert(t, e.replies(), qt.HasLen, 1)
	qt.Check(t, e.replies()[0].Result, qt.Equals, Completed)
}

// A job whose only order is under way must not be answered as one that has not run.
func TestJobWithAnOrderUnderWayIsNotRefused(t *testing.T) {
	e := newEntryTest(t, "a1/1")
	e.submit(1, jobOf(1, 1, 1000))
	e.replaced("a1/1", 0)
	e.reports["a1/1"] = proto.Report{}
	for _, r := range e.pass(3000, "a1/1") {
		qt.Check(t, r.Result, qt.Not(qt.Equals), Refused)
	}
}

// A task that neither runs nor is reported as ended, though its order has arrived, is sent again.
func TestOrderThatAnInventoryCoversIsSentAgain(t *testing.T) {
	e := newEntryTest(t, "a1/1", "a2/1")
	e.submit(1, jobOf(1, 1, 1000))
	agent := e.m.jobs[jobOf(1, 1, 1000).ID].tasks[0].agent
	e.replaced(agent, 1)
	qt.Check(t, e.sentTasks(), qt.HasLen, 1)
}

// A run that a new session has found is covered by later lists of runs, whatever the number of its order in the session before.
func TestFoundRunIsCoveredByLaterInventories(t *testing.T) {
	e := newEntryTest(t, "a1/1")
	e.submit(1, jobOf(1, 1, 1000))
	e.do(event.SessionDown{Peer: "a1/1"})
	e.attach("a1/1", proto.RunRef{Task: taskName(0), Run: 1})
	qt.Assert(t, e.sentTasks(), qt.HasLen, 0)
	e.replaced("a1/1", 0)
	qt.Check(t, e.m.jobs[jobOf(1, 1, 1000).ID].tasks[0].state, qt.Equals, waiting)
}

// A job whose run an inventory has listed may have run, also if a later inventory lacks the run and no end was reported.
func TestJobWhoseRunWasListedIsNotRefused(t *testing.T) {
	e := newEntryTest(t, "a1/1")
	e.submit(1, jobOf(1, 1, 1000))
	e.attach("a1/1", proto.RunRef{Task: taskName(0), Run: 1})
	e.replaced("a1/1", 0)
	r := e.reports["a1/1"]
	r.Accepting = false
	e.report("a1/1", r)
	replies := e.pass(4000, "a1/1")
	qt.Assert(t, replies, qt.HasLen, 1)
	qt.Check(t, replies[0].Result, qt.Equals, Unknown)
}
