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
	// normalWindow is the run time after which progress counts for 1/e in the normal pace, in milliseconds.
	normalWindow = 30 * clock.Second
	// troubleRatio is the normal pace over the pace from which the backend server counts as in trouble, and troubleWeight the weight of
	// progress in its normal pace meanwhile: trouble of some seconds leaves the normal pace nearly as it was, and a lasting change
	// becomes normal in the end.
	troubleRatio  = 1.5
	troubleWeight = 0.1
	// percentDone is the progress of a run that is done.
	percentDone = 100
)

// pace measures how fast the backend server works, from the progress of its runs: a server that turns slow shows within a poll
// or two, long before its runs end.
type pace struct {
	// work is the estimated run time that runs have progressed by, and time the run time that it took, in milliseconds.
	work, time float64
	updatedAt  clock.Millis
	// normalWork and normalTime are the same for the normal pace, over a longer time.
	normalWork, normalTime float64
	// warmUntil is when the backend server has its full speed after its start; until then no progress counts for the normal pace.
	warmUntil clock.Millis
}

// progressed records the progress of a run since the last poll.
func (p *pace) progressed(now clock.Millis, r *run, percent float64) {
	elapsed := float64(now - r.polledAt)
	if r.polledAt == 0 || elapsed <= 0 || r.estimate <= 0 {
		return
	}
	decay := math.Exp(-elapsed / float64(paceWindow))
	work := float64(r.estimate) * (percent - r.polledPercent) / percentDone
	p.work = decay*p.work + work
	p.time = decay*p.time + elapsed
	p.updatedAt = now
	p.learnNormal(now, work, elapsed)
	r.polledAt, r.polledPercent = now, percent
}

// learnNormal updates the normal pace with the progress in some run time.
func (p *pace) learnNormal(now clock.Millis, work, elapsed float64) {
	if now < p.warmUntil {
		return
	}
	if v := p.value(now); v > 0 && troubleRatio*v < p.normal() {
		work, elapsed = troubleWeight*work, troubleWeight*elapsed
	}
	decay := math.Exp(-elapsed / float64(normalWindow))
	p.normalWork = decay*p.normalWork + work
	p.normalTime = decay*p.normalTime + elapsed
}

// normal returns the pace that is normal for the backend server, or zero if that is not known.
func (p *pace) normal() float64 {
	if p.normalTime < float64(minPaceTime) {
		return 0
	}
	return max(p.normalWork/p.normalTime, minPace)
}

// value returns the estimated run time that a run progresses by in one unit of time, or zero if that is not known.
func (p *pace) value(now clock.Millis) float64 {
	if p.time < float64(minPaceTime) || now-p.updatedAt > paceTTL {
		return 0
	}
	return max(p.work/p.time, minPace)
}
