package runs

import (
	"math"

	"corianderspur.example/corianderspur/internal/clock"
)

const (
	// paceWindow is the run time, summed over all runs, after which progress counts for 1/e in the pace, in milliseconds.
	paceWindow = 1 * clock.Second
	// minPaceTime is the run time below which the pace is unknown, in milliseconds.
	minPaceTime = 200 * clock.Millis(1)
	// paceTTL is how long the pace stays known without progress to measure, in milliseconds.
	paceTTL = 2 * clock.Second
	// minPace is the pace of runs without progress; zero would mean that the pace is unknown.
	minPace = 0.001
	// percentDone is the progress of a run that is done.
	percentDone = 100
)

// pace measures how fast the backend server works, from the progress of its runs: a server that turns slow shows within a poll
// or two, long before its runs end.
type pace struct {
	// work is the estimated run time that runs have progressed by, and time the run time that it took, in milliseconds.
	work, time float64
	updatedAt  clock.Millis
}

// progressed records the progress of a run since the last poll.
func (p *pace) progressed(now clock.Millis, r *run, percent float64) {
	elapsed := float64(now - r.polledAt)
	if r.polledAt == 0 || elapsed <= 0 || r.estimate <= 0 {
		return
	}
	decay := math.Exp(-elapsed / float64(paceWindow))
	p.work = decay*p.work + float64(r.estimate)*(percent-r.polledPercent)/percentDone
	p.time = decay*p.time + elapsed
	p.updatedAt = now
	r.polledAt, r.polledPercent = now, percent
}

// value returns the estimated run time that a run progresses by in one unit of time, or zero if that is not known.
func (p *pace) value(now clock.Millis) float64 {
	if p.time < float64(minPaceTime) || now-p.updatedAt > paceTTL {
		return 0
	}
	return max(p.work/p.time, minPace)
}
