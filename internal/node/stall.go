package node

import "corianderspur.example/corianderspur/internal/clock"

// firstRetransmission is the longest first pause after which a sender without an acknowledgement sends again, in milliseconds (RFC 6298). The
// pause doubles each time, so that what was sent during a standstill arrives at the latest as long after it as the standstill was, and
// this pause.
const firstRetransmission = 1 * clock.Second

// stall is a time in which the process or its machine stood still; zero if there was none. Load pattern: callers send to a machine that
// stands still, leave, and send to another one, while their first requests are on the way until after the wake-up.
type stall struct {
	began, ended clock.Millis
}

// next returns the standstill to go by after another one. What was sent during the first may not have arrived before the second.
func (s stall) next(began, ended clock.Millis) stall {
	if s.covers(began) {
		began = s.began
	}
	return stall{began: began, ended: ended}
}

// covers reports whether something that was sent during the standstill may arrive at a time.
func (s stall) covers(now clock.Millis) bool {
	return s.ended > 0 && now <= s.ended+(s.ended-s.began)+firstRetransmission
}

// mayOutlast reports whether a request that is read now, on a connection whose last answer or beginning was at since, may have been sent
// during the standstill by a caller who has stopped waiting.
func (s stall) mayOutlast(now, since, patience clock.Millis) bool {
	return since <= s.ended && s.covers(now) && now-max(since, s.began) >= patience
}
