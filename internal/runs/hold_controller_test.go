package runs

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
)

// newFullAgent returns an agent without free capacity, with a queued run of another dispatcher.
func newFullAgent(t *testing.T) *agentTest {
	a := newAgentTest(t)
	a.begin("e1/1", "j1", 3000)
	a.confirmStart("j1")
	a.begin("e2/1", "j2", 2000)
	qt.Assert(t, actions[StartRun](a), qt.HasLen, 0)
	qt.Assert(t, a.reportedEnds("e2/1"), qt.HasLen, 0)
	return a
}

// finishFirstRun reports that the first run is done.
func (a *agentTest) finishFirstRun() {
	a.handle(PollDone{Number: a.m.poll.Number, Outcome: OrderDone, Born: a.m.instance.Born, Ended: []Ended{
		{N: 1, Task: "j1.0.0.0", Run: 1, How: proto.EndDone},
	}})
}

// The load pattern of a full deployment: several dispatchers send to the same agent before they know of each other. What does
// not fit starts as soon as a run ends, without a rejection and another order.
func TestQueuedRunStartsWhenCapacityBecomesFree(t *testing.T) {
	a := newFullAgent(t)
	qt.Assert(t, a.m.newReport().Free.CPU, qt.Equals, int64(-1000))
	a.finishFirstRun()
	starts := actions[StartRun](a)
	qt.Assert(t, starts, qt.HasLen, 1)
	qt.Check(t, starts[0].Task, qt.Equals, "j2.0.0.0")
	qt.Check(t, a.m.newReport().Free.CPU, qt.Equals, int64(2000))
}

// A stop ends a queued run, which never starts.
func TestQueuedRunThatIsStoppedNeverStarts(t *testing.T) {
	a := newFullAgent(t)
	a.handle(event.Received{From: "e2/1", Message: proto.Message{Orders: &proto.Orders{
		Stamp: a.now, Halts: []proto.RunRef{{Task: "j2.0.0.0", Run: 1}},
	}}})
	qt.Assert(t, a.reportedEnds("e2/1"), qt.DeepEquals, []proto.EndReason{proto.EndNoRoom})
	a.finishFirstRun()
	qt.Assert(t, actions[StartRun](a), qt.HasLen, 0)
}

// A queued run belongs to the incarnation of the backend server for which it was ordered.
func TestQueuedRunDoesNotStartInAnotherIncarnation(t *testing.T) {
	a := newFullAgent(t)
	a.handle(Announced{Instance: instance(2)})
	qt.Assert(t, actions[StartRun](a), qt.HasLen, 0)
	qt.Assert(t, a.reportedEnds("e2/1"), qt.DeepEquals, []proto.EndReason{proto.EndNoRoom})
}

// A dispatcher whose authority has lapsed meanwhile starts nothing.
func TestQueuedRunOfALostDispatcherDoesNotStart(t *testing.T) {
	a := newFullAgent(t)
	a.handle(event.SessionDown{Peer: "e2/1"})
	a.finishFirstRun()
	qt.Assert(t, actions[StartRun](a), qt.HasLen, 0)
	qt.Assert(t, a.m.runs, qt.HasLen, 0)
}

// A run that needs more than the total capacity is not queued.
func TestRunThatCanNeverFitIsNotQueued(t *testing.T) {
	a := newAgentTest(t)
	a.begin("e1/1", "j1", 1000)
	a.begin("e1/1", "j2", 5000)
	qt.Assert(t, a.reportedEnds("e1/1"), qt.DeepEquals, []proto.EndReason{proto.EndNoRoom})
}

// Found by a randomized session (seeds from 5000): the end of a run that the backend server no longer lists also rejects a queued
// run whose dispatcher is gone.
func TestMissingRunEndsBesideAQueuedOne(t *testing.T) {
	a := newFullAgent(t)
	a.handle(event.SessionDown{Peer: "e2/1"})
	a.answerPoll()
	a.answerPoll()
	qt.Assert(t, a.m.runs, qt.HasLen, 0)
	qt.Assert(t, a.reportedEnds("e1/1"), qt.DeepEquals, []proto.EndReason{proto.EndStopped})
}

// The load pattern of a burst of wide, short jobs among others: of the runs queued at a full agent, one of the first priority
// starts before those that came earlier, as its job is late with the last of its tasks.
func TestQueuedRunOfTheFirstPriorityStartsFirst(t *testing.T) {
	a := newAgentTest(t)
	a.begin("e1/1", "j1", 3000)
	a.confirmStart("j1")
	for job, rank := range map[string]int{"j2": 2, "j3": 2} {
		b := a.newBegin(job, 2000)
		b.Rank = rank
		a.orders("e2/1", a.now, b)
	}
	first := a.newBegin("j4", 2000)
	first.Rank = 1
	a.orders("e1/1", a.now, first)
	a.finishFirstRun()
	starts := actions[StartRun](a)
	qt.Assert(t, starts, qt.HasLen, 2)
	qt.Check(t, starts[0].Task, qt.Equals, "j4.0.0.0")
}
