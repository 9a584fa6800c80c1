package runs

import (
	"slices"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
)

// usageInterval is the time between usage notes, in milliseconds.
const usageInterval = 1 * clock.Second

// usage measures how the backend server's capacity is used while work waits for it, here or at a dispatcher.
type usage struct {
	updatedAt clock.Millis
	notedAt   clock.Millis
	// waited is how long work has waited since the last note, in milliseconds; used and usable are in thousandths of a
	// core times milliseconds.
	waited       clock.Millis
	used, usable int64
	// freedAt holds when the runs ended whose capacity is idle since, and idle how long the capacity of others was.
	freedAt []clock.Millis
	idle    []clock.Millis
}

// workWaits reports whether a run waits here or a dispatcher has said that work waits.
func (m *Machine) workWaits() bool {
	if len(m.queue) > 0 {
		return true
	}
	for _, p := range m.peers {
		if p.up && m.now < p.wantsUntil {
			return true
		}
	}
	return false
}

// updateUsage accounts for the time since the last event. It runs before the event changes anything.
func (m *Machine) updateUsage() {
	u := &m.usage
	elapsed := m.now - u.updatedAt
	u.updatedAt = m.now
	if !m.accepting() || !m.workWaits() {
		u.freedAt = u.freedAt[:0]
	} else {
		u.waited += elapsed
		u.used += m.used.CPU * int64(elapsed)
		u.usable += m.instance.Total.CPU * int64(elapsed)
	}
	if m.now-u.notedAt >= usageInterval {
		m.noteUsage()
	}
}

func (m *Machine) noteUsage() {
	u := &m.usage
	if u.waited > 0 {
		slices.Sort(u.idle)
		n := event.Usage{
			UsedCoreMS: u.used / 1000, UsableCoreMS: u.usable / 1000, Reused: len(u.idle), Pace: m.pace.value(m.now), NormalPace: m.pace.normal(),
		}
		if len(u.idle) > 0 {
			n.IdleP50, n.IdleP99 = u.idle[len(u.idle)/2], u.idle[len(u.idle)*99/100]
		}
		m.note(event.Note{Name: "usage_while_work_waits", Took: u.waited, Usage: &n})
	}
	*u = usage{updatedAt: u.updatedAt, notedAt: m.now, freedAt: u.freedAt}
}

// capacityFreed and capacityReused bound the time for which the capacity of an ended run is idle.
func (u *usage) capacityFreed(now clock.Millis) {
	u.freedAt = append(u.freedAt, now)
}

func (u *usage) capacityReused(now clock.Millis) {
	if len(u.freedAt) > 0 {
		u.idle = append(u.idle, now-u.freedAt[0])
		u.freedAt = u.freedAt[1:]
	}
}
