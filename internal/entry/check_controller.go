package entry

import (
	"slices"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/shard"
)

// Bounds on checks: the timeout of a request in milliseconds, and the number of requests for each pending answer.
const (
	checkTimeout  = 100 * clock.Millis(1)
	maxCheckTries = 2
)

type pendingCheck struct {
	to     shard.ID
	answer *proto.Answer
	shard  int
	epoch  uint64
	tries  int
}

// CheckController confirms with an agent that this entry still owns a shard before an answer may state that nothing ran.
//
// A new owner starts nothing before every agent has confirmed its fence or its lease has expired. A single current agent
// that has seen no newer epoch therefore proves that no other entry has started the job.
type CheckController struct {
	*common
	maps         *MapController
	agents       *AgentController
	shards       *ShardController
	waiting      []pendingCheck
	inFlight     []pendingCheck
	checkedAgent shard.ID
	nonce        uint64
	sentAt       clock.Millis
	nextAgent    int
	// onChecked is called for each answer with the result of its check.
	onChecked func(to shard.ID, a *proto.Answer, confirmed bool)
}

// NewCheckController creates a controller without pending checks.
func NewCheckController(c *common, maps *MapController, agents *AgentController, shards *ShardController) *CheckController {
	return &CheckController{common: c, maps: maps, agents: agents, shards: shards}
}

// Add queues an answer that states that nothing ran, to be confirmed before it is delivered.
func (c *CheckController) Add(to shard.ID, a *proto.Answer) {
	n := c.maps.current.ShardOf(a.Key)
	c.waiting = append(c.waiting, pendingCheck{to: to, answer: a, shard: n, epoch: c.shards.shards[n].epoch})
}

// Pump sends one check for all waiting answers, unless another check is in flight.
func (c *CheckController) Pump() {
	if len(c.inFlight) > 0 || len(c.waiting) == 0 {
		return
	}
	v := c.pickAgent()
	if v == nil {
		return
	}
	c.inFlight = c.waiting
	c.waiting = nil
	c.checkedAgent = v.id
	c.nonce++
	c.sentAt = c.now
	check := &proto.Check{Nonce: c.nonce}
	for _, p := range c.inFlight {
		e := proto.ShardEpoch{Shard: p.shard, Epoch: p.epoch}
		if !slices.Contains(check.Shards, e) {
			check.Shards = append(check.Shards, e)
		}
	}
	c.send(v.id, proto.Message{Check: check})
}

func (c *CheckController) pickAgent() *agentView {
	for range c.agents.views {
		c.nextAgent++
		v := c.agents.views[c.nextAgent%len(c.agents.views)]
		if v.connected && !v.lost {
			return v
		}
	}
	return nil
}

// Checked handles an agent's reply to a check.
func (c *CheckController) Checked(from shard.ID, r *proto.Checked) {
	if from != c.checkedAgent || r.Nonce != c.nonce || len(c.inFlight) == 0 {
		return
	}
	asked := c.inFlight
	c.inFlight = nil
	for _, p := range asked {
		if slices.Contains(r.Valid, p.shard) {
			c.onChecked(p.to, p.answer, c.stillOwner(p))
			continue
		}
		c.retry(p)
	}
}

func (c *CheckController) stillOwner(p pendingCheck) bool {
	s := c.shards.Owned(p.shard)
	return s != nil && s.epoch == p.epoch
}

func (c *CheckController) retry(p pendingCheck) {
	p.tries++
	if p.tries >= maxCheckTries {
		c.onChecked(p.to, p.answer, false)
		return
	}
	c.waiting = append(c.waiting, p)
}

// Tick retries checks that timed out, and reports the waiting ones as unconfirmed when no agent can be asked.
func (c *CheckController) Tick() {
	if len(c.inFlight) > 0 && c.now-c.sentAt >= checkTimeout {
		asked := c.inFlight
		c.inFlight = nil
		for _, p := range asked {
			c.retry(p)
		}
	}
	if len(c.waiting) > 0 && c.pickAgent() == nil {
		waiting := c.waiting
		c.waiting = nil
		for _, p := range waiting {
			c.onChecked(p.to, p.answer, false)
		}
	}
}
