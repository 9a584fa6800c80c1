package evac

import (
	"maps"
	"slices"
)

// Row is one row of the store that evacuates an availability zone.
type Row struct {
	Zone string
	// Removed says that the row is gone.
	Removed bool
	// Unreadable says that the row has no known meaning; what was known of the zone stays.
	Unreadable bool
}

// Table follows the rows of the store that evacuate availability zones.
type Table struct {
	version uint64
	zones   map[string]bool
}

// Whole replaces all rows by those that the store holds at a version, unless a newer version is known, and returns the state.
func (t *Table) Whole(version uint64, rows []Row) State {
	if version < t.version {
		return t.state()
	}
	held := t.zones
	t.zones = map[string]bool{}
	for _, r := range rows {
		if (r.Unreadable && held[r.Zone]) || (!r.Unreadable && !r.Removed) {
			t.zones[r.Zone] = true
		}
	}
	t.version = version
	return t.state()
}

// Change applies the rows that have changed up to a version, in order, unless a newer version is known, and returns the state.
func (t *Table) Change(version uint64, rows []Row) State {
	if version < t.version {
		return t.state()
	}
	if t.zones == nil {
		t.zones = map[string]bool{}
	}
	for _, r := range rows {
		switch {
		case r.Unreadable:
		case r.Removed:
			delete(t.zones, r.Zone)
		default:
			t.zones[r.Zone] = true
		}
	}
	t.version = version
	return t.state()
}

func (t *Table) state() State {
	return State{Version: t.version, Zones: slices.Sorted(maps.Keys(t.zones))}
}
