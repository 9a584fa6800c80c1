package runs

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/room"
	"corianderspur.example/corianderspur/internal/shard"
)

// agentTest drives an agent's state machine by hand; out holds the actions of the last event.
type agentTest struct {
	t   *testing.T
	m   *Machine
	now clock.Millis
	out []event.Action
	seq uint64
}

func newAgentTest(t *testing.T) *agentTest {
	a := &agentTest{t: t, m: New(Config{
		ID: "a1/1", Name: "a1", Lease: 800, Silence: 400, Reattach: 200, LookWait: 120, OrderTimeout: 60, DrainLimit: 5000,
	})}
	a.do(Announced{Instance: instance(1)})
	a.answerLook()
	a.do(event.SessionUp{Peer: "e1/1"})
	a.do(event.SessionUp{Peer: "e2/1"})
	return a
}

func instance(born int64) Instance {
	return Instance{ID: "r1", Born: born, Service: "s", Total: room.Room{CPU: 4000, MemMB: 1000}, Seq: uint64(born)}
}

func (a *agentTest) do(ev event.Event) {
	a.out = a.m.Handle(a.now, ev)
}

func (a *agentTest) pass(d clock.Millis) {
	for range d / 10 {
		a.now += 10
		a.do(event.Tick{})
	}
}

// answerLook answers the look that is on its way.
func (a *agentTest) answerLook(running ...Running) {
	a.t.Helper()
	qt.Assert(a.t, a.m.look, qt.IsNotNil)
	a.do(Looked{Number: a.m.look.Number, Outcome: OrderDone, Born: a.m.instance.Born, Running: running})
}

func (a *agentTest) orders(from shard.ID, stamp clock.Millis, begins ...proto.Begin) {
	a.do(event.Received{From: from, Message: proto.Message{Orders: &proto.Orders{Stamp: stamp, Begins: begins}}})
}

func (a *agentTest) beginOf(job string, cpu int64) proto.Begin {
	a.seq++
	return proto.Begin{Seq: a.seq, Job: job, Service: "s", Spec: "x", Tasks: []proto.TaskBegin{
		{Task: job + ".0.0.0", Run: 1, Need: room.Room{CPU: cpu, MemMB: 1}},
	}}
}

func (a *agentTest) begin(from shard.ID, job string, cpu int64) {
	a.orders(from, a.now, a.beginOf(job, cpu))
}

func (a *agentTest) started(job string) {
	a.do(StartDone{Task: job + ".0.0.0", Run: 1, Outcome: OrderDone, Born: a.m.instance.Born})
}

func actions[T any](a *agentTest) (list []T) {
	for _, act := range a.out {
		if x, ok := act.(T); ok {
			list = append(list, x)
		}
	}
	return list
}

func (a *agentTest) ends(to shard.ID) (hows []proto.How) {
	for _, s := range actions[event.Send](a) {
		if s.To == to {
			for _, e := range s.Message.Report.Ends {
				hows = append(hows, e.How)
			}
		}
	}
	return hows
}

// givenBack lets the time pass for which a run is held, and returns what is reported then.
func (a *agentTest) givenBack(to shard.ID) []proto.How {
	a.t.Helper()
	qt.Assert(a.t, actions[StartRun](a), qt.HasLen, 0)
	qt.Assert(a.t, a.ends(to), qt.HasLen, 0)
	a.now += holdFor
	a.do(event.Tick{})
	qt.Assert(a.t, actions[StartRun](a), qt.HasLen, 0)
	return a.ends(to)
}

// The agent has the last word on room: a stop frees nothing before its end is listed.
func TestRoomIsTakenUntilTheEndIsListed(t *testing.T) {
	a := newAgentTest(t)
	a.begin("e1/1", "j1", 3000)
	qt.Assert(t, actions[StartRun](a), qt.HasLen, 1)
	a.started("j1")
	a.begin("e2/1", "j2", 2000)
	qt.Assert(t, a.givenBack("e2/1"), qt.DeepEquals, []proto.How{proto.HowNoRoom})

	a.do(event.Received{From: "e1/1", Message: proto.Message{Orders: &proto.Orders{
		Stamp: a.now, Halts: []proto.RunRef{{Task: "j1.0.0.0", Run: 1}},
	}}})
	qt.Assert(t, actions[HaltRun](a), qt.HasLen, 1)
	a.begin("e2/1", "j3", 2000)
	qt.Assert(t, a.givenBack("e2/1"), qt.DeepEquals, []proto.How{proto.HowNoRoom})

	a.do(Looked{Number: a.m.look.Number, Outcome: OrderDone, Born: 1, Ended: []Ended{{N: 1, Task: "j1.0.0.0", Run: 1, How: proto.HowStopped}}})
	a.begin("e2/1", "j4", 2000)
	qt.Assert(t, actions[StartRun](a), qt.HasLen, 1)
}

// A dispatcher that is silent loses its runs, another one's go on.
func TestRunsOfASilentDispatcherAreStopped(t *testing.T) {
	a := newAgentTest(t)
	a.begin("e1/1", "j1", 1000)
	a.started("j1")
	a.begin("e2/1", "j2", 1000)
	a.started("j2")
	var halts []HaltRun
	for range 60 {
		a.now += 10
		if a.now%100 == 0 {
			a.orders("e2/1", a.now)
		}
		a.do(event.Tick{})
		halts = append(halts, actions[HaltRun](a)...)
	}
	qt.Assert(t, len(halts) > 0, qt.IsTrue)
	for _, h := range halts {
		qt.Check(t, h.Task, qt.Equals, "j1.0.0.0")
	}
}

// An order that a cut has held up is too old to be carried out, although its session still stands.
func TestOrdersHeldUpByACutAreRefused(t *testing.T) {
	a := newAgentTest(t)
	a.orders("e1/1", 0)
	begin := a.beginOf("j1", 1000)
	a.now = 390
	a.orders("e1/1", a.now-5)
	a.now = 800
	a.orders("e1/1", 395, begin)
	qt.Assert(t, actions[StartRun](a), qt.HasLen, 0)
}

// Seed 9 of the drawn sessions: the backend server comes back under its id while the agent stands still, and takes a
// start before a look shows its new life. The new run is not among those that ended with the old life.
func TestNewLifeKeepsTheRunThatItHasConfirmed(t *testing.T) {
	a := newAgentTest(t)
	a.begin("e1/1", "old", 1000)
	a.started("old")
	a.begin("e1/1", "new", 1000)
	a.do(StartDone{Task: "new.0.0.0", Run: 1, Outcome: OrderDone, Born: 2})
	qt.Assert(t, a.m.runs["old.0.0.0"], qt.IsNil)
	qt.Assert(t, a.m.runs["new.0.0.0"], qt.IsNotNil)
	qt.Assert(t, a.m.taking(), qt.IsFalse)
	a.answerLook(Running{Task: "new.0.0.0", Run: 1})
	a.do(Announced{Instance: instance(2)})
	qt.Assert(t, a.m.taking(), qt.IsTrue)
	qt.Assert(t, a.m.used.CPU, qt.Equals, int64(1000))
}

// A backend server that is gone answers nothing: what ran there counts as lapsed once no look can have renewed it.
func TestLeaseLapsesWhenLooksAreNotAnswered(t *testing.T) {
	a := newAgentTest(t)
	a.begin("e1/1", "j1", 1000)
	a.started("j1")
	looks := 0
	for range 200 {
		a.now += 10
		a.orders("e1/1", a.now)
		a.do(event.Tick{})
		looks += len(actions[Look](a))
		if a.m.look != nil {
			a.do(Looked{Number: a.m.look.Number, Outcome: OrderUnknown})
		}
		if len(a.m.runs) == 0 {
			break
		}
	}
	qt.Assert(t, a.m.runs, qt.HasLen, 0)
	qt.Check(t, a.now > 800 && a.now < 1200, qt.IsTrue, qt.Commentf("%d", a.now))
	// A refused connection is known at once; the pause keeps looks from filling the processor.
	qt.Check(t, looks < 60, qt.IsTrue, qt.Commentf("%d looks", looks))
}

// An agent that starts knows nothing of what runs: it stops all that, and takes nothing before.
func TestStrangersAreStoppedFirst(t *testing.T) {
	a := &agentTest{t: t, m: New(Config{Lease: 800, Silence: 400, Reattach: 200, LookWait: 120, OrderTimeout: 60})}
	a.do(Announced{Instance: instance(1)})
	a.do(event.SessionUp{Peer: "e1/1"})
	a.answerLook(Running{Task: "x.0.0.0", Run: 1})
	qt.Assert(t, actions[HaltRun](a), qt.HasLen, 1)
	a.begin("e1/1", "j1", 1000)
	qt.Assert(t, actions[StartRun](a), qt.HasLen, 0)
	a.answerLook()
	a.begin("e1/1", "j2", 1000)
	qt.Assert(t, actions[StartRun](a), qt.HasLen, 1)
}

// A start without an answer may still be carried out: the run is stopped, and its room stays taken until that is certain.
func TestUnansweredStartIsSettledByAStop(t *testing.T) {
	a := newAgentTest(t)
	a.begin("e1/1", "j1", 3000)
	a.do(StartDone{Task: "j1.0.0.0", Run: 1, Outcome: OrderUnknown})
	qt.Assert(t, actions[HaltRun](a), qt.HasLen, 1)
	a.begin("e1/1", "j2", 3000)
	qt.Assert(t, a.givenBack("e1/1"), qt.DeepEquals, []proto.How{proto.HowNoRoom})
	a.answerLook()
	qt.Assert(t, a.m.runs["j1.0.0.0"], qt.IsNotNil)
	waits := a.m.look.Number
	a.do(HaltDone{Task: "j1.0.0.0", Run: 1, Outcome: OrderDone, Born: 1})
	// A new look is sent at once, since the one that waits for an end may wait in vain.
	qt.Assert(t, a.m.look.Number > waits, qt.IsTrue)
	qt.Assert(t, a.m.look.Wait, qt.Equals, clock.Millis(0))
	a.answerLook()
	qt.Assert(t, a.m.runs["j1.0.0.0"], qt.IsNil)
}

// A backend server on which tasks stand still loses them, and after several jobs takes one task on trial.
func TestStalledRunsAreStoppedAndTheServerEjected(t *testing.T) {
	a := newAgentTest(t)
	for _, job := range []string{"j1", "j2", "j3"} {
		a.begin("e1/1", job, 1000)
		a.started(job)
	}
	all := []Running{{Task: "j1.0.0.0", Run: 1}, {Task: "j2.0.0.0", Run: 1}, {Task: "j3.0.0.0", Run: 1}}
	var halts []HaltRun
	for range 30 {
		a.now += 10
		a.orders("e1/1", a.now)
		if a.m.look != nil {
			a.answerLook(all...)
			halts = append(halts, actions[HaltRun](a)...)
		}
	}
	qt.Assert(t, halts, qt.HasLen, 3)
	var ended []Ended
	for i, r := range all {
		ended = append(ended, Ended{N: uint64(i + 1), Task: r.Task, Run: 1, How: proto.HowStopped})
	}
	a.do(Looked{Number: a.m.look.Number, Outcome: OrderDone, Born: 1, Ended: ended})
	qt.Check(t, a.ends("e1/1"), qt.DeepEquals, []proto.How{proto.HowStalled, proto.HowStalled, proto.HowStalled})
	qt.Assert(t, a.m.taking(), qt.IsFalse)
	a.now += firstEject
	a.orders("e1/1", a.now)
	qt.Assert(t, a.m.taking(), qt.IsTrue)
	a.begin("e1/1", "j4", 1000)
	qt.Assert(t, a.m.taking(), qt.IsFalse)
}

// The load pattern of a burst: room that becomes free is offered to the most pressing work first.
func TestRoomIsOfferedByRank(t *testing.T) {
	a := newAgentTest(t)
	a.begin("e1/1", "j1", 4000)
	a.started("j1")
	want := func(from shard.ID, rank int) {
		a.do(event.Received{From: from, Message: proto.Message{Orders: &proto.Orders{Stamp: a.now, Want: true, Rank: rank}}})
	}
	want("e1/1", 2)
	want("e2/1", 1)
	a.do(Looked{Number: a.m.look.Number, Outcome: OrderDone, Born: 1, Ended: []Ended{{N: 1, Task: "j1.0.0.0", Run: 1, How: proto.HowFailed}}})
	// The end itself goes to its dispatcher; the other hears of the room.
	qt.Assert(t, actions[event.Send](a), qt.HasLen, 2)

	a.begin("e2/1", "j2", 4000)
	a.started("j2")
	want("e1/1", 2)
	want("e2/1", 1)
	a.do(Looked{Number: a.m.look.Number, Outcome: OrderDone, Born: 1, Ended: []Ended{{N: 2, Task: "j2.0.0.0", Run: 1, How: proto.HowDone}}})
	sends := actions[event.Send](a)
	qt.Assert(t, sends, qt.HasLen, 1)
	qt.Check(t, sends[0].To, qt.Equals, shard.ID("e2/1"))
	a.now += offerLater
	a.do(event.Tick{})
	qt.Assert(t, actions[event.Send](a)[0].To, qt.Equals, shard.ID("e1/1"))
}

// The load pattern of a large fleet at its limit: many dispatchers wait for each agent. Room that the first one has taken is not
// offered on, so that an end costs one message and not one for each dispatcher.
func TestRoomThatIsTakenIsNotOfferedOn(t *testing.T) {
	a := newAgentTest(t)
	for i := range 30 {
		a.do(event.SessionUp{Peer: shard.ID(fmt.Sprintf("w%d/1", i))})
	}
	a.begin("e1/1", "j1", 4000)
	a.started("j1")
	for i := range 30 {
		a.do(event.Received{From: shard.ID(fmt.Sprintf("w%d/1", i)), Message: proto.Message{
			Orders: &proto.Orders{Stamp: a.now, Want: true, Rank: 1},
		}})
	}
	a.do(Looked{Number: a.m.look.Number, Outcome: OrderDone, Born: 1, Ended: []Ended{{N: 1, Task: "j1.0.0.0", Run: 1, How: proto.HowDone}}})
	told := 0
	for _, s := range actions[event.Send](a) {
		if s.To != "e1/1" {
			told++
			a.begin(s.To, "j2", 4000)
		}
	}
	qt.Assert(t, told, qt.Equals, 1)
	a.started("j2")
	for range 10 {
		a.now += offerLater
		a.do(event.Tick{})
		qt.Check(t, actions[event.Send](a), qt.HasLen, 0)
	}
}

// A backend server that has announced its end gets nothing new; what runs there may end.
func TestDrainingBackendServerTakesNothingNew(t *testing.T) {
	a := newAgentTest(t)
	a.begin("e1/1", "j1", 1000)
	a.started("j1")
	in := instance(1)
	in.Seq, in.Draining = 2, true
	a.do(Announced{Instance: in})
	for _, s := range actions[event.Send](a) {
		qt.Check(t, s.Message.Report.Taking, qt.IsFalse)
	}
	a.begin("e1/1", "j2", 1000)
	qt.Check(t, actions[StartRun](a), qt.HasLen, 0)
	qt.Check(t, a.ends("e1/1"), qt.DeepEquals, []proto.How{proto.HowNotBegun})
	qt.Check(t, a.m.runs, qt.HasLen, 1)
}

// A planned stop takes nothing new and ends when what runs has ended.
func TestPlannedStopWaitsForRuns(t *testing.T) {
	a := newAgentTest(t)
	a.begin("e1/1", "j1", 1000)
	a.started("j1")
	a.do(event.Stop{})
	a.begin("e1/1", "j2", 1000)
	qt.Assert(t, actions[StartRun](a), qt.HasLen, 0)
	a.pass(100)
	qt.Assert(t, actions[event.Exit](a), qt.HasLen, 0)
	a.do(Looked{Number: a.m.look.Number, Outcome: OrderDone, Born: 1, Ended: []Ended{{N: 1, Task: "j1.0.0.0", Run: 1, How: proto.HowDone}}})
	a.do(event.Received{From: "e1/1", Message: proto.Message{Orders: &proto.Orders{Stamp: a.now, Noted: 9}}})
	a.do(event.Tick{})
	qt.Assert(t, actions[event.Exit](a), qt.HasLen, 1)
}
