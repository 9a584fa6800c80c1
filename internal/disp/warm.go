package disp

import "corianderspur.example/corianderspur/internal/clock"

// Load pattern: backend servers of an availability zone come back cold, beside others at full speed.

// coldness returns the factor by which runs take longer at an agent whose backend server is still slow after its start; 1 is normal.
func (v *agentView) coldness(now clock.Millis, factor float64) float64 {
	if now < v.warmUntil {
		return max(factor, 1)
	}
	return 1
}

// leastColdness returns the least coldness of the agents: where all are cold, none is slower than the others.
func leastColdness(views []*agentView, now clock.Millis, factor float64) float64 {
	for _, v := range views {
		if v.coldness(now, factor) == 1 {
			return 1
		}
	}
	return max(factor, 1)
}
