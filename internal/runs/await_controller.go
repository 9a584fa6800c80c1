package runs

import "corianderspur.example/corianderspur/internal/clock"

const (
	// unansweredSpan is how long an order without an answer may still be carried out, in milliseconds.
	unansweredSpan = 15 * clock.Second
	// awaitInterval is the time between polls of a backend server whose process has ended, in milliseconds.
	awaitInterval = 10 * clock.Millis(1)
)

// pollAwaited polls a backend server whose process has ended while an order without an answer may still arrive there. The next process
// under its id knows neither the stop nor the fencing token that keep the order from being carried out, until it has seen a poll.
func (m *Machine) pollAwaited() {
	if m.awaited == nil {
		return
	}
	if m.now >= m.unansweredUntil {
		m.awaited = nil
		return
	}
	m.emitPoll(Poll{Instance: m.awaited.ID, Born: m.awaited.Born})
}

// pollPause returns the time until the next poll after one without an answer.
func (m *Machine) pollPause() clock.Millis {
	if m.awaited != nil {
		return awaitInterval
	}
	return pollBackoff
}

// resumeAwaited makes the awaited backend server, which has answered, the known one again, and reports whether one was awaited. It takes
// no runs before it has announced itself.
func (m *Machine) resumeAwaited() bool {
	if m.awaited == nil {
		return false
	}
	in := *m.awaited
	m.adoptInstance(in)
	m.unannounced = true
	return true
}
