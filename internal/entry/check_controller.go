package entry

import (
	"slices"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/shard"
)

// Bounds on one confirmation: its time in milliseconds and the agents asked.
const (
	checkTimeout = 100 * clock.Millis(1)
	checkTries   = 2
)

type pendingCheck struct {
	to     shard.ID
	answer *proto.Answer
	shard  int
	epoch  uint64
	tries  int
}

// CheckController confirms with an agent that this entry still owns a shard before an answer may say that nothing ran.
//
// A new owner starts nothing before every agent has confirmed its fence or has lost its lease, so one current agent
// that has seen no newer epoch proves that nobody else has started the job.
type CheckController struct {
	*common
	maps    *MapController
	agents  *AgentController
	shards  *ShardController
	waiting []pendingCheck
	asked   []pendingCheck
	agent   shard.ID
	nonce   uint64
	sentAt  clock.Millis
	next    int
	// onChecked is called with each answer and whether it was confirmed.
	onChecked func(to shard.ID, a *proto.Answer, confirmed bool)
}

// NewCheckController creates a controller with nothing to confirm.
func NewCheckController(c *common, maps *MapController, agents *AgentController, shards *ShardController) *CheckController {
	return &CheckController{common: c, maps: maps, agents: agents, shards: shards}
}

// Add takes an answer that says that nothing ran.
func (c *CheckController) Add(to shard.ID, a *proto.Answer) {
	n := c.maps.m.Of(a.Key)
	c.waiting = append(c.waiting, pendingCheck{to: to, answer: a, shard: n, epoch: c.shards.shards[n].epoch})
}

// Pump sends the next check, at most one at a time, for all answers that wait.
func (c *CheckController) Pump() {
	if len(c.asked) > 0 || len(c.waiting) == 0 {
		return
	}
	v := c.pick()
	if v == nil {
		return
	}
	c.asked = c.waiting
	c.waiting = nil
	c.agent = v.id
	c.nonce++
	c.sentAt = c.now
	check := &proto.Check{Nonce: c.nonce}
	for _, p := range c.asked {
		e := proto.ShardEpoch{Shard: p.shard, Epoch: p.epoch}
		if !slices.Contains(check.Shards, e) {
			check.Shards = append(check.Shards, e)
		}
	}
	c.send(v.id, proto.Message{Check: check})
}

func (c *CheckController) pick() *agentView {
	for range c.agents.views {
		c.next++
		v := c.agents.views[c.next%len(c.agents.views)]
		if v.connected && !v.lost {
			return v
		}
	}
	return nil
}

// Checked takes an agent's answer.
func (c *CheckController) Checked(from shard.ID, r *proto.Checked) {
	if from != c.agent || r.Nonce != c.nonce || len(c.asked) == 0 {
		return
	}
	asked := c.asked
	c.asked = nil
	for _, p := range asked {
		if slices.Contains(r.Valid, p.shard) {
			c.onChecked(p.to, p.answer, c.stillOwner(p))
			continue
		}
		c.again(p)
	}
}

func (c *CheckController) stillOwner(p pendingCheck) bool {
	s := c.shards.Owned(p.shard)
	return s != nil && s.epoch == p.epoch
}

func (c *CheckController) again(p pendingCheck) {
	p.tries++
	if p.tries >= checkTries {
		c.onChecked(p.to, p.answer, false)
		return
	}
	c.waiting = append(c.waiting, p)
}

// Tick gives up checks that were not answered in time.
func (c *CheckController) Tick() {
	if len(c.asked) > 0 && c.now-c.sentAt >= checkTimeout {
		asked := c.asked
		c.asked = nil
		for _, p := range asked {
			c.again(p)
		}
	}
	if len(c.waiting) > 0 && c.pick() == nil {
		waiting := c.waiting
		c.waiting = nil
		for _, p := range waiting {
			c.onChecked(p.to, p.answer, false)
		}
	}
}
