package stale

import (
	"math"

	"corianderspur.example/corianderspur/internal/clock"
)

const (
	// contentionTTL is how long dispatchers count as contending after a run came back, in milliseconds.
	contentionTTL = 500 * clock.Millis(1)
	// decayTime is the age at which 1/e of the capacity in a report is left while dispatchers contend, in milliseconds.
	decayTime = 40
)

// Contention tells whether dispatchers take the capacity that others count on.
//
// Load pattern: a burst fills the fleet, and every dispatcher sends tasks to the little room in its last reports, which others have
// taken since. The runs come back for lack of room, and their jobs lose most of their slack on the way.
type Contention struct {
	until clock.Millis
}

// Returned records that a run came back because another one had taken its room.
func (c *Contention) Returned(now clock.Millis) {
	c.until = now + contentionTTL
}

// Left returns the share of the capacity in a report of some age that is probably left. Where no run has come back lately, reports
// hold until the next one.
func (c *Contention) Left(now, age clock.Millis) float64 {
	if now >= c.until {
		return 1
	}
	return math.Exp(-float64(age) / decayTime)
}
