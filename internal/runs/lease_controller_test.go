package runs

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
)

// confirmUnnamed answers the start of a job's run without naming the incarnation that has started it.
func (a *agentTest) confirmUnnamed(job string) {
	a.handle(StartDone{Task: job + ".0.0.0", Run: 1, Outcome: OrderDone})
}

// answerPollAs answers the pending poll as an incarnation of the backend server.
func (a *agentTest) answerPollAs(born int64, running ...Running) {
	a.t.Helper()
	qt.Assert(a.t, a.m.poll, qt.IsNotNil)
	a.handle(PollDone{Number: a.m.poll.Number, Outcome: OrderDone, Born: born, Running: running})
}

// restartBehind returns an agent with a run that the old incarnation has listed, and one that a new incarnation has confirmed
// before the agent knows of it.
func restartBehind(t *testing.T) *agentTest {
	a := newAgentTest(t)
	a.begin("e1/1", "old", 1000)
	a.confirmUnnamed("old")
	a.answerPollAs(1, Running{Task: "old.0.0.0", Run: 1})
	a.begin("e2/1", "new", 1000)
	a.confirmUnnamed("new")
	return a
}

// Case 3 of the review: runs that a restarted backend server had confirmed counted as those of the incarnation before and started elsewhere.
func TestRunOfAnIncarnationThatIsNotNamedYetGoesOn(t *testing.T) {
	tests := map[string]func(a *agentTest){
		"poll before heartbeat": func(a *agentTest) {
			a.answerPollAs(2, Running{Task: "new.0.0.0", Run: 1})
			a.handle(Announced{Instance: instance(2)})
		},
		"heartbeat before poll": func(a *agentTest) {
			a.handle(Announced{Instance: instance(2)})
			qt.Check(a.t, a.m.runs["old.0.0.0"], qt.IsNil)
			qt.Check(a.t, a.m.used.CPU, qt.Equals, int64(1000))
			qt.Check(a.t, a.m.accepting(), qt.IsFalse)
		},
	}
	for name, learn := range tests {
		t.Run(name, func(t *testing.T) {
			a := restartBehind(t)
			learn(a)
			qt.Check(t, a.reportedEnds("e2/1"), qt.HasLen, 0)
			qt.Assert(t, a.m.runs["new.0.0.0"], qt.IsNotNil)
			a.answerPollAs(2, Running{Task: "new.0.0.0", Run: 1})
			qt.Check(t, a.m.runs["old.0.0.0"], qt.IsNil)
			qt.Check(t, a.m.used.CPU, qt.Equals, int64(1000))
			qt.Check(t, a.m.accepting(), qt.IsTrue)
			qt.Check(t, a.m.runs["new.0.0.0"].incarnation, qt.Equals, int64(2))

			a.handle(Announced{Instance: instance(3)})
			qt.Check(t, a.reportedEnds("e2/1"), qt.DeepEquals, []proto.EndReason{proto.EndStopped})
		})
	}
}

// A run that a new incarnation does not list is over if the poll was sent after the start was confirmed, else the next poll decides.
func TestNewIncarnationDecidesByAPollSentAfterTheStart(t *testing.T) {
	a := newAgentTest(t)
	a.begin("e1/1", "before", 1000)
	a.confirmUnnamed("before")
	a.answerPollAs(1)
	qt.Assert(t, a.m.runs["before.0.0.0"], qt.IsNotNil)
	a.begin("e2/1", "after", 1000)

	// The poll was sent to the incarnation before, under a token that still lets its orders start.
	a.answerPollAs(2)
	qt.Check(t, a.m.used.CPU, qt.Equals, int64(2000))
	a.confirmUnnamed("after")
	a.answerPollAs(2)
	qt.Check(t, a.m.runs["before.0.0.0"], qt.IsNil)
	qt.Check(t, a.m.used.CPU, qt.Equals, int64(1000))
	a.answerPollAs(2)
	qt.Check(t, a.reportedEnds("e2/1"), qt.DeepEquals, []proto.EndReason{proto.EndStopped})
	qt.Check(t, a.m.used.CPU, qt.Equals, int64(0))
}

// A poll of the old incarnation that is answered behind the heartbeat of the new one says nothing of the new one's runs.
func TestLateListOfTheOldIncarnationDecidesNothing(t *testing.T) {
	a := restartBehind(t)
	late := a.m.poll.Number
	a.handle(Announced{Instance: instance(2)})
	qt.Assert(t, a.m.poll.Number > late, qt.IsTrue)
	a.handle(PollDone{Number: late, Outcome: OrderDone, Born: 1, Running: []Running{{Task: "old.0.0.0", Run: 1}}})
	qt.Check(t, a.m.runs["new.0.0.0"], qt.IsNotNil)
	qt.Check(t, a.m.accepting(), qt.IsFalse)
	a.answerPollAs(2, Running{Task: "new.0.0.0", Run: 1})
	qt.Check(t, a.m.accepting(), qt.IsTrue)
}

// A stop that the old incarnation has answered does not keep a start that is still on its way from being carried out by the new one.
func TestStopIsRepeatedAtANewIncarnation(t *testing.T) {
	a := newAgentTest(t)
	a.begin("e1/1", "j1", 1000)
	halt := event.Received{From: "e1/1", Message: proto.Message{Orders: &proto.Orders{Halts: []proto.RunRef{{Task: "j1.0.0.0", Run: 1}}}}}
	a.handle(halt)
	a.handle(HaltDone{Task: "j1.0.0.0", Run: 1, Outcome: OrderDone})
	a.answerPollAs(1)
	a.handle(Announced{Instance: instance(2)})
	qt.Check(t, actions[HaltRun](a), qt.HasLen, 1)
	a.answerPollAs(2)
	qt.Assert(t, a.m.runs["j1.0.0.0"], qt.IsNotNil)

	a.handle(HaltDone{Task: "j1.0.0.0", Run: 1, Outcome: OrderDone})
	a.handle(StartDone{Task: "j1.0.0.0", Run: 1, Outcome: OrderOld})
	qt.Check(t, a.reportedEnds("e1/1"), qt.DeepEquals, []proto.EndReason{proto.EndNotBegun})
	qt.Check(t, a.m.used.CPU, qt.Equals, int64(0))
}

// leaveWithRun returns an agent whose backend server has announced its end with a run in progress.
func leaveWithRun(t *testing.T) *agentTest {
	a := newAgentTest(t)
	a.begin("e1/1", "j1", 1000)
	a.confirmUnnamed("j1")
	a.handle(InstanceLeft{ID: "r1"})
	return a
}

// The backend server goes on for a moment after it has announced its end: its runs counted as over at once and started elsewhere.
func TestRunsOfALeavingBackendServerGoOnUntilItsEndIsProved(t *testing.T) {
	tests := map[string]func(a *agentTest){
		"its machine refuses polls": func(a *agentTest) {
			for range goneAfter {
				qt.Check(a.t, a.m.runs, qt.HasLen, 1)
				a.advance(40)
				a.handle(PollDone{Number: a.m.poll.Number, Outcome: OrderUnreachable})
			}
		},
		"another instance answers": func(a *agentTest) {
			a.handle(PollDone{Number: a.m.poll.Number, Outcome: OrderGone})
		},
		"another instance announces itself": func(a *agentTest) {
			in := instance(2)
			in.ID = "r2"
			a.handle(Announced{Instance: in})
		},
		"the end is listed": func(a *agentTest) {
			a.handle(PollDone{Number: a.m.poll.Number, Outcome: OrderDone, Born: 1, Ended: []Ended{{N: 1, Task: "j1.0.0.0", Run: 1, How: proto.EndStopped}}})
		},
		"a later poll does not list it": func(a *agentTest) {
			a.answerPollAs(1)
			a.answerPollAs(1)
		},
		"the lease has lapsed": func(a *agentTest) {
			for len(a.m.runs) > 0 && a.now < 2000 {
				a.now += 10
				a.orders("e1/1", a.now)
				if a.m.poll != nil {
					qt.Check(a.t, a.m.poll.Lease == 0 || a.now == 10, qt.IsTrue)
					a.handle(PollDone{Number: a.m.poll.Number, Outcome: OrderUnknown})
				}
			}
			qt.Check(a.t, a.now > 800 && a.now < 1000, qt.IsTrue, qt.Commentf("%d", a.now))
		},
	}
	for name, prove := range tests {
		t.Run(name, func(t *testing.T) {
			a := leaveWithRun(t)
			qt.Check(t, a.reportedEnds("e1/1"), qt.HasLen, 0)
			qt.Assert(t, a.m.runs, qt.HasLen, 1)
			qt.Check(t, a.m.accepting(), qt.IsFalse)
			prove(a)
			qt.Check(t, a.reportedEnds("e1/1"), qt.DeepEquals, []proto.EndReason{proto.EndStopped})
			qt.Check(t, a.m.used.CPU, qt.Equals, int64(0))

			in := instance(3)
			in.ID = "r3"
			a.advance(100)
			a.handle(Announced{Instance: in})
			a.answerPollAs(3)
			qt.Check(t, a.m.accepting(), qt.IsTrue)
		})
	}
}

// A backend server that leaves gets no new tasks and no renewal, also when its runs go on for long.
func TestLeavingBackendServerGetsNothingNew(t *testing.T) {
	a := leaveWithRun(t)
	a.begin("e2/1", "j2", 1000)
	qt.Check(t, actions[StartRun](a), qt.HasLen, 0)
	qt.Check(t, a.reportedEnds("e2/1"), qt.DeepEquals, []proto.EndReason{proto.EndNotBegun})
	for range 10 {
		a.answerPollAs(1, Running{Task: "j1.0.0.0", Run: 1})
		qt.Check(t, a.m.poll.Lease, qt.Equals, clock.Millis(0))
	}
}

// A backend server that has left and starts again under its id was ignored until the agent's next start.
func TestBackendServerThatHasLeftMayComeBackUnderItsID(t *testing.T) {
	for name, runs := range map[string]int{"idle": 0, "with a run": 1} {
		t.Run(name, func(t *testing.T) {
			a := newAgentTest(t)
			for range runs {
				a.begin("e1/1", "j1", 1000)
				a.confirmUnnamed("j1")
				a.answerPollAs(1, Running{Task: "j1.0.0.0", Run: 1})
			}
			a.handle(InstanceLeft{ID: "r1"})
			late := instance(1)
			late.Seq = 9
			a.handle(Announced{Instance: late})
			qt.Check(t, a.m.runs, qt.HasLen, runs)
			qt.Check(t, a.m.accepting(), qt.IsFalse)

			a.handle(Announced{Instance: instance(2)})
			a.answerPollAs(2)
			qt.Check(t, a.m.accepting(), qt.IsTrue)
			qt.Check(t, a.m.used.CPU, qt.Equals, int64(0))
			late.Seq = 10
			a.handle(Announced{Instance: late})
			qt.Check(t, a.m.instance.Born, qt.Equals, int64(2))
		})
	}
}

// The time of day was set back between two incarnations of a backend server: the lists of the second one were ignored for good, and
// the capacity of its runs stayed taken.
func TestIncarnationWhoseBornHasGoneBackIsHeard(t *testing.T) {
	a := newAgentTest(t)
	a.handle(Announced{Instance: instance(5)})
	a.answerPollAs(5)
	a.begin("e1/1", "old", 1000)
	a.confirmUnnamed("old")
	a.answerPollAs(5, Running{Task: "old.0.0.0", Run: 1})
	a.begin("e2/1", "new", 1000)
	a.confirmUnnamed("new")

	a.answerPollAs(3, Running{Task: "new.0.0.0", Run: 1})
	qt.Check(t, a.m.runs, qt.HasLen, 2)
	qt.Check(t, a.m.accepting(), qt.IsFalse)
	a.answerPollAs(3, Running{Task: "new.0.0.0", Run: 1})
	qt.Check(t, a.reportedEnds("e1/1"), qt.DeepEquals, []proto.EndReason{proto.EndStopped})
	qt.Check(t, a.reportedEnds("e2/1"), qt.HasLen, 0)
	qt.Check(t, a.m.used.CPU, qt.Equals, int64(1000))
	a.handle(Announced{Instance: instance(3)})
	qt.Check(t, a.m.accepting(), qt.IsFalse)
	a.answerPollAs(3, Running{Task: "new.0.0.0", Run: 1})
	qt.Check(t, a.m.accepting(), qt.IsTrue)

	// A late heartbeat of the incarnation before ends nothing; the next poll decides.
	a.handle(Announced{Instance: instance(5)})
	qt.Check(t, a.m.runs, qt.HasLen, 1)
	a.answerPollAs(3, Running{Task: "new.0.0.0", Run: 1})
	qt.Check(t, a.m.runs, qt.HasLen, 1)
	qt.Check(t, a.m.accepting(), qt.IsTrue)
}

// A single answer of an earlier incarnation, and late heartbeats of it, change nothing once the current one answers.
func TestSingleAnswerOfAnEarlierIncarnationChangesNothing(t *testing.T) {
	a := newAgentTest(t)
	a.handle(Announced{Instance: instance(5)})
	a.answerPollAs(5)
	a.begin("e1/1", "j1", 1000)
	a.confirmUnnamed("j1")
	j1 := Running{Task: "j1.0.0.0", Run: 1}
	a.answerPollAs(5, j1)
	for range 3 {
		a.answerPollAs(3)
		a.answerPollAs(5, j1)
		qt.Check(t, a.m.accepting(), qt.IsTrue)
		a.handle(Announced{Instance: instance(3)})
		qt.Check(t, a.m.accepting(), qt.IsFalse)
		a.answerPollAs(5, j1)
		qt.Check(t, a.m.accepting(), qt.IsTrue)
	}
	qt.Check(t, a.m.runs, qt.HasLen, 1)
	qt.Check(t, a.m.instance.Born, qt.Equals, int64(5))
}

// The heartbeats of an idle backend server whose time of start has gone back were ignored, with the capacity that they told.
func TestIdleAgentAsksAfterAHeartbeatOfAnEarlierBorn(t *testing.T) {
	a := newAgentTest(t)
	a.handle(Announced{Instance: instance(5)})
	a.answerPollAs(5)
	a.handle(Announced{Instance: instance(3)})
	for range 3 {
		a.answerPollAs(3)
	}
	in := instance(3)
	in.Total.CPU = 1000
	a.handle(Announced{Instance: in})
	qt.Check(t, a.m.accepting(), qt.IsTrue)
	qt.Check(t, a.m.instance.Total.CPU, qt.Equals, int64(1000))
}
