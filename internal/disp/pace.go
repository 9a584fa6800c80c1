package disp

import (
	"slices"

	"corianderspur.example/corianderspur/internal/clock"
)

const (
	// minSlowness is the slowness below which a backend server counts as normal, and the change of its pace below which it works at its
	// normal pace: estimates of run times are rough.
	minSlowness = 1.5
	// minSteady is the same for its normal pace, which is measured over a longer time.
	minSteady = 1.2
)

// medians holds the median pace and the median normal pace of agents; zero is unknown. Estimates that are wrong for all runs alike
// cancel out against them.
type medians struct {
	pace, normal float64
}

func mediansOf(views []*agentView) medians {
	return medians{
		pace:   median(views, func(v *agentView) float64 { return v.pace }),
		normal: median(views, func(v *agentView) float64 { return v.normalPace }),
	}
}

// median returns the median of the known figures of agents, or zero.
func median(views []*agentView, figure func(*agentView) float64) float64 {
	var known []float64
	for _, v := range views {
		if f := figure(v); f > 0 {
			known = append(known, f)
		}
	}
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[len(known)/2]
}

// slowness returns the factor by which runs take longer at the agent than at one of the median pace, and the part of it that is
// normal for its backend server; 1 is normal or unknown. A server that works at about its normal pace has its normal slowness, and
// one whose pace has changed since the slowness that its pace shows.
func (v *agentView) slowness(m medians) (slow, steady float64) {
	steady = 1
	if v.normalPace > 0 && m.normal >= minSteady*v.normalPace {
		steady = m.normal / v.normalPace
	}
	if v.pace == 0 {
		return steady, steady
	}
	slow = max(m.pace/v.pace, 1)
	if slow < minSlowness*steady && steady < minSlowness*slow {
		return steady, steady
	}
	return slow, steady
}

// maxSlowness returns the slowness up to which a task that starts now is done within its job's objective, or zero if it can't be.
func (m *Machine) maxSlowness(j *job, step Step) float64 {
	estimate := max(clock.Millis(m.timingOf(j.Queue).ratio*float64(step.Estimate)), 1)
	left := j.received + j.queued.Objective - m.now
	if left < estimate {
		return 0
	}
	return float64(left) / float64(estimate)
}
