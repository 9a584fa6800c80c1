package disp

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/room"
	"corianderspur.example/corianderspur/internal/shard"
)

// One backend server has turned slow beside two that are full, so that it alone has room. A job that would be late there waits
// for the others instead of being spoiled by one slow task.
func TestSlowBackendServerGetsOnlyWhatFitsItsSpeed(t *testing.T) {
	e := newEntryTest(t, "a1/1", "a2/1", "a3/1")
	total := room.Resources{CPU: 4000, MemMB: 1000}
	e.report("a1/1", proto.Report{Free: total, Accepting: true, Settled: true, Pace: 0.125})
	e.report("a2/1", proto.Report{Accepting: true, Settled: true, Pace: 1.1})
	e.report("a3/1", proto.Report{Accepting: true, Settled: true, Pace: 0.9})
	e.submit(1, jobOf(1, 2, 1000))
	qt.Assert(t, e.sentTasks(), qt.HasLen, 0)

	e.now += 10
	e.report("a2/1", proto.Report{Free: total, Accepting: true, Settled: true, Pace: 1.1})
	qt.Assert(t, e.sentTasks(), qt.DeepEquals, map[shard.ID]int{"a2/1": 2})
}

// Estimates of all run times are wrong by the same factor: no backend server counts as slow.
func TestWrongEstimatesMakeNoBackendServerSlow(t *testing.T) {
	views := []*agentView{{pace: 0.3}, {pace: 0.35}, {pace: 0.28}, {}}
	for _, v := range views {
		slow, _ := v.slowness(mediansOf(views))
		qt.Check(t, slow, qt.Equals, 1.0)
	}
	views[2].pace = 0.075
	slow, steady := views[2].slowness(mediansOf(views))
	qt.Check(t, slow, qt.Equals, 4.0)
	qt.Check(t, steady, qt.Equals, 1.0)
}

// Every backend server of a larger deployment is full but for less than a task needs. What is free in sum would hold many tasks of
// the first priority and holds none, so that the last server with room for whole tasks is left to that priority.
func TestFragmentsAreNoRoomForTheFirstPriority(t *testing.T) {
	agents := []shard.ID{"a1/1", "a2/1", "a3/1", "a4/1", "a5/1", "a6/1"}
	e := newEntryTest(t, agents...)
	first := jobOf(1, 4, 1000)
	e.submit(1, first)
	for _, id := range agents {
		e.report(id, proto.Report{Free: room.Resources{CPU: 900, MemMB: 1000}, LastBegin: 1, Accepting: true, Settled: true})
	}
	e.report("a6/1", proto.Report{Free: room.Resources{CPU: 2000, MemMB: 1000}, LastBegin: 1, Accepting: true, Settled: true})
	narrow := jobOf(2, 1, 1000)
	narrow.Priority = 1
	e.submit(2, narrow)
	qt.Assert(t, e.sentTasks(), qt.HasLen, 0)
	e.submit(3, jobOf(3, 2, 1000))
	qt.Assert(t, e.sentTasks(), qt.DeepEquals, map[shard.ID]int{"a6/1": 2})
}

// Tasks of the first priority need little memory and others much: the reservation of whole tasks holds back processors, not memory.
func TestReservationOfSmallTasksLeavesMemoryFree(t *testing.T) {
	e := newEntryTest(t, "a1/1", "a2/1")
	e.submit(1, jobOf(1, 4, 200))
	large := jobOf(2, 1, 400)
	large.Priority = 1
	large.Steps[0].Need.MemMB = 900
	e.submit(2, large)
	qt.Assert(t, len(e.sentTasks()), qt.Equals, 1)
}

// One of three servers always works at half of the speed and alone has room. A short job, which is in time there, is sent there; a
// long one, which isn't, waits. A second short job behind the long one that waits still finds the room that only it can use.
func TestRoomIsWhatAJobCanUseInTime(t *testing.T) {
	e := newEntryTest(t, "a1/1", "a2/1", "a3/1")
	slow := proto.Report{Free: room.Resources{CPU: 4000, MemMB: 1000}, Accepting: true, Settled: true, Pace: 0.55, NormalPace: 0.55}
	e.report("a1/1", slow)
	e.report("a2/1", proto.Report{Accepting: true, Settled: true, Pace: 1.2, NormalPace: 1.2})
	e.report("a3/1", proto.Report{Accepting: true, Settled: true, Pace: 1.2, NormalPace: 1.2})
	long := jobOf(1, 2, 1000)
	long.Steps[0].Estimate = 760
	e.submit(1, long)
	qt.Assert(t, e.sentTasks(), qt.HasLen, 0)

	short := jobOf(2, 2, 1000)
	short.Steps[0].Estimate = 50
	e.submit(2, short)
	qt.Assert(t, e.sentTasks(), qt.DeepEquals, map[shard.ID]int{"a1/1": 2})
}

// Nothing is learned of a server yet: it counts as one of normal speed.
func TestUnknownServersCountAsNormal(t *testing.T) {
	views := []*agentView{{}, {pace: 1, normalPace: 1}, {pace: 1.1, normalPace: 1}}
	slow, steady := views[0].slowness(mediansOf(views))
	qt.Check(t, slow, qt.Equals, 1.0)
	qt.Check(t, steady, qt.Equals, 1.0)
	slow, steady = views[0].slowness(mediansOf(views[:1]))
	qt.Check(t, slow, qt.Equals, 1.0)
	qt.Check(t, steady, qt.Equals, 1.0)
}

// The normal slowness of a server is known while it is idle, holds while its pace wavers, and ends when its pace has changed.
func TestNormalSlownessIsApartFromTrouble(t *testing.T) {
	fleet := medians{pace: 1.2, normal: 1.2}
	for _, c := range []struct{ pace, normal, slow, steady float64 }{
		{0, 0.6, 2, 2},
		{0.6, 0.6, 2, 2},
		{0.45, 0.6, 2, 2},
		{0.8, 0.6, 2, 2},
		{0.3, 0.6, 4, 2},
		{1.2, 0.6, 1, 2},
		{0.6, 1.2, 2, 1},
		{1.1, 1.1, 1, 1},
	} {
		v := &agentView{pace: c.pace, normalPace: c.normal}
		slow, steady := v.slowness(fleet)
		qt.Check(t, slow, qt.Equals, c.slow, qt.Commentf("%+v", c))
		qt.Check(t, steady, qt.Equals, c.steady, qt.Commentf("%+v", c))
	}
}

// Jobs of one kind run at a slow server: their run times don't lengthen what the kind is expected to take elsewhere.
func TestRunTimesAtASlowServerAreNoMeasureOfTheKind(t *testing.T) {
	e := newEntryTest(t, "a1/1", "a2/1", "a3/1")
	e.report("a1/1", proto.Report{Free: room.Resources{CPU: 4000, MemMB: 1000}, Accepting: true, Settled: true, Pace: 0.5, NormalPace: 0.5})
	e.report("a2/1", proto.Report{Accepting: true, Settled: true, Pace: 1, NormalPace: 1})
	e.report("a3/1", proto.Report{Accepting: true, Settled: true, Pace: 1, NormalPace: 1})
	j := jobOf(1, 1, 4000)
	j.Steps[0].Estimate = 50
	e.submit(1, j)
	qt.Assert(t, e.sentTasks(), qt.DeepEquals, map[shard.ID]int{"a1/1": 1})
	e.reportEnd("a1/1", taskName(0), proto.EndDone)
	qt.Assert(t, e.replies(), qt.HasLen, 1)
	qt.Check(t, e.m.timingOf("q").ratio, qt.Equals, 1.0)
}

// Review case 10: an order names what it was decided on, so that an agent starts it on nothing else.
func TestOrderNamesTheIncarnationAndTheLabelThatWereChosen(t *testing.T) {
	e := newEntryTest(t)
	e.do(event.SessionUp{Peer: "a1/1", Role: proto.RoleAgent})
	total := room.Resources{CPU: 4000, MemMB: 1000}
	facts := &proto.Facts{Agent: "a1/1", Service: "s", Total: total, Labels: []string{"a"}, Instance: "r1", Born: 5}
	e.report("a1/1", proto.Report{Free: total, Accepting: true, Settled: true, Facts: facts, Inventory: &proto.Inventory{}})
	j := jobOf(1, 1, 1000)
	j.Steps[0].Requires = "a"
	e.submit(1, j)
	var begins []proto.Begin
	for _, o := range e.sentOrders()["a1/1"] {
		begins = append(begins, o.Begins...)
	}
	qt.Assert(t, begins, qt.HasLen, 1)
	qt.Check(t, begins[0].Instance, qt.Equals, "r1")
	qt.Check(t, begins[0].Born, qt.Equals, int64(5))
	qt.Check(t, begins[0].Tasks[0].Requires, qt.Equals, "a")
}
