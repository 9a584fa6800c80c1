package runs

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
)

// An acknowledgement counts ends of before the dispatcher was forgotten and must not drop an end that it has not received.
func TestAcknowledgementOfAnEarlierCountDropsNoEnd(t *testing.T) {
	a := newAgentTest(t)
	end := func(n uint64, job string) {
		a.begin("e1/1", job, 1000)
		a.confirmStart(job)
		a.handle(PollDone{Number: a.m.poll.Number, Outcome: OrderDone, Born: 1, Ended: []Ended{
			{N: n, Task: job + ".0.0.0", Run: 1, How: proto.EndDone},
		}})
		qt.Assert(t, a.reportedEnds("e1/1"), qt.DeepEquals, []proto.EndReason{proto.EndDone})
	}
	end(1, "j1")
	// The dispatcher is paused for as long as the agent remembers it; it has received one end.
	a.advance(peerRetention + 2*clock.Second)
	a.handle(event.SessionUp{Peer: "e1/1"})
	end(2, "j2")
	// The report is lost with the session, and an acknowledgement of before crosses it.
	a.handle(event.Received{From: "e1/1", Message: proto.Message{Orders: &proto.Orders{Stamp: a.now, AckedEnd: 1}}})
	a.handle(event.SessionDown{Peer: "e1/1"})
	a.handle(event.SessionUp{Peer: "e1/1"})
	qt.Check(t, a.reportedEnds("e1/1"), qt.DeepEquals, []proto.EndReason{proto.EndDone})
}

// An order that was held up at the beginning of a session must not start a run that its dispatcher has given up.
func TestDelayIsNoticedAtTheBeginningOfASession(t *testing.T) {
	a := newAgentTest(t)
	a.now = 1000
	a.orders("e1/1", a.now)
	a.handle(event.SessionDown{Peer: "e1/1"})
	a.handle(event.SessionUp{Peer: "e1/1"})
	a.now += a.m.cfg.Silence + 1
	a.orders("e1/1", 1000, a.newBegin("j1", 1000))
	qt.Check(t, a.reportedEnds("e1/1"), qt.DeepEquals, []proto.EndReason{proto.EndNotBegun})
	qt.Check(t, actions[StartRun](a), qt.HasLen, 0)
}

// A session that only the agent knows of must not let the runs of its dispatcher go on, which start elsewhere.
func TestSessionWithoutAStampLetsNoRunGoOn(t *testing.T) {
	a := newAgentTest(t)
	a.begin("e1/1", "j1", 1000)
	a.confirmStart("j1")
	a.advance(100)
	a.handle(event.SessionDown{Peer: "e1/1"})
	a.advance(100)
	a.handle(event.SessionUp{Peer: "e1/1"})
	a.answerPoll(Running{Task: "j1.0.0.0", Run: 1})
	a.advance(a.m.cfg.Silence - 200)
	qt.Assert(t, a.m.runs["j1.0.0.0"].phase, qt.Equals, running)
	a.advance(10)
	qt.Check(t, actions[HaltRun](a), qt.HasLen, 1)
	qt.Check(t, a.m.mayRenew(), qt.IsFalse)
}
