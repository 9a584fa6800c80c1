package evac

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestNewestStateWinsAndNeverReverts(t *testing.T) {
	var r Register
	qt.Check(t, r.Known(), qt.IsFalse)
	qt.Check(t, r.Learn(State{Version: 10, Zones: []string{"b", "a", "b"}}), qt.IsTrue)
	qt.Check(t, r.State().Zones, qt.DeepEquals, []string{"a", "b"})
	qt.Check(t, r.Learn(State{Version: 9}), qt.IsFalse)
	qt.Check(t, r.Learn(State{Version: 10}), qt.IsFalse)
	qt.Check(t, r.Has("a"), qt.IsTrue)
	qt.Check(t, r.Learn(State{Version: 11, Zones: []string{"a", "b"}}), qt.IsFalse)
	qt.Check(t, r.Learn(State{Version: 10, Zones: []string{"c"}}), qt.IsFalse)
	qt.Check(t, r.Learn(State{Version: 12, Zones: []string{"b"}}), qt.IsTrue)
	qt.Check(t, r.Has("a"), qt.IsFalse)
	qt.Check(t, r.Has("b"), qt.IsTrue)
	qt.Check(t, r.Has(""), qt.IsFalse)
}

// A zone that is taken back and set again within a second has three states; a process that missed the last one must not bring back
// the second.
func TestZoneSetAgainIsNotReverted(t *testing.T) {
	var missed, knows Register
	var toMissed, toKnows Session
	missed.Learn(State{Version: 2})
	knows.Learn(State{Version: 3, Zones: []string{"a"}})
	s := toKnows.Due(&missed)
	toMissed.Heard(s.Version)
	qt.Check(t, knows.Learn(*s), qt.IsFalse)
	qt.Check(t, missed.Learn(*toMissed.Due(&knows)), qt.IsTrue)
	qt.Check(t, missed.Has("a"), qt.IsTrue)
	toKnows.Heard(3)
	qt.Check(t, toKnows.Due(&missed), qt.IsNil)
	qt.Check(t, toMissed.Due(&knows), qt.IsNil)
}

// The same zones at a later version are passed on too: an older state without them is then no news.
func TestLaterVersionOfTheSameZonesIsPassedOn(t *testing.T) {
	var r Register
	var s Session
	r.Learn(State{Version: 10, Zones: []string{"a"}})
	qt.Check(t, s.Due(&r).Version, qt.Equals, uint64(10))
	qt.Check(t, r.Learn(State{Version: 15, Zones: []string{"a"}}), qt.IsFalse)
	qt.Check(t, s.Due(&r).Version, qt.Equals, uint64(15))
	qt.Check(t, s.Due(&r), qt.IsNil)
}

func TestTableFollowsSnapshotsAndChanges(t *testing.T) {
	var tab Table
	qt.Check(t, tab.Whole(5, []Row{{Zone: "a"}, {Zone: "odd", Unreadable: true}}), qt.DeepEquals, State{Version: 5, Zones: []string{"a"}})
	qt.Check(t, tab.Change(7, []Row{{Zone: "b"}, {Zone: "a", Unreadable: true}}).Zones, qt.DeepEquals, []string{"a", "b"})
	qt.Check(t, tab.Change(8, []Row{{Zone: "a", Removed: true}, {Zone: "never", Removed: true}}).Zones, qt.DeepEquals, []string{"b"})
	qt.Check(t, tab.Change(9, []Row{{Zone: "b", Removed: true}, {Zone: "b"}}).Zones, qt.DeepEquals, []string{"b"})
	// A snapshot that comes late, and one in which a row has been spoiled.
	qt.Check(t, tab.Whole(8, nil), qt.DeepEquals, State{Version: 9, Zones: []string{"b"}})
	qt.Check(t, tab.Change(6, []Row{{Zone: "c"}}), qt.DeepEquals, State{Version: 9, Zones: []string{"b"}})
	qt.Check(t, tab.Whole(12, []Row{{Zone: "b", Unreadable: true}}).Zones, qt.DeepEquals, []string{"b"})
	qt.Check(t, tab.Whole(13, nil).Zones, qt.HasLen, 0)
}

func TestStatesOfNoProcessAreRefused(t *testing.T) {
	for _, s := range []State{
		{}, {Version: 1 << 61}, {Version: 1, Zones: []string{""}}, {Version: 1, Zones: []string{strings.Repeat("z", MaxName+1)}},
		{Version: 1, Zones: make([]string, maxZones+1)},
	} {
		qt.Check(t, s.Check(), qt.IsNotNil)
	}
	qt.Check(t, (*State)(nil).Check(), qt.IsNil)
	qt.Check(t, (&State{Version: 1, Zones: []string{"z"}}).Check(), qt.IsNil)
}
