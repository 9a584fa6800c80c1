package runs

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/event"
)

// fencedAgent is an agent that starts with a token, at a backend server that has seen another one.
func fencedAgent(t *testing.T, token uint64) *agentTest {
	a := &agentTest{t: t, m: New(Config{Token: token, Lease: 800, Silence: 400, Reattach: 200, PollWait: 120, OrderTimeout: 60})}
	a.handle(Announced{Instance: instance(1)})
	a.handle(event.SessionUp{Peer: "e1/1"})
	return a
}

// The time of day was set back between two incarnations of an agent: the later one raises its token above that of the earlier one.
func TestTokenIsRaisedAfterTheTimeOfDayWasSetBack(t *testing.T) {
	const unixMillis, setBack = 1_764_892_800_000, 3_600_000
	seen := uint64(unixMillis << 10)
	a := fencedAgent(t, (unixMillis-setBack)<<10)
	for polls := 0; a.m.poll.Token < seen; polls++ {
		qt.Assert(t, polls < 20, qt.IsTrue)
		a.handle(PollDone{Number: a.m.poll.Number, Outcome: OrderFenced, Born: 1})
		qt.Assert(t, actions[Poll](a), qt.HasLen, 1)
		qt.Assert(t, a.m.settled, qt.IsFalse)
	}
	a.answerPoll()
	qt.Check(t, a.m.accepting(), qt.IsTrue)
	a.begin("e1/1", "j1", 1000)
	qt.Check(t, actions[StartRun](a)[0].Token > seen, qt.IsTrue)
}

// Two incarnations of an agent at once, one of them frozen for a while: the earlier one must not outbid the later.
func TestFencedAgentDoesNotOutbidItsSuccessor(t *testing.T) {
	a := fencedAgent(t, 1000)
	a.answerPoll()
	a.begin("e1/1", "j1", 1000)
	a.handle(StartDone{Task: "j1.0.0.0", Run: 1, Outcome: OrderFenced, Born: 1})
	qt.Check(t, a.m.runs, qt.HasLen, 0)
	a.begin("e1/1", "j2", 1000)
	a.confirmStart("j2")
	token := a.m.poll.Token
	for range 40 {
		a.advance(40)
		a.orders("e1/1", a.now)
		if a.m.poll != nil {
			qt.Check(t, a.m.poll.Token, qt.Equals, token)
			a.handle(PollDone{Number: a.m.poll.Number, Outcome: OrderFenced, Born: 1})
		}
		qt.Check(t, a.m.accepting(), qt.IsFalse)
	}
	// Polls have renewed nothing, so what ran has lapsed.
	qt.Check(t, a.m.runs, qt.HasLen, 0)
}

// The backend server has started again under its id and knows no token: orders to its incarnation before must be late there.
func TestTokenRisesWithEachLifeOfTheBackendServer(t *testing.T) {
	a := fencedAgent(t, 1000)
	before := a.m.poll.Token
	a.answerPoll()
	a.begin("e1/1", "j1", 1000)
	a.confirmStart("j1")
	sent := a.m.poll.Token
	a.handle(PollDone{Number: a.m.poll.Number, Outcome: OrderDone, Born: 2})
	qt.Check(t, sent, qt.Equals, before)
	qt.Check(t, a.m.settled, qt.IsFalse)
	qt.Check(t, a.m.poll.Token > before, qt.IsTrue)
	a.answerPoll()
	qt.Check(t, a.m.settled, qt.IsTrue)
}
