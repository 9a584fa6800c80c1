package entry

import (
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/queue"
	"corianderspur.example/corianderspur/internal/shard"
)

// Each first start earns a part of a retry, up to a bound.
const (
	retryShare = 0.1
	retryMost  = 20.0
)

type waitingTask struct {
	job   *job
	index int
}

// mostPassed is the number of agents that an urgent task may find without a free slot before it waits at one.
const mostPassed = 2

type startKey struct {
	key   shard.Key
	agent shard.ID
	now   bool
}

// DispatchController holds tasks until an agent has room for them and sends the starts.
type DispatchController struct {
	*common
	agents  *AgentController
	shards  *ShardController
	queue   queue.Fair[waitingTask]
	retries float64
	batch   map[startKey]*proto.Start
	order   []startKey
}

// NewDispatchController creates a controller with nothing to send.
func NewDispatchController(c *common, agents *AgentController, shards *ShardController) *DispatchController {
	return &DispatchController{common: c, agents: agents, shards: shards, retries: retryMost, batch: map[startKey]*proto.Start{}}
}

// Len returns the number of tasks of a class that wait.
func (c *DispatchController) Len(urgent bool) int {
	return c.queue.Len(urgent)
}

// TenantLen returns the number of tasks of a tenant that wait.
func (c *DispatchController) TenantLen(tenant string) int {
	return c.queue.TenantLen(tenant)
}

// SpendRetry takes one retry from the budget and reports whether there was one.
func (c *DispatchController) SpendRetry() bool {
	if c.retries < 1 {
		return false
	}
	c.retries--
	return true
}

// Queue adds a task of a job to those that wait for an agent.
func (c *DispatchController) Queue(j *job, index int) {
	j.tasks[index].state = taskQueued
	urgent := j.decision.Urgent && !c.cfg.Baseline
	c.queue.Push(urgent, c.tenant(j), waitingTask{job: j, index: index})
}

func (c *DispatchController) tenant(j *job) string {
	if c.cfg.Baseline {
		return ""
	}
	return j.tenant()
}

// Pump sends as many tasks as agents have room for, urgent ones first.
func (c *DispatchController) Pump() {
	c.drain(true)
	c.drain(false)
	c.flush()
}

// drain sends the tasks of one class; tenants whose next task finds no agent are passed over.
func (c *DispatchController) drain(urgent bool) {
	passed := 0
	for passed < c.queue.Tenants(urgent) {
		w, _ := c.queue.Peek(urgent)
		if !w.waits() {
			c.queue.Pop(urgent)
			continue
		}
		if !c.place(w) {
			c.queue.Rotate(urgent)
			passed++
			continue
		}
		c.queue.Pop(urgent)
		passed = 0
	}
}

// waits reports whether a task still has to be sent.
func (w waitingTask) waits() bool {
	return w.job.live() && w.job.tasks[w.index].state == taskQueued
}

func (c *DispatchController) place(w waitingTask) bool {
	d := w.job.decision
	if c.shards.Owned(w.job.shard) == nil {
		return false
	}
	pool := c.agents.Eligible(d.Rule, d.Worker)
	if len(pool.agents) == 0 {
		return false
	}
	v := c.choose(w.job, pool)
	if v == nil {
		return false
	}
	w.job.last = v
	t := &w.job.tasks[w.index]
	t.state = taskSent
	t.agent = v.id
	t.imported = false
	t.attempt++
	t.tries++
	w.job.starts++
	c.agents.Sent(v)
	c.retries = min(retryMost, c.retries+retryShare)
	c.add(w.job, w.index).Reserve = pool.Reserve(v)
	return true
}

// choose returns an agent for the next task of a job, or nil.
func (c *DispatchController) choose(j *job, p *pool) *agentView {
	d := j.decision
	if c.cfg.PackJobs && j.last != nil && !j.last.load.Trial && c.agents.hasRoom(p, j.last, d.Urgent, d.Repeatable) {
		return j.last
	}
	return c.agents.Choose(p, d.Urgent, d.Repeatable || !c.anyProven(p.agents))
}

// anyProven reports whether any agent takes tasks without having to prove itself first.
func (c *DispatchController) anyProven(list []*agentView) bool {
	for _, v := range list {
		if v.usable() && !v.load.Trial {
			return true
		}
	}
	return false
}

// Repeat sends a start again with the same attempt.
func (c *DispatchController) Repeat(j *job, index int) {
	c.add(j, index)
}

// add puts a start into the message for its job and agent and returns the message.
func (c *DispatchController) add(j *job, index int) *proto.Start {
	t := &j.tasks[index]
	key := startKey{j.key, t.agent, j.decision.Urgent && !c.cfg.Baseline && t.passed < mostPassed}
	s := c.batch[key]
	if s == nil {
		s = &proto.Start{
			Shard: j.shard, Epoch: c.shards.shards[j.shard].epoch, Key: j.key, Job: j.id(), Tenant: j.tenant(),
			Kind: j.kind(), Digest: j.digest, Urgent: j.decision.Urgent, Repeatable: j.decision.Repeatable,
			Now: key.now, Budget: j.deadline - c.now,
		}
		c.batch[key] = s
		c.order = append(c.order, key)
	}
	s.Items = append(s.Items, proto.Item{Index: index, Attempt: t.attempt, Payload: j.content.Tasks[index].Payload})
	return s
}

func (c *DispatchController) flush() {
	for _, key := range c.order {
		s := c.batch[key]
		c.send(key.agent, proto.Message{Start: s})
		c.emit(event.Note{
			Name: "starts_sent", Job: s.Job, Tenant: s.Tenant, Class: className(s.Urgent), Count: len(s.Items), Peer: key.agent,
			Quiet: true,
		})
	}
	clear(c.batch)
	c.order = c.order[:0]
}
