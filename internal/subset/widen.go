package subset

import (
	"corianderspur.example/corianderspur/internal/clock"
)

const (
	// maxExtra bounds the agents beyond the usual choice. It bounds a dispatcher's sessions in a large fleet.
	maxExtra = 64
	// widenStep is the number of agents that are added at a time, so that opening their sessions delays no other work.
	widenStep = 8
	// widenInterval is the least time between two steps, in milliseconds.
	widenInterval = 100 * clock.Millis(1)
	// narrowDelay is how long no work has waited before the extra agents are dropped, in milliseconds.
	narrowDelay = 10 * clock.Second
)

// Widening decides how many agents beyond its usual choice a dispatcher keeps sessions with.
//
// Load pattern: a burst or a loss of agents fills the agents that a dispatcher knows, while others of the fleet, whose
// dispatchers have fewer callers, still have capacity.
type Widening struct {
	extra     int
	waitedAt  clock.Millis
	steppedAt clock.Millis
}

// Update returns the number of extra agents; waiting says that work waits for capacity, and opening counts the chosen
// agents to which a session is still being opened.
func (w *Widening) Update(now clock.Millis, waiting bool, opening func() int) (extra int) {
	switch {
	case waiting:
		w.waitedAt = now
		if w.extra < maxExtra && now-w.steppedAt >= widenInterval && opening() < widenStep {
			w.extra = min(w.extra+widenStep, maxExtra)
			w.steppedAt = now
		}
	case now-w.waitedAt >= narrowDelay:
		w.extra = 0
	}
	return w.extra
}
