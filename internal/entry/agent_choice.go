package entry

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"

	"corianderspur.example/corianderspur/pkg/label"
)

// pool holds the agents on which one rule allows tasks to run. Every entry knows the same front: urgent tasks are sent
// there first and others last, so that the slots that are free at any time are mostly where urgent tasks look for them.
type pool struct {
	agents []*agentView
	front  map[*agentView]bool
	// reserve is the number of slots at each agent of the front that are kept free for urgent tasks.
	reserve int
}

// Reserve returns the number of slots at an agent that are kept free for urgent tasks.
func (p *pool) Reserve(v *agentView) int {
	if p.front[v] {
		return p.reserve
	}
	return 0
}

// Eligible returns the agents on which a rule allows tasks to run, also those that are busy or not connected now.
func (c *AgentController) Eligible(rule string, selector label.Selector) *pool {
	p := c.eligible[rule]
	if p == nil {
		p = &pool{front: map[*agentView]bool{}}
		for _, v := range c.views {
			if v.known && !v.lost && selector.Matches(v.labels) {
				p.agents = append(p.agents, v)
			}
		}
		p.chooseFront(c.cfg.UrgentReserve)
		c.eligible[rule] = p
	}
	return p
}

// chooseFront picks the front by a hash of the workers' names and divides the reserve, a share of all slots, among it.
func (p *pool) chooseFront(share float64) {
	ranked := slices.Clone(p.agents)
	slices.SortFunc(ranked, func(a, b *agentView) int { return cmp.Compare(rank(a.worker), rank(b.worker)) })
	for _, v := range ranked[:int(math.Ceil(frontShare*float64(len(ranked))))] {
		p.front[v] = true
	}
	slots := 0
	for _, v := range p.agents {
		slots += v.load.Slots
	}
	p.reserve = int(math.Ceil(share * float64(slots) / float64(max(1, len(p.front)))))
}

func rank(worker string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(worker))
	return h.Sum32()
}

// Choose returns the agent with the least expected wait that has room for a task, or nil.
func (c *AgentController) Choose(p *pool, urgent, repeatable bool) *agentView {
	if c.cfg.Baseline {
		return c.chooseRandom(p.agents)
	}
	if len(p.agents) > sampleAbove {
		if v := c.best(p, c.sample(p.agents), urgent, repeatable); v != nil {
			return v
		}
	}
	return c.best(p, p.agents, urgent, repeatable)
}

func (c *AgentController) sample(list []*agentView) []*agentView {
	picked := make([]*agentView, 0, sampleSize)
	for range sampleSize {
		picked = append(picked, list[c.rng.IntN(len(list))])
	}
	return picked
}

func (c *AgentController) best(p *pool, list []*agentView, urgent, repeatable bool) *agentView {
	var best *agentView
	bestScore := 0.0
	offset := c.rng.IntN(len(list) + 1)
	for i := range list {
		v := list[(i+offset)%len(list)]
		if !c.hasRoom(p, v, urgent, repeatable) {
			continue
		}
		score := c.score(v, urgent, p.front[v])
		if best == nil || score < bestScore {
			best, bestScore = v, score
		}
	}
	return best
}

func (c *AgentController) hasRoom(p *pool, v *agentView, urgent, repeatable bool) bool {
	if !v.usable() || c.now < v.avoid || (v.load.Lapsed && !repeatable) {
		return false
	}
	if v.load.Trial {
		return repeatable && v.inFlight == 0
	}
	if urgent {
		return c.free(v, true) > -1
	}
	return c.free(v, false)-float64(p.Reserve(v)) >= 1-float64(c.cfg.SendAhead)
}

// score orders agents by the wait to expect at them; the front goes first or last, and the entry's own availability zone
// breaks ties.
func (c *AgentController) score(v *agentView, urgent, front bool) float64 {
	free := c.free(v, urgent)
	score := v.slow
	if free < 1 {
		score += v.slow * (2 - free)
	} else {
		score += 0.1 * (1 - free/float64(v.load.Slots))
	}
	if v.zone != c.cfg.Zone {
		score += 0.01
	}
	if front != urgent {
		score += 0.5
	}
	return score
}

// free estimates the slots that a task of a class would find free at an agent. What this entry has sent is known; what
// others have sent drifts from the last report to the mean of all agents, as fast as tasks end and begin.
func (c *AgentController) free(v *agentView, urgent bool) float64 {
	before := v.load.Running + v.load.Queued
	if urgent {
		before = v.load.Running + v.load.UrgentQueued
	}
	mine := float64(max(0, v.inFlight-v.load.Held))
	others := max(0, float64(before+len(v.sent))-mine)
	kept := math.Exp(-float64(c.now-v.reported) / (c.meanRun * max(1, v.slow)))
	mean := c.meanOthers * float64(v.load.Slots)
	return float64(v.load.Slots) - mine - mean - (others-mean)*kept
}

func (c *AgentController) chooseRandom(list []*agentView) *agentView {
	for range len(list) * 2 {
		v := list[c.rng.IntN(len(list))]
		if v.usable() {
			return v
		}
	}
	return nil
}
