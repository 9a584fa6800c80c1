package wait

import (
	"corianderspur.example/corianderspur/internal/clock"
)

const (
	// maxRetryShare is the share of the jobs served in a second that may be retries scheduled for that second; the rest is for
	// new callers and for recovery.
	maxRetryShare = 0.2
	// maxRetryAfter is the longest delay before a retry that a caller is told, in seconds.
	maxRetryAfter = 10
	// rateSmoothing is the weight of the last second in the moving average of the rate served.
	rateSmoothing = 0.5
)

// RetrySchedule tells refused callers when to retry. Callers of a burst that are all told the same delay would retry as a
// burst, so each gets the first second that has room for another retry.
type RetrySchedule struct {
	// second is the current second; retries counts the retries scheduled in it and in each of the seconds that follow.
	second  clock.Millis
	retries [maxRetryAfter + 1]int
	// rate is the moving average of the jobs served per second; served counts those of the current second.
	rate   float64
	served int
}

// Served counts a job that was served.
func (r *RetrySchedule) Served(now clock.Millis) {
	r.advance(now)
	r.served++
}

// Delay returns how long a caller that is refused now should wait before it retries, in milliseconds. The retry is counted.
func (r *RetrySchedule) Delay(now clock.Millis) clock.Millis {
	r.advance(now)
	limit := max(1, int(maxRetryShare*max(r.rate, float64(r.served))))
	delay := 1
	for s := 1; s <= maxRetryAfter; s++ {
		if r.retries[s] < limit {
			delay = s
			break
		}
		if r.retries[s] < r.retries[delay] {
			delay = s
		}
	}
	r.retries[delay]++
	return clock.Millis(delay) * clock.Second
}

func (r *RetrySchedule) advance(now clock.Millis) {
	elapsed := now/clock.Second - r.second
	for range min(elapsed, maxRetryAfter+1) {
		copy(r.retries[:], r.retries[1:])
		r.retries[maxRetryAfter] = 0
		r.rate += rateSmoothing * (float64(r.served) - r.rate)
		r.served = 0
	}
	r.second = now / clock.Second
}
