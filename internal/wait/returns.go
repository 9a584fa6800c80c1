package wait

import (
	"corianderspur.example/corianderspur/internal/clock"
)

const (
	// returnShare is the part of what is served in a second that may be callers who were told to come back then: the rest is
	// for those who come for the first time, and room to recover.
	returnShare = 0.2
	// longestReturn is the longest time that a caller is told to stay away, in seconds.
	longestReturn = 10
	// servedWeight is the weight of the last second in the mean of what is served.
	servedWeight = 0.5
)

// Returns tells refused callers when to come back. All callers of a burst who are told the same time come back as a burst; so
// each gets the first second that has room for another one.
type Returns struct {
	// second is the current second, booked the callers told to come back in it and in those that follow.
	second clock.Millis
	booked [longestReturn + 1]int
	// rate is the mean number of jobs served in a second, served those of the current one.
	rate   float64
	served int
}

// Served takes note of a job that was served.
func (r *Returns) Served(now clock.Millis) {
	r.advance(now)
	r.served++
}

// After returns how long a caller that is refused now should stay away, in milliseconds.
func (r *Returns) After(now clock.Millis) clock.Millis {
	r.advance(now)
	most := max(1, int(returnShare*max(r.rate, float64(r.served))))
	least := 1
	for s := 1; s <= longestReturn; s++ {
		if r.booked[s] < most {
			least = s
			break
		}
		if r.booked[s] < r.booked[least] {
			least = s
		}
	}
	r.booked[least]++
	return clock.Millis(least) * clock.Second
}

func (r *Returns) advance(now clock.Millis) {
	passed := now/clock.Second - r.second
	for range min(passed, longestReturn+1) {
		copy(r.booked[:], r.booked[1:])
		r.booked[longestReturn] = 0
		r.rate += servedWeight * (float64(r.served) - r.rate)
		r.served = 0
	}
	r.second = now / clock.Second
}
