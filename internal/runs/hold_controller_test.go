package runs

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
)

// holding returns an agent that is full, with a run of another dispatcher that waits for room.
func holding(t *testing.T) *agentTest {
	a := newAgentTest(t)
	a.begin("e1/1", "j1", 3000)
	a.started("j1")
	a.begin("e2/1", "j2", 2000)
	qt.Assert(t, actions[StartRun](a), qt.HasLen, 0)
	qt.Assert(t, a.ends("e2/1"), qt.HasLen, 0)
	return a
}

// endFirst reports that the first run is done.
func (a *agentTest) endFirst() {
	a.do(Looked{Number: a.m.look.Number, Outcome: OrderDone, Born: a.m.instance.Born, Ended: []Ended{
		{N: 1, Task: "j1.0.0.0", Run: 1, How: proto.HowDone},
	}})
}

// The load pattern of a full deployment: several dispatchers send to the same agent before they know of each other. What does
// not fit begins the moment that a run ends, without a way back and another order.
func TestHeldRunStartsWhenRoomBecomesFree(t *testing.T) {
	a := holding(t)
	qt.Assert(t, a.m.state().Free.CPU, qt.Equals, int64(-1000))
	a.endFirst()
	starts := actions[StartRun](a)
	qt.Assert(t, starts, qt.HasLen, 1)
	qt.Check(t, starts[0].Task, qt.Equals, "j2.0.0.0")
	qt.Check(t, a.m.state().Free.CPU, qt.Equals, int64(2000))
}

// A stop that comes while the run waits ends it; it has not begun and never will.
func TestHeldRunThatIsStoppedNeverStarts(t *testing.T) {
	a := holding(t)
	a.do(event.Received{From: "e2/1", Message: proto.Message{Orders: &proto.Orders{
		Stamp: a.now, Halts: []proto.RunRef{{Task: "j2.0.0.0", Run: 1}},
	}}})
	qt.Assert(t, a.ends("e2/1"), qt.DeepEquals, []proto.How{proto.HowNoRoom})
	a.endFirst()
	qt.Assert(t, actions[StartRun](a), qt.HasLen, 0)
}

// What waits belongs to the life of the backend server for which it was ordered.
func TestHeldRunDoesNotStartInAnotherLife(t *testing.T) {
	a := holding(t)
	a.do(Announced{Instance: instance(2)})
	qt.Assert(t, actions[StartRun](a), qt.HasLen, 0)
	qt.Assert(t, a.ends("e2/1"), qt.DeepEquals, []proto.How{proto.HowNoRoom})
}

// A dispatcher whose authority has lapsed meanwhile starts nothing.
func TestHeldRunOfALostDispatcherDoesNotStart(t *testing.T) {
	a := holding(t)
	a.do(event.SessionDown{Peer: "e2/1"})
	a.endFirst()
	qt.Assert(t, actions[StartRun](a), qt.HasLen, 0)
	qt.Assert(t, a.m.runs, qt.HasLen, 0)
}

// A run that would never fit is not kept.
func TestRunThatCanNeverFitIsNotHeld(t *testing.T) {
	a := newAgentTest(t)
	a.begin("e1/1", "j1", 1000)
	a.begin("e1/1", "j2", 5000)
	qt.Assert(t, a.ends("e1/1"), qt.DeepEquals, []proto.How{proto.HowNoRoom})
}

// Found by a drawn session (seeds from 5000): a run that the backend server no longer lists ends, and with it the wait of a
// run whose dispatcher is gone.
func TestMissingRunEndsBesideAHeldOne(t *testing.T) {
	a := holding(t)
	a.do(event.SessionDown{Peer: "e2/1"})
	a.answerLook()
	a.answerLook()
	qt.Assert(t, a.m.runs, qt.HasLen, 0)
	qt.Assert(t, a.ends("e1/1"), qt.DeepEquals, []proto.How{proto.HowStopped})
}

// The load pattern of a burst of wide and quick jobs among others: of the runs that wait at a full agent, one of the first priority
// starts before those that came earlier, as its job is late with the last of its tasks.
func TestHeldRunOfTheFirstPriorityStartsFirst(t *testing.T) {
	a := newAgentTest(t)
	a.begin("e1/1", "j1", 3000)
	a.started("j1")
	for job, rank := range map[string]int{"j2": 2, "j3": 2} {
		b := a.beginOf(job, 2000)
		b.Rank = rank
		a.orders("e2/1", a.now, b)
	}
	first := a.beginOf("j4", 2000)
	first.Rank = 1
	a.orders("e1/1", a.now, first)
	a.endFirst()
	starts := actions[StartRun](a)
	qt.Assert(t, starts, qt.HasLen, 2)
	qt.Check(t, starts[0].Task, qt.Equals, "j4.0.0.0")
}
