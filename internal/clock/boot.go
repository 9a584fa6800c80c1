package clock

import "golang.org/x/sys/unix"

// Boot is a monotonic clock that also counts the time for which the machine was suspended, starting at zero when it is
// created.
type Boot struct {
	origin int64
}

var _ Clock = (*Boot)(nil)

// NewBoot creates a clock that starts now.
func NewBoot() *Boot {
	return &Boot{origin: bootNanos()}
}

// Now returns the milliseconds since the clock was created.
func (c *Boot) Now() Millis {
	return Millis((bootNanos() - c.origin) / nanosPerMilli)
}

const nanosPerMilli = 1_000_000

func bootNanos() int64 {
	var ts unix.Timespec
	// The call fails only for a clock that the kernel does not know.
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err)
	}
	return ts.Nano()
}
