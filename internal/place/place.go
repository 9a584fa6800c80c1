package place

import (
	"math"
	"slices"

	"corianderspur.example/corianderspur/internal/room"
	"corianderspur.example/corianderspur/internal/shard"
)

// Candidate is an agent that tasks may be placed on, as the dispatcher knows it.
type Candidate struct {
	ID     shard.ID
	Free   room.Resources
	Total  room.Resources
	Labels []string
	// Slow is the factor by which tasks take longer there than elsewhere; 1 is normal.
	Slow float64
	// Steady is the part of Slow that is normal for the backend server; the rest is trouble. Zero stands for 1.
	Steady float64
	// Failing is the share of tasks that have failed there lately, from 0 to 1.
	Failing float64
	// Remote is set if the backend server is in another availability zone than the dispatcher.
	Remote bool
	// Placed is compared with Task.Limit. The caller sets it to the job's tasks there, of every step, and Choose adds one for each
	// task that it places there.
	Placed int
}

// Task holds the constraints and preferences of one task.
type Task struct {
	Need room.Resources
	// Requires is a label that the backend server must have; empty allows every backend server.
	Requires string
	// Near is a label that the backend server should have; empty means no preference. Far is the factor by which the task
	// takes longer on a backend server without it; 0 and 1 mean no difference.
	Near string
	Far  float64
	// OnlyNear excludes backend servers without the label Near.
	OnlyNear bool
	// Limit excludes candidates whose Held has reached it; zero means no limit.
	Limit int
	// MaxSlow excludes candidates that are slower, unless they are of normal speed; zero means no limit.
	MaxSlow float64
	// Avoid is an agent on which the task has failed.
	Avoid shard.ID
}

// Weights of the penalties that are subtracted from an agent's score, which starts as its free share of capacity (0 to 1).
const (
	slowWeight    = 2.0
	failingWeight = 4.0
	avoidWeight   = 4.0
	// remoteZoneWeight is the share of its capacity by which an agent of the dispatcher's availability zone may be fuller than an
	// equally good one of another zone and still be preferred.
	remoteZoneWeight = 0.3
	// jitterWeight scales a random term that keeps dispatchers with the same view from all choosing the same agent.
	jitterWeight = 0.1
)

// Source generates random numbers from 0 to 1.
type Source interface {
	Float64() float64
}

// Choose returns, for each task, the index of the candidate that it is placed on, or -1 if none has capacity. It updates Free
// and Placed of the candidates.
func Choose(candidates []Candidate, tasks []Task, rng Source) []int {
	chosen := make([]int, len(tasks))
	for i, t := range tasks {
		chosen[i] = bestCandidate(candidates, t, rng)
		if c := chosen[i]; c >= 0 {
			candidates[c].Free = candidates[c].Free.Minus(t.Need)
			candidates[c].Placed++
		}
	}
	return chosen
}

func bestCandidate(candidates []Candidate, t Task, rng Source) int {
	index, topScore := -1, math.Inf(-1)
	for i := range candidates {
		c := &candidates[i]
		if !c.Free.Fits(t.Need) || !Allowed(c.Labels, t) || (t.Limit > 0 && c.Placed >= t.Limit) || isTooSlow(c, t) {
			continue
		}
		if s := score(c, t) + jitterWeight*rng.Float64(); s > topScore {
			index, topScore = i, s
		}
	}
	return index
}

// isTooSlow reports whether the task would take too long there.
func isTooSlow(c *Candidate, t Task) bool {
	return t.MaxSlow > 0 && c.Slow > max(t.MaxSlow, 1)
}

// slowPenalty returns how much worse a slow backend server is for a task, in multiples of the normal run time. What is normal for
// the server costs a task nothing that is in time there: it leaves the faster ones to tasks that aren't.
func slowPenalty(c *Candidate, t Task) float64 {
	normal := max(c.Steady, 1)
	if t.MaxSlow < normal {
		normal = 1
	}
	return max(c.Slow/normal-1, 0)
}

// Allowed reports whether a backend server with these labels may run the task.
func Allowed(labels []string, t Task) bool {
	return (t.Requires == "" || slices.Contains(labels, t.Requires)) && (!t.OnlyNear || slices.Contains(labels, t.Near))
}

func score(c *Candidate, t Task) float64 {
	s := c.Free.Minus(t.Need).ShareOf(c.Total)
	s -= slowWeight * slowPenalty(c, t)
	s -= failingWeight * c.Failing
	if t.Near != "" && !slices.Contains(c.Labels, t.Near) {
		s -= slowWeight * max(t.Far-1, 0)
	}
	if c.Remote {
		s -= remoteZoneWeight
	}
	if t.Avoid != "" && t.Avoid == c.ID {
		s -= avoidWeight
	}
	return s
}
