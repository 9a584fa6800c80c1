package runs

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/proto"
)

// A start that is under way when connections were refused must not count as ended: the server that came back may carry it out.
func TestStartUnderWayBehindARefusedConnectionIsNotEnded(t *testing.T) {
	a := newAgentTest(t)
	a.begin("e1/1", "j1", 1000)
	a.confirmStart("j1")
	a.handle(PollDone{Number: a.m.poll.Number, Outcome: OrderUnreachable})
	a.advance(40)
	qt.Assert(t, a.m.poll, qt.IsNotNil)
	a.begin("e2/1", "j2", 1000)
	qt.Assert(t, actions[StartRun](a), qt.HasLen, 1)
	a.handle(PollDone{Number: a.m.poll.Number, Outcome: OrderUnreachable})
	qt.Check(t, a.reportedEnds("e1/1"), qt.DeepEquals, []proto.EndReason{proto.EndStopped})
	qt.Check(t, a.reportedEnds("e2/1"), qt.HasLen, 0)
}

// A start that is left open when the backend server has gone must not keep its dispatcher waiting beyond its lease.
func TestOpenStartEndsWithItsLease(t *testing.T) {
	a := newAgentTest(t)
	a.begin("e1/1", "j1", 1000)
	a.confirmStart("j1")
	a.handle(PollDone{Number: a.m.poll.Number, Outcome: OrderUnreachable})
	a.advance(40)
	a.begin("e1/1", "j2", 1000)
	a.handle(PollDone{Number: a.m.poll.Number, Outcome: OrderUnreachable})
	a.handle(StartDone{Task: "j2.0.0.0", Run: 1, Outcome: OrderUnknown})
	qt.Assert(t, a.m.runs, qt.HasLen, 1)
	a.advance(a.m.cfg.Lease + a.m.cfg.Lease/ClockSlack + 2*a.m.cfg.OrderTimeout)
	qt.Check(t, a.m.runs, qt.HasLen, 0)
}
