package disp

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/room"
	"corianderspur.example/corianderspur/internal/shard"
)

func fleet(zones, each int) (list []shard.Member) {
	for z := range zones {
		for i := range each {
			list = append(list, shard.Member{ID: shard.ID(fmt.Sprintf("a-%d-%d", z, i)), Zone: fmt.Sprintf("z%d", z)})
		}
	}
	return list
}

// connected returns the agents to which the last event keeps sessions open.
func (e *entryTest) connected() (ids []shard.ID) {
	for _, a := range e.out {
		if c, ok := a.(event.Connect); ok {
			for _, member := range c.Members {
				ids = append(ids, member.ID)
			}
		}
	}
	return ids
}

// orders returns the messages of the last event to an agent.
func (e *entryTest) orders(to shard.ID) (list []proto.Orders) {
	for _, a := range e.out {
		if s, ok := a.(event.Send); ok && s.To == to {
			list = append(list, *s.Message.Orders)
		}
	}
	return list
}

// In a large fleet some machines fail for good: chosen agents that stay unreachable are replaced by others.
func TestLostAgentsOfALargeFleetAreReplaced(t *testing.T) {
	e := newEntryTest(t)
	e.m.cfg.Zone = "z0"
	e.do(Members{Agents: fleet(6, 27)})
	first := e.connected()
	qt.Assert(t, first, qt.HasLen, 27+16)
	for _, id := range first[:27] {
		e.attach(id + "/1")
	}
	e.now += connectTimeout + chooseInterval
	e.do(event.Tick{})
	e.now += connectTimeout + chooseInterval
	for _, id := range first[:27] {
		e.m.agents[id+"/1"].lastReport = e.now
	}
	e.do(event.Tick{})
	again := e.connected()
	qt.Check(t, len(again) >= 27+32, qt.IsTrue)
	qt.Check(t, again[:27], qt.DeepEquals, first[:27])
}

// A refusal logs what the entry knew: the agents, the fleet, and the mean age of the reports beside that of the oldest.
func TestRefusalTellsHowOldTheViewWas(t *testing.T) {
	e := newEntryTest(t, "a1/1", "a2/1")
	e.do(Members{Agents: []shard.Member{{ID: "a1"}, {ID: "a2"}, {ID: "a3"}}})
	full := proto.Report{Accepting: true, Settled: true}
	e.report("a1/1", full)
	e.report("a2/1", full)
	e.submit(1, jobOf(1, 1, 4000))
	e.now += 60
	e.report("a1/1", full)
	e.now += 20
	e.do(event.Tick{})
	for _, a := range e.out {
		if n, ok := a.(event.Note); ok && n.Name == "job_refused" {
			qt.Check(t, []clock.Millis{n.Age, n.MeanAge}, qt.DeepEquals, []clock.Millis{80, 50})
			qt.Check(t, []int{n.Agents, n.Fleet}, qt.DeepEquals, []int{2, 3})
			return
		}
	}
	t.Error("no refusal was logged")
}

// An agent with tasks of this dispatcher keeps its session when others rank above it; once it has no tasks, its session is closed
// and it gets no more tasks.
func TestSessionWithTasksOutlivesAChangeOfTheChoice(t *testing.T) {
	e := newEntryTest(t, "a-old/1")
	e.m.cfg.Zone = "z0"
	e.submit(1, jobOf(1, 1, 1000))
	qt.Assert(t, e.sentTasks(), qt.DeepEquals, map[shard.ID]int{"a-old/1": 1})
	e.do(Members{Agents: append(fleet(6, 400), shard.Member{ID: "a-old", Zone: "z9"})})
	qt.Check(t, e.connected(), qt.Contains, shard.ID("a-old"))

	e.reportEnd("a-old/1", taskName(0), proto.EndDone)
	e.m.updateBusy()
	e.do(Members{Agents: append(fleet(6, 400), shard.Member{ID: "a-old", Zone: "z9"})})
	qt.Check(t, e.connected(), qt.Not(qt.Contains), shard.ID("a-old"))
	e.submit(2, jobOf(2, 1, 1000))
	qt.Check(t, e.sentTasks(), qt.HasLen, 0)
}

// An agent without tasks of this dispatcher gets fewer heartbeats, and its session is dropped after a longer silence.
func TestIdleAgentsHearLessOften(t *testing.T) {
	e := newEntryTest(t, "a1/1", "a2/1")
	e.m.cfg.IdleBeat, e.m.cfg.IdleSilence = 400, 1000
	e.submit(1, jobOf(1, 1, 1000))
	beats := map[shard.ID]int{}
	for range 38 {
		e.now += 10
		e.do(event.Tick{})
		for _, id := range []shard.ID{"a1/1", "a2/1"} {
			beats[id] += len(e.orders(id))
		}
	}
	busy, idle := shard.ID("a1/1"), shard.ID("a2/1")
	if beats[busy] < beats[idle] {
		busy, idle = idle, busy
	}
	qt.Check(t, beats[busy], qt.Equals, 3)
	qt.Check(t, beats[idle], qt.Equals, 0)
	e.now += 100
	e.do(event.Tick{})
	qt.Check(t, e.m.agents[busy].downAt, qt.Equals, e.now)
	qt.Check(t, e.m.agents[idle].downAt, qt.Equals, clock.Millis(0))
}

// An agent is told once that tasks are waiting; later messages repeat it, and the first one after the wait queue is empty
// withdraws it.
func TestWaitingWorkIsToldOnce(t *testing.T) {
	e := newEntryTest(t, "a1/1")
	e.submit(1, jobOf(1, 1, 4000))
	e.submit(2, jobOf(2, 1, 4000))
	told := e.orders("a1/1")
	qt.Assert(t, told, qt.HasLen, 1)
	qt.Check(t, told[0].Want, qt.IsTrue)
	e.submit(3, jobOf(3, 1, 4000))
	qt.Check(t, e.orders("a1/1"), qt.HasLen, 0)
	e.now += 100
	e.do(event.Tick{})
	qt.Check(t, e.orders("a1/1")[0].Want, qt.IsTrue)
	e.do(CallerLeft{Ticket: 2})
	e.do(CallerLeft{Ticket: 3})
	e.report("a1/1", proto.Report{Free: room.Resources{CPU: 4000, MemMB: 1000}, Accepting: true, Settled: true, LastBegin: 1})
	e.now += 100
	e.do(event.Tick{})
	qt.Check(t, e.orders("a1/1")[0].Want, qt.IsFalse)
}

// Tasks stay in the availability zone while it has about as much room as the others.
func TestTasksStayInTheirZone(t *testing.T) {
	e := newEntryTest(t)
	e.m.cfg.Zone = "z0"
	total := room.Resources{CPU: 8000, MemMB: 1000}
	for _, id := range []shard.ID{"near/1", "far/1"} {
		e.do(event.SessionUp{Peer: id, Role: proto.RoleAgent})
		zone := map[shard.ID]string{"near/1": "z0", "far/1": "z1"}[id]
		e.report(id, proto.Report{
			Free: total, Accepting: true, Settled: true, Facts: &proto.Facts{Agent: string(id), Service: "s", Total: total, Zone: zone},
			Inventory: &proto.Inventory{},
		})
	}
	e.submit(1, jobOf(1, 1, 1000))
	qt.Check(t, e.sentTasks(), qt.DeepEquals, map[shard.ID]int{"near/1": 1})
	e.submit(2, jobOf(2, 8, 1000))
	qt.Check(t, e.sentTasks()["far/1"] >= 4, qt.IsTrue)
}

// A report with an amount that no agent sends closes its session.
func TestMalformedReportEndsItsSession(t *testing.T) {
	e := newEntryTest(t, "a1/1")
	e.do(event.Received{From: "a1/1", Message: proto.Message{Report: &proto.Report{Free: room.Resources{CPU: 1 << 62}, Accepting: true}}})
	qt.Check(t, e.out, qt.Any(qt.Equals), event.Action(CloseSession{Peer: "a1/1"}))
}

// A machine that has just lost power gets few more tasks: its agent's report is overdue long before the agent counts as silent.
// If every agent is overdue, this process itself was delayed, and tasks are sent as before.
func TestOverdueAgentsGetNothing(t *testing.T) {
	e := newEntryTest(t, "a1/1", "a2/1")
	e.submit(1, jobOf(1, 2, 1000))
	e.pass(260, "a2/1")
	e.submit(2, jobOf(2, 4, 500))
	qt.Check(t, e.sentTasks(), qt.DeepEquals, map[shard.ID]int{"a2/1": 4})

	e.now += 260
	e.submit(3, jobOf(3, 2, 500))
	n := 0
	for _, tasks := range e.sentTasks() {
		n += tasks
	}
	qt.Check(t, n, qt.Equals, 2)
}
