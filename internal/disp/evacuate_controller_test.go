package disp

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/evac"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/room"
	"corianderspur.example/corianderspur/internal/shard"
)

// attachIn attaches an agent whose backend server is in an availability zone.
func (e *entryTest) attachIn(id shard.ID, zone string) {
	e.attach(id)
	r := e.reports[id]
	r.Facts.Zone = zone
	e.report(id, r)
}

func (e *entryTest) evacuated(version uint64, zones ...string) {
	e.do(Evacuated{State: evac.State{Version: version, Zones: zones}})
}

// statesSent returns the versions of evacuated zones that the last event passed on to agents.
func (e *entryTest) statesSent() map[shard.ID]uint64 {
	states := map[shard.ID]uint64{}
	for _, a := range e.out {
		if s, ok := a.(event.Send); ok && s.Message.Orders.Evacuated != nil {
			states[s.To] = s.Message.Orders.Evacuated.Version
		}
	}
	return states
}

// Nothing is placed in an evacuated zone, and an order that comes back from there is sent elsewhere at once.
func TestTasksMoveOutOfAnEvacuatedZone(t *testing.T) {
	e := newEntryTest(t)
	e.attachIn("a1", "z1")
	e.submit(1, jobOf(1, 1, 1000))
	qt.Assert(t, e.sentTasks(), qt.DeepEquals, map[shard.ID]int{"a1": 1})
	e.attachIn("a2", "z2")
	e.evacuated(5, "z1")
	qt.Check(t, e.statesSent(), qt.DeepEquals, map[shard.ID]uint64{"a1": 5, "a2": 5})
	e.reportEnd("a1", taskName(0), proto.EndNotBegun)
	qt.Check(t, e.sentTasks(), qt.DeepEquals, map[shard.ID]int{"a2": 1})
	e.now += beginBackoff
	for i := range 3 {
		e.submit(uint64(i+2), jobOf(i+2, 1, 1000))
		qt.Check(t, e.sentTasks(), qt.DeepEquals, map[shard.ID]int{"a2": 1})
	}
	e.evacuated(6)
	e.now += beginBackoff
	e.submit(9, jobOf(9, 1, 1000))
	qt.Check(t, e.sentTasks(), qt.DeepEquals, map[shard.ID]int{"a1": 1})
}

// With every zone evacuated no job waits: what waits and has not begun, and what comes, is refused at once.
func TestJobsThatOnlyEvacuatedZonesCouldServeAreRefusedAtOnce(t *testing.T) {
	e := newEntryTest(t)
	e.attachIn("a1", "z1")
	e.now += startupGrace
	r := e.reports["a1"]
	r.Free = room.Resources{}
	e.report("a1", r)
	e.submit(1, jobOf(1, 1, 1000))
	qt.Assert(t, e.replies(), qt.HasLen, 0)
	e.evacuated(5, "z1")
	qt.Assert(t, e.replies(), qt.HasLen, 1)
	qt.Check(t, e.replies()[0].Result, qt.Equals, Refused)
	e.submit(2, jobOf(2, 1, 1000))
	qt.Assert(t, e.replies(), qt.HasLen, 1)
	qt.Check(t, e.replies()[0].Result, qt.Equals, Refused)
}

// An entry that is cut off from the store learns of an evacuation from an agent, before it sends anything there, and passes it on.
func TestEntryLearnsOfAnEvacuationFromAnAgent(t *testing.T) {
	e := newEntryTest(t)
	e.attachIn("a1", "z1")
	e.attachIn("a2", "z2")
	e.evacuated(3)
	r := e.reports["a2"]
	r.Evacuated = &evac.State{Version: 9, Zones: []string{"z1"}}
	e.receive("a2", r)
	qt.Check(t, e.statesSent(), qt.DeepEquals, map[shard.ID]uint64{"a1": 9})
	e.submit(1, jobOf(1, 2, 1000))
	qt.Check(t, e.sentTasks(), qt.DeepEquals, map[shard.ID]int{"a2": 2})
	// What the store told it before is older.
	e.evacuated(8)
	e.submit(2, jobOf(2, 1, 1000))
	qt.Check(t, e.sentTasks(), qt.DeepEquals, map[shard.ID]int{"a2": 1})
}

// An agent whose session comes back is told again.
func TestNewSessionIsToldOfTheEvacuation(t *testing.T) {
	e := newEntryTest(t)
	e.attachIn("a1", "z1")
	e.evacuated(5, "z1")
	e.do(event.SessionDown{Peer: "a1"})
	e.do(event.SessionUp{Peer: "a1", Role: proto.RoleAgent})
	qt.Check(t, e.statesSent(), qt.DeepEquals, map[shard.ID]uint64{"a1": 5})
}

// An entry of an evacuated zone knows few agents of other zones; it opens sessions with as many as it needs.
func TestEntryOfAnEvacuatedZoneFindsAgentsElsewhere(t *testing.T) {
	e := newEntryTest(t)
	e.m.cfg.Zone = "z1"
	var members []shard.Member
	for i := range 100 {
		members = append(members, shard.Member{ID: shard.ID(fmt.Sprintf("a%02d", i)), Zone: []string{"z1", "z2"}[i%2]})
	}
	remote := func() (n int) {
		for _, a := range e.out {
			if c, ok := a.(event.Connect); ok {
				n = 0
				for _, m := range c.Members {
					if m.Zone == "z2" {
						n++
					}
				}
			}
		}
		return n
	}
	e.do(Members{Agents: members})
	qt.Check(t, remote(), qt.Equals, 16)
	e.evacuated(5, "z1")
	qt.Check(t, remote(), qt.Equals, 40)
	e.evacuated(6)
	qt.Check(t, remote(), qt.Equals, 16)
}

// The evacuation of a zone that has no agent is logged, as its name may be misspelled.
func TestEvacuationOfAnUnknownZoneIsLogged(t *testing.T) {
	e := newEntryTest(t)
	e.do(Members{Agents: []shard.Member{{ID: "a1", Zone: "z1"}}})
	unknown := func() (zones []string) {
		for _, a := range e.out {
			if n, ok := a.(event.Note); ok && n.Name == "evacuated_zone_unknown" {
				zones = append(zones, n.Reason)
			}
		}
		return zones
	}
	e.evacuated(5, "z1", "z9")
	qt.Check(t, unknown(), qt.DeepEquals, []string{"z9"})
}

// Tasks go to backend servers at full speed before those of a zone that has come back cold; those whose time allows it go there when
// the others are full, and nobody is slow where all are cold.
func TestColdBackendServersAreUsedLast(t *testing.T) {
	e := newEntryTest(t)
	e.m.cfg.ColdFactor = 1.5
	cold := func(id shard.ID, left int) {
		r := e.reports[id]
		r.WarmUpMS = 1000 * 10
		if left == 0 {
			r.WarmUpMS = 0
		}
		e.report(id, r)
	}
	e.attachIn("a1", "z1")
	e.attachIn("a2", "z2")
	cold("a1", 1)
	e.submit(1, jobOf(1, 4, 1000))
	qt.Check(t, e.sentTasks(), qt.DeepEquals, map[shard.ID]int{"a2": 4})
	e.submit(2, jobOf(2, 1, 1000))
	qt.Check(t, e.sentTasks(), qt.DeepEquals, map[shard.ID]int{"a1": 1})

	e = newEntryTest(t)
	e.m.cfg.ColdFactor = 1.5
	e.attachIn("a1", "z1")
	cold("a1", 1)
	e.submit(1, jobOf(1, 4, 1000))
	qt.Check(t, e.sentTasks(), qt.DeepEquals, map[shard.ID]int{"a1": 4})
}
