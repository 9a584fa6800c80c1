package runs

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
)

// Steady clocks that run at different rates: after days of heartbeats, a dispatcher with a slower clock does not count as silent, nor do
// its orders become too old; a delayed order is still refused.
func TestSessionsOutliveDriftingClocks(t *testing.T) {
	for name, ppm := range map[string]clock.Millis{"dispatcher slower": -100, "dispatcher faster": 100, "much slower": -800} {
		t.Run(name, func(t *testing.T) {
			a := newAgentTest(t)
			stamp := func() clock.Millis { return 1000 + a.now + a.now*ppm/1_000_000 }
			for a.now < 2*24*3600*clock.Second {
				a.now += 400
				a.orders("e1/1", stamp())
				a.handle(event.Tick{})
				qt.Assert(t, a.m.peers["e1/1"].up, qt.IsTrue)
			}
			a.orders("e1/1", stamp(), a.newBegin("j1", 1000))
			qt.Assert(t, actions[StartRun](a), qt.HasLen, 1)
			a.confirmStart("j1")

			delayedStamp := stamp()
			a.now += 390
			a.orders("e1/1", stamp())
			a.now += 400
			a.orders("e1/1", delayedStamp, a.newBegin("j2", 1000))
			qt.Assert(t, actions[StartRun](a), qt.HasLen, 0)
		})
	}
}

// A dispatcher without runs has longer for its next heartbeat than one with runs.
func TestIdleDispatcherMayBeSilentForLonger(t *testing.T) {
	a := newAgentTest(t)
	a.m.cfg.IdleSilence = 1000
	a.orders("e1/1", a.now)
	a.begin("e2/1", "j1", 1000)
	a.confirmStart("j1")
	a.advance(500)
	qt.Check(t, a.m.peers["e1/1"].up, qt.IsTrue)
	qt.Check(t, a.m.peers["e2/1"].up, qt.IsFalse)
	a.advance(600)
	qt.Check(t, a.m.peers["e1/1"].up, qt.IsFalse)
}

// Malformed orders end their session and nothing else: a need below zero would add capacity, and times at the ends of
// the range can't be compared.
func TestMalformedOrdersEndTheirSessionOnly(t *testing.T) {
	bad := map[string]func(o *proto.Orders){
		"need below zero": func(o *proto.Orders) { o.Begins[0].Tasks[0].Need.CPU = -1000 },
		"huge need":       func(o *proto.Orders) { o.Begins[0].Tasks[0].Need.MemMB = 1 << 62 },
		"least stamp":     func(o *proto.Orders) { o.Stamp = -1 << 63 },
		"greatest stamp":  func(o *proto.Orders) { o.Stamp = 1<<63 - 1 },
		"no name":         func(o *proto.Orders) { o.Begins[0].Tasks[0].Task = "" },
		"run zero":        func(o *proto.Orders) { o.Begins[0].Tasks[0].Run = 0 },
	}
	for name, spoil := range bad {
		t.Run(name, func(t *testing.T) {
			a := newAgentTest(t)
			a.begin("e2/1", "j1", 1000)
			a.confirmStart("j1")
			o := &proto.Orders{Stamp: a.now, Begins: []proto.Begin{a.newBegin("j2", 1000)}}
			spoil(o)
			a.handle(event.Received{From: "e1/1", Message: proto.Message{Orders: o}})
			qt.Check(t, actions[StartRun](a), qt.HasLen, 0)
			qt.Check(t, actions[CloseSession](a), qt.DeepEquals, []CloseSession{{Peer: "e1/1"}})
			qt.Check(t, a.m.used.CPU, qt.Equals, int64(1000))
		})
	}
}

// A call that is made late must not get a longer lease than the agent counts on: orders say when they were decided.
func TestLeasesOfOrdersCountFromTheirDecision(t *testing.T) {
	a := newAgentTest(t)
	a.now = 1234
	a.begin("e1/1", "j1", 1000)
	qt.Check(t, actions[StartRun](a)[0].At, qt.Equals, clock.Millis(1234))
	a.confirmStart("j1")
	qt.Check(t, a.m.poll.At, qt.Equals, a.m.leaseRenewedAt)
	qt.Check(t, a.m.poll.At+a.m.poll.Lease, qt.Equals, clock.Millis(1234+800))
}
