package place

import (
	"math"
	"slices"

	"corianderspur.example/corianderspur/internal/room"
	"corianderspur.example/corianderspur/internal/shard"
)

// Candidate is an agent as a dispatcher sees it.
type Candidate struct {
	ID     shard.ID
	Free   room.Room
	Total  room.Room
	Labels []string
	// Slow is how much longer tasks take there than elsewhere; 1 is usual.
	Slow float64
	// Failing is the share of tasks that have failed there lately, from 0 to 1.
	Failing float64
	// Away says that the backend server is in another availability zone than the dispatcher.
	Away bool
	// Held counts tasks of the same step that are there already.
	Held int
}

// Task is what the choice needs to know of one task.
type Task struct {
	Need room.Room
	// Requires is a label that the backend server must have; empty allows all.
	Requires string
	// Near is a label that the backend server should have; empty prefers none. Far is how much longer the task takes at one
	// without it; 0 and 1 stand for no difference.
	Near string
	Far  float64
	// OnlyNear leaves out backend servers without the label.
	OnlyNear bool
	// Limit is the greatest number of tasks of the step at one backend server; zero means no limit.
	Limit int
	// Avoid is an agent at which the task has failed.
	Avoid shard.ID
}

// Weights of what makes an agent less suitable, against the share of its room that is free (0 to 1).
const (
	slowWeight    = 2.0
	failingWeight = 4.0
	avoidWeight   = 4.0
	// awayWeight is the share of its room that an agent of the own availability zone may be fuller than one of another.
	awayWeight = 0.3
	// noiseWeight keeps dispatchers that see the same figures from choosing the same agent.
	noiseWeight = 0.1
)

// Source draws numbers from 0 to 1.
type Source interface {
	Float64() float64
}

// Choose returns for each task the index of its candidate, or -1 where none has room; it takes the room from candidates.
func Choose(candidates []Candidate, tasks []Task, src Source) []int {
	chosen := make([]int, len(tasks))
	for i, t := range tasks {
		chosen[i] = best(candidates, t, src)
		if c := chosen[i]; c >= 0 {
			candidates[c].Free = candidates[c].Free.Minus(t.Need)
			candidates[c].Held++
		}
	}
	return chosen
}

func best(candidates []Candidate, t Task, src Source) int {
	found, top := -1, math.Inf(-1)
	for i := range candidates {
		c := &candidates[i]
		if !c.Free.Fits(t.Need) || !Allowed(c.Labels, t) || (t.Limit > 0 && c.Held >= t.Limit) {
			continue
		}
		if s := score(c, t) + noiseWeight*src.Float64(); s > top {
			found, top = i, s
		}
	}
	return found
}

// Allowed reports whether a backend server with these labels may run the task.
func Allowed(labels []string, t Task) bool {
	return (t.Requires == "" || slices.Contains(labels, t.Requires)) && (!t.OnlyNear || slices.Contains(labels, t.Near))
}

func score(c *Candidate, t Task) float64 {
	s := c.Free.Minus(t.Need).ShareOf(c.Total)
	s -= slowWeight * max(c.Slow-1, 0)
	s -= failingWeight * c.Failing
	if t.Near != "" && !slices.Contains(c.Labels, t.Near) {
		s -= slowWeight * max(t.Far-1, 0)
	}
	if c.Away {
		s -= awayWeight
	}
	if t.Avoid != "" && t.Avoid == c.ID {
		s -= avoidWeight
	}
	return s
}
