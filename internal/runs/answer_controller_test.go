package runs

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/proto"
)

// probe returns the probe that is under way.
func (a *agentTest) probe() *Poll {
	a.t.Helper()
	qt.Assert(a.t, a.m.probing.poll, qt.IsNotNil)
	return a.m.probing.poll
}

func (a *agentTest) answerProbe(running ...Running) {
	a.t.Helper()
	a.handle(PollDone{Number: a.probe().Number, Outcome: OrderDone, Born: a.m.instance.Born, Running: running})
}

// newOverdueStart returns an agent whose start of j1 is overdue, beside a poll that waits, with a probe under way.
func newOverdueStart(t *testing.T) *agentTest {
	a := newAgentTest(t)
	a.begin("e1/1", "j0", 1000)
	a.confirmStart("j0")
	a.now += 30
	a.begin("e1/1", "j1", 1000)
	a.advance(10)
	qt.Assert(t, actions[HaltRun](a), qt.HasLen, 0)
	return a
}

var (
	first  = Running{Task: "j0.0.0.0", Run: 1, Percent: 10}
	second = Running{Task: "j1.0.0.0", Run: 1}
)

// An order without an answer cost 40 ms and a stop before its task began elsewhere: most of the slack of a 60 ms task.
func TestStartThatTwoListsLackIsStoppedBeforeItsTimeout(t *testing.T) {
	a := newOverdueStart(t)
	a.now += 2
	a.answerProbe(first)
	qt.Check(t, actions[HaltRun](a), qt.HasLen, 0)
	a.now += 2
	a.answerProbe(first)
	qt.Assert(t, actions[HaltRun](a), qt.HasLen, 1)
	qt.Check(t, a.m.used.CPU, qt.Equals, int64(2000))
	a.now += 2
	a.handle(HaltDone{Task: second.Task, Run: 1, Outcome: OrderDone, Born: 1})
	a.now += 2
	a.answerPoll(first)
	qt.Check(t, a.reportedEnds("e1/1"), qt.DeepEquals, []proto.EndReason{proto.EndStopped})
	qt.Check(t, a.m.used.CPU, qt.Equals, int64(1000))
	qt.Check(t, a.now < 30+a.m.cfg.OrderTimeout, qt.IsTrue)

	// The start's own answer, or that there is none, changes nothing any more.
	a.handle(StartDone{Task: second.Task, Run: 1, Outcome: OrderUnknown})
	qt.Check(t, actions[HaltRun](a), qt.HasLen, 0)
}

// A start whose answer was lost was stopped, and its task began anew.
func TestStartThatIsListedNeedsNoAnswer(t *testing.T) {
	a := newOverdueStart(t)
	a.answerProbe(first, second)
	qt.Check(t, a.m.runs[second.Task].phase, qt.Equals, running)
	a.advance(60)
	a.handle(StartDone{Task: second.Task, Run: 1, Outcome: OrderUnknown})
	qt.Check(t, actions[HaltRun](a), qt.HasLen, 0)
	qt.Check(t, a.m.runs, qt.HasLen, 2)
	qt.Check(t, a.reportedEnds("e1/1"), qt.HasLen, 0)
}

// A server that answers nothing is slow or silent: a start there is not taken for lost sooner than its timeout.
func TestSilentServerIsLeftToTheTimeout(t *testing.T) {
	a := newOverdueStart(t)
	probes := 1
	for range 4 {
		a.advance(10)
		qt.Check(t, actions[HaltRun](a), qt.HasLen, 0)
		for _, p := range actions[Poll](a) {
			qt.Check(t, p.Lease, qt.Equals, clock.Millis(0))
			probes++
		}
	}
	qt.Check(t, probes, qt.Equals, maxProbes)
}

// A list that was ordered before the start says nothing of it, also when it comes behind the start.
func TestListOrderedBeforeTheStartIsNoSignOfItsLoss(t *testing.T) {
	a := newOverdueStart(t)
	a.answerPoll(first)
	qt.Check(t, a.m.runs[second.Task].absent, qt.Equals, 0)
}

// A start that is answered late, but sooner than two lists could lack it, goes on; so do later ones, as slow answers become usual.
func TestLateAnswerIsNoLostOne(t *testing.T) {
	a := newOverdueStart(t)
	a.answerProbe(first)
	a.now += 3
	a.confirmStart("j1")
	a.answerProbe(first, second)
	qt.Check(t, actions[HaltRun](a), qt.HasLen, 0)
	qt.Check(t, a.m.runs, qt.HasLen, 2)

	for range 8 {
		a.m.answers.observe(15)
	}
	qt.Check(t, a.m.answerLimit() > 15, qt.IsTrue)
	qt.Check(t, a.m.answerLimit() <= a.m.cfg.OrderTimeout, qt.IsTrue)
}

// A stop without an answer was repeated after 40 ms only, although the server answered everything else.
func TestUnansweredStopIsRepeatedWhileTheServerAnswers(t *testing.T) {
	a := newOverdueStart(t)
	a.answerProbe(first)
	a.answerProbe(first)
	qt.Assert(t, actions[HaltRun](a), qt.HasLen, 1)
	a.begin("e1/1", "j2", 1000)
	a.now++
	a.confirmStart("j2")
	halts := 0
	for range 2 {
		a.advance(10)
		halts += len(actions[HaltRun](a))
	}
	qt.Check(t, halts, qt.Equals, 1)
}

// The end of a run was known only when a poll had timed out whose answer was lost, 190 ms after it was sent.
func TestEndBehindALostPollIsAskedFor(t *testing.T) {
	a := newAgentTest(t)
	b := a.newBegin("j0", 1000)
	b.Tasks[0].EstimateMS = 60
	a.orders("e1/1", a.now, b)
	a.confirmStart("j0")
	a.m.lossyUntil = a.now + unansweredSpan
	a.answerPoll(Running{Task: "j0.0.0.0", Run: 1})
	hung := a.m.poll.Number
	a.advance(50)
	qt.Check(t, a.m.probing.poll, qt.IsNil)
	a.advance(10)
	qt.Check(t, a.probe().Lease, qt.Equals, clock.Millis(0))
	a.handle(PollDone{Number: a.probe().Number, Outcome: OrderDone, Born: 1, Ended: []Ended{{N: 1, Task: "j0.0.0.0", Run: 1, How: proto.EndDone}}})
	qt.Check(t, a.reportedEnds("e1/1"), qt.DeepEquals, []proto.EndReason{proto.EndDone})

	// The hung poll is answered after all, with a list from before the end.
	a.handle(PollDone{Number: hung, Outcome: OrderDone, Born: 1, Running: []Running{{Task: "j0.0.0.0", Run: 1}}})
	qt.Check(t, actions[HaltRun](a), qt.HasLen, 0)
	qt.Check(t, a.m.settled, qt.IsTrue)
}

// A probe's list from before an end came behind the poll that told of the end: the run counted as an orphan, was stopped, and the agent took
// nothing until the stop was answered.
func TestListThatALaterOneOvertookShowsNoOrphan(t *testing.T) {
	a := newOverdueStart(t)
	a.answerProbe(first)
	probe := a.probe().Number
	ended := []Ended{{N: 1, Task: first.Task, Run: 1, How: proto.EndDone}}
	a.handle(PollDone{Number: a.m.poll.Number, Outcome: OrderDone, Born: 1, Clock: 501, Ended: ended})
	a.reportedEnds("e1/1")
	a.handle(PollDone{Number: probe, Outcome: OrderDone, Born: 1, Clock: 500, Running: []Running{first}})
	qt.Check(t, actions[HaltRun](a), qt.HasLen, 0)
	qt.Check(t, a.m.settled, qt.IsTrue)

	// A list that isn't older counts.
	a.answerPollAt(502, second, Running{Task: "unknown.0.0.0", Run: 1})
	qt.Check(t, actions[HaltRun](a), qt.HasLen, 1)
}

func (a *agentTest) answerPollAt(clock int64, running ...Running) {
	a.t.Helper()
	qt.Assert(a.t, a.m.poll, qt.IsNotNil)
	a.handle(PollDone{Number: a.m.poll.Number, Outcome: OrderDone, Born: 1, Clock: clock, Running: running})
}

// At a server that answers everything an end that is later than estimated costs nothing.
func TestLateEndsAreNotAskedForWhereAnswersCome(t *testing.T) {
	a := newAgentTest(t)
	b := a.newBegin("j0", 1000)
	b.Tasks[0].EstimateMS = 20
	a.orders("e1/1", a.now, b)
	a.confirmStart("j0")
	a.answerPoll(Running{Task: "j0.0.0.0", Run: 1})
	for range 10 {
		a.advance(10)
		qt.Check(t, actions[Poll](a), qt.HasLen, 0)
	}
}

// A poll that no end answers is overdue when its wait has passed, and a probe takes its place.
func TestOverduePollIsReplaced(t *testing.T) {
	a := newAgentTest(t)
	a.begin("e1/1", "j0", 1000)
	a.confirmStart("j0")
	a.answerPoll(first)
	hung := a.m.poll.Number
	a.advance(a.m.cfg.PollWait + 10)
	a.answerProbe(first)
	qt.Check(t, a.m.poll.Number > hung, qt.IsTrue)
	qt.Check(t, a.m.poll.Lease, qt.Equals, a.m.cfg.Lease)
}

// A start that isn't answered yet may reach the process that takes the place of one that has ended, also if it was stopped meanwhile.
func TestStoppedStartOutlivesItsServerUntilItsAnswer(t *testing.T) {
	a := newOverdueStart(t)
	a.answerProbe(first)
	a.answerProbe(first)
	qt.Assert(t, actions[HaltRun](a), qt.HasLen, 1)
	a.refusePoll()
	a.refusePoll()
	qt.Check(t, a.m.runs[first.Task], qt.IsNil)
	qt.Assert(t, a.m.runs[second.Task], qt.IsNotNil)
	a.handle(StartDone{Task: second.Task, Run: 1, Outcome: OrderUnreachable})
	qt.Check(t, a.m.runs, qt.HasLen, 0)
}
