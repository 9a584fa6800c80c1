package emul

import (
	"fmt"
	"slices"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/disp"
	"corianderspur.example/corianderspur/internal/evac"
	"corianderspur.example/corianderspur/internal/runs"
)

const (
	// zoneCount is the number of availability zones that the agents are spread over.
	zoneCount = 2
	// feedDelay is the time from a change in the store until an entry that follows it knows, in milliseconds.
	feedDelay = 5 * clock.Millis(1)
	// evacuateBound is the time after an evacuation from which no task may start in the zone, in milliseconds.
	evacuateBound = 5 * clock.Second
)

// zones holds the evacuated availability zones as the store has them.
type zones struct {
	table evac.Table
	state evac.State
	// since is when each evacuated zone was evacuated.
	since map[string]clock.Millis
	// cut holds the processes that can't reach the store, by name.
	cut map[string]bool
}

func zoneOf(agent int) string {
	return fmt.Sprintf("z%d", agent%zoneCount)
}

// Evacuate makes the operators evacuate an availability zone.
func (w *World) Evacuate(zone string) {
	w.zones.since[zone] = w.now
	w.changeZone(evac.Row{Zone: zone})
}

// TakeBack ends the evacuation of an availability zone.
func (w *World) TakeBack(zone string) {
	delete(w.zones.since, zone)
	w.changeZone(evac.Row{Zone: zone, Removed: true})
}

func (w *World) changeZone(r evac.Row) {
	w.logf("zone %s evacuated=%v", r.Zone, !r.Removed)
	w.zones.state = w.zones.table.Change(w.zones.state.Version+1, []evac.Row{r})
	for _, e := range w.entries {
		w.after(feedDelay, func() { w.tellZones(e) })
	}
}

// tellZones tells a process that can reach the store which availability zones are evacuated.
func (w *World) tellZones(p *proc) {
	switch {
	case w.zones.cut[p.name] || w.zones.state.Version == 0 || p.frozen:
	case p.isAgent:
		p.push(runs.Evacuated{State: w.zones.state})
	default:
		p.push(disp.Evacuated{State: w.zones.state})
	}
}

// CutStore cuts a process off from the store; HealStore ends that.
func (w *World) CutStore(p *proc) {
	w.zones.cut[p.name] = true
}

// HealStore lets a process reach the store again, which it then follows.
func (w *World) HealStore(p *proc) {
	delete(w.zones.cut, p.name)
	w.after(feedDelay, func() { w.tellZones(p) })
}

// startedIn checks the start of a run in an availability zone.
func (c *checker) startedIn(zone, task string) {
	if since, ok := c.world.zones.since[zone]; ok && c.world.now > since+evacuateBound {
		c.failf("evacuated: %s begins in %s, which was evacuated at %d", task, zone, since)
	}
}

// scheduleEvacuations evacuates availability zones and takes them back, beside processes that lose the store for a while.
func (w *World) scheduleEvacuations(length clock.Millis) {
	if w.cfg.EvacuateEvery == 0 {
		return
	}
	w.repeat(length, firstFault, 1, 2*w.cfg.EvacuateEvery, func() {
		zone := zoneOf(w.rng.IntN(zoneCount))
		if _, evacuated := w.zones.since[zone]; evacuated {
			w.TakeBack(zone)
		} else {
			w.Evacuate(zone)
		}
		p := append(slices.Clone(w.entries), w.agents...)[w.rng.IntN(len(w.entries)+len(w.agents))]
		w.CutStore(p)
		w.after(2*w.cfg.EvacuateEvery, func() { w.HealStore(p) })
	})
}
