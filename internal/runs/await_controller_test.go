package runs

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/clock"
)

// endProcess refuses the connections of polls until the agent counts the backend server's process as ended.
func (a *agentTest) endProcess() {
	a.t.Helper()
	for range goneAfter {
		a.refusePoll()
	}
	qt.Assert(a.t, a.m.instance, qt.IsNil)
}

func (a *agentTest) refusePoll() {
	a.t.Helper()
	qt.Assert(a.t, a.m.poll, qt.IsNotNil)
	a.handle(PollDone{Number: a.m.poll.Number, Outcome: OrderUnreachable})
	a.advance(pollBackoff)
}

// leaveUnanswered orders the start of a job's run and gets no answer.
func (a *agentTest) leaveUnanswered(job string) {
	a.begin("e1/1", job, 1000)
	a.handle(StartDone{Task: job + ".0.0.0", Run: 1, Outcome: OrderUnknown})
}

// A start without an answer must not be carried out by the next process under the same id, before that has announced itself.
func TestNextProcessIsFencedBeforeItsHeartbeat(t *testing.T) {
	a := newAgentTest(t)
	a.leaveUnanswered("j1")
	token := a.m.fence.token
	a.endProcess()
	a.refusePoll()
	poll := a.m.poll
	qt.Assert(t, poll, qt.IsNotNil)
	qt.Check(t, poll.Token > token, qt.IsTrue)
	qt.Check(t, poll.Lease, qt.Equals, clock.Millis(0))

	a.handle(PollDone{Number: poll.Number, Outcome: OrderDone, Born: 2, Running: []Running{{Task: "j1.0.0.0", Run: 1}}})
	a.answerPoll(Running{Task: "j1.0.0.0", Run: 1})
	qt.Check(t, actions[HaltRun](a), qt.HasLen, 1)
	a.answerPoll()
	qt.Check(t, a.m.settled, qt.IsTrue)
	qt.Check(t, a.m.accepting(), qt.IsFalse)
	a.handle(Announced{Instance: instance(2)})
	qt.Check(t, a.m.accepting(), qt.IsTrue)
}

// The next process is awaited only while an order may be under way to it.
func TestNextProcessIsNotAwaitedForEver(t *testing.T) {
	a := newAgentTest(t)
	a.begin("e1/1", "j1", 1000)
	a.confirmStart("j1")
	a.endProcess()
	qt.Check(t, a.m.poll, qt.IsNil)

	a.handle(Announced{Instance: instance(2)})
	a.answerPoll()
	a.leaveUnanswered("j2")
	a.endProcess()
	qt.Assert(t, a.m.poll, qt.IsNotNil)
	a.now += unansweredSpan
	a.refusePoll()
	qt.Check(t, a.m.poll, qt.IsNil)
}

// Another backend server at the address rejects orders for the one before, which is awaited no longer.
func TestReplacedBackendServerIsNotAwaited(t *testing.T) {
	a := newAgentTest(t)
	a.leaveUnanswered("j1")
	a.endProcess()
	a.handle(PollDone{Number: a.m.poll.Number, Outcome: OrderGone})
	a.advance(100)
	qt.Check(t, a.m.poll, qt.IsNil)
}
