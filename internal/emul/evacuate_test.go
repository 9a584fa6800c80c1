package emul

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/room"
)

// evacuationCases are what may happen beside the evacuation of zone z0, which is evacuated at 3 s and, but where a case says otherwise,
// taken back at 11 s.
var evacuationCases = []struct {
	name string
	do   func(w *World)
}{
	{"alone", func(*World) {}},
	{"an entry was frozen and wakes with old knowledge", func(w *World) {
		w.CutStore(w.entries[0])
		w.Freeze(w.entries[0])
		w.After(7*clock.Second, func() { w.Thaw(w.entries[0]) })
	}},
	{"entries are cut off from the store", func(w *World) {
		w.CutStore(w.entries[0])
		w.CutStore(w.entries[1])
	}},
	{"an entry restarts without the store", func(w *World) {
		w.CutStore(w.entries[0])
		w.After(4*clock.Second, func() { w.Kill(w.entries[0], false, 300) })
	}},
	{"an agent of the zone is cut off from all entries and comes back", func(w *World) {
		w.cutAgent(0, 7*clock.Second)
	}},
	{"an agent of the zone is frozen and wakes", func(w *World) { w.freezeFor(w.agents[0], 7*clock.Second) }},
	{"an agent of the zone restarts", func(w *World) {
		w.After(6*clock.Second, func() { w.Kill(w.agents[0], true, 300) })
	}},
	{"an agent of the zone restarts without the store, beside entries without it", func(w *World) {
		w.CutStore(w.entries[0])
		w.CutStore(w.agents[0])
		w.After(6*clock.Second, func() { w.Kill(w.agents[0], true, 300) })
	}},
	{"backend servers of the zone are released and leave", func(w *World) {
		w.After(clock.Second, func() { w.ReplaceBackend(0, 200) })
		w.After(2*clock.Second, func() { w.leaveBackend(w.agents[2], 500) })
		w.After(6*clock.Second, func() { w.ReplaceBackend(2, 200) })
	}},
	{"the other zone is lost for a while", func(w *World) {
		w.After(6*clock.Second, func() {
			for _, i := range []int{1, 3} {
				w.LoseBackend(i, 400)
				w.Kill(w.agents[i], true, 400)
			}
		})
	}},
	{"all lose power", func(w *World) { w.After(6*clock.Second, func() { w.LosePower(500) }) }},
	{"the other zone is evacuated too", func(w *World) {
		w.After(clock.Second, func() { w.Evacuate("z1") })
		w.After(7*clock.Second, func() { w.TakeBack("z1") })
	}},
	{"taken back and set again within a second", func(w *World) {
		w.After(2*clock.Second, func() { w.TakeBack("z0") })
		w.After(2900, func() { w.Evacuate("z0") })
	}},
	{"taken back and set again within a second beside a frozen entry that knows the first two", func(w *World) {
		w.After(2*clock.Second, func() { w.TakeBack("z0") })
		w.After(2400, func() {
			w.CutStore(w.entries[0])
			w.Freeze(w.entries[0])
		})
		w.After(2900, func() { w.Evacuate("z0") })
		w.After(7*clock.Second, func() { w.Thaw(w.entries[0]) })
	}},
}

func (w *World) cutAgent(agent int, span clock.Millis) {
	for _, e := range w.entries {
		w.cutFor(e, w.agents[agent], span, true, true)
	}
}

// submitFor submits a job every 20 ms for a time.
func (w *World) submitFor(first int, span clock.Millis) (list []*Caller) {
	for i := range int(span / 20) {
		w.After(clock.Millis(20*i), func() {
			list = append(list, w.Submit(first+i, Tasks{
				Count: 2, Need: room.Resources{CPU: 1000, MemMB: 64}, Work: 60, Estimate: 60, Patience: 1500,
			}))
		})
	}
	w.Run(w.now + span)
	return list
}

// startsIn counts the runs that have begun in an availability zone.
func (w *World) startsIn(zone string) (n int) {
	for _, a := range w.agents {
		if a.backend.zone == zone {
			n += w.checker.startsAt[a.name]
		}
	}
	return n
}

// Whatever happens beside an evacuation, no task starts in the zone after the bound, callers are served elsewhere, and the zone is
// used again when it is taken back.
func TestNothingStartsInAnEvacuatedZone(t *testing.T) {
	for _, c := range evacuationCases {
		for seed := range uint64(4) {
			cfg := DefaultConfig(seed + 1)
			cfg.Agents = 4
			w := New(cfg)
			w.Verbose = true
			w.submitFor(1, 3*clock.Second)
			w.Evacuate("z0")
			c.do(w)
			w.submitFor(1000, 8*clock.Second)
			w.TakeBack("z0")
			w.Run(w.now + clock.Second)
			for _, e := range w.entries {
				w.HealStore(e)
			}
			w.Run(w.now + 2*clock.Second)
			before := w.startsIn("z0")
			last := w.submitFor(2000, 2*clock.Second)
			w.Run(w.now + 5*clock.Second)
			why := qt.Commentf("%s, seed %d\n%s", c.name, seed+1, w.Log.String())
			qt.Assert(t, w.Violations(), qt.HasLen, 0, why)
			qt.Assert(t, w.startsIn("z0") > before, qt.IsTrue, why)
			for _, caller := range last {
				qt.Assert(t, string(caller.Answer), qt.Equals, "completed", why)
			}
		}
	}
}

// Drawn faults beside evacuations that come and go.
func TestDrawnFaultsBesideEvacuations(t *testing.T) {
	for seed := range uint64(6) {
		cfg := DefaultConfig(seed + 1)
		cfg.EvacuateEvery = 2500
		w := Drawn(cfg, true, 20*clock.Second)
		qt.Assert(t, w.Violations(), qt.HasLen, 0, qt.Commentf("seed %d\n%s", seed+1, w.Log.String()))
	}
}
