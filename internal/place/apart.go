package place

import (
	"math"

	"corianderspur.example/corianderspur/internal/contend"
)

// apartWeight scales the logarithm of an expected slowdown against an agent's free share of capacity.
const apartWeight = 4.0

// Apart is what the choice of agents knows of kinds that disturb each other.
type Apart struct {
	Known Disturbance
	// Moved counts the tasks that were placed on another agent for it.
	Moved int
}

// Disturbance tells the factor by which a task of a kind takes longer beside a load.
type Disturbance interface {
	Slowdown(kind string, beside []contend.Load) float64
}

// disturbance returns the penalty for the slowdown that a task is expected to suffer at a candidate and to cause there. It fades as
// room runs out, so that room is used wherever it is.
func disturbance(c *Candidate, t Task, freeShare float64) float64 {
	own := cpuShare(t.Need.CPU, c.Total.CPU)
	if t.Apart == nil || len(c.Kinds) == 0 || own <= 0 {
		return 0
	}
	sum := math.Log(t.Apart.Known.Slowdown(t.Kind, c.Kinds))
	load := []contend.Load{{Kind: t.Kind, Share: own}}
	for _, l := range c.Kinds {
		// A neighbour's slowdown counts by how much of the server is slowed down, against the task itself.
		sum += math.Log(t.Apart.Known.Slowdown(l.Kind, load)) * l.Share / own
	}
	return apartWeight * freeShare * sum
}

// freeCPUShare returns the share of the candidates' CPU that is free.
func freeCPUShare(candidates []Candidate) float64 {
	var free, total int64
	for i := range candidates {
		free += max(candidates[i].Free.CPU, 0)
		total += candidates[i].Total.CPU
	}
	return cpuShare(free, total)
}

func cpuShare(cpu, total int64) float64 {
	if total <= 0 {
		return 0
	}
	return float64(cpu) / float64(total)
}

// countMoved counts a task that is placed on another agent than it would be without what is known of kinds.
func (t Task) countMoved(chosen, plain int) {
	if t.Apart != nil && chosen != plain {
		t.Apart.Moved++
	}
}

// addKind adds a placed task to what runs at a candidate.
func (c *Candidate) addKind(t Task) {
	if t.Apart == nil {
		return
	}
	kinds := make([]contend.Load, 0, len(c.Kinds)+1)
	found := false
	for _, l := range c.Kinds {
		if l.Kind == t.Kind {
			l.Share += cpuShare(t.Need.CPU, c.Total.CPU)
			found = true
		}
		kinds = append(kinds, l)
	}
	if !found {
		kinds = append(kinds, contend.Load{Kind: t.Kind, Share: cpuShare(t.Need.CPU, c.Total.CPU)})
	}
	c.Kinds = kinds
}
