package entry

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"

	"corianderspur.example/corianderspur/pkg/label"
)

// pool holds the agents on which a rule allows tasks to run. Every entry computes the same subset of preferred agents:
// urgent tasks are sent to them first and other tasks last, so that most free slots are where urgent tasks look first.
type pool struct {
	agents    []*agentView
	preferred map[*agentView]bool
	// reserve is the number of slots that each preferred agent keeps free for urgent tasks.
	reserve int
}

// Reserve returns the number of slots that an agent keeps free for urgent tasks.
func (p *pool) Reserve(v *agentView) int {
	if p.preferred[v] {
		return p.reserve
	}
	return 0
}

// Eligible returns the agents on which a rule allows tasks to run, including those that are busy or disconnected.
func (c *AgentController) Eligible(rule string, selector label.Selector) *pool {
	p := c.pools[rule]
	if p == nil {
		p = &pool{preferred: map[*agentView]bool{}}
		for _, v := range c.views {
			if v.described && !v.lost && !c.config.policy.Evacuates(v.zone) && selector.Matches(v.labels) {
				p.agents = append(p.agents, v)
			}
		}
		p.choosePreferred(c.cfg.UrgentReserve)
		c.pools[rule] = p
	}
	return p
}

// choosePreferred selects the preferred agents by a hash of the worker name and divides the reserve, a share of all
// slots, among them.
func (p *pool) choosePreferred(share float64) {
	ranked := slices.Clone(p.agents)
	slices.SortFunc(ranked, func(a, b *agentView) int { return cmp.Compare(nameHash(a.worker), nameHash(b.worker)) })
	for _, v := range ranked[:int(math.Ceil(preferredShare*float64(len(ranked))))] {
		p.preferred[v] = true
	}
	slots := 0
	for _, v := range p.agents {
		slots += v.load.Slots
	}
	p.reserve = int(math.Ceil(share * float64(slots) / float64(max(1, len(p.preferred)))))
}

func nameHash(worker string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(worker))
	return h.Sum32()
}

// Choose returns the agent with the lowest score that has room for a task, or nil; in a large pool it compares a random
// sample first.
func (c *AgentController) Choose(p *pool, urgent, repeatable bool) *agentView {
	if c.cfg.Baseline {
		return c.chooseRandom(p.agents)
	}
	if len(p.agents) > sampleAbove {
		if v := c.pickBest(p, c.sample(p.agents), urgent, repeatable); v != nil {
			return v
		}
	}
	return c.pickBest(p, p.agents, urgent, repeatable)
}

func (c *AgentController) sample(list []*agentView) []*agentView {
	picked := make([]*agentView, 0, sampleSize)
	for range sampleSize {
		picked = append(picked, list[c.rng.IntN(len(list))])
	}
	return picked
}

func (c *AgentController) pickBest(p *pool, list []*agentView, urgent, repeatable bool) *agentView {
	var best *agentView
	bestScore := 0.0
	offset := c.rng.IntN(len(list) + 1)
	for i := range list {
		v := list[(i+offset)%len(list)]
		if !c.hasRoom(p, v, urgent, repeatable) {
			continue
		}
		score := c.score(v, urgent, p.preferred[v])
		if best == nil || score < bestScore {
			best, bestScore = v, score
		}
	}
	return best
}

func (c *AgentController) hasRoom(p *pool, v *agentView, urgent, repeatable bool) bool {
	if !v.usable() || c.now < v.avoidUntil || (v.load.Lapsed && !repeatable) {
		return false
	}
	if v.load.Trial {
		return repeatable && v.inFlight == 0
	}
	if urgent {
		return c.freeSlots(v, true) > -1
	}
	return c.freeSlots(v, false)-float64(p.Reserve(v)) >= 1-float64(c.cfg.SendAhead)
}

// score estimates the wait at an agent; lower is better. Preferred agents rank ahead for urgent tasks and behind for
// others, and the entry's own availability zone breaks ties.
func (c *AgentController) score(v *agentView, urgent, preferred bool) float64 {
	free := c.freeSlots(v, urgent)
	score := v.slowness
	if free < 1 {
		score += v.slowness * (2 - free)
	} else {
		score += 0.1 * (1 - free/float64(v.load.Slots))
	}
	if v.zone != c.cfg.Zone {
		score += 0.01
	}
	if preferred != urgent {
		score += 0.5
	}
	return score
}

// freeSlots estimates the slots that a task of a class would find free at an agent. The use by this entry is known; the
// use by other entries decays from the last report towards the mean of all agents, with the mean run time of a task as
// the time constant.
func (c *AgentController) freeSlots(v *agentView, urgent bool) float64 {
	ahead := v.load.Running + v.load.Queued
	if urgent {
		ahead = v.load.Running + v.load.UrgentQueued
	}
	ours := float64(max(0, v.inFlight-v.load.Held))
	others := max(0, float64(ahead+len(v.recentStarts))-ours)
	decay := math.Exp(-float64(c.now-v.reportedAt) / (c.meanRunTime * max(1, v.slowness)))
	mean := c.meanOtherUse * float64(v.load.Slots)
	return float64(v.load.Slots) - ours - mean - (others-mean)*decay
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
