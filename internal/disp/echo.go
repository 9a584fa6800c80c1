package disp

import "corianderspur.example/corianderspur/internal/clock"

// maxEchoDelay is the longest unnoticed delay of orders with which an agent gets tasks, in milliseconds. With it, the silence and the lease
// after which an agent's runs have ended are over before a caller without an answer sends its job to another entry, 1.3 s later.
const maxEchoDelay = 80 * clock.Millis(1)

// echoDriftDivisor is that by which agents allow for clocks that run at different rates, as a divisor of the elapsed time.
const echoDriftDivisor = 1000

// echo bounds the delay of orders that an agent can't notice. The agent takes its quickest message for one without delay, so it may believe
// each order to be younger than it is by as much as that message took. An echo of a stamp shows that the message took less than the
// time until the echo came.
type echo struct {
	known bool
	// delay is the shortest time until an echo came, at the time at.
	delay clock.Millis
	at    clock.Millis
}

// observe takes the echo of a stamp that arrives now.
func (e *echo) observe(now, stamp clock.Millis) {
	if stamp <= 0 || stamp > now {
		return
	}
	if delay := now - stamp; !e.known || delay <= e.bound(now) {
		*e = echo{known: true, delay: delay, at: now}
	}
}

// bound returns the bound on the unnoticed delay, which grows as the agent's clock may run at another rate.
func (e *echo) bound(now clock.Millis) clock.Millis {
	return e.delay + (now-e.at)/echoDriftDivisor
}

// isPrompt reports whether the agent notices all but a short delay of orders.
func (e *echo) isPrompt(now clock.Millis) bool {
	return e.known && e.bound(now) <= maxEchoDelay
}
