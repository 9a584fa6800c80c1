package disp

import (
	"slices"

	"corianderspur.example/corianderspur/internal/clock"
)

// minSlowness is the slowness below which a backend server counts as normal: estimates of run times are rough.
const minSlowness = 1.5

// normalPace returns the median pace of the agents whose pace is known, or zero. Estimates that are wrong for all runs alike cancel
// out against it.
func normalPace(views []*agentView) float64 {
	var paces []float64
	for _, v := range views {
		if v.pace > 0 {
			paces = append(paces, v.pace)
		}
	}
	if len(paces) == 0 {
		return 0
	}
	slices.Sort(paces)
	return paces[len(paces)/2]
}

// slowness returns the factor by which runs take longer at the agent than at one of the normal pace; 1 is normal or unknown.
func (v *agentView) slowness(normal float64) float64 {
	if v.pace == 0 || normal < minSlowness*v.pace {
		return 1
	}
	return normal / v.pace
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
