package clock

import "time"

// Millis is a point in time or a duration in milliseconds, measured on the monotonic clock of one process.
type Millis int64

// Second is the number of milliseconds in one second.
const Second Millis = 1000

// Clock reads the time of one process.
type Clock interface {
	Now() Millis
}

// System is the monotonic clock of this process, starting at zero when it is created.
type System struct {
	origin time.Time
}

var _ Clock = (*System)(nil)

// NewSystem creates a clock that starts now.
func NewSystem() *System {
	return &System{origin: time.Now()}
}

// Now returns the milliseconds since the clock was created.
func (c *System) Now() Millis {
	return Millis(time.Since(c.origin).Milliseconds())
}

// Duration converts milliseconds to a standard library duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}
