package disp

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/shard"
)

// An agent that may take orders for younger than they are must not get tasks, as it would start them after they have been given up.
func TestAgentThatMayNotNoticeADelayGetsNoTasks(t *testing.T) {
	e := newEntryTest(t)
	e.echoDelay = maxEchoDelay + 1
	e.attach("a1/1")
	e.submit(1, jobOf(1, 1, 1000))
	qt.Assert(t, e.sentTasks(), qt.HasLen, 0)
	e.echoDelay = maxEchoDelay
	e.report("a1/1", e.reports["a1/1"])
	qt.Check(t, e.sentTasks(), qt.DeepEquals, map[shard.ID]int{"a1/1": 1})
	// A later echo is no worse than the best one.
	e.echoDelay = 10 * maxEchoDelay
	e.report("a1/1", e.reports["a1/1"])
	e.submit(2, jobOf(2, 1, 1000))
	qt.Check(t, e.sentTasks(), qt.DeepEquals, map[shard.ID]int{"a1/1": 1})
}

// The bound on unnoticed delays grows while no echo renews it, as fast as agents allow for clocks at other rates.
func TestBoundOnUnnoticedDelaysGrowsWithDrift(t *testing.T) {
	var e echo
	e.observe(1000, 0)
	qt.Assert(t, e.isPrompt(1000), qt.IsFalse)
	e.observe(1000, 990)
	qt.Check(t, e.bound(1000), qt.Equals, clock.Millis(10))
	qt.Check(t, e.bound(1000+70*echoDriftDivisor), qt.Equals, maxEchoDelay)
	qt.Check(t, e.isPrompt(1000+71*echoDriftDivisor), qt.IsFalse)
	e.observe(1000+71*echoDriftDivisor, 1000+71*echoDriftDivisor+1)
	qt.Check(t, e.isPrompt(1000+71*echoDriftDivisor), qt.IsFalse)
	e.observe(1000+71*echoDriftDivisor, 950+71*echoDriftDivisor)
	qt.Check(t, e.isPrompt(1000+71*echoDriftDivisor), qt.IsTrue)
}

// A task that is lost with an agent waits for as much longer as the agent may have taken its order for younger.
func TestLostTaskWaitsForUnnoticedDelays(t *testing.T) {
	const delay = 50
	e := newEntryTest(t)
	e.echoDelay = delay
	e.attach("a1/1")
	e.submit(1, jobOf(1, 1, 1000))
	e.do(event.SessionDown{Peer: "a1/1"})
	cfg := e.m.cfg
	qt.Check(t, e.m.jobs[jobOf(1, 1, 1000).ID].tasks[0].lapseAt, qt.Equals, e.now+delay+cfg.Silence+cfg.Lease+cfg.Lease/clockSlackDivisor)
}
