package runs

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/shard"
)

// relayTest drives an agent with three dispatchers that send heartbeats, and collects what is relayed to them.
type relayTest struct {
	*agentTest
	alive   []shard.ID
	cancels map[shard.ID][]proto.RelayedCancel
	answers map[shard.ID][]string
	inForce map[shard.ID][]string
	reports map[shard.ID]int
}

func newRelayTest(t *testing.T) *relayTest {
	a := &relayTest{agentTest: newAgentTest(t), alive: []shard.ID{"e1/1", "e2/1", "e3/1"}}
	a.reset()
	a.do(event.SessionUp{Peer: "e3/1"})
	a.pass(100)
	a.reset()
	return a
}

func (a *relayTest) reset() {
	a.cancels, a.answers = map[shard.ID][]proto.RelayedCancel{}, map[shard.ID][]string{}
	a.inForce, a.reports = map[shard.ID][]string{}, map[shard.ID]int{}
}

func (a *relayTest) do(ev event.Event) {
	a.handle(ev)
	for _, s := range actions[event.Send](a.agentTest) {
		r := s.Message.Report
		a.cancels[s.To] = append(a.cancels[s.To], r.Cancels...)
		a.inForce[s.To] = append(a.inForce[s.To], r.InForce...)
		a.answers[s.To] = append(a.answers[s.To], r.Cancelled...)
		a.reports[s.To]++
	}
}

func (a *relayTest) send(from shard.ID, o proto.Orders) {
	o.Stamp = a.now
	a.do(event.Received{From: from, Message: proto.Message{Orders: &o}})
}

// pass advances the clock; each dispatcher sends a heartbeat every 100 ms.
func (a *relayTest) pass(d clock.Millis) {
	for range d / 10 {
		a.now += 10
		if a.now%100 == 0 {
			for _, id := range a.alive {
				a.send(id, proto.Orders{})
			}
		}
		a.do(event.Tick{})
	}
}

func TestCancelIsRelayedOnceToEveryOtherDispatcher(t *testing.T) {
	a := newRelayTest(t)
	a.send("e1/1", proto.Orders{Cancels: []string{"j1"}})
	a.pass(echoInterval)
	relayed := []proto.RelayedCancel{{Job: "j1", Asker: "e1/1", AgeMS: echoInterval}}
	qt.Assert(t, a.cancels["e2/1"], qt.DeepEquals, relayed)
	qt.Assert(t, a.cancels["e3/1"], qt.DeepEquals, relayed)
	qt.Assert(t, a.cancels["e1/1"], qt.HasLen, 0)

	a.send("e2/1", proto.Orders{Cancelled: relayed})
	a.pass(2000)
	qt.Check(t, a.answers["e1/1"], qt.DeepEquals, []string{"j1"})
	qt.Check(t, a.answers["e2/1"], qt.HasLen, 0)
	qt.Check(t, a.answers["e3/1"], qt.HasLen, 0)
	qt.Check(t, a.cancels["e2/1"], qt.DeepEquals, relayed)
	qt.Check(t, a.cancels["e3/1"], qt.DeepEquals, relayed)
}

// Sessions are reset, or another dispatcher joins, while a job is cancelled.
func TestCancelIsRelayedToSessionsThatBeginLater(t *testing.T) {
	a := newRelayTest(t)
	a.do(event.SessionDown{Peer: "e2/1"})
	a.send("e1/1", proto.Orders{Cancels: []string{"j1"}})
	a.pass(100)
	a.do(event.SessionUp{Peer: "e2/1"})
	qt.Assert(t, a.cancels["e2/1"], qt.DeepEquals, []proto.RelayedCancel{{Job: "j1", Asker: "e1/1", AgeMS: 100}})

	a.pass(proto.CancelRetention)
	a.do(event.SessionUp{Peer: "e4/1"})
	qt.Assert(t, a.cancels["e4/1"], qt.HasLen, 0)
	qt.Assert(t, a.m.cancels, qt.HasLen, 0)
}

// Load of cancels of unknown jobs: dispatchers get a report for them no more often than for heartbeats, and what an agent keeps
// of them is bounded.
func TestManyCancelsAreRelayedInFewReports(t *testing.T) {
	a := newRelayTest(t)
	for i := range 300 {
		var ids []string
		for n := range 20 {
			ids = append(ids, fmt.Sprintf("j%d-%d", i, n))
		}
		a.send("e1/1", proto.Orders{Cancels: ids})
		a.pass(10)
		qt.Assert(t, len(a.m.cancels) <= proto.MaxCancels, qt.IsTrue)
	}
	a.pass(100)
	qt.Check(t, a.cancels["e2/1"], qt.HasLen, 300*20)
	qt.Check(t, clock.Millis(a.reports["e2/1"]) <= 3100/echoInterval+1, qt.IsTrue, qt.Commentf("%d reports", a.reports["e2/1"]))
}

func TestMalformedCancelsEndTheirSessionOnly(t *testing.T) {
	long := strings.Repeat("x", 257)
	for name, bad := range map[string]proto.Orders{
		"too many":       {Cancels: make([]string, proto.MaxCancels+1)},
		"no id":          {Cancels: []string{""}},
		"long id":        {Cancels: []string{long}},
		"answer no id":   {Cancelled: []proto.RelayedCancel{{Asker: "e2/1"}}},
		"answer long id": {Cancelled: []proto.RelayedCancel{{Job: long, Asker: "e2/1"}}},
		"no asker":       {Cancelled: []proto.RelayedCancel{{Job: "j1"}}},
		"long asker":     {Cancelled: []proto.RelayedCancel{{Job: "j1", Asker: shard.ID(long)}}},
	} {
		t.Run(name, func(t *testing.T) {
			a := newRelayTest(t)
			a.send("e1/1", bad)
			qt.Check(t, actions[CloseSession](a.agentTest), qt.DeepEquals, []CloseSession{{Peer: "e1/1"}})
			a.pass(100)
			qt.Check(t, a.cancels["e2/1"], qt.HasLen, 0)
			qt.Check(t, a.answers["e2/1"], qt.HasLen, 0)
		})
	}
}

// Review case 8: a copy of a cancelled job's request started its tasks by way of another dispatcher.
func TestNothingOfACancelledJobStarts(t *testing.T) {
	for name, o := range map[string]proto.Orders{
		"asked":  {Cancels: []string{"j1"}},
		"spread": {Spread: []proto.KnownCancel{{Job: "j1", AgeMS: 1000}}},
	} {
		t.Run(name, func(t *testing.T) {
			a := newRelayTest(t)
			a.begin("e2/1", "j1", 1000)
			a.confirmStart("j1")
			a.send("e1/1", o)
			qt.Check(t, actions[HaltRun](a.agentTest), qt.HasLen, 1)
			a.handle(PollDone{Number: a.m.lastPoll, Outcome: OrderDone, Born: 1, Ended: []Ended{{N: 1, Task: "j1.0.0.0", Run: 1, How: proto.EndStopped}}})
			a.pass(4000)
			a.begin("e3/1", "j1", 1000)
			qt.Check(t, actions[StartRun](a.agentTest), qt.HasLen, 0)
			qt.Check(t, a.reportedEnds("e3/1"), qt.DeepEquals, []proto.EndReason{proto.EndNotBegun})
			a.begin("e3/1", "j11", 1000)
			qt.Check(t, actions[StartRun](a.agentTest), qt.HasLen, 1)
			a.pass(proto.CancelRetention)
			qt.Check(t, a.m.cancelledAt, qt.HasLen, 0)
		})
	}
}

// Review case 9: the dispatcher that has the job is cut off while it is cancelled, and comes back seconds later.
func TestCancelIsKeptForADispatcherThatComesBack(t *testing.T) {
	a := newRelayTest(t)
	a.send("e1/1", proto.Orders{Spread: []proto.KnownCancel{{Job: "j1"}}})
	a.alive = []shard.ID{"e1/1", "e3/1"}
	a.pass(5000)
	a.cancels["e2/1"] = nil
	a.do(event.SessionUp{Peer: "e2/1"})
	qt.Assert(t, a.cancels["e2/1"], qt.DeepEquals, []proto.RelayedCancel{{Job: "j1", Asker: "e1/1", AgeMS: 5000}})
}

// A cancel is in force once every other dispatcher has handled it, or has lost the authority over its jobs.
func TestCancelIsInForceWhenNoDispatcherCanHaveTheJob(t *testing.T) {
	const runsOver = 400 + 800 + 800/ClockSlack
	seen := func(a *relayTest, id shard.ID) { a.send(id, proto.Orders{SeenCancel: a.m.lastCancel}) }

	a := newRelayTest(t)
	a.send("e1/1", proto.Orders{Cancels: []string{"j1"}})
	a.pass(100)
	seen(a, "e2/1")
	a.pass(1000)
	qt.Assert(t, a.inForce["e1/1"], qt.HasLen, 0)
	seen(a, "e3/1")
	qt.Assert(t, a.inForce["e1/1"], qt.DeepEquals, []string{"j1"})

	a = newRelayTest(t)
	a.alive = []shard.ID{"e1/1", "e2/1"}
	a.send("e1/1", proto.Orders{Cancels: []string{"j1"}})
	seen(a, "e2/1")
	a.pass(runsOver - 100)
	qt.Assert(t, a.inForce["e1/1"], qt.HasLen, 0)
	a.pass(200)
	qt.Assert(t, a.inForce["e1/1"], qt.DeepEquals, []string{"j1"})

	a = newRelayTest(t)
	a.do(event.SessionDown{Peer: "e3/1"})
	a.send("e1/1", proto.Orders{Cancels: []string{"j1"}})
	seen(a, "e2/1")
	qt.Assert(t, a.inForce["e1/1"], qt.HasLen, 0)
	a.do(event.SessionUp{Peer: "e3/2"})
	a.send("e3/2", proto.Orders{SeenCancel: a.m.lastCancel})
	qt.Assert(t, a.inForce["e1/1"], qt.DeepEquals, []string{"j1"})
}

// Load of cancels: what doesn't fit is never said to be in force.
func TestCancelThatCannotBeRememberedIsNotInForce(t *testing.T) {
	a := newRelayTest(t)
	for i := range maxCancelled {
		a.m.cancelledAt[fmt.Sprint(i)] = a.now
	}
	a.send("e1/1", proto.Orders{Cancels: []string{"j1"}})
	for _, id := range a.alive {
		a.send(id, proto.Orders{SeenCancel: a.m.lastCancel})
	}
	a.pass(2000)
	qt.Assert(t, a.inForce["e1/1"], qt.HasLen, 0)
}
