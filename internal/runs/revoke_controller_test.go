package runs

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
)

// playUnansweredStops advances the clock while polls are answered, stops are not, and e2/1 stays in touch and orders a start every
// 50 ms. It returns when the last lease was granted.
func playUnansweredStops(a *agentTest, span clock.Millis, running ...Running) (lastLease clock.Millis) {
	a.t.Helper()
	grants := func() {
		if len(actions[StartRun](a)) > 0 {
			lastLease = a.now
		}
		for _, p := range actions[Poll](a) {
			if p.Lease > 0 {
				lastLease = a.now
			}
		}
	}
	for end := a.now + span; a.now < end; {
		a.now++
		switch {
		case a.now%50 == 0:
			a.orders("e2/1", a.now, a.newBegin("new", 4000))
			grants()
		case a.now%10 == 0:
			a.handle(event.Tick{})
			grants()
		}
		if a.now%7 == 0 && a.m.poll != nil {
			a.answerPoll(running...)
			grants()
		}
	}
	return lastLease
}

// Stops get no answer while polls do: polls must not extend the runs of a silent dispatcher beyond the time after which it starts
// their tasks elsewhere.
func TestPollsDoNotExtendRunsOfASilentDispatcher(t *testing.T) {
	a := newAgentTest(t)
	a.now = 20
	a.begin("e1/1", "j1", 500)
	a.confirmStart("j1")
	stamp := a.now
	last := playUnansweredStops(a, 700, Running{Task: "j1.0.0.0", Run: 1, Percent: 5})
	const serverClock = 50
	cfg := a.m.cfg
	bound := stamp + cfg.Silence + cfg.Lease + cfg.Lease/ClockSlack
	qt.Check(t, last > stamp, qt.IsTrue)
	qt.Check(t, last+cfg.Lease+cfg.Lease/serverClock <= bound, qt.IsTrue, qt.Commentf("last lease %d after the last stamp", last-stamp))
	qt.Check(t, a.m.accepting(), qt.IsFalse)
}

// The same for a run that its dispatcher has stopped, until the lease has lapsed; then what ran counts as over.
func TestPollsDoNotExtendRunsThatWereStopped(t *testing.T) {
	a := newAgentTest(t)
	a.now = 1000
	a.begin("e2/1", "j1", 500)
	a.confirmStart("j1")
	a.now = 1100
	a.handle(event.Received{From: "e2/1", Message: proto.Message{Orders: &proto.Orders{
		Stamp: a.now, Halts: []proto.RunRef{{Task: "j1.0.0.0", Run: 1}},
	}}})
	last := playUnansweredStops(a, 700, Running{Task: "j1.0.0.0", Run: 1, Percent: 5})
	qt.Check(t, last <= 1100+a.m.cfg.OrderTimeout+10, qt.IsTrue, qt.Commentf("last lease at %d", last))
	qt.Check(t, a.m.accepting(), qt.IsFalse)
	playUnansweredStops(a, 300, Running{Task: "j1.0.0.0", Run: 1, Percent: 5})
	qt.Check(t, a.m.runs["j1.0.0.0"], qt.IsNil)
	a.answerPoll()
	qt.Check(t, a.m.accepting(), qt.IsTrue)
}

// A stop that is answered as usual costs the others nothing: an order that arrives meanwhile waits for the answer, and the next
// poll renews.
func TestAnsweredStopsDoNotDisturbOtherRuns(t *testing.T) {
	a := newAgentTest(t)
	a.begin("e1/1", "j1", 500)
	a.confirmStart("j1")
	a.now = 390
	a.orders("e2/1", a.now)
	a.now = 410
	a.handle(event.Tick{})
	qt.Assert(t, actions[HaltRun](a), qt.HasLen, 1)
	a.begin("e2/1", "j2", 500)
	qt.Check(t, actions[StartRun](a), qt.HasLen, 0)
	qt.Check(t, a.m.accepting(), qt.IsTrue)
	a.now += 3
	a.handle(HaltDone{Task: "j1.0.0.0", Run: 1, Outcome: OrderDone, Born: 1})
	qt.Check(t, actions[StartRun](a), qt.HasLen, 1)
	a.answerPoll(Running{Task: "j1.0.0.0", Run: 1, Percent: 5}, Running{Task: "j2.0.0.0", Run: 1})
	qt.Check(t, a.m.poll.Lease, qt.Equals, a.m.cfg.Lease)
	qt.Check(t, a.reportedEnds("e2/1"), qt.HasLen, 0)
}
