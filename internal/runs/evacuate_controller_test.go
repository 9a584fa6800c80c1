package runs

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/evac"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/shard"
)

// newZonedAgent returns an agent whose backend server is in zone z.
func newZonedAgent(t *testing.T) *agentTest {
	a := newAgentTest(t)
	in := instance(2)
	in.Born, in.Zone = 1, "z"
	a.handle(Announced{Instance: in})
	return a
}

func (a *agentTest) evacuatedBy(from shard.ID, version uint64, zones ...string) {
	a.handle(event.Received{From: from, Message: proto.Message{Orders: &proto.Orders{
		Stamp: a.now, Evacuated: &evac.State{Version: version, Zones: zones},
	}}})
}

// statesTo returns the versions of evacuated zones that the last event passed on to a dispatcher.
func (a *agentTest) statesTo(to shard.ID) (versions []uint64) {
	for _, s := range actions[event.Send](a) {
		if e := s.Message.Report.Evacuated; s.To == to && e != nil {
			versions = append(versions, e.Version)
		}
	}
	return versions
}

// An agent in an evacuated zone starts nothing, returns what is queued at once and lets what is at work go on.
func TestNothingStartsAtAnAgentOfAnEvacuatedZone(t *testing.T) {
	a := newZonedAgent(t)
	a.begin("e1/1", "j1", 3000)
	a.confirmStart("j1")
	a.begin("e1/1", "j2", 3000)
	qt.Assert(t, a.reportedEnds("e1/1"), qt.HasLen, 0)
	a.evacuatedBy("e2/1", 7, "z")
	qt.Check(t, a.reportedEnds("e1/1"), qt.DeepEquals, []proto.EndReason{proto.EndNoRoom})
	qt.Check(t, actions[HaltRun](a), qt.HasLen, 0)
	for _, s := range actions[event.Send](a) {
		qt.Check(t, s.Message.Report.Accepting, qt.IsFalse)
	}
	qt.Check(t, a.statesTo("e1/1"), qt.DeepEquals, []uint64{7})

	a.begin("e1/1", "j3", 100)
	qt.Check(t, actions[StartRun](a), qt.HasLen, 0)
	qt.Check(t, a.reportedEnds("e1/1"), qt.DeepEquals, []proto.EndReason{proto.EndNotBegun})
	a.handle(PollDone{Number: a.m.poll.Number, Outcome: OrderDone, Born: 1, Ended: []Ended{{N: 1, Task: "j1.0.0.0", Run: 1, How: proto.EndDone}}})
	qt.Check(t, a.reportedEnds("e1/1"), qt.DeepEquals, []proto.EndReason{proto.EndDone})

	a.evacuatedBy("e2/1", 8)
	a.begin("e1/1", "j4", 100)
	qt.Check(t, actions[StartRun](a), qt.HasLen, 1)
}

// An entry that was frozen names an older state: the agent keeps its own, and tells the entry.
func TestOlderEvacuationIsAnsweredWithTheNewer(t *testing.T) {
	a := newZonedAgent(t)
	a.evacuatedBy("e1/1", 9, "z")
	a.handle(event.SessionUp{Peer: "e3/1"})
	qt.Check(t, a.statesTo("e3/1"), qt.DeepEquals, []uint64{9})
	a.evacuatedBy("e3/1", 8)
	a.begin("e3/1", "j1", 100)
	qt.Check(t, actions[StartRun](a), qt.HasLen, 0)
	// A session that comes back is told again, one that goes on is not.
	a.now += 100
	a.orders("e3/1", a.now)
	qt.Check(t, a.statesTo("e3/1"), qt.HasLen, 0)
	a.handle(event.SessionDown{Peer: "e3/1"})
	a.handle(event.SessionUp{Peer: "e3/1"})
	qt.Check(t, a.statesTo("e3/1"), qt.DeepEquals, []uint64{9})
}

// A new incarnation of the backend server, or another one in its place, is in the same zone.
func TestReplacedBackendServerOfAnEvacuatedZoneGetsNothing(t *testing.T) {
	a := newZonedAgent(t)
	a.evacuatedBy("e1/1", 9, "z")
	in := instance(5)
	in.ID, in.Zone = "r2", "z"
	a.handle(Announced{Instance: in})
	a.answerPoll()
	a.begin("e1/1", "j1", 100)
	qt.Check(t, actions[StartRun](a), qt.HasLen, 0)
}

// newStartingAgent returns an agent that has just started and waits for the evacuated zones.
func newStartingAgent(t *testing.T) *agentTest {
	a := newZonedAgent(t)
	cfg := a.m.cfg
	cfg.EvacuationWait = 500
	a.m = New(cfg)
	in := instance(1)
	in.Zone = "z"
	a.now = 1000
	a.handle(Announced{Instance: in})
	a.answerPoll()
	a.handle(event.SessionUp{Peer: "e1/1"})
	return a
}

// A starting agent takes nothing before it knows the evacuated zones from the store or an entry.
func TestStartingAgentWaitsForTheEvacuatedZones(t *testing.T) {
	a := newStartingAgent(t)
	a.begin("e1/1", "j1", 100)
	qt.Check(t, actions[StartRun](a), qt.HasLen, 0)
	a.handle(Evacuated{State: evac.State{Version: 3, Zones: []string{"z"}}})
	a.begin("e1/1", "j2", 100)
	qt.Check(t, actions[StartRun](a), qt.HasLen, 0)

	a = newStartingAgent(t)
	a.handle(Evacuated{State: evac.State{Version: 3}})
	qt.Check(t, actions[event.Send](a)[0].Message.Report.Accepting, qt.IsTrue)
	a.begin("e1/1", "j1", 100)
	qt.Check(t, actions[StartRun](a), qt.HasLen, 1)

	a = newStartingAgent(t)
	a.evacuatedBy("e1/1", 4)
	a.begin("e1/1", "j1", 100)
	qt.Check(t, actions[StartRun](a), qt.HasLen, 1)
}

// A store that is away, and entries that know nothing, stop a starting agent for half a second only.
func TestStartingAgentDoesNotWaitForLong(t *testing.T) {
	a := newStartingAgent(t)
	a.now += 490
	a.begin("e1/1", "j1", 100)
	qt.Check(t, actions[StartRun](a), qt.HasLen, 0)
	a.now += 10
	a.handle(event.Tick{})
	qt.Check(t, actions[event.Send](a)[0].Message.Report.Accepting, qt.IsTrue)
	a.begin("e1/1", "j2", 100)
	qt.Check(t, actions[StartRun](a), qt.HasLen, 1)
}

// Reports carry what is left of the warm-up that the newest heartbeat named.
func TestWarmUpRunsOutBetweenHeartbeats(t *testing.T) {
	a := newZonedAgent(t)
	left := func() clock.Millis {
		a.now += 100
		a.orders("e1/1", a.now)
		return actions[event.Send](a)[0].Message.Report.WarmUpMS
	}
	in := *a.m.instance
	in.Seq++
	in.WarmUp = 250
	a.handle(Announced{Instance: in})
	qt.Check(t, left(), qt.Equals, clock.Millis(150))
	late := in
	late.Seq, late.WarmUp = 1, 9000
	a.handle(Announced{Instance: late})
	qt.Check(t, left(), qt.Equals, clock.Millis(50))
	qt.Check(t, left(), qt.Equals, clock.Millis(0))
}
